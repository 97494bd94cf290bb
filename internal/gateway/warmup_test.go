package gateway

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/galenalug/galenalug/internal/settings"
	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/ratelimit"
	"github.com/galenalug/galenalug/routes"
	"github.com/galenalug/galenalug/warmup"
)

// Guards against a cold server that gets more than one and a half times its rate and 8 requests in a second from
// several gateways together: with a leader, over the loss of the leader, and for a service that is partitioned by
// key and one that is not; and against one that stays limited when it is warm.
func TestGatewaysKeepRateOfColdServer(t *testing.T) {
	const gateways, perSecond, span = 5, 4, 4 * time.Second
	for path, service := range map[string]string{"/order/1": "stock", "/photo/1": "photos"} {
		t.Run(service, func(t *testing.T) {
			t.Parallel()
			server := newLimitedServer(t, "")
			s := newSystem(t, "127.0.0.1", "127.0.0.2", "127.0.0.3")
			s.config.Routes, s.config.Services = testConfig().Routes, coldServices(perSecond)
			s.put()
			fixtures := []*fixture{s.gateway}
			for i := range gateways - 1 {
				fixtures = append(fixtures, newFixtureWith(t, func(g *settings.GatewaySettings) {
					g.Name = "gateway-" + string(rune('2'+i))
					g.PeerPort, g.Seeds = s.gateway.host.settings.PeerPort, s.gateway.host.settings.Seeds
				}, nil))
			}
			var warmupLeft atomic.Int64
			warmupLeft.Store(30_000)
			stop := make(chan struct{})
			var clients sync.WaitGroup
			clients.Go(func() { s.registerWarming("s1", server.fakeBackend, service, warmupLeft.Load, stop) })
			for _, f := range fixtures {
				s.wait("the gateway to know the server", func() bool { return f.host.view.has("s1") })
				for range 4 {
					clients.Go(func() { f.requestUntil(stop, path) })
				}
			}
			since := time.Now()
			time.Sleep(span)
			s.killLeader()
			time.Sleep(span)
			cold := server.mostIn(time.Second, since)
			if got, least := server.mostIn(span, since), int(leastUse*perSecond*span.Seconds()); got < least {
				t.Errorf("%d requests in %s, want at least %d", got, span, least)
			}
			warmupLeft.Store(0)
			time.Sleep(2 * time.Second)
			since = time.Now()
			time.Sleep(time.Second)
			warm := server.mostIn(time.Second, since)
			close(stop)
			clients.Wait()
			if allowed := int(1.5*perSecond) + 8; cold > allowed || warm <= allowed {
				t.Errorf("%d requests in a second while cold and %d while warm, want at most and more than %d", cold, warm, allowed)
			}
		})
	}
}

// leastUse is the part of a cold server's rate that requests must use while there are more than enough.
const leastUse = 0.5

// coldServices returns the services of testConfig with a limit for cold servers.
func coldServices(perSecond float64) []routes.Service {
	services := testConfig().Services
	for i := range services {
		services[i].WarmupMillis, services[i].WarmupPerSecond = 30_000, perSecond
	}
	return services
}

// publishWarm applies a table with a warm server, which owns all keys, of a service that limits cold servers.
func (f *fixture) publishWarm(server *fakeBackend) *backend {
	f.publish(server)
	config := testConfig()
	config.Version, config.Services = 2, coldServices(100)
	if err := f.host.view.applyConfig(routes.Update{Full: &config}); err != nil {
		f.t.Fatal(err)
	}
	return f.host.backends.get(keyrange.Server{ID: "s1", Service: "stock", Address: server.listener.Addr().String()})
}

// Guards against requests that go to a server without tokens although it may have started again: its host refused a
// connection, it broke one off, closed an idle one, or says itself that it is cold. No leader gives tokens here.
func TestServerThatMayHaveStartedAgainNeedsTokens(t *testing.T) {
	for name, c := range map[string]struct {
		cause warmup.Cause
		event func(f *fixture, server *fakeBackend)
	}{
		"refused": {warmup.CauseRefused, func(f *fixture, server *fakeBackend) {
			_ = server.listener.Close()
			server.closeIdle()
			f.do("GET", "/look/1", nil)
			listener, err := net.Listen("tcp", server.listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = listener.Close() })
			server.accept(listener)
			time.Sleep(refusedPeriod)
		}},
		"broken": {warmup.CauseBroken, func(f *fixture, server *fakeBackend) {
			server.mu.Lock()
			server.responders = []responder{closeConnection, okResponse("yes")}
			server.mu.Unlock()
			f.do("POST", "/order/1", nil)
		}},
		"idle connection closed": {warmup.CauseBroken, func(_ *fixture, server *fakeBackend) {
			server.closeIdle()
			time.Sleep(50 * time.Millisecond)
		}},
		"says so": {warmup.CauseResponse, func(f *fixture, server *fakeBackend) {
			server.mu.Lock()
			server.responders = []responder{
				rawResponse("HTTP/1.1 200 OK\r\nTest-Id: ID\r\nTest-Seal: s\r\nTest-Warmup: 60000\r\nContent-Length: 0\r\n\r\n"), okResponse("yes"),
			}
			server.mu.Unlock()
			f.do("GET", "/look/1", nil)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			server := newFakeBackend(t, okResponse("yes"))
			f := newFixture(t)
			b := f.publishWarm(server)
			if response, _ := f.do("GET", "/look/1", nil); response.StatusCode != 200 {
				t.Fatalf("status %d while warm, want 200", response.StatusCode)
			}
			c.event(f, server)
			before := server.count()
			response, _ := f.do("GET", "/look/1", nil)
			if response.StatusCode != 503 || response.Header.Get("Retry-After") == "" || server.count() != before {
				t.Errorf("status %d, %d requests at the server; want 503 with Retry-After and none", response.StatusCode, server.count()-before)
			}
			if cold := f.host.backends.coldServers(clockNow()); len(cold) != 1 || cold[0].Cause != c.cause {
				t.Errorf("cold are %+v, want s1 because of %q", cold, c.cause)
			}
			b.mu.Lock()
			b.warmth.ConfirmWarm(clockNow())
			b.mu.Unlock()
			if response, _ := f.do("GET", "/look/1", nil); response.StatusCode != 200 {
				t.Errorf("status %d after the leader's proof that it is warm, want 200", response.StatusCode)
			}
		})
	}
}

// closeIdle closes all connections of the server, which goes on to listen.
func (s *fakeBackend) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
	s.conns = nil
}

// Guards against a cold server that gets no requests while warm ones have capacity, and against one that gets
// requests without tokens then.
func TestWarmServerIsPreferredUnlessThereIsAToken(t *testing.T) {
	cold, warm := newFakeBackend(t, okResponse("cold")), newFakeBackend(t, okResponse("warm"))
	f := newFixture(t)
	f.publishWarm(warm)
	list := []keyrange.Server{
		{ID: "b", Service: "photos", Address: warm.listener.Addr().String(), Domain: "d1", Slots: 6},
		{ID: "c", Service: "photos", Address: cold.listener.Addr().String(), Domain: "d1", Slots: 6, WarmupMillis: 1000},
	}
	f.host.view.apply(clockNow(), keyrange.TableUpdate{Term: 1, Full: true, EntryHosts: 1, Servers: list})
	b := f.host.backends.get(list[1])
	b.mu.Lock()
	b.load.ObserveServiceTime(200 * time.Millisecond) // slower than the warm one
	b.mu.Unlock()
	for range 5 {
		if _, got := f.do(http.MethodGet, "/chart/1", nil); got != "warm" {
			t.Fatalf("answered by the %s server, want the warm one", got)
		}
	}
	b.coldTokensGranted(clockNow(), clockNow(), 1, ratelimit.Grant{Tokens: 1})
	if _, got := f.do(http.MethodGet, "/chart/1", nil); got != "cold" {
		t.Errorf("answered by the %s server, want the cold one, for which there is a token", got)
	}
	if _, got := f.do(http.MethodGet, "/chart/1", nil); got != "warm" {
		t.Errorf("answered by the %s server after the token was used, want the warm one", got)
	}
}

// Guards against requests that are refused at once, since no token for a cold server can be had in time, although
// the warm servers have capacity a moment later.
func TestRequestsWaitForWarmServersIfThereIsNoToken(t *testing.T) {
	const requests = 6
	cold := newFakeBackend(t, okResponse("cold"))
	warm := newFakeBackend(t, func(conn net.Conn, r *http.Request, body []byte) bool {
		time.Sleep(80 * time.Millisecond)
		return okResponse("warm")(conn, r, body)
	})
	f := newFixture(t)
	f.publishWarm(warm)
	list := []keyrange.Server{
		{ID: "b", Service: "photos", Address: warm.listener.Addr().String(), Domain: "d1", Slots: 1},
		{ID: "c", Service: "photos", Address: cold.listener.Addr().String(), Domain: "d1", Slots: 6, WarmupMillis: 1000},
	}
	f.host.view.apply(clockNow(), keyrange.TableUpdate{Term: 1, Full: true, EntryHosts: 1, Servers: list})
	f.host.backends.get(list[1]).coldTokensGranted(clockNow(), clockNow(), 1, ratelimit.Grant{WaitMillis: 2000})
	var clients sync.WaitGroup
	for range requests {
		clients.Go(func() {
			if response, got := f.do(http.MethodGet, "/chart/1", nil); got != "warm" {
				t.Errorf("status %d, answered by %q, want the warm server", response.StatusCode, got)
			}
		})
	}
	clients.Wait()
}

// Guards against a cold server that gets no requests as long as warm ones have capacity.
func TestColdServerGetsRequestsWhileWarmOnesHaveCapacity(t *testing.T) {
	const perSecond, span = 10, 3 * time.Second
	cold, warm := newLimitedServer(t, ""), newLimitedServer(t, "")
	s := newSystem(t, "127.0.0.1")
	s.config.Routes, s.config.Services = testConfig().Routes, coldServices(perSecond)
	s.put()
	stop := make(chan struct{})
	var loops sync.WaitGroup
	loops.Go(func() { s.registerWarming("s1", cold.fakeBackend, "photos", func() int64 { return 30_000 }, stop) })
	loops.Go(func() { s.registerWarming("s2", warm.fakeBackend, "photos", func() int64 { return 0 }, stop) })
	s.wait("the gateway to know the servers", func() bool { return s.gateway.host.view.has("s1") && s.gateway.host.view.has("s2") })
	since := time.Now()
	for range 4 {
		loops.Go(func() { s.gateway.requestUntil(stop, "/photo/1") })
	}
	time.Sleep(span)
	close(stop)
	loops.Wait()
	if got, least := cold.mostIn(span, since), int(leastUse*perSecond*span.Seconds()/2); got < least || got >= warm.mostIn(span, since) {
		t.Errorf("%d requests at the cold server in %s, want at least %d, and fewer than at the warm one", got, span, least)
	}
}
