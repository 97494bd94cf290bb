package health_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/galenalug/galenalug/health"
)

// BenchmarkRound measures one round of reports of all hosts and an evaluation, with a tenth of the
// servers failing.
func BenchmarkRound(b *testing.B) {
	for _, size := range []struct{ servers, hosts int }{{27, 27}, {110, 110}, {440, 440}} {
		b.Run(fmt.Sprintf("servers=%d/hosts=%d", size.servers, size.hosts), func(b *testing.B) {
			detector := health.New(health.DefaultSettings())
			servers := newServers(size.servers)
			failing := map[string]bool{}
			for i := 0; i < size.servers; i += 10 {
				failing[servers[i].Name] = true
			}
			reports := accurateReports(servers, failing)
			now := time.Duration(0)
			for b.Loop() {
				now += 100 * time.Millisecond
				for i := range size.hosts {
					// In each round a host reports a different tenth of the servers.
					from := (i + int(now/(100*time.Millisecond))) % 10 * len(reports) / 10
					host := health.Host{Name: fmt.Sprint("e", i), Domain: fmt.Sprint("domain-", i%5)}
					detector.Observe(now, host, reports[from:from+len(reports)/10])
					detector.ProbeTargets(now, host)
				}
				detector.Evaluate(now, servers)
			}
		})
	}
}
