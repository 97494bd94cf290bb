package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/galenalug/galenalug/internal/settings"
	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/routes"
)

// BenchmarkChooseByWork chooses among 126 servers of a service that is not partitioned by key, with all that the
// gateway does for it.
func BenchmarkChooseByWork(b *testing.B) {
	f := newFixtureWith(b, func(s *settings.GatewaySettings) {
		s.Balance, s.Domains = settings.GatewaySettingsBalanceWork, map[string]string{"d1": "r1", "d2": "r1", "d3": "r2", "d4": "r2"}
	}, nil)
	f.publish(nil)
	update := keyrange.TableUpdate{Term: 1, Full: true, EntryHosts: 114}
	for i := range 311 {
		service := "photos"
		if i >= 126 {
			service = "stock"
		}
		update.Servers = append(update.Servers, keyrange.Server{ID: fmt.Sprint("server-", i), Service: service, Address: "127.0.0.1:1", Domain: fmt.Sprint("d", i%4+1), Slots: 6})
	}
	f.host.view.apply(clockNow(), update)
	config := testConfig()
	table := routes.NewTable(config)
	request, _ := http.NewRequest("GET", "/photo/1", nil)
	c := &call{host: f.host, request: request, started: time.Now(), deadline: time.Now().Add(time.Hour), service: "photos", route: table.Match("depot.example", "/photo/1")}
	entry := &queueEntry{}
	b.ReportAllocs()
	for b.Loop() {
		if chosen, _, reason := c.choose(clockNow(), table.Service("photos"), entry); chosen == nil {
			b.Fatal(reason)
		}
	}
}
