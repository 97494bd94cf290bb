package ratelimit

import (
	"math"
	"time"
)

const (
	// TokenLifetime is how long a gateway may use a token after it asked for it.
	TokenLifetime = 500 * time.Millisecond
	// shortageMemory is how long a gateway that got fewer tokens than it wanted turns further requests
	// away before one of them may ask again.
	shortageMemory = 250 * time.Millisecond
	// grantRateTime is the time constant of the exponential decay of the rate of grants.
	grantRateTime = 2 * time.Second
	// minGrantRate is the lowest rate of grants that is assumed, tokens a second.
	minGrantRate = 0.1
)

// Holder holds a gateway's tokens for one server. The zero value holds none. It is not safe for
// concurrent use.
type Holder struct {
	tokens   int64
	expireAt time.Duration
	credit   float64       // part of a token, while there is no leader
	creditAt time.Duration // when credit was last increased; 0 while there is a leader
	shortage Shortage
}

// Available returns the number of tokens.
func (h *Holder) Available(now time.Duration) int {
	if now >= h.expireAt {
		h.tokens = 0
	}
	return int(h.tokens + int64(h.credit))
}

// Take takes one token, or returns false if there is none.
func (h *Holder) Take(now time.Duration) bool {
	switch {
	case h.Available(now) == 0:
		return false
	case h.tokens > 0:
		h.tokens--
	default:
		h.credit--
	}
	return true
}

// Granted adds the leader's grant for a demand that was sent at askedAt.
func (h *Holder) Granted(now, askedAt time.Duration, wanted int64, g Grant) {
	h.Available(now)
	h.credit, h.creditAt = 0, 0
	h.tokens += g.Tokens
	h.expireAt = max(h.expireAt, askedAt+TokenLifetime)
	h.shortage.Granted(now, wanted, g)
}

// WithoutLeader adds what an equal part of the limit allows for the time since the last call without
// a grant in between.
func (h *Holder) WithoutLeader(now time.Duration, perSecond float64, gateways int64) {
	if h.creditAt > 0 {
		h.credit += perSecond / float64(max(gateways, 1)) * (now - h.creditAt).Seconds()
		h.credit = min(h.credit, 1)
	}
	h.creditAt = now
}

// Wait returns the expected time until there is a token for a request with the given number of others
// ahead of it: 0 if the leader has had tokens lately, so that asking costs a round trip only.
func (h *Holder) Wait(now time.Duration, ahead int) time.Duration {
	return h.shortage.Wait(now, ahead+1-h.Available(now))
}

// Shortage is what a gateway expects of the leader's next grants for one server, according to the earlier
// ones. The zero value expects no shortage.
type Shortage struct {
	until     time.Duration
	waitUntil time.Duration // when the leader expects to have another token
	rate      float64       // tokens granted a second, decayed
	ratedAt   time.Duration
}

// Granted records a grant for a demand.
func (s *Shortage) Granted(now time.Duration, wanted int64, g Grant) {
	s.rate = s.rate*s.decay(now) + float64(g.Tokens)/grantRateTime.Seconds()
	s.ratedAt = now
	s.until = 0
	if g.Tokens < wanted {
		s.until = now + shortageMemory
		s.waitUntil = now + time.Duration(g.WaitMillis)*time.Millisecond
	}
}

// Wait returns the expected time until as many tokens as are missing have been granted: 0 if none are, or
// if the leader has had tokens lately, so that asking costs a round trip only.
func (s *Shortage) Wait(now time.Duration, missing int) time.Duration {
	if missing <= 0 || now >= s.until {
		return 0
	}
	rate := max(s.rate*s.decay(now), minGrantRate)
	return max(time.Duration(float64(missing)/rate*float64(time.Second)), s.waitUntil-now)
}

func (s *Shortage) decay(now time.Duration) float64 {
	return math.Exp(-float64(now-s.ratedAt) / float64(grantRateTime))
}
