package dispatch

import "time"

const (
	// firstBackoff is how long a server that refused a request gets no more: about the time in which one of its slots
	// becomes free.
	firstBackoff = 40 * time.Millisecond
	// maxBackoffDoublings bounds the growth of that time with repeated refusals.
	maxBackoffDoublings = 5
)

// Backoff tells for how long a server that refuses requests gets no more. The zero value stands for a server that has
// refused none.
type Backoff struct {
	refusals int // since the latest answer
	until    time.Duration
}

// Refused records that the server did not run a request. Refusals of requests that were sent before the server backs
// off don't count again.
func (b *Backoff) Refused(now time.Duration) {
	if b.Active(now) {
		return
	}
	b.until = now + firstBackoff<<min(b.refusals, maxBackoffDoublings)
	b.refusals++
}

// Answered records that the server ran a request.
func (b *Backoff) Answered() { *b = Backoff{} }

// Active reports whether the server gets no requests now.
func (b *Backoff) Active(now time.Duration) bool { return now < b.until }
