package choice_test

import (
	"testing"

	"github.com/galenalug/galenalug/internal/workload"
)

const benchSeed = 1

// BenchmarkChoice compares the chooser with the power of two random choices, with and without
// preference for the own region.
func BenchmarkChoice(b *testing.B) {
	for _, queue := range workload.QueueScenarios(benchSeed) {
		for _, picker := range workload.Pickers() {
			b.Run(queue.Name+"/"+picker.Name, func(b *testing.B) {
				for range b.N {
					r := workload.RunQueue(queue.Settings, picker.New)
					b.ReportMetric(0, "ns/op")
					b.ReportMetric(float64(r.Mean.Microseconds())/1000, "mean-ms")
					b.ReportMetric(float64(r.P99.Microseconds())/1000, "p99-ms")
					b.ReportMetric(100*r.Failed, "failed-%")
					b.ReportMetric(100*r.CrossRegion, "crossed-%")
					b.ReportMetric(r.Imbalance, "imbalance")
				}
			})
		}
	}
}
