package placement_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/galenalug/galenalug/internal/workload"
	"github.com/galenalug/galenalug/placement"
)

const (
	benchSeed  = 1
	benchSlots = 4096
)

func report(b *testing.B, r workload.Result) {
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(r.MeanImbalance, "imbalance")
	b.ReportMetric(r.WorstImbalance, "worst-imbalance")
	b.ReportMetric(r.ImbalanceOverBound, "over-ideal")
	b.ReportMetric(float64(r.Moves), "moves")
	b.ReportMetric(r.Churn(), "churn")
	b.ReportMetric(r.UnavailableSlotSeconds, "unavailable-slot-s")
	b.ReportMetric(r.OverloadedServerSeconds, "overloaded-server-s")
	if r.PlanTime > 0 {
		b.ReportMetric(float64(r.PlanTime.Microseconds()), "plan-us")
	}
}

func benchScenarios(b *testing.B, events func(workload.Scenario) []workload.Event) {
	for _, s := range workload.Scenarios() {
		for _, keys := range workload.KeyShapes() {
			for _, policy := range workload.Policies() {
				b.Run(s.Name+"/"+keys.Name+"/"+policy.Name, func(b *testing.B) {
					simulation := s.Simulation(keys.Exponent, keys.Limited, benchSlots, events(s), benchSeed)
					for range b.N {
						report(b, workload.Simulate(simulation, policy.New()))
					}
				})
			}
		}
	}
}

func BenchmarkJoin(b *testing.B)   { benchScenarios(b, workload.Scenario.JoinEvents) }
func BenchmarkDrain(b *testing.B)  { benchScenarios(b, workload.Scenario.DrainEvents) }
func BenchmarkLoss(b *testing.B)   { benchScenarios(b, workload.Scenario.LossEvents) }
func BenchmarkHot(b *testing.B)    { benchScenarios(b, workload.Scenario.HotKeyEvents) }
func BenchmarkSteady(b *testing.B) { benchScenarios(b, workload.Scenario.NoEvents) }
func BenchmarkMixed(b *testing.B)  { benchScenarios(b, workload.Scenario.MixedEvents) }

func BenchmarkSlotCount(b *testing.B) {
	for _, s := range workload.Scenarios() {
		for _, slots := range []int{256, 1024, 4096, 16384} {
			for _, policy := range workload.Policies()[1:] {
				b.Run(fmt.Sprintf("%s/%d/%s", s.Name, slots, policy.Name), func(b *testing.B) {
					simulation := s.Simulation(1.01, true, slots, s.MixedEvents(), benchSeed)
					for range b.N {
						report(b, workload.Simulate(simulation, policy.New()))
					}
				})
			}
		}
	}
}

// BenchmarkPlan times a call that finds nothing to move, and reports the bytes of the slots and
// servers that a leader keeps for it.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ slots, servers int }{{4096, 27}, {16384, 110}, {16384, 440}, {65536, 440}} {
		b.Run(fmt.Sprintf("%dx%d", size.slots, size.servers), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			slots := make([]placement.Slot, size.slots)
			servers := make([]placement.Server, size.servers)
			for i := range slots {
				slots[i] = placement.Slot{Owner: uint64(i%size.servers) + 1, Load: 100, SinceLastMove: placement.NeverMoved}
			}
			for i := range servers {
				servers[i] = placement.Server{ID: uint64(i) + 1, Capacity: 6}
			}
			runtime.ReadMemStats(&after)
			planner := placement.NewPlanner(placement.DefaultSettings(placement.Balance))
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				planner.Plan(slots, servers)
			}
			b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc), "state-bytes")
		})
	}
}

// BenchmarkPlanHomes times a call for a service with slots in two regions and nothing to move.
func BenchmarkPlanHomes(b *testing.B) {
	for _, slots := range []int{1024, 4096, 16384} {
		b.Run(fmt.Sprintf("slots=%d", slots), func(b *testing.B) {
			regions := []placement.Region{{Name: "mien-nam", Capacity: 1000}, {Name: "mien-trung", Capacity: 1000}}
			homes := make([]placement.Home, slots)
			for i := range homes {
				homes[i].Region = regions[i%len(regions)].Name
			}
			settings := placement.DefaultHomeSettings()
			for b.Loop() {
				if moves := placement.PlanHomes(homes, regions, settings); len(moves) > 0 {
					b.Fatalf("got %d home moves, want none", len(moves))
				}
			}
		})
	}
}
