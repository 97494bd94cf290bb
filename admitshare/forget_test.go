package admitshare

import (
	"testing"
	"time"
)

// Guards against memory that grows with the services that were ever demanded: plans are made all the time, and each
// counted as news of all groups.
func TestGroupsWithoutDemandAreForgotten(t *testing.T) {
	p := NewPlanner(false)
	var throttle Throttle
	gone := Group{Service: "gone"}
	p.Report(time.Second, DemandReport{Groups: []Demand{{Group: gone, WorkMicros: 1000}}})
	throttle.Ended(time.Second, gone, true)
	p.Plan(time.Second, []Capacity{{Service: "gone", Region: "r1", Slots: 6}})
	for now := time.Second; now <= 2*time.Second+forgetTime; now += 300 * time.Millisecond {
		p.Plan(now, nil)
		throttle.Forget(now)
	}
	if len(p.demand) > 0 || len(p.corrections) > 0 || len(throttle.groups) > 0 {
		t.Errorf("%d groups, %d corrections and %d groups of the throttle are kept, want none", len(p.demand), len(p.corrections), len(throttle.groups))
	}
}
