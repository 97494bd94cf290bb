package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/galenalug/galenalug/internal/settings"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/ledger"
)

// fakeDependencies implements all interfaces that a Host depends on. The service "orders" is
// partitioned by key, "photos" is not.
type fakeDependencies struct {
	mu       sync.Mutex
	owner    *Server
	token    uint64
	photos   []Server
	changed  chan struct{}
	records  map[string]wire.RunReply
	digests  map[string]string
	nonces   map[string]string
	finished chan wire.RunFinish
	// sealedFinishes is the number of calls of Finish yet to be refused because the slot is sealed.
	sealedFinishes int
	begun          []wire.RunBegin
	denyAdmission  atomic.Bool // Admit fails with ErrAllowanceSpent
	// beginFailures are the results of the next calls of Begin. A call with an error is recorded all the
	// same; nil means that the call is refused because the slot is sealed.
	beginFailures      []error
	writable           func() bool
	announced          wire.Announcement
	timedOut           int
	connectionFailures int
}

func newFakeDependencies() *fakeDependencies {
	return &fakeDependencies{
		token: 7, changed: make(chan struct{}), records: map[string]wire.RunReply{},
		digests: map[string]string{}, nonces: map[string]string{}, finished: make(chan wire.RunFinish, 100), writable: func() bool { return true },
	}
}

func (f *fakeDependencies) setOwner(address string, token uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.owner = &Server{Session: token, Group: "norte", Name: "s", Service: "orders", Address: address, Region: "norte", Slots: 6, Connections: 110, Fencing: true}
	f.token = token
	close(f.changed)
	f.changed = make(chan struct{})
}

// changeTable signals a table change that leaves the owner unchanged.
func (f *fakeDependencies) changeTable() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeDependencies) IsKeyed(name string) (bool, error) {
	switch name {
	case "orders":
		return true, nil
	case "photos":
		return false, nil
	}
	return false, ErrUnknownService
}

func (f *fakeDependencies) Home(string, string) (string, int, error) { return "norte", 3, nil }

func (f *fakeDependencies) Route(string, string) (Route, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.owner == nil {
		return Route{}, ErrNoOwner
	}
	return Route{Slot: 3, Token: f.token, Server: *f.owner, Writable: f.writable}, nil
}

func (f *fakeDependencies) Servers(string) []Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.photos
}

func (f *fakeDependencies) setPhotos(servers []Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.photos = servers
}

func (f *fakeDependencies) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *fakeDependencies) Begin(_ context.Context, _ string, begin wire.RunBegin) (wire.RunReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.begun = append(f.begun, begin)
	if len(f.beginFailures) > 0 {
		return f.failBegin(begin)
	}
	if f.nonces[begin.Key] == string(begin.Nonce) {
		return wire.RunReply{State: stateNew, Attempt: 1}, nil
	}
	if reply, found := f.records[begin.Key]; found && reply.State != stateNotRun {
		if f.digests[begin.Key] != string(begin.Digest) {
			return wire.RunReply{State: stateConflict}, nil
		}
		return reply, nil
	}
	f.records[begin.Key] = wire.RunReply{State: stateRunning, Attempt: 1}
	f.digests[begin.Key] = string(begin.Digest)
	return wire.RunReply{State: stateNew, Attempt: 1}, nil
}

func (f *fakeDependencies) failBegin(begin wire.RunBegin) (wire.RunReply, error) {
	failure := f.beginFailures[0]
	f.beginFailures = f.beginFailures[1:]
	if failure == nil {
		return wire.RunReply{Refusal: string(ledger.RefusedSealed)}, nil
	}
	f.records[begin.Key] = wire.RunReply{State: stateRunning, Attempt: 1}
	f.digests[begin.Key], f.nonces[begin.Key] = string(begin.Digest), string(begin.Nonce)
	return wire.RunReply{}, failure
}

func (f *fakeDependencies) Finish(_ context.Context, _ string, finish wire.RunFinish) (wire.RunReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.sealedFinishes > 0 {
		f.sealedFinishes--
		return wire.RunReply{Refusal: string(ledger.RefusedSealed)}, nil
	}
	reply := wire.RunReply{State: finish.State, Status: finish.Status, Body: finish.Body, ContentType: finish.ContentType}
	f.records[finish.Key] = reply
	f.finished <- finish
	return reply, nil
}

func (f *fakeDependencies) Admit(string, string) (time.Duration, error) {
	if f.denyAdmission.Load() {
		return 3 * time.Second, ErrAllowanceSpent
	}
	return 0, nil
}

func (f *fakeDependencies) Announce(_ context.Context, a wire.Announcement) (wire.AnnouncementReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.announced = a
	return wire.AnnouncementReply{Session: 5, LeaseMillis: 800}, nil
}

func (f *fakeDependencies) Grants(_ context.Context, _ string, session, after uint64, _ time.Duration) (wire.Grants, error) {
	return wire.Grants{Session: session, Version: after + 1}, nil
}

func (f *fakeDependencies) Answered(Server, time.Duration) {}
func (f *fakeDependencies) TimedOut(Server)                { f.mu.Lock(); f.timedOut++; f.mu.Unlock() }
func (f *fakeDependencies) ConnectionFailed(Server) {
	f.mu.Lock()
	f.connectionFailures++
	f.mu.Unlock()
}
func (f *fakeDependencies) Routed(string, int, string) {}

func (f *fakeDependencies) failures() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.connectionFailures
}

// startHost starts a host and stops it when the test ends.
func startHost(t testing.TB, deps *fakeDependencies, change func(*settings.EntrySettings)) *Host {
	t.Helper()
	s := &settings.EntrySettings{Name: "e1", Region: "norte", Listen: "127.0.0.1:0", AdminListen: "127.0.0.1:0", DrainSeconds: 20}
	if change != nil {
		change(s)
	}
	host, err := New(Options{
		Settings: s, Table: deps, RunLedger: deps, Limits: deps, Sessions: deps, Observer: deps,
		ServerSecret: "server", OperatorSecret: "operator",
	})
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- host.Run() }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = host.Stop(ctx)
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	waitUntilServing(t, host)
	return host
}

// waitUntilServing returns once both listeners respond.
func waitUntilServing(t testing.TB, host *Host) {
	t.Helper()
	for _, url := range []string{"http://" + host.AdminAddr() + "/ready", "http://" + host.Addr() + "/"} {
		response, err := http.Get(url)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
	}
}

// rawServer is a backend server that reads requests and leaves each response to its connHandler.
// Probes are answered without calling the handler.
type rawServer struct {
	listener net.Listener
	mu       sync.Mutex
	seen     []*http.Request
	bodies   []string
	bodyErrs []error
}

// connHandler writes the response to the request with the given number, counted from 1. It returns
// false to close the connection.
type connHandler func(server *rawServer, c net.Conn, request *http.Request, number int) bool

func startRawServer(t testing.TB, handle connHandler) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &rawServer{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go server.serve(c, handle)
		}
	}()
	return server
}

func (s *rawServer) serve(c net.Conn, handle connHandler) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		probe := request.URL.Path == wire.PathProbe
		number := 0
		if !probe {
			s.mu.Lock()
			s.seen = append(s.seen, request)
			s.bodies = append(s.bodies, string(body))
			s.bodyErrs = append(s.bodyErrs, err)
			number = len(s.seen)
			s.mu.Unlock()
		}
		if probe {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if !handle(s, c, request, number) {
			return
		}
	}
}

func (s *rawServer) address() string { return s.listener.Addr().String() }

func (s *rawServer) runs() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.seen)
}

// writeRaw writes text with CRLF line ends. It returns true to keep the connection open.
func writeRaw(c net.Conn, text string) bool {
	_, err := io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n"))
	return err == nil
}

const okResponse = "HTTP/1.1 200 OK\nContent-Type: text/plain\nContent-Length: 2\n\nok"

func respondOK(_ *rawServer, c net.Conn, _ *http.Request, _ int) bool { return writeRaw(c, okResponse) }

// callerResponse is a response as its caller received it.
type callerResponse struct {
	status  int
	outcome string
	body    string
	header  http.Header
	err     error // from reading the body
	closes  bool  // the response asked the caller to close the connection
}

func call(t testing.TB, host *Host, method, path, body string, header ...string) callerResponse {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+host.Addr()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if body == "" {
		request.Body = nil
	}
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	return do(t, request)
}

func do(t testing.TB, request *http.Request) callerResponse {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return callerResponse{response.StatusCode, response.Header.Get(wire.HeaderOutcome), string(text), response.Header, err, response.Close}
}
