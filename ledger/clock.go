package ledger

import "time"

// Clock gives a leader the logical time for its commands. A new leader creates one after it has
// applied every committed command. Time without a leader is not counted, which can only keep
// records longer.
type Clock struct {
	logical uint64        // logical time at the election, milliseconds
	started time.Duration // monotonic time at the election
}

// NewClock returns the clock of a leader elected at now, which is its own monotonic time. The
// ledger's logical time at that moment is given in milliseconds.
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
