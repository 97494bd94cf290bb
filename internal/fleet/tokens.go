package fleet

import (
	"fmt"
	"math"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/ratelimit"
)

// checkDemand returns an error if a demand has an invalid value.
func checkDemand(d ratelimit.Demand) error {
	if d.PerSecond > 0 && !math.IsInf(d.PerSecond, 0) && d.Wanted >= 0 && d.AgeMillis >= 0 && d.SinceMillis >= 0 && d.WarmupMillis >= 0 {
		return nil
	}
	return &peer.Error{
		Code:   wire.CodeInvalid,
		Detail: fmt.Sprintf("demand for server %q: limit %v, named %d ms ago, wanted %d", d.ServerID, d.PerSecond, d.AgeMillis, d.Wanted),
	}
}

// issueTokens answers a gateway's demand for tokens for limited servers. A request with an invalid demand
// gets none.
func (h *Host) issueTokens(request ratelimit.TokenRequest) (ratelimit.TokenReply, error) {
	for _, demand := range request.Servers {
		if err := checkDemand(demand); err != nil {
			return ratelimit.TokenReply{}, err
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	var reply ratelimit.TokenReply
	if h.leading == nil {
		return reply, errors.Wrap(ErrUnavailable, "this host is no longer the leader")
	}
	now := clock.Now()
	for _, demand := range request.Servers {
		if demand.Cold {
			reply.Servers = append(reply.Servers, h.issueColdTokens(now, demand))
			continue
		}
		grant := h.leading.issuer.Issue(now, demand)
		h.leading.coordinator.SetRateLimit(now, demand.ServerID, h.leading.issuer.Limit(demand.ServerID))
		reply.Servers = append(reply.Servers, grant)
		h.metrics.tokens.WithLabelValues("granted").Add(float64(grant.Tokens))
		h.metrics.tokens.WithLabelValues("denied").Add(float64(demand.Wanted - grant.Tokens))
	}
	return reply, nil
}
