package fleet

import (
	"math"
	"testing"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/ratelimit"
)

// Guards against a demand for tokens with an invalid value that uses up the tokens of others, or is
// taken for a leader that is unavailable and sent again.
func TestInvalidDemandForTokensIsRejected(t *testing.T) {
	c := newCluster(t, "127.0.0.1")
	c.wait("a leader", func() bool { return c.leader() != nil })
	valid := ratelimit.Demand{ServerID: "s1", PerSecond: 1, Wanted: 1}
	for name, invalid := range map[string]ratelimit.Demand{
		"no limit":       {ServerID: "s2", Wanted: 1},
		"not a number":   {ServerID: "s2", PerSecond: math.NaN(), Wanted: 1},
		"infinite":       {ServerID: "s2", PerSecond: math.Inf(1), Wanted: 1},
		"negative count": {ServerID: "s2", PerSecond: 1, Wanted: -1},
		"negative age":   {ServerID: "s2", PerSecond: 1, Wanted: 1, AgeMillis: -1},
	} {
		_, err := c.leader().issueTokens(ratelimit.TokenRequest{Servers: []ratelimit.Demand{valid, invalid}})
		var rejected *peer.Error
		if !errors.As(err, &rejected) || rejected.Code != wire.CodeInvalid {
			t.Errorf("%s: error %v, want code %v", name, err, wire.CodeInvalid)
		}
	}
	reply, err := c.leader().issueTokens(ratelimit.TokenRequest{Servers: []ratelimit.Demand{valid}})
	if err != nil || len(reply.Servers) != 1 || reply.Servers[0].Tokens != 1 {
		t.Errorf("valid demand: %+v, %v; want one token", reply, err)
	}
}
