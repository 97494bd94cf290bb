package ratelimit

import "time"

const (
	// burstTime is the time for which a bucket saves tokens that nobody wants.
	burstTime = 500 * time.Millisecond
	// overdraftTime is the time for which urgent requests may take tokens in advance, at the cost of
	// others.
	overdraftTime = 250 * time.Millisecond
	// minBurst is the smallest burst, tokens. With one, a small limit would often have no token saved
	// when two requests arrive close together.
	minBurst = 2.0
	// minOverdraft is the smallest overdraft, tokens.
	minOverdraft = 1.0
	// bucketLifetime is the time without demand after which a server is forgotten.
	bucketLifetime = 30 * time.Second
)

// Issuer is the leader's record of the tokens that it may give for each server. It is not safe for
// concurrent use.
type Issuer struct {
	buckets map[string]*bucket // by server ID
	sweptAt time.Duration
}

// bucket is a token bucket whose level may be overdrawn.
type bucket struct {
	perSecond float64
	namedAt   time.Duration // when the server named the limit
	level     float64       // tokens
	updated   time.Duration
}

// NewIssuer returns an Issuer that knows of no server. The bucket of a new server has one token, so
// that a new leader gives little more than what its predecessor left.
func NewIssuer() *Issuer { return &Issuer{buckets: map[string]*bucket{}} }

// Issue answers a demand. Gateways may know different limits while one changes; the latest that the
// server named counts.
func (i *Issuer) Issue(now time.Duration, d Demand) Grant {
	i.sweep(now)
	b := i.buckets[d.ServerID]
	if b == nil {
		b = &bucket{level: 1, updated: now}
		i.buckets[d.ServerID] = b
	}
	if namedAt := now - time.Duration(d.AgeMillis)*time.Millisecond; b.perSecond == 0 || namedAt >= b.namedAt {
		b.perSecond, b.namedAt = d.PerSecond, namedAt
	}
	b.refill(now)
	urgent := min(max(d.Urgent, 0), d.Wanted)
	granted := b.take(urgent, max(minOverdraft, b.tokensIn(overdraftTime)))
	if granted == urgent {
		granted += b.take(d.Wanted-urgent, 0)
	}
	grant := Grant{ServerID: d.ServerID, Tokens: granted}
	if granted < d.Wanted {
		grant.WaitMillis = b.wait().Milliseconds() + 1
	}
	return grant
}

// Limit returns the limit that a server named, requests a second, or 0 if none is known or wanted any
// more.
func (i *Issuer) Limit(serverID string) float64 {
	if b := i.buckets[serverID]; b != nil {
		return b.perSecond
	}
	return 0
}

func (b *bucket) tokensIn(span time.Duration) float64 { return b.perSecond * span.Seconds() }

func (b *bucket) refill(now time.Duration) {
	b.level += b.perSecond * (now - b.updated).Seconds()
	b.level = min(b.level, max(minBurst, b.tokensIn(burstTime)))
	b.updated = now
}

// take takes up to wanted tokens, and returns how many there were.
func (b *bucket) take(wanted int64, overdraft float64) int64 {
	taken := int64(max(0, b.level+overdraft))
	taken = min(taken, max(wanted, 0))
	b.level -= float64(taken)
	return taken
}

// wait returns the time until there is a token for a request that is not urgent.
func (b *bucket) wait() time.Duration {
	return time.Duration(max(0, 1-b.level) / b.perSecond * float64(time.Second))
}

// sweep forgets servers without demand.
func (i *Issuer) sweep(now time.Duration) {
	if now-i.sweptAt < bucketLifetime {
		return
	}
	i.sweptAt = now
	for id, b := range i.buckets {
		if now-b.updated >= bucketLifetime {
			delete(i.buckets, id)
		}
	}
}
