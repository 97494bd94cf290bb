package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/galenalug/galenalug/internal/settings"
	"github.com/galenalug/galenalug/keyrange"
)

// limitedServer names a limit in its responses and records when requests arrive.
type limitedServer struct {
	*fakeBackend
	mu       sync.Mutex // guards the fields below
	limit    string     // header value; empty for none
	arrivals []time.Time
}

func newLimitedServer(t testing.TB, limit string) *limitedServer {
	s := &limitedServer{limit: limit}
	s.fakeBackend = newFakeBackend(t, s.respond)
	return s
}

func (s *limitedServer) respond(conn net.Conn, r *http.Request, _ []byte) bool {
	s.mu.Lock()
	s.arrivals = append(s.arrivals, time.Now())
	limit := s.limit
	s.mu.Unlock()
	head := "HTTP/1.1 200 OK\r\nTest-Id: " + r.Header.Get("Test-Id") + "\r\nTest-Seal: s\r\nContent-Length: 2\r\n"
	if limit != "" {
		head += "Test-Limit: " + limit + "\r\n"
	}
	_, err := io.WriteString(conn, head+"\r\nok")
	return err == nil
}

func (s *limitedServer) setLimit(limit string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
}

// mostIn returns the largest number of arrivals in a span of time, from a point in time on.
func (s *limitedServer) mostIn(span time.Duration, since time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most, first := 0, 0
	for last, at := range s.arrivals {
		for s.arrivals[first].Before(since) || at.Sub(s.arrivals[first]) > span {
			if first == last {
				break
			}
			first++
		}
		if !s.arrivals[first].Before(since) {
			most = max(most, last-first+1)
		}
	}
	return most
}

// Guards against a server that gets more than one and a half times the limit that it names, plus 5
// requests in 4 s, from several gateways together: with a leader, over the loss of the leader, and
// for a service that is partitioned by key and one that is not (issue 20).
func TestGatewaysKeepLimitOfServer(t *testing.T) {
	const gateways, limit, span = 5, 4, 4 * time.Second
	for path, service := range map[string]string{"/order/1": "stock", "/photo/1": "photos"} {
		t.Run(service, func(t *testing.T) {
			t.Parallel()
			server := newLimitedServer(t, "4")
			ips := []string{"127.0.0.1", "127.0.0.2", "127.0.0.3"}
			s := newSystem(t, ips...)
			s.config.Routes = testConfig().Routes
			s.put()
			fixtures := []*fixture{s.gateway}
			for i := range gateways - 1 {
				fixtures = append(fixtures, newFixtureWith(t, func(g *settings.GatewaySettings) {
					g.Name = "gateway-" + string(rune('2'+i))
					g.PeerPort, g.Seeds = s.gateway.host.settings.PeerPort, s.gateway.host.settings.Seeds
				}, nil))
			}
			stop := make(chan struct{})
			var clients sync.WaitGroup
			clients.Go(func() { s.register(server.fakeBackend, service, stop) })
			for _, f := range fixtures {
				s.wait("the gateway to know the server", func() bool { return f.host.view.has("s1") })
				for range 4 {
					clients.Go(func() { f.requestUntil(stop, path) })
				}
			}
			for _, f := range fixtures {
				s.wait("the gateway to know the limit", func() bool { return f.knowsLimit("s1") })
			}
			time.Sleep(500 * time.Millisecond) // the limit binds a gateway half a second after it learned of it
			since := time.Now()
			time.Sleep(span)
			s.killLeader()
			time.Sleep(span)
			close(stop)
			clients.Wait()
			if got, allowed := server.mostIn(span, since), int(1.5*limit*span.Seconds())+5; got > allowed {
				t.Errorf("%d requests in %s, allowed %d", got, span, allowed)
			}
			if got, least := server.mostIn(span, since), int(limit*span.Seconds()/2); got < least {
				t.Errorf("%d requests in %s, although the limit allows %d", got, span, int(limit*span.Seconds()))
			}
		})
	}
}

// Guards against a limit that outlives the responses that name it.
func TestLimitEndsWithTheResponsesThatNameIt(t *testing.T) {
	server := newLimitedServer(t, "100")
	f := newFixture(t)
	f.publish(server.fakeBackend)
	if response, _ := f.do("GET", "/look/1", nil); response.StatusCode != 200 {
		t.Fatalf("status %d before the limit is known, want 200", response.StatusCode)
	}
	if response, _ := f.do("GET", "/look/1", nil); response.StatusCode != 503 || response.Header.Get("Retry-After") == "" {
		t.Fatalf("status %d, Retry-After %q without a token, want 503 with Retry-After", response.StatusCode, response.Header.Get("Retry-After"))
	}
	server.setLimit("")
	b := f.host.backends.get(keyrange.Server{ID: "s1", Service: "stock", Address: server.listener.Addr().String()})
	b.mu.Lock()
	b.tokens.WithoutLeader(clockNow()-time.Second, 100, 1)
	b.tokens.WithoutLeader(clockNow(), 100, 1)
	b.mu.Unlock()
	for i := range 10 {
		if response, _ := f.do("GET", "/look/1", nil); response.StatusCode != 200 {
			t.Fatalf("request %d: status %d after the limit has ended, want 200", i, response.StatusCode)
		}
	}
}

// register sends heartbeats for the server until stop is closed.
func (s *system) register(server *fakeBackend, service string, stop <-chan struct{}) {
	s.registerWarming("s1", server, service, func() int64 { return 0 }, stop)
}

// registerWarming is register with an ID and the milliseconds for which the server says that it stays cold.
func (s *system) registerWarming(id string, server *fakeBackend, service string, warmupLeft func() int64, stop <-chan struct{}) {
	hb := keyrange.Heartbeat{Server: keyrange.Server{
		ID: id, Service: service, Address: server.listener.Addr().String(), Domain: "d1", Slots: 6,
	}}
	for {
		hb.Server.WarmupMillis = warmupLeft()
		hb.Sequence++
		reply, err := s.heartbeat(hb)
		if err == nil && reply.Renewed {
			hb.Holds = nil
			for _, g := range reply.Grants {
				hb.Holds = append(hb.Holds, keyrange.Range{From: g.From, To: g.To, Token: g.Token})
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// heartbeat sends a heartbeat to the control hosts until one answers.
func (s *system) heartbeat(hb keyrange.Heartbeat) (reply keyrange.HeartbeatReply, err error) {
	for _, host := range s.hosts() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		reply, err = host.Heartbeat(ctx, hb)
		cancel()
		if err == nil {
			return reply, nil
		}
	}
	return reply, err
}

// knowsLimit reports whether the gateway has learned a limit of the server.
func (f *fixture) knowsLimit(id string) bool {
	f.host.backends.mu.Lock()
	defer f.host.backends.mu.Unlock()
	b := f.host.backends.byID[id]
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	limit, _ := b.notices.RateLimit()
	return limit > 0
}

// requestUntil sends one request after another.
func (f *fixture) requestUntil(stop <-chan struct{}, path string) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		r, err := http.NewRequest("POST", f.url+path, strings.NewReader("x"))
		if err != nil {
			return
		}
		r.Host = "depot.example"
		for name, value := range map[string]string{"Test-Id": "a1", "Test-Key": "7", "Test-Left": "900"} {
			r.Header.Set(name, value)
		}
		response, err := http.DefaultTransport.RoundTrip(r)
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	}
}
