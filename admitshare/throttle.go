package admitshare

import (
	"maps"
	"math"
	"time"
)

const (
	// throttleTime is the time constant of the exponential decay of the counts of a Throttle.
	throttleTime = 2 * time.Second
	// acceptFactor is the multiple of the accepted requests up to which requests are sent. The surplus shows when
	// servers accept more again.
	acceptFactor = 1.5
)

// Throttle limits the requests of one gateway that has lost the leader. It refuses requests as soon as servers accept
// less than 1/acceptFactor of them. The zero value has seen no requests. It is not safe for concurrent use.
type Throttle struct {
	groups map[Group]*throttleCounts
}

// throttleCounts are decayed numbers of requests with a known result.
type throttleCounts struct {
	requests  float64
	accepted  float64 // that a server ran
	updatedAt time.Duration
}

// Admit reports whether a request may be sent. A request that may not counts as one that no server accepted. random is
// a uniform number in [0, 1).
func (t *Throttle) Admit(now time.Duration, group Group, random float64) bool {
	counts := t.counts(now, group)
	admitted := random >= (counts.requests-acceptFactor*counts.accepted)/(counts.requests+1)
	if !admitted {
		counts.requests++
	}
	return admitted
}

// Ended counts a request that Admit has let pass. Requests count when their result is known: those that still run say
// nothing of what servers accept.
func (t *Throttle) Ended(now time.Duration, group Group, accepted bool) {
	counts := t.counts(now, group)
	counts.requests++
	if accepted {
		counts.accepted++
	}
}

// Forget drops the groups without requests for forgetTime. Less than one percent of their counts is left then.
func (t *Throttle) Forget(now time.Duration) {
	maps.DeleteFunc(t.groups, func(_ Group, counts *throttleCounts) bool { return now-counts.updatedAt > forgetTime })
}

func (t *Throttle) counts(now time.Duration, group Group) *throttleCounts {
	if t.groups == nil {
		t.groups = map[Group]*throttleCounts{}
	}
	counts := t.groups[group]
	if counts == nil {
		counts = &throttleCounts{updatedAt: now}
		t.groups[group] = counts
	}
	decay := math.Exp(-float64(now-counts.updatedAt) / float64(throttleTime))
	counts.requests *= decay
	counts.accepted *= decay
	counts.updatedAt = now
	return counts
}
