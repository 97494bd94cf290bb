package gateway

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/galenalug/galenalug/dispatch"
	"github.com/galenalug/galenalug/internal/settings"
	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/routes"
)

// sharedServer is a backend server whose host is slowed down by neighbors. It counts its requests apart from probes.
type sharedServer struct {
	*fakeBackend
	percent  int
	silent   bool // probes get no answer
	requests atomic.Int64
}

func newSharedServer(t *testing.T, percent int, silent bool) *sharedServer {
	s := &sharedServer{percent: percent, silent: silent}
	s.fakeBackend = newFakeBackend(t, func(conn net.Conn, r *http.Request, body []byte) bool {
		if r.URL.Path != "/health" {
			s.requests.Add(1)
			return okResponse("yes")(conn, r, body)
		}
		if s.silent {
			time.Sleep(10 * probeTimeout)
			return false
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTest-Host: %d\r\nContent-Length: 0\r\n\r\n", s.percent)
		return true
	})
	return s
}

// newProbingGateway starts a gateway whose service has two servers on shared hosts and a health path.
func newProbingGateway(t *testing.T, servers ...*sharedServer) *fixture {
	f := newFixtureWith(t, func(s *settings.GatewaySettings) { s.Balance = settings.GatewaySettingsBalanceWork }, nil)
	f.publish(servers[0].fakeBackend)
	config := testConfig()
	config.Version++
	for i := range config.Services {
		config.Services[i].HealthPath = "/health"
	}
	if err := f.host.view.applyConfig(routes.Update{Full: &config}); err != nil {
		t.Fatal(err)
	}
	update := keyrange.TableUpdate{Term: 1, Version: 2, EntryHosts: 1}
	for i, s := range servers {
		update.Servers = append(update.Servers, keyrange.Server{ID: fmt.Sprintf("p%d", i+1), Service: "photos", Address: s.listener.Addr().String(), Domain: "d1", Slots: 6})
	}
	f.host.view.apply(clockNow(), update)
	for range 50 {
		f.host.backends.serviceState("photos").observeReport(dispatch.Report{HostPercent: 300})
	}
	return f
}

// Guards against requests to a server whose host is slowed down by neighbors, while one that is not is free.
func TestProbesAvoidSlowedHosts(t *testing.T) {
	slowed, free := newSharedServer(t, 400, false), newSharedServer(t, 100, false)
	f := newProbingGateway(t, slowed, free)
	for range 10 {
		if response, body := f.do("GET", "/chart/1", nil); response.StatusCode != 200 || body != "yes" {
			t.Fatalf("status %d, body %q", response.StatusCode, body)
		}
	}
	if slowed.requests.Load() > 0 || free.requests.Load() != 10 {
		t.Errorf("%d requests at the server on the slowed host, %d at the other one; want none and 10", slowed.requests.Load(), free.requests.Load())
	}
}

// Guards against requests that wait for probes that are not answered.
func TestSilentProbesDelayNoRequest(t *testing.T) {
	silent := newSharedServer(t, 100, true)
	f := newProbingGateway(t, silent, newSharedServer(t, 100, true))
	started := time.Now()
	if response, body := f.do("GET", "/chart/1", nil); response.StatusCode != 200 || body != "yes" {
		t.Fatalf("status %d, body %q", response.StatusCode, body)
	}
	if took := time.Since(started); took > 8*probeTimeout {
		t.Errorf("the request took %v although probes may take %v", took, probeTimeout)
	}
}
