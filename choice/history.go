package choice

import (
	"math"
	"time"
)

// history is what one entry host observed of one server.
type history struct {
	outstanding  int
	latency      time.Duration // peak-sensitive moving average
	updated      time.Duration // when latency last changed
	lastProgress time.Duration // last response, or start of the first request after an idle period
	lastProbe    time.Duration
	probed       bool
}

func (h *history) recordStart(now time.Duration) {
	if h.outstanding == 0 {
		h.lastProgress = now
	}
	h.outstanding++
}

// recordEnd updates the latency like the peak EWMA of Finagle: a latency above the average replaces
// it at once, a lower one pulls it down with the time constant decay.
func (h *history) recordEnd(now, latency, decay time.Duration) {
	if h.outstanding > 0 {
		h.outstanding--
	}
	h.lastProgress = now
	if latency >= h.latency {
		h.latency = latency
	} else {
		weight := decayFactor(now-h.updated, decay)
		h.latency = latency + time.Duration(weight*float64(h.latency-latency))
	}
	h.updated = now
}

// expectedLatency is the latency to assume for the next request. A server with outstanding requests
// is assumed to be at least as slow as the time since its last response. The latency of an idle
// server decays to initialLatency, so that it is tried again after it was slow.
func (h *history) expectedLatency(now, decay time.Duration) time.Duration {
	if h.outstanding > 0 {
		return max(h.latency, now-h.lastProgress)
	}
	weight := decayFactor(now-h.updated, decay)
	return initialLatency + time.Duration(weight*float64(h.latency-initialLatency))
}

// decayFactor is the weight that an average keeps after the elapsed time.
func decayFactor(elapsed, decay time.Duration) float64 {
	return math.Exp(-float64(max(0, elapsed)) / float64(decay))
}
