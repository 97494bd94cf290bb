package slotqueue

import (
	"math"
	"time"
)

const (
	// rateTime is the time constant of measured rates.
	rateTime = 500 * time.Millisecond
	// usualMemory is the time constant with which the usual time of clients falls to what is seen now.
	usualMemory = 10 * time.Second
	// unusedTime is the time without requests after which a group is forgotten.
	unusedTime = 6 * usualMemory
)

// decayed counts events with an exponential decay.
type decayed struct {
	count float64
	at    time.Duration // time to which it is decayed
}

func (d *decayed) add(now time.Duration) {
	d.decay(now)
	d.count++
}

func (d *decayed) decay(now time.Duration) {
	d.count *= math.Exp(-float64(now-d.at) / float64(rateTime))
	d.at = now
}

// perSecond returns the rate of the events.
func (d *decayed) perSecond(now time.Duration) float64 {
	d.decay(now)
	return d.count / rateTime.Seconds()
}

// usualTime is the time that clients usually leave between the latency target and the deadline of their requests: the longest
// that was seen, which falls slowly to what is seen now.
type usualTime struct {
	longest time.Duration
	at      time.Duration
}

// elapsed returns for how long the client of a request has presumably waited already, if the request has a time left between
// its target and its deadline.
func (u *usualTime) elapsed(now, left time.Duration) time.Duration {
	u.longest -= time.Duration(float64(max(u.longest-left, 0)) * (1 - math.Exp(-float64(now-u.at)/float64(usualMemory))))
	u.at = now
	u.longest = max(u.longest, left)
	return u.longest - left
}
