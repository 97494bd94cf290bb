package warmup

import (
	"time"

	"github.com/galenalug/galenalug/ratelimit"
)

// A cold server may get one and a half times its rate and 8 more requests in any second. Both parts together
// are less than the rate, so that also the worst case is within this: tokens of 1.4 s that are used in one, and
// more requests of gateways without a leader than on average (docs/design/cold-servers.md has the sum).
const (
	// leaderPart is the part of the rate of a cold server at which the leader issues tokens.
	leaderPart = 0.75
	// withoutLeaderPart is the part that all gateways together may use without a leader.
	withoutLeaderPart = 0.15
)

const (
	// TokenLifetime is how long a gateway may send a request with a token after it asked for it.
	TokenLifetime = 400 * time.Millisecond
	// burstTime is the time for which a bucket saves tokens that nobody wants.
	burstTime = 50 * time.Millisecond
	// minBurst is the smallest burst, tokens. With one, requests that arrive close together would find none.
	minBurst = 2.0
	// bucketLifetime is the time without demand after which a server is forgotten.
	bucketLifetime = 30 * time.Second
	// slotLifetime is how long a gateway without a leader may wait for a request to use its time slot. Slots are
	// not saved: all gateways would use the saved ones at the same time, after a time without requests.
	slotLifetime = 250 * time.Millisecond
	// slotSendTime is how long the opening of a connection may take after a slot was used.
	slotSendTime = 200 * time.Millisecond
	// maxSlotEvery bounds the interval between two slots of a gateway.
	maxSlotEvery = 24 * time.Hour
)

// Issuer is the leader's record of the tokens that it may give for each cold server. It is not safe for
// concurrent use.
type Issuer struct {
	buckets map[string]*bucket // by server ID
	sweptAt time.Duration
}

type bucket struct {
	level   float64 // tokens
	updated time.Duration
}

// NewIssuer returns an Issuer whose buckets are empty, so that a new leader adds nothing to what its predecessor
// left.
func NewIssuer() *Issuer { return &Issuer{buckets: map[string]*bucket{}} }

// Issue grants up to the wanted number of tokens for a server that takes perSecond requests a second, which is
// above 0.
func (i *Issuer) Issue(now time.Duration, serverID string, perSecond float64, wanted int64) ratelimit.Grant {
	i.sweep(now)
	b := i.buckets[serverID]
	if b == nil {
		b = &bucket{updated: now}
		i.buckets[serverID] = b
	}
	rate := leaderPart * perSecond
	b.level = min(b.level+rate*(now-b.updated).Seconds(), max(minBurst, rate*burstTime.Seconds()))
	b.updated = now
	granted := min(int64(b.level), max(wanted, 0))
	b.level -= float64(granted)
	grant := ratelimit.Grant{ServerID: serverID, Tokens: granted}
	if granted < wanted {
		grant.WaitMillis = int64(max(0, 1-b.level)/rate*1000) + 1
	}
	return grant
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

// Holder holds a gateway's tokens for one cold server. The zero value holds none. It is not safe for concurrent
// use.
//
// Without a leader, each gateway has a time slot for one request in regular intervals, the first one at a random
// time, so that the slots of all gateways are spread.
type Holder struct {
	granted   []batch // oldest first
	shortage  ratelimit.Shortage
	slotAt    time.Duration // start of the next time slot; 0 while there is a leader
	slotEvery time.Duration
}

// batch is the rest of the tokens of one grant.
type batch struct {
	tokens   int64
	expireAt time.Duration
}

// Available returns the number of tokens.
func (h *Holder) Available(now time.Duration) int {
	for len(h.granted) > 0 && (h.granted[0].tokens == 0 || now >= h.granted[0].expireAt) {
		h.granted = h.granted[1:]
	}
	count := 0
	for _, b := range h.granted {
		count += int(b.tokens)
	}
	if h.inSlot(now) {
		count++
	}
	return count
}

func (h *Holder) inSlot(now time.Duration) bool {
	return h.slotAt > 0 && now >= h.slotAt && now-h.slotAt < min(slotLifetime, h.slotEvery)
}

// Take takes one token, or returns false if there is none. The request must be sent before the returned time.
func (h *Holder) Take(now time.Duration) (sendBefore time.Duration, ok bool) {
	if h.Available(now) == 0 {
		return 0, false
	}
	if len(h.granted) > 0 {
		h.granted[0].tokens--
		return h.granted[0].expireAt, true
	}
	h.slotAt += h.slotEvery
	return now + slotSendTime, true
}

// Granted adds the leader's grant for a demand that was sent at askedAt.
func (h *Holder) Granted(now, askedAt time.Duration, wanted int64, g ratelimit.Grant) {
	h.slotAt = 0
	h.shortage.Granted(now, wanted, g)
	if g.Tokens > 0 && now < askedAt+TokenLifetime {
		h.granted = append(h.granted, batch{tokens: g.Tokens, expireAt: askedAt + TokenLifetime})
	}
}

// WithoutLeader must be called before the tokens are used while there is no leader. random is a number from 0 to
// 1 that is drawn anew each time.
func (h *Holder) WithoutLeader(now time.Duration, perSecond float64, gateways int64, random float64) {
	seconds := float64(max(gateways, 1)) / (withoutLeaderPart * perSecond)
	h.slotEvery = time.Duration(min(max(seconds, 0.001), maxSlotEvery.Seconds()) * float64(time.Second))
	if h.slotAt == 0 {
		h.slotAt = max(now, 1) + time.Duration(random*float64(h.slotEvery))
	}
	if late := now - h.slotAt - min(slotLifetime, h.slotEvery); late >= 0 {
		h.slotAt += (late/h.slotEvery + 1) * h.slotEvery
	}
}

// Wait returns the expected time until there is a token for a request with the given number of others ahead of
// it: without a leader, until the slot for it, else as Holder.Wait of package ratelimit returns it.
func (h *Holder) Wait(now time.Duration, ahead int) time.Duration {
	if missing := ahead + 1 - h.Available(now); h.slotAt > 0 && missing > 0 {
		return max(0, h.slotAt-now) + time.Duration(missing-1)*h.slotEvery
	}
	return h.shortage.Wait(now, ahead+1-h.Available(now))
}

// AskAhead returns the probability with which a gateway asks for one token ahead for a cold server at each
// interval, so that all gateways together use the tokens that the leader may issue.
func AskAhead(perSecond float64, gateways int64, interval time.Duration) float64 {
	return leaderPart * perSecond * interval.Seconds() / float64(max(gateways, 1))
}
