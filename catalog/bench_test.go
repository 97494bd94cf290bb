package catalog_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/galenalug/galenalug/catalog"
)

// BenchmarkTable reports the encoding time and encoded size of a service's homes, and the memory
// that they take after decoding. The homes are all in one region or distributed randomly over two.
func BenchmarkTable(b *testing.B) {
	for _, slots := range []int{1024, 4096, 16384} {
		for _, scattered := range []bool{false, true} {
			b.Run(fmt.Sprintf("slots=%d/scattered=%t", slots, scattered), func(b *testing.B) {
				state := benchState(slots, scattered)
				var data []byte
				for b.Loop() {
					var err error
					if data, err = state.Encode(); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(len(data)), "bytes")
				b.ReportMetric(float64(readerBytes(b, data)), "reader-bytes")
			})
		}
	}
}

func benchState(slots int, scattered bool) *catalog.State {
	random := rand.New(rand.NewPCG(1, 0))
	state := catalog.NewState()
	state.Apply(1, catalog.Command{AddService: &catalog.AddService{Name: "wheel-swap", Keyed: true, Slots: slots}})
	homes := catalog.MoveHomes{Service: "wheel-swap"}
	for slot := range slots {
		region := "mien-trung"
		if scattered && random.IntN(2) == 0 {
			region = "mien-nam"
		}
		homes.Moves = append(homes.Moves, catalog.HomeMove{Slot: slot, To: region})
	}
	state.Apply(2, catalog.Command{MoveHomes: &homes})
	return state
}

// readerBytes returns the heap size of a state decoded from data.
func readerBytes(b *testing.B, data []byte) uint64 {
	before := heapBytes()
	reader := catalog.NewState()
	if err := reader.Update(data); err != nil {
		b.Fatal(err)
	}
	after := heapBytes()
	runtime.KeepAlive(reader)
	return after - before
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
