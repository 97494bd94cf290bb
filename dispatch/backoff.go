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

const (
	// firstFailurePause is how long a server that failed a request gets no more. It is short, since most servers fail a
	// few requests among many.
	firstFailurePause = 250 * time.Millisecond
	// maxFailureDoublings bounds the growth of that time with repeated failures.
	maxFailureDoublings = 5
)

// Failures tells for how long a server that fails requests gets no more. Failures are often quick, so that such a server
// would seem to be the least loaded one. The zero value stands for a server that has failed none.
type Failures struct {
	count int // since the latest answer
	until time.Duration
}

// Failed records that the server failed a request.
func (f *Failures) Failed(now time.Duration) {
	f.until = now + firstFailurePause<<min(f.count, maxFailureDoublings)
	f.count++
}

// Answered records that the server ran a request without a failure.
func (f *Failures) Answered() { *f = Failures{} }

// Active reports whether the server gets no requests now.
func (f *Failures) Active(now time.Duration) bool { return now < f.until }
