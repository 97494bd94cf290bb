package gateway

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/ratelimit"
)

const (
	// tokenAskInterval is the interval at which the leader is asked again while requests wait for tokens.
	tokenAskInterval = 50 * time.Millisecond
	// tokenAskTimeout bounds one request for tokens. Tokens that come later have expired.
	tokenAskTimeout = ratelimit.TokenLifetime
)

// takeToken takes a token for a request, or returns false if the server is limited and there is none.
func (b *backend) takeToken(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if limit, _ := b.notices.RateLimit(); limit == 0 {
		return true
	}
	return b.tokens.Take(now)
}

// tokenDemand returns the demand for tokens, and whether there is any.
func (b *backend) tokenDemand(now time.Duration) (ratelimit.Demand, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit, namedAt := b.notices.RateLimit()
	wanted := b.queue.Len() - b.tokens.Available(now)
	if limit == 0 || wanted <= 0 {
		return ratelimit.Demand{}, false
	}
	return ratelimit.Demand{
		ServerID: b.id, PerSecond: limit, AgeMillis: (now - namedAt).Milliseconds(),
		Wanted: int64(wanted), Urgent: int64(min(wanted, b.queue.UrgentLen())),
	}, true
}

func (b *backend) tokensGranted(now, askedAt time.Duration, wanted int64, g ratelimit.Grant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens.Granted(now, askedAt, wanted, g)
}

// tokenDemand returns the demand for tokens of all limited servers.
func (b *backends) tokenDemand(now time.Duration) ratelimit.TokenRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	var request ratelimit.TokenRequest
	for _, server := range b.byID {
		if demand, any := server.tokenDemand(now); any {
			request.Servers = append(request.Servers, demand)
		}
	}
	return request
}

// tokensGranted distributes the leader's reply to a request that was sent at askedAt.
func (b *backends) tokensGranted(now, askedAt time.Duration, request ratelimit.TokenRequest, reply ratelimit.TokenReply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, grant := range reply.Servers {
		if i >= len(request.Servers) || request.Servers[i].ServerID != grant.ServerID {
			return // not the reply to this request
		}
		if server := b.byID[grant.ServerID]; server != nil {
			server.tokensGranted(now, askedAt, request.Servers[i].Wanted, grant)
		}
	}
}

// wantTokens wakes the loop that asks the leader for tokens.
func (h *Host) wantTokens() { signal(h.leaderLink.tokensWanted) }

// allowWithoutLeader lets a limited server get an equal part of its limit while there is no leader to
// ask for tokens.
func (h *Host) allowWithoutLeader(now time.Duration, b *backend) {
	if h.leaderLink.disconnectedFor(now) == 0 {
		return
	}
	gateways := h.view.gateways()
	b.mu.Lock()
	defer b.mu.Unlock()
	if limit, _ := b.notices.RateLimit(); limit > 0 {
		b.tokens.WithoutLeader(now, limit, gateways)
	}
}

// askForTokens asks the leader for tokens whenever requests wait for them, until the context ends.
func (l *leaderLink) askForTokens(ctx context.Context, client *peer.Client) {
	ticker := time.NewTicker(tokenAskInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.tokensWanted:
		case <-ticker.C:
		}
		askedAt := clockNow()
		request := l.backends.tokenDemand(askedAt)
		if len(request.Servers) == 0 {
			continue
		}
		reply, err := requestTokens(ctx, client, request)
		if err != nil {
			log.WithError(err).Debug("cannot get tokens for limited servers")
			continue
		}
		l.backends.tokensGranted(clockNow(), askedAt, request, reply)
	}
}

func requestTokens(ctx context.Context, client *peer.Client, request ratelimit.TokenRequest) (ratelimit.TokenReply, error) {
	ctx, cancel := context.WithTimeout(ctx, tokenAskTimeout)
	defer cancel()
	return callLeader[ratelimit.TokenReply](ctx, client, wire.KindTokenRequest, request)
}
