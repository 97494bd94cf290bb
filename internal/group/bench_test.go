package group

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/fxamacker/cbor/v2"
	"github.com/galenalug/galenalug/replog"
)

// BenchmarkPropose measures the commit throughput and latency of a group of three members in one
// process, each with its own store and real syncs, by the number of concurrent proposals.
func BenchmarkPropose(b *testing.B) {
	for _, batch := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			proposals := 2000 + 100*batch
			c := newCluster(b, "a", "b", "c")
			c.snapshotEntries = 1 << 20
			defer c.stopAll()
			c.startAll()
			c.propose(1)
			leader := c.leader()
			histogram := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
			b.ResetTimer()
			for b.Loop() {
				proposeAll(b, leader, proposals, batch, histogram)
			}
			b.ReportMetric(float64(b.N*proposals)/b.Elapsed().Seconds(), "proposals/s")
			b.ReportMetric(float64(histogram.ValueAtPercentile(99))/1000, "p99-ms")
			b.ReportMetric(float64(histogram.ValueAtPercentile(50))/1000, "p50-ms")
		})
	}
}

// proposeAll makes count proposals from the given number of concurrent workers.
func proposeAll(b *testing.B, r *Runner, count, workers int, histogram *hdrhistogram.Histogram) {
	var left atomic.Int64
	left.Store(int64(count))
	var mu sync.Mutex // guards histogram
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for left.Add(-1) >= 0 {
				start := time.Now()
				if _, _, err := r.Propose(b.Context(), number(1)); err != nil {
					b.Error(err)
					return
				}
				mu.Lock()
				_ = histogram.RecordValue(time.Since(start).Microseconds())
				mu.Unlock()
			}
		})
	}
	wg.Wait()
}

// BenchmarkIdle measures the message traffic of an idle group, encoded as CBOR, at the default
// heartbeat interval.
func BenchmarkIdle(b *testing.B) {
	for _, names := range [][]string{{"host-a", "host-b", "host-c"}, {"host-a", "host-b", "host-c", "host-d", "host-e"}} {
		b.Run(fmt.Sprintf("members=%d", len(names)), func(b *testing.B) {
			var sent, count atomic.Int64
			c := newCluster(b, names...)
			c.heartbeat, c.election = defaultHeartbeat, defaultElection
			c.net.observe = func(messages []replog.Message) {
				encoded, err := cbor.Marshal(messages)
				if err != nil {
					b.Error(err)
				}
				sent.Add(int64(len(encoded)))
				count.Add(int64(len(messages)))
			}
			defer c.stopAll()
			c.startAll()
			c.propose(1)
			sent.Store(0)
			count.Store(0)
			b.ResetTimer()
			for b.Loop() {
				time.Sleep(3 * time.Second)
			}
			b.ReportMetric(float64(sent.Load())/b.Elapsed().Seconds(), "bytes/s")
			b.ReportMetric(float64(count.Load())/b.Elapsed().Seconds(), "messages/s")
		})
	}
}
