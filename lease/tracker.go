package lease

import (
	"slices"
	"time"
)

// MaxDrift is the largest difference in the rate of two hosts' clocks that the
// leases tolerate, as a fraction.
const MaxDrift = 0.01

// WithDrift lengthens a wait by the largest tolerated clock drift.
func WithDrift(wait time.Duration) time.Duration {
	return wait + time.Duration(float64(wait)*MaxDrift)
}

// Tracker is the granting side of the leases of a set of sessions. It is not
// safe for concurrent use.
type Tracker struct {
	duration time.Duration
	expires  map[uint64]time.Duration
}

// NewTracker returns a Tracker that treats each of the given sessions as renewed
// at now.
func NewTracker(duration, now time.Duration, sessions []uint64) *Tracker {
	t := &Tracker{duration: duration, expires: make(map[uint64]time.Duration, len(sessions))}
	for _, id := range sessions {
		t.Renew(now, id)
	}
	return t
}

// Duration returns the lease that a renewal grants.
func (t *Tracker) Duration() time.Duration { return t.duration }

// Renew grants the session a lease from now on.
func (t *Tracker) Renew(now time.Duration, session uint64) {
	t.expires[session] = now + WithDrift(t.duration)
}

// Ensure starts a lease at now for a session that has none, and leaves any other
// session alone.
func (t *Tracker) Ensure(now time.Duration, session uint64) {
	if _, ok := t.expires[session]; !ok {
		t.Renew(now, session)
	}
}

// Remove forgets a session.
func (t *Tracker) Remove(session uint64) { delete(t.expires, session) }

// Live reports whether the session's lease lasts beyond now.
func (t *Tracker) Live(now time.Duration, session uint64) bool {
	end, ok := t.expires[session]
	return ok && now < end
}

// Remaining returns the time left of the session's lease; it is negative once
// the lease is over, and zero for an unknown session.
func (t *Tracker) Remaining(now time.Duration, session uint64) time.Duration {
	end, ok := t.expires[session]
	if !ok {
		return 0
	}
	return end - now
}

// Expired returns the sessions whose lease is over, in ascending order.
func (t *Tracker) Expired(now time.Duration) []uint64 {
	var expired []uint64
	for id, end := range t.expires {
		if now >= end {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	return expired
}

// Holder is the holding side of one lease. It is not safe for concurrent use.
type Holder struct {
	session uint64
	expires time.Duration
}

// Renewed records an answer that granted a lease of the given length to the
// request sent at sentAt. A lease never gets shorter by a late answer.
func (h *Holder) Renewed(session uint64, sentAt, length time.Duration) {
	if session != h.session {
		h.session = session
		h.expires = 0
	}
	h.expires = max(h.expires, sentAt+length)
}

// Drop gives the lease up.
func (h *Holder) Drop() {
	h.session = 0
	h.expires = 0
}

// Session returns the session of the lease, 0 for none.
func (h *Holder) Session() uint64 { return h.session }

// Valid reports whether the lease lasts beyond now.
func (h *Holder) Valid(now time.Duration) bool {
	return h.session != 0 && now < h.expires
}
