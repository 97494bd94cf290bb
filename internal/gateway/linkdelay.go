package gateway

import (
	"sync"
	"time"

	"github.com/galenalug/galenalug/pacing"
)

// maxDialQueueing is the queueing on this host's own link up to which opening a connection may take longer.
const maxDialQueueing = 1500 * time.Millisecond

// linkDelay estimates the queueing on this host's own link from the reports to the leader.
type linkDelay struct {
	mu    sync.Mutex // guards trips; no other lock is acquired while it is held
	trips pacing.RoundTrips
}

// add records the round trip of a report that was sent at the given time and is answered now.
func (d *linkDelay) add(sentAt time.Duration) {
	now := clockNow()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.trips.Add(now, now-sentAt)
}

// queueing returns the present queueing delay.
func (d *linkDelay) queueing() time.Duration { return d.queueingAt(clockNow()) }

// queueingAt is queueing for callers that have read the clock.
func (d *linkDelay) queueingAt(now time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.trips.Queueing(now)
}

// dialTimeout returns how long to wait for a connection to open. On a full link its packets wait in the queue:
// one that is given up too soon only has to wait there anew.
func (d *linkDelay) dialTimeout() time.Duration {
	return dialTimeout + min(d.queueing(), maxDialQueueing)
}
