package dispatch

import (
	"testing"
	"time"
)

// A fifth of the hosts is slowed down by neighbors, in turns. Only requests that would miss their target there are worth
// a probe, and none where hosts are not slowed down.
func TestProbePaysForTightTargetsOnSharedHosts(t *testing.T) {
	var shared, own, silent Neighbors
	for i := range 200 {
		percent := 100
		if i%5 == 0 {
			percent = 300
		}
		shared.Observe(Report{HostPercent: percent})
		own.Observe(Report{HostPercent: 105})
		silent.Observe(Report{Running: 3})
	}
	const work = 120 * time.Millisecond
	for _, c := range []struct {
		name        string
		n           *Neighbors
		untilTarget time.Duration
		want        bool
	}{
		{"tight target on shared hosts", &shared, 400 * time.Millisecond, true},
		{"wide target on shared hosts", &shared, 3 * time.Second, false},
		{"target that is missed anyway", &shared, 50 * time.Millisecond, false},
		{"hosts without neighbors", &own, 400 * time.Millisecond, false},
		{"servers that don't report their hosts", &silent, 400 * time.Millisecond, false},
	} {
		if got := c.n.ProbePays(work, c.untilTarget); got != c.want {
			t.Errorf("%s: ProbePays = %v, want %v", c.name, got, c.want)
		}
	}
}
