package admission

import "time"

const (
	// minLimit leaves one slot for lookups and orders while an upload runs.
	minLimit = 2
	// decreaseFactor multiplies the limit on a sign of overload.
	decreaseFactor = 0.7
	// latencyWeight is the weight of a new sample in the moving averages of latency.
	latencyWeight = 0.1
	// slowFactor is the ratio of the average latency to the latency floor above which the limit is
	// decreased.
	slowFactor = 4
	// floorDrift is the fraction by which each sample raises the latency floor, so that the floor
	// follows a server that has become permanently slower.
	floorDrift = 0.002
)

// limiter adapts the limit on requests in flight by additive increase and
// multiplicative decrease (Chiu and Jain, "Analysis of the Increase and Decrease
// Algorithms for Congestion Avoidance in Computer Networks", 1989).
type limiter struct {
	limit        float64
	maxLimit     float64
	floor        time.Duration // lowest recent latency
	smoothed     time.Duration // moving average of the latency
	lastDecrease time.Duration
	decreased    bool // whether lastDecrease is set
}

func newLimiter(config Config) limiter {
	maxLimit := max(float64(config.MaxLimit), minLimit)
	start := min(max(float64(config.Slots), minLimit), maxLimit)
	return limiter{limit: start, maxLimit: maxLimit}
}

// observe records the end of one request. full states whether the limit was reached, since a limit
// that is not reached must not grow.
func (l *limiter) observe(now time.Duration, outcome Outcome, latency time.Duration, full bool) {
	switch outcome {
	case Succeeded:
		l.sample(latency)
		if l.smoothed > slowFactor*l.floor {
			l.decrease(now)
		} else if full {
			l.limit = min(l.limit+1/l.limit, l.maxLimit)
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

// decrease lowers the limit at most once per round trip: all requests that were in flight at
// the first sign of overload report the same overload.
func (l *limiter) decrease(now time.Duration) {
	if l.decreased && now-l.lastDecrease < l.smoothed {
		return
	}
	l.limit = max(l.limit*decreaseFactor, minLimit)
	l.lastDecrease, l.decreased = now, true
}
