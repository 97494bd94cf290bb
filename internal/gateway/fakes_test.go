package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenalug/galenalug/dispatch"
	"github.com/galenalug/galenalug/internal/settings"
	"github.com/galenalug/galenalug/internal/testport"
	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/routes"
)

// testDialect uses its own headers, so that these tests depend on no platform.
type testDialect struct{}

func (testDialect) ParseRequest(header http.Header) RequestInfo {
	info := RequestInfo{ID: header.Get("Test-Id"), Key: NoKey, Caller: header.Get("Test-Caller")}
	if left, err := strconv.Atoi(header.Get("Test-Left")); err == nil {
		info.Timeout = time.Duration(left) * time.Millisecond
	}
	if key, err := strconv.Atoi(header.Get("Test-Key")); err == nil {
		info.Key = int64(key)
	}
	return info
}

func (testDialect) SetForwardHeaders(header http.Header, left time.Duration, serverID string) {
	header.Set("Test-Left", strconv.FormatInt(left.Milliseconds(), 10))
	header.Set("Test-Server", serverID)
}

func (testDialect) ParseResponse(status int, header http.Header) ResponseInfo {
	return ResponseInfo{
		ID: header.Get("Test-Id"), NotExecuted: header.Get("Test-Not-Run") != "", Sealed: header.Get("Test-Seal") != "",
		NotOwner: status == http.StatusMisdirectedRequest, ServerID: header.Get("Test-Server"),
		Load: &dispatch.Report{Slots: 6}, Notice: testNotice(status, header),
	}
}

func testNotice(status int, header http.Header) dispatch.Notice {
	notice := dispatch.Notice{Leaving: header.Get("Test-Leaving") != ""}
	if limit, err := strconv.ParseFloat(header.Get("Test-Limit"), 64); err == nil {
		notice.RateLimit = limit
	}
	if millis, err := strconv.Atoi(header.Get("Test-Pause")); err == nil && status == http.StatusServiceUnavailable {
		notice.RetryAfter = time.Duration(millis) * time.Millisecond
	}
	if millis, err := strconv.Atoi(header.Get("Test-Warmup")); err == nil {
		notice.Warmup, notice.WarmupKnown = time.Duration(millis)*time.Millisecond, true
	}
	return notice
}

// responder handles one request at a fake backend. It returns false to close the connection.
type responder func(conn net.Conn, r *http.Request, body []byte) (keep bool)

// fakeBackend is a backend server that speaks HTTP/1.1 on raw connections.
type fakeBackend struct {
	t        testing.TB
	listener net.Listener

	mu         sync.Mutex  // guards the fields below
	responders []responder // for the next requests; the last one is repeated
	requests   []*http.Request
	bodies     [][]byte
	conns      []net.Conn
}

func newFakeBackend(t testing.TB, responders ...responder) *fakeBackend {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeBackend{t: t, listener: listener, responders: responders}
	t.Cleanup(func() { _ = listener.Close() })
	s.accept(listener)
	return s
}

// accept serves connections on a new goroutine until the listener is closed.
func (s *fakeBackend) accept(listener net.Listener) {
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, conn)
			s.mu.Unlock()
			go s.serve(conn)
		}
	}()
}

// listenRaw serves connections with a function that gets the head of the first request.
func (s *fakeBackend) listenRaw(answer func(net.Conn, *http.Request)) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.listener = listener
	s.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					answer(conn, r)
				}
			}()
		}
	}()
}

func (s *fakeBackend) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !s.next(r, body)(conn, r, body) {
			return
		}
	}
}

func (s *fakeBackend) next(r *http.Request, body []byte) responder {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests, s.bodies = append(s.requests, r), append(s.bodies, body)
	responder := s.responders[0]
	if len(s.responders) > 1 {
		s.responders = s.responders[1:]
	}
	return responder
}

func (s *fakeBackend) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

func rawResponse(text string) responder {
	return func(conn net.Conn, r *http.Request, _ []byte) bool {
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "ID", r.Header.Get("Test-Id")))
		return true
	}
}

func okResponse(body string) responder {
	return rawResponse("HTTP/1.1 200 OK\r\nTest-Id: ID\r\nTest-Seal: s\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
}

var (
	notExecuted     = rawResponse("HTTP/1.1 503 Service Unavailable\r\nTest-Id: a1\r\nTest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	closeConnection = func(net.Conn, *http.Request, []byte) bool { return false }
)

// fixture is a running gateway with a service that is partitioned by key, "stock", and one that is
// not, "photos".
type fixture struct {
	t    testing.TB
	host *Host
	url  string
	logs bytes.Buffer
}

func newFixture(t testing.TB) *fixture {
	return newFixtureWith(t, func(*settings.GatewaySettings) {}, nil)
}

// newFixtureWith starts a gateway with changed settings that connects to control hosts with dial.
func newFixtureWith(t testing.TB, change func(*settings.GatewaySettings), dial dialFunc) *fixture {
	f := &fixture{t: t}
	port := freePort(t)
	s := &settings.GatewaySettings{
		Name: "gateway-1", Domain: "d1", Domains: map[string]string{"d1": "r1"}, Ip: "127.0.0.1",
		PeerPort: 1, Seeds: []string{"127.0.0.1:1"}, Listen: port, ReadyListen: freePort(t),
		RetryRatio: 0.2, RetrySlack: 10, RetryWindowSeconds: 10, DrainMs: 2500, StopSeconds: 6,
	}
	change(s)
	host, err := New(Options{Settings: s, Dialect: testDialect{}, Registry: prometheus.NewRegistry(), Events: &f.logs})
	if err != nil {
		t.Fatal(err)
	}
	host.leaderLink.dial = dial
	if err := host.Start(); err != nil {
		t.Fatal(err)
	}
	f.host, f.url = host, "http://"+port
	t.Cleanup(func() {
		host.cancel()
		_ = host.server.Close()
		_ = host.readyServer.Close()
		host.done.Wait()
	})
	return f
}

func freePort(t testing.TB) string {
	port, err := testport.Free("127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
}

func testConfig() routes.Config {
	route := func(name string, kind routes.Kind, service string) routes.Route {
		return routes.Route{
			Name: name, Host: "depot.example", PathPrefix: "/" + name + "/", Kind: kind, TimeoutMillis: 1000,
			TargetMillis: 500, MaxAttempts: 2, Shares: []routes.Share{{Service: service, Weight: 1}},
		}
	}
	return routes.Config{
		Version: 1,
		Routes: []routes.Route{
			route("look", routes.Idempotent, "stock"),
			route("order", routes.Once, "stock"),
			route("photo", routes.Upload, "photos"),
			route("chart", routes.Download, "photos"),
		},
		Services: []routes.Service{{Name: "stock", Keyed: true, MaxConnections: 20}, {Name: "photos", MaxConnections: 20}},
	}
}

// publish applies a table in which the server owns all keys; if server is nil, the keys have no
// owner.
func (f *fixture) publish(server *fakeBackend) {
	update := keyrange.TableUpdate{Term: 1, Full: true, EntryHosts: 1}
	owner := ""
	if server != nil {
		owner = "s1"
		address := server.listener.Addr().String()
		update.Servers = []keyrange.Server{
			{ID: "s1", Service: "stock", Address: address, Domain: "d1", Slots: 6},
			{ID: "p1", Service: "photos", Address: address, Domain: "d1", Slots: 6},
		}
	}
	update.Owners = []keyrange.Owner{{Service: "stock", From: 0, To: 999, ServerID: owner}}
	config := testConfig()
	if err := f.host.view.applyConfig(routes.Update{Full: &config}); err != nil {
		f.t.Fatal(err)
	}
	f.host.view.apply(clockNow(), update)
	f.host.view.renewConfigLease(clockNow(), time.Hour)
}

func (f *fixture) do(method, path string, body io.Reader) (*http.Response, string) {
	f.t.Helper()
	r, err := http.NewRequest(method, f.url+path, body)
	if err != nil {
		f.t.Fatal(err)
	}
	r.Host = "depot.example"
	r.Header.Set("Test-Id", "a1")
	r.Header.Set("Test-Key", "7")
	r.Header.Set("Test-Left", "900")
	response, err := (&http.Transport{}).RoundTrip(r)
	if err != nil {
		f.t.Fatal(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	return response, string(content)
}
