package pacing

import "time"

// recentWindow is the time for which a round trip tells about the present.
const recentWindow = 1500 * time.Millisecond

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
