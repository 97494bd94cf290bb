package gateway

import (
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/galenalug/galenalug/internal/settings"
	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/routes"
)

// regionFixture starts a gateway in region r1 with a server of each service in region r1, and one of service photos
// also in r2. All routes allow the given regions.
func regionFixture(t *testing.T, near, far *fakeBackend, allowed ...string) *fixture {
	f := newFixtureWith(t, func(s *settings.GatewaySettings) { s.Domains = map[string]string{"d1": "r1", "d2": "r2"} }, nil)
	f.publish(near)
	config := testConfig()
	config.Version = 2
	config.Routes = slices.Clone(config.Routes)
	for i := range config.Routes {
		config.Routes[i].AllowedRegions = allowed
	}
	if err := f.host.view.applyConfig(routes.Update{Full: &config}); err != nil {
		t.Fatal(err)
	}
	if far != nil {
		f.host.view.apply(clockNow(), keyrange.TableUpdate{Term: 1, Version: 2, EntryHosts: 1, Servers: []keyrange.Server{
			{ID: "p2", Service: "photos", Address: far.listener.Addr().String(), Domain: "d2", Slots: 6},
		}})
	}
	return f
}

// Guards against bodies at servers of regions that the route does not allow, also at the second attempt.
func TestRequestsStayInAllowedRegions(t *testing.T) {
	near, far := newFakeBackend(t, okResponse("near")), newFakeBackend(t, notExecuted, okResponse("far"))
	f := regionFixture(t, near, far, "r2")
	if response, body := f.do("GET", "/chart/1", nil); response.StatusCode != http.StatusOK || body != "far" {
		t.Errorf("got %d %q, want 200 from the allowed region", response.StatusCode, body)
	}
	if near.count() != 0 || far.count() != 2 {
		t.Errorf("%d requests at the server that is not allowed, %d at the other; want 0 and 2", near.count(), far.count())
	}
}

// Guards against requests that wait for a server although the table shows that their route allows none.
func TestNoServerInAllowedRegionsIsRefusedAtOnce(t *testing.T) {
	for _, path := range []string{"/look/1", "/photo/1"} {
		server := newFakeBackend(t, okResponse("ok"))
		f := regionFixture(t, server, nil, "r2")
		started := time.Now()
		response, _ := f.do("POST", path, strings.NewReader("body"))
		if took := time.Since(started); response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" || took > 200*time.Millisecond {
			t.Errorf("%s: got %d with Retry-After %q after %v, want 503 at once", path, response.StatusCode, response.Header.Get("Retry-After"), took)
		}
		if refused := testutil.ToFloat64(f.host.metrics.requests.WithLabelValues("refused", reasonRegion)); server.count() != 0 || refused != 1 {
			t.Errorf("%s: %d requests at the server, %v refused as %s; want 0 and 1", path, server.count(), refused, reasonRegion)
		}
	}
}

// Guards against requests that wait for capacity in the only regions that their route allows: the refusal would be late.
func TestFullAllowedRegionsAreRefusedAtOnce(t *testing.T) {
	release := make(chan struct{})
	far := newFakeBackend(t, func(conn net.Conn, r *http.Request, body []byte) bool {
		<-release
		return okResponse("far")(conn, r, body)
	})
	f := regionFixture(t, newFakeBackend(t, okResponse("near")), far, "r2")
	const places = 15 // six slots, and a half more than as many requests in the queue
	var running sync.WaitGroup
	for range places {
		running.Go(func() {
			if response, _ := f.do("POST", "/photo/1", strings.NewReader("body")); response.StatusCode != http.StatusOK {
				t.Errorf("got %d for a request within the capacity, want 200", response.StatusCode)
			}
		})
	}
	for deadline := time.Now().Add(time.Second); far.count() < places && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	started := time.Now()
	if response, _ := f.do("POST", "/photo/1", strings.NewReader("body")); response.StatusCode != http.StatusServiceUnavailable || time.Since(started) > 200*time.Millisecond {
		t.Errorf("got %d after %v, want 503 at once", response.StatusCode, time.Since(started))
	}
	close(release)
	running.Wait()
}

// Guards against refusals after a start: servers of the allowed regions may only not be known yet.
func TestPartialTableLacksNoRegion(t *testing.T) {
	v := newView(time.Second)
	admits := func(domain string) bool { return domain == "d2" }
	servers := []keyrange.Server{{ID: "p1", Service: "photos", Domain: "d1"}}
	if v.lacksServers(0, &routes.Service{Name: "photos"}, admits) {
		t.Error("servers lacking before the first table")
	}
	v.apply(0, keyrange.TableUpdate{Term: 1, Full: true, Partial: true, Servers: servers})
	if v.lacksServers(0, &routes.Service{Name: "photos"}, admits) {
		t.Error("servers lacking in a partial table")
	}
	v.apply(0, keyrange.TableUpdate{Term: 1, Full: true, Servers: servers})
	if !v.lacksServers(0, &routes.Service{Name: "photos"}, admits) {
		t.Error("no servers lacking in a complete table")
	}
}
