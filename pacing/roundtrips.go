package pacing

import "time"

const (
	// recentWindow is the time for which a round trip tells about the present.
	recentWindow = 1500 * time.Millisecond
	// acceptedQueueing is the delay of a response by queueing that its receiver accepts.
	acceptedQueueing = 100 * time.Millisecond
	// maxTimeFraction bounds the part of a timeout that queueing may take.
	maxTimeFraction = 1.0 / 3
)

// RoundTrips estimates the queueing delay on a host's link, both ways together, from the round trips of small
// messages. Its zero value has no estimate. It is not safe for concurrent use.
type RoundTrips struct {
	base   baseDelay   // round trip without queueing
	recent []roundTrip // oldest first
}

type roundTrip struct{ at, took time.Duration }

// Add records a round trip that has ended now.
func (r *RoundTrips) Add(now, took time.Duration) {
	r.base.observe(now, took)
	r.forget(now)
	r.recent = append(r.recent, roundTrip{now, took})
}

func (r *RoundTrips) forget(now time.Duration) {
	for len(r.recent) > 0 && now-r.recent[0].at > recentWindow {
		r.recent = r.recent[1:]
	}
}

// Queueing returns the longest queueing delay of the recent round trips.
func (r *RoundTrips) Queueing(now time.Duration) time.Duration {
	r.forget(now)
	longest := time.Duration(0)
	for _, trip := range r.recent {
		longest = max(longest, trip.took)
	}
	return max(0, longest-r.base.value())
}

// Remaining returns the part of a timeout that is left for a request that has just been read: what its sender
// counts began before it waited on the link, and ends when the response has waited there.
func (r *RoundTrips) Remaining(now, timeout time.Duration) time.Duration {
	lost := max(0, r.Queueing(now)-acceptedQueueing)
	return timeout - min(lost, time.Duration(maxTimeFraction*float64(timeout)))
}
