package lease

import (
	"slices"
	"time"
)

// MaxDrift is the largest tolerated difference between the rates of two hosts' clocks, as a
// fraction.
const MaxDrift = 0.01

// WithDrift returns wait extended by the largest tolerated clock drift.
func WithDrift(wait time.Duration) time.Duration {
	return wait + time.Duration(float64(wait)*MaxDrift)
}

// Tracker is the granting side of the leases of a set of sessions. It is not safe for concurrent
// use.
type Tracker struct {
	duration time.Duration
	expires  map[uint64]time.Duration
}

// NewTracker returns a Tracker that treats each of the given sessions as renewed at now.
func NewTracker(duration, now time.Duration, sessions []uint64) *Tracker {
	t := &Tracker{duration: duration, expires: make(map[uint64]time.Duration, len(sessions))}
	for _, id := range sessions {
		t.Renew(now, id)
	}
	return t
}

// Duration returns the length of the lease that a renewal grants, without the clock drift.
func (t *Tracker) Duration() time.Duration { return t.duration }

// Renew grants the session a lease that starts at now.
func (t *Tracker) Renew(now time.Duration, session uint64) {
	t.expires[session] = now + WithDrift(t.duration)
}

// Ensure grants a lease to a session that is not tracked yet. For a tracked session it has no
// effect.
func (t *Tracker) Ensure(now time.Duration, session uint64) {
	if _, ok := t.expires[session]; !ok {
		t.Renew(now, session)
	}
}

// Remove stops tracking a session.
func (t *Tracker) Remove(session uint64) { delete(t.expires, session) }

// Live reports whether the session's lease is valid at now.
func (t *Tracker) Live(now time.Duration, session uint64) bool {
	end, ok := t.expires[session]
	return ok && now < end
}

// Remaining returns the time until the session's lease expires. It is negative after that, and zero
// for an unknown session.
func (t *Tracker) Remaining(now time.Duration, session uint64) time.Duration {
	end, ok := t.expires[session]
	if !ok {
		return 0
	}
	return end - now
}

// Expired returns the sessions whose lease has expired, in ascending order.
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

// Renewed records a response that grants a lease of the given length, where the request was sent at
// sentAt. A late response never shortens the lease.
func (h *Holder) Renewed(session uint64, sentAt, length time.Duration) {
	if session != h.session {
		h.session = session
		h.expires = 0
	}
	h.expires = max(h.expires, sentAt+length)
}

// Drop ends the lease.
func (h *Holder) Drop() {
	h.session = 0
	h.expires = 0
}

// Session returns the session of the lease, or 0 if there is none.
func (h *Holder) Session() uint64 { return h.session }

// Valid reports whether the lease is valid at now.
func (h *Holder) Valid(now time.Duration) bool {
	return h.session != 0 && now < h.expires
}
