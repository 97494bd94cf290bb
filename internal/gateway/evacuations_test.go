package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/galenalug/galenalug/evacuation"
	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/settings"
	"github.com/galenalug/galenalug/keyrange"
)

// testBound is the bound of evacuations that is sent to the gateway.
const testBound = 4600 * time.Millisecond

// evacuate puts a set of evacuated failure domains into force.
func (f *fixture) evacuate(revision uint64, domains ...string) {
	set := evacuation.Set{Revision: revision}
	for _, d := range domains {
		set.Domains = append(set.Domains, evacuation.Domain{Name: d, Revision: revision})
	}
	f.host.view.applyEvacuations(evacuation.Update{Set: set, BoundMillis: testBound.Milliseconds()})
}

// twoDomains starts a gateway in failure domain d1 with servers of each service there, and one of photos in d2.
func twoDomains(t *testing.T, near, far *fakeBackend) *fixture {
	f := newFixtureWith(t, func(s *settings.GatewaySettings) { s.Domains = map[string]string{"d1": "r1", "d2": "r1"} }, nil)
	f.publish(near)
	f.host.view.apply(clockNow(), keyrange.TableUpdate{Term: 1, Version: 2, EntryHosts: 1, Servers: []keyrange.Server{
		{ID: "p2", Service: "photos", Address: far.listener.Addr().String(), Domain: "d2", Slots: 6},
	}})
	return f
}

func (f *fixture) expect(what, path string, status int, body string) {
	f.t.Helper()
	if response, got := f.do("GET", path, nil); response.StatusCode != status || got != body {
		f.t.Errorf("%s: got %d %q, want %d %q", what, response.StatusCode, got, status, body)
	}
}

// Guards against servers that are chosen although a request to them may not be sent: a connection would be opened for nothing.
func TestViewLeavesOutEvacuatedDomains(t *testing.T) {
	v := newView(time.Second)
	v.apply(time.Second, keyrange.TableUpdate{Term: 1, Full: true,
		Servers: []keyrange.Server{{ID: "p1", Service: "photos", Domain: "d1"}, {ID: "s1", Service: "stock", Domain: "d1"}},
		Owners:  []keyrange.Owner{{Service: "stock", From: 0, To: 9, ServerID: "s1"}},
	})
	v.renewConfigLease(time.Second, time.Hour)
	v.applyEvacuations(evacuation.Update{BoundMillis: testBound.Milliseconds(), Set: evacuation.Set{}.Apply(evacuation.Change{Domain: "d1", Start: true})})
	if servers := v.serversOf(time.Second, "photos", nil); len(servers) != 0 {
		t.Errorf("servers of an evacuated domain: %+v, want none", servers)
	}
	for at, want := range map[time.Duration]bool{time.Second: true, time.Second + testBound: false} {
		if _, _, found := v.owner(at, "stock", 7); found != want {
			t.Errorf("owner of a key found %v at %v, want %v", found, at, want)
		}
	}
}

// Guards against a request on a connection that opens only after the start of an evacuation, and against one that counts as sent
// although it was not.
func TestEvacuationIsCheckedAgainWhenTheConnectionIsOpen(t *testing.T) {
	near, far := newFakeBackend(t, okResponse("near")), newFakeBackend(t, okResponse("far"))
	f := twoDomains(t, near, far)
	var once sync.Once
	f.host.backends.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialTCP(ctx, network, address)
		once.Do(func() { f.evacuate(1, "d1") })
		return conn, err
	}
	f.expect("evacuated while the connection opens", "/photo/1", http.StatusOK, "far")
	if near.count() != 0 {
		t.Errorf("%d requests at the evacuated server, want none", near.count())
	}
}

// Guards against requests of a gateway that may not know of an evacuation: a leader may have acknowledged its start.
func TestRequestThatWaitsPastTheLeaseIsRefused(t *testing.T) {
	server := newFakeBackend(t, okResponse("near"))
	f := newFixture(t)
	f.publish(server)
	f.evacuate(0)
	f.host.backends.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialTCP(ctx, network, address)
		f.host.view.configLease.Drop()
		return conn, err
	}
	started := time.Now()
	f.expect("lease over while the connection opens", "/photo/1", http.StatusServiceUnavailable, "")
	if took := time.Since(started); server.count() != 0 || took > 500*time.Millisecond {
		t.Errorf("%d requests sent without a lease, refused after %v; want none, and at once", server.count(), took)
	}
}

// Guards against requests to an evacuated failure domain from a gateway that was cut off before the start, and against requests
// before it has read the newest set.
func TestGatewayThatIsCutOffStopsInTime(t *testing.T) {
	const evacuate = 5 * time.Second
	server := newFakeBackend(t, okResponse("near"))
	s := startSystem(&system{t: t, evacuateMs: float64(evacuate.Milliseconds())}, "127.0.0.1")
	s.config.Routes = testConfig().Routes
	s.put("first")
	control := s.hosts()[0]
	stop := s.heartbeats(control, keyrange.Server{
		ID: "p1", Service: "photos", Address: server.listener.Addr().String(), Domain: "d1", Slots: 6, StartMillis: 1,
	})
	defer stop()
	s.wait("the server at the gateway", func() bool { return s.status("/chart/1") == http.StatusOK })
	s.link.setBacklog(time.Hour)
	served := server.count()
	if err := control.Evacuate(context.Background(), evacuation.Change{Domain: "d1", Start: true, Millis: time.Now().UnixMilli()}, clock.Now()); err != nil {
		t.Fatal(err)
	}
	acknowledged, atBound := time.Now(), 0
	for ; time.Since(acknowledged) < evacuate+2*time.Second; time.Sleep(20 * time.Millisecond) {
		before := time.Since(acknowledged) < evacuate
		s.status("/chart/1")
		if before {
			atBound = server.count()
		}
	}
	if count := server.count(); count != atBound || atBound == served {
		t.Errorf("%d requests from the start to the bound, %d after it; want some, then none", atBound-served, count-atBound)
	}
	s.link.setBacklog(0)
	s.wait("the newest set at the gateway", func() bool { return s.gateway.host.view.evacuationRevision() == 1 })
	s.wait("a lease", func() bool { return s.gateway.host.view.mayUseConfig(clockNow()) })
	if status := s.status("/chart/1"); status != http.StatusServiceUnavailable || server.count() != atBound {
		t.Errorf("status %d and %d requests once the gateway is back, want 503 and none", status, server.count()-atBound)
	}
	if err := control.Evacuate(context.Background(), evacuation.Change{Domain: "d1"}, clock.Now()); err != nil {
		t.Fatal(err)
	}
	s.wait("requests after the end", func() bool { return s.status("/chart/1") == http.StatusOK })
}

// heartbeats sends the heartbeats of a server until stop is called.
func (s *system) heartbeats(control interface {
	Heartbeat(ctx context.Context, hb keyrange.Heartbeat) (keyrange.HeartbeatReply, error)
}, server keyrange.Server) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var loop sync.WaitGroup
	loop.Go(func() {
		for sequence := int64(1); ctx.Err() == nil; sequence++ {
			_, _ = control.Heartbeat(ctx, keyrange.Heartbeat{Server: server, Sequence: sequence})
			time.Sleep(100 * time.Millisecond)
		}
	})
	return func() { cancel(); loop.Wait() }
}
