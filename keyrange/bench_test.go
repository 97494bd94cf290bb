package keyrange

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkHeartbeat measures one heartbeat of a service with many servers under load, each of which holds several
// ranges. The reports of entry hosts arrive in between.
func BenchmarkHeartbeat(b *testing.B) {
	const (
		keys     = 1 << 16
		interval = 870 * time.Millisecond
		reports  = 195
	)
	for _, servers := range []int{100, 350, 700} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			c := New(Options{Term: 1, Keys: keys, RangesPerServer: 4, Lease: 6 * time.Second, HeartbeatTimeout: 12 * time.Second})
			c.SetServices([]KeyedService{{Name: testService}})
			holds := make([][]Range, servers)
			now, sequence := time.Second, int64(0)
			step := interval / time.Duration(servers)
			beat := func(i int) {
				sequence++
				now += step
				hb := Heartbeat{Sequence: sequence, Holds: holds[i], Server: Server{
					ID: fmt.Sprint("s", i), StartMillis: 1, Service: testService, Address: fmt.Sprint("s", i, ":80"), Slots: 6,
				}}
				reply := c.Heartbeat(now, hb)
				c.ResolveGrants(now, c.TakePendingGrants(), true)
				c.Events()
				holds[i] = holds[i][:0]
				for _, g := range reply.Grants {
					holds[i] = append(holds[i], Range{From: g.From, To: g.To, Token: g.Token})
				}
			}
			report := func() {
				load := ServiceLoad{Service: testService}
				for range 4 {
					load.Keys = append(load.Keys, KeyLoad{Key: rand.Int64N(keys), Count: 1})
				}
				c.Report(now, "gateway", LoadReport{Services: []ServiceLoad{load}})
			}
			for i := range 10 * servers {
				beat(i % servers)
				report()
			}
			b.ResetTimer()
			for i := range b.N {
				beat(i % servers)
				report()
			}
		})
	}
}
