package gateway

import (
	"context"
	"math/rand/v2"
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

// takeToken takes a token for a request, or returns false if the server is limited and there is none. A cold
// server needs another kind of tokens, whose limit is the lower one.
func (t *target) takeToken(now time.Duration) bool {
	if t.coldRate(now) > 0 {
		return t.takeColdToken(now)
	}
	b := t.backend
	b.mu.Lock()
	defer b.mu.Unlock()
	if limit, _ := b.notices.RateLimit(); limit == 0 {
		return true
	}
	return b.tokens.Take(now)
}

// tokenDemand returns the demand for tokens, and whether there is any.
func (b *backend) tokenDemand(now time.Duration) (ratelimit.Demand, bool) {
	if b.coldRate(now) > 0 {
		return ratelimit.Demand{}, false // see coldDemand
	}
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

// tokenDemand returns the demand for tokens of all limited servers. ahead tells whether to ask also for tokens for
// which no request waits yet.
func (b *backends) tokenDemand(now time.Duration, ahead bool) ratelimit.TokenRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	var request ratelimit.TokenRequest
	for _, server := range b.byID {
		demand, any := server.coldDemand(now, ahead)
		if !any {
			demand, any = server.tokenDemand(now)
		}
		if any {
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
			if request.Servers[i].Cold {
				server.coldTokensGranted(now, askedAt, request.Servers[i].Wanted, grant)
				continue
			}
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
	coldRate := b.coldRate(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	if coldRate > 0 {
		b.coldTokens.WithoutLeader(now, coldRate, h.view.mostGateways.Load(), rand.Float64())
	}
	if limit, _ := b.notices.RateLimit(); limit > 0 {
		b.tokens.WithoutLeader(now, limit, gateways)
	}
}

// askForTokens asks the leader for tokens whenever requests wait for them, until the context ends.
func (l *leaderLink) askForTokens(ctx context.Context, client *peer.Client) {
	ticker := time.NewTicker(tokenAskInterval)
	defer ticker.Stop()
	for {
		ahead := false
		select {
		case <-ctx.Done():
			return
		case <-l.tokensWanted:
		case <-ticker.C:
			ahead = true
		}
		askedAt := clockNow()
		request := l.backends.tokenDemand(askedAt, ahead)
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
