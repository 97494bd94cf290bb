package fleet

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/keyrange"
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
		"negative since": {ServerID: "s2", PerSecond: 1, Wanted: 1, Cold: true, SinceMillis: -1},
		"negative left":  {ServerID: "s2", PerSecond: 1, Wanted: 1, Cold: true, WarmupMillis: -1},
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

// Guards against a refused connection that only the gateway learns of which saw it, so that all others send the
// server their usual load, and against a server that stays limited although its heartbeats say that it is warm.
func TestRefusedConnectionCountsForAllGateways(t *testing.T) {
	c := newCluster(t, "127.0.0.1")
	first := put(0, 1)
	first.Config.Services[0].WarmupMillis, first.Config.Services[0].WarmupPerSecond = 60_000, 5.5
	c.putUntilAccepted(first)
	ctx, cancel := context.WithCancel(context.Background())
	beats := c.beatUntil(ctx, &keyrange.Server{ID: "s1", Service: first.Config.Services[0].Name, Address: "10.0.0.1:80", Domain: "d1", Slots: 4})
	defer beats.Wait()
	defer cancel()
	var host *Host
	c.wait("a leader", func() bool { // it may lose its quorum for a moment
		host = c.leader()
		return host != nil
	})
	listed := func(cold bool) bool {
		host.mu.Lock()
		defer host.mu.Unlock()
		if host.leading == nil {
			return false
		}
		servers := host.leading.coordinator.Snapshot().Servers
		return len(servers) == 1 && servers[0].WarmupMillis > 0 == cold
	}
	ask := func(since time.Time, refused bool) ratelimit.Grant {
		reply, err := host.issueTokens(ratelimit.TokenRequest{Servers: []ratelimit.Demand{{
			ServerID: "s1", PerSecond: 5.5, Wanted: 40, Cold: true, SinceMillis: max(1, time.Since(since).Milliseconds()), Refused: refused,
		}}})
		if err != nil {
			t.Fatal(err)
		}
		return reply.Servers[0]
	}
	c.wait("the server to be listed as warm", func() bool { return listed(false) })
	refusedAt := time.Now()
	if g := ask(refusedAt, true); g.Warm || g.Tokens > 0 || g.WaitMillis == 0 {
		t.Errorf("grant %+v right after the refusal, want none and a wait", g)
	}
	c.wait("the server to be listed as cold", func() bool { return listed(true) })
	c.wait("the server to be listed as warm again", func() bool { return listed(false) })
	if g := ask(refusedAt, false); !g.Warm {
		t.Errorf("grant %+v after heartbeats that say that the server is warm, want a proof", g)
	}
}
