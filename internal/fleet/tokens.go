package fleet

import (
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/ratelimit"
)

// issueTokens answers a gateway's demand for tokens for limited servers.
func (h *Host) issueTokens(request ratelimit.TokenRequest) (ratelimit.TokenReply, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var reply ratelimit.TokenReply
	if h.leading == nil {
		return reply, errors.Wrap(ErrUnavailable, "this host is no longer the leader")
	}
	now := clock.Now()
	for _, demand := range request.Servers {
		if !(demand.PerSecond > 0) || demand.Wanted < 0 || demand.AgeMillis < 0 {
			return ratelimit.TokenReply{}, errors.Wrapf(ErrUnavailable, "invalid demand for server %q: limit %v, wanted %d", demand.ServerID, demand.PerSecond, demand.Wanted)
		}
		grant := h.leading.issuer.Issue(now, demand)
		h.leading.coordinator.SetRateLimit(now, demand.ServerID, h.leading.issuer.Limit(demand.ServerID))
		reply.Servers = append(reply.Servers, grant)
		h.metrics.tokens.WithLabelValues("granted").Add(float64(grant.Tokens))
		h.metrics.tokens.WithLabelValues("denied").Add(float64(demand.Wanted - grant.Tokens))
	}
	return reply, nil
}
