package gateway

import (
	"sync"
	"time"
)

// linkDelay estimates how long packets wait in the queues of this host's network link, both ways
// together, from the round trips of small messages to the leader. What exceeds the shortest round trip
// of a connection is waiting time. It is safe for concurrent use.
type linkDelay struct {
	mu       sync.Mutex // guards the fields below
	shortest time.Duration
	last     time.Duration // 0 for none
	current  time.Duration // the shorter one of the last two round trips, less the shortest one
}

// reset forgets all round trips. It is called when the connection changes.
func (d *linkDelay) reset() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shortest, d.last, d.current = 0, 0, 0
}

// observe records a round trip. One long round trip may have other causes than the link, such as a
// leader that was busy, so two in a row are needed to raise the estimate.
func (d *linkDelay) observe(roundTrip time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.last == 0 {
		d.shortest, d.last = roundTrip, roundTrip
		return
	}
	d.shortest = min(d.shortest, roundTrip)
	d.current = min(d.last, roundTrip) - d.shortest
	d.last = roundTrip
}

// estimate returns the waiting time of a packet and its answer.
func (d *linkDelay) estimate() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.current
}
