package health_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/galenalug/galenalug/health"
)

// BenchmarkRound takes a report of every host and judges, with a tenth of the
// servers failing for some hosts.
func BenchmarkRound(b *testing.B) {
	for _, size := range []struct{ servers, hosts int }{{27, 27}, {110, 110}, {440, 440}} {
		b.Run(fmt.Sprintf("servers=%d/hosts=%d", size.servers, size.hosts), func(b *testing.B) {
			judge := health.New(health.DefaultSettings())
			servers := fleet(size.servers)
			failing := map[string]bool{}
			for i := 0; i < size.servers; i += 10 {
				failing[servers[i].Name] = true
			}
			reports := honest(servers, failing)
			now := time.Duration(0)
			for b.Loop() {
				now += 100 * time.Millisecond
				for i := range size.hosts {
					// Each host reports a tenth of the servers, another one each time.
					from := (i + int(now/(100*time.Millisecond))) % 10 * len(reports) / 10
					host := health.Host{Name: fmt.Sprint("e", i), Domain: fmt.Sprint("domain-", i%5)}
					judge.Observe(now, host, reports[from:from+len(reports)/10])
					judge.ProbeTargets(now, host)
				}
				judge.Evaluate(now, servers)
			}
		})
	}
}
