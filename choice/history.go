package choice

import (
	"math"
	"time"
)

// history is what one entry host saw of one server.
type history struct {
	outstanding  int
	latency      time.Duration // peak-sensitive moving average
	updated      time.Duration // when latency last changed
	lastProgress time.Duration // last answer, or first start after idleness
	lastProbe    time.Duration
	probed       bool
}

func (h *history) started(now time.Duration) {
	if h.outstanding == 0 {
		h.lastProgress = now
	}
	h.outstanding++
}

// finished updates the latency in the manner of the peak EWMA of Finagle: a
// latency above the average replaces it at once, one below draws it down
// with the time constant decay.
func (h *history) finished(now, latency, decay time.Duration) {
	if h.outstanding > 0 {
		h.outstanding--
	}
	h.lastProgress = now
	if latency >= h.latency {
		h.latency = latency
	} else {
		keep := forget(now-h.updated, decay)
		h.latency = latency + time.Duration(keep*float64(h.latency-latency))
	}
	h.updated = now
}

// expected is the latency to count with. A server that holds requests and
// answers none is at least as slow as its silence is long; one that was slow
// and is idle is forgiven with time.
func (h *history) expected(now, decay time.Duration) time.Duration {
	if h.outstanding > 0 {
		return max(h.latency, now-h.lastProgress)
	}
	keep := forget(now-h.updated, decay)
	return initialLatency + time.Duration(keep*float64(h.latency-initialLatency))
}

// forget is the part of an average that is kept after a time.
func forget(elapsed, decay time.Duration) float64 {
	return math.Exp(-float64(max(0, elapsed)) / float64(decay))
}
