// Package pause notices that the process has stood still, for example because it was stopped or its machine was suspended.
// What a process reads just after such a pause may have arrived long before.
package pause

import (
	"context"
	"sync"
	"time"

	"github.com/galenalug/galenalug/internal/clock"
)

const (
	// tickInterval is the interval at which a process proves that it runs.
	tickInterval = 50 * time.Millisecond
	// shortestPause is the shortest time without a tick that counts as a pause. A busy host delays ticks, too.
	shortestPause = 8 * tickInterval
	// settleTime is the time after a pause in which the process may still read what arrived during it.
	settleTime = 500 * time.Millisecond
)

// Detector remembers the latest pause. Its zero value has seen none. It is safe for concurrent use.
type Detector struct {
	mu       sync.Mutex // guards the fields below
	lastTick time.Duration
	from     time.Duration // last tick before the latest pause
	until    time.Duration // first tick after it; 0 if there was none
}

// Watch ticks until the context ends.
func (d *Detector) Watch(ctx context.Context) {
	d.Tick(clock.Now())
	for clock.Sleep(ctx, tickInterval) {
		d.Tick(clock.Now())
	}
}

// Tick records that the process runs.
func (d *Detector) Tick(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tick(now)
}

// tick is Tick; the caller holds mu.
func (d *Detector) tick(now time.Duration) {
	if d.lastTick > 0 && now-d.lastTick >= shortestPause {
		settled := d.until == 0 || d.lastTick-d.until >= settleTime
		if settled {
			d.from = d.lastTick
		}
		d.until = now
	}
	d.lastTick = max(d.lastTick, now)
}

// EarliestArrival returns the earliest time at which data can have arrived that the process has just read: the begin of a
// pause that has just ended, or else the present.
func (d *Detector) EarliestArrival(now time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lastTick > 0 {
		d.tick(now)
	}
	if d.until > 0 && now-d.until < settleTime {
		return d.from
	}
	return now
}
