package allowance

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkRenew measures renewals for 1000 customers and several numbers of children. Each child
// renews the share of every customer once per 100 ms of virtual time.
func BenchmarkRenew(b *testing.B) {
	for _, children := range []int{10, 100, 440} {
		b.Run(fmt.Sprint(children), func(b *testing.B) {
			const customers = 1000
			config := AllocatorConfig{Epoch: 1, Lease: 800 * time.Millisecond, Drift: DefaultDrift, Floor: DefaultFloor}
			before := heapBytes()
			a := NewFirstAllocator(config, 0)
			names, pairs := make([]string, children), make([]Pair, customers)
			for i := range names {
				names[i] = fmt.Sprint("host-", i)
			}
			for i := range pairs {
				pairs[i] = Pair{Customer: fmt.Sprint("customer-", i), Service: "orders"}
			}
			held := make([]Grant, children*customers)
			now := time.Duration(0)
			renew := func(i int) {
				i %= len(held)
				if i == 0 {
					now += 100 * time.Millisecond
				}
				held[i] = a.Renew(now, 1000, Renewal{Child: names[i/customers], Pair: pairs[i%customers], Held: held[i], Demand: float64(i%7) * 10})
			}
			for i := range 3 * len(held) {
				renew(i)
			}
			bytes := float64(heapBytes() - before)
			b.ResetTimer()
			for i := range b.N {
				renew(i)
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "renewals/s")
			b.ReportMetric(bytes/float64(len(held)), "bytes/share")
		})
	}
}

// BenchmarkAdmit measures the admission of one request.
func BenchmarkAdmit(b *testing.B) {
	bucket := NewBucket(0)
	bucket.Set(0, 1000, 100, time.Hour)
	for i := range b.N {
		bucket.Admit(time.Duration(i) * time.Microsecond)
	}
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
