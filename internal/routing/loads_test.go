package routing

import (
	"fmt"
	"testing"
)

// TestLoadReportsAreBoundedAndComplete checks that a report is bounded and holds the hottest slot, and
// that over many reports every request is reported exactly once and no slot is left out.
func TestLoadReportsAreBoundedAndComplete(t *testing.T) {
	const slots, hot = 512, 300
	loads := newSlotLoads()
	loads.add("lisboa", "orders", 1)
	sent, total, got := 0, 0, map[string]int{}
	take := func() bool {
		count, found := 0, false
		for _, service := range loads.take("norte") {
			count += len(service.Slots)
			total += service.Total
			for i, slot := range service.Slots {
				got[fmt.Sprint(service.Service, slot)] += service.Requests[i]
				found = found || service.Service == "orders" && slot == hot
			}
		}
		if count > maxReportedSlots {
			t.Fatalf("%d slots in one report, want at most %d", count, maxReportedSlots)
		}
		return found
	}
	for range 50 {
		for slot := range slots {
			loads.add("norte", "orders", slot)
			loads.add("norte", "lookups", slot)
			loads.add("norte", "orders", hot)
			sent += 3
		}
		if !take() {
			t.Fatal("the hottest slot was not reported")
		}
	}
	for range 2 * slots / maxReportedSlots {
		take()
	}
	reported := 0
	for _, n := range got {
		reported += n
	}
	if reported != sent || total != sent || len(got) != 2*slots {
		t.Fatalf("reported %d requests of %d slots with total %d, want %d requests of %d slots", reported, len(got), total, sent, 2*slots)
	}
}

// BenchmarkTakeLoads measures the cost of collecting the loads for one renewal, by the number of slots
// with requests since their last report.
func BenchmarkTakeLoads(b *testing.B) {
	for _, slots := range []int{64, 1024, 4096, 16384} {
		b.Run(fmt.Sprintf("slots=%d", slots), func(b *testing.B) {
			loads := newSlotLoads()
			for slot := range slots {
				loads.add("norte", "orders", slot)
			}
			for b.Loop() {
				for _, service := range loads.take("norte") {
					for _, slot := range service.Slots {
						loads.add("norte", "orders", slot)
					}
				}
			}
		})
	}
}
