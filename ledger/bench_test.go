package ledger

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkBeginFinish measures the two commands of one request, including encoding and decoding.
func BenchmarkBeginFinish(b *testing.B) {
	l := New()
	index, size := uint64(0), 0
	apply := func(c Command) Reply {
		data, _ := c.Encode()
		size += len(data)
		decoded, _ := DecodeCommand(data)
		index++
		return l.Apply(index, decoded)
	}
	for i := range b.N {
		a := newAttempt(i, i%1000)
		a.begin.Key = fmt.Sprintf("%036d", i) // as long as a UUID
		a.begin.Customer = fmt.Sprint("customer-", i%1000)
		a.begin.At = uint64(i) // 1000 requests a second
		reply := apply(Command{Begin: &a.begin})
		apply(Command{Finish: &Finish{Service: "orders", Customer: a.begin.Customer, Key: a.begin.Key, Attempt: reply.Attempt,
			State: StateAnswered, Status: 200, ContentType: "application/json", Body: make([]byte, 200), At: uint64(i)}})
	}
	b.ReportMetric(2*float64(b.N)/b.Elapsed().Seconds(), "commands/s")
	b.ReportMetric(float64(size)/float64(b.N), "log-bytes/request")
}

// BenchmarkMemory reports the bytes of a record in memory and in a snapshot, and the times to
// freeze, encode and restore a ledger. Half of the records have a response body of 200 bytes.
func BenchmarkMemory(b *testing.B) {
	for _, records := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint(records), func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				l := filled(records, 200)
				b.ReportMetric(float64(heapBytes()-before)/float64(records), "bytes/record")
				started := time.Now()
				frozen := l.Freeze()
				b.ReportMetric(float64(time.Since(started).Milliseconds()), "freeze-ms")
				data, _ := frozen.Encode()
				b.ReportMetric(float64(time.Since(started).Milliseconds()), "snapshot-ms")
				b.ReportMetric(float64(len(data))/float64(records), "snapshot-bytes/record")
				started = time.Now()
				if _, err := Restore(data); err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(time.Since(started).Milliseconds()), "restore-ms")
				runtime.KeepAlive(l)
			}
		})
	}
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
