package ledger

import "time"

// Clock gives a leader the logical time for its commands. A new leader makes one
// once it has applied every committed command. The time of a leaderless gap is
// not counted, so that records are only ever kept longer.
type Clock struct {
	logical uint64        // milliseconds, at the election
	started time.Duration // monotonic
}

// NewClock returns the clock of a leader elected at now, a monotonic time of its
// own, whose ledger's time is logical.
func NewClock(logical uint64, now time.Duration) Clock {
	return Clock{logical: logical, started: now}
}

// At returns the logical time at now, in milliseconds.
func (c Clock) At(now time.Duration) uint64 {
	if now < c.started {
		return c.logical
	}
	return c.logical + uint64((now-c.started)/time.Millisecond)
}
