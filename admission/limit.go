package admission

import "time"

const (
	// minLimit leaves one slot for lookups and orders beside an upload.
	minLimit = 2
	// decreaseFactor is applied to the limit on a sign of overload.
	decreaseFactor = 0.7
	// latencyWeight is the weight of the newest sample in a moving average.
	latencyWeight = 0.1
	// slowFactor is how far latency may rise over its floor before the limit is
	// lowered.
	slowFactor = 4
	// floorDrift raises the latency floor by this share with each sample, so that
	// the floor follows a server that became slower for good.
	floorDrift = 0.002
)

// limiter adapts the number of requests in flight: additive increase,
// multiplicative decrease (Chiu and Jain, "Analysis of the Increase and Decrease
// Algorithms for Congestion Avoidance in Computer Networks", 1989).
type limiter struct {
	limit        float64
	most         float64
	floor        time.Duration // lowest latency seen of late
	smoothed     time.Duration // moving average of the latency
	lastDecrease time.Duration
	decreased    bool
}

func newLimiter(config Config) limiter {
	most := max(float64(config.MaxLimit), minLimit)
	start := min(max(float64(config.Slots), minLimit), most)
	return limiter{limit: start, most: most}
}

// observe takes the end of one request. full says whether the limit was in use.
func (l *limiter) observe(now time.Duration, outcome Outcome, latency time.Duration, full bool) {
	switch outcome {
	case Succeeded:
		l.sample(latency)
		if l.smoothed > slowFactor*l.floor {
			l.decrease(now)
		} else if full {
			l.limit = min(l.limit+1/l.limit, l.most)
		}
	case Shed, TimedOut:
		l.decrease(now)
	}
}

func (l *limiter) sample(latency time.Duration) {
	if l.smoothed == 0 {
		l.smoothed, l.floor = latency, latency
		return
	}
	l.smoothed += time.Duration(latencyWeight * float64(latency-l.smoothed))
	l.floor = min(latency, l.floor+time.Duration(floorDrift*float64(l.floor)))
}

// decrease lowers the limit once for each round of requests: those in flight at
// the first sign of overload all end with it.
func (l *limiter) decrease(now time.Duration) {
	if l.decreased && now-l.lastDecrease < l.smoothed {
		return
	}
	l.limit = max(l.limit*decreaseFactor, minLimit)
	l.lastDecrease, l.decreased = now, true
}
