package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/galenalug/galenalug/internal/settings"
	"github.com/galenalug/galenalug/routes"
)

const testDepth = 4

func newPipelineFixture(t testing.TB, depth int, server *fakeBackend) *fixture {
	return newPipelineFixtureWith(t, depth, server, 1)
}

// newPipelineFixtureWith is newPipelineFixture with routes that allow a number of attempts.
func newPipelineFixtureWith(t testing.TB, depth int, server *fakeBackend, attempts int64) *fixture {
	f := newFixtureWith(t, func(s *settings.GatewaySettings) { s.PipelineDepth, s.StopSeconds = depth, 3 }, nil)
	f.publishAttempts(server, attempts)
	return f
}

// publishPatient publishes a table and routes without second attempts, whose timeout no test reaches.
func (f *fixture) publishPatient(server *fakeBackend) { f.publishAttempts(server, 1) }

// publishAttempts is publishPatient with routes that allow a number of attempts.
func (f *fixture) publishAttempts(server *fakeBackend, attempts int64) {
	f.publish(server)
	config := testConfig()
	config.Version++
	for i := range config.Routes {
		config.Routes[i].TimeoutMillis, config.Routes[i].MaxAttempts = 60000, attempts
	}
	if err := f.host.view.applyConfig(routes.Update{Full: &config}); err != nil {
		f.t.Fatal(err)
	}
}

// pathResponder answers a request with its path, after wait.
func pathResponder(wait func(path string)) responder {
	return func(conn net.Conn, r *http.Request, body []byte) bool {
		if wait != nil {
			wait(r.URL.Path)
		}
		return okResponse(r.URL.Path)(conn, r, body)
	}
}

func getRequest(path string) string { return requestText("GET", path, "") }

func requestText(method, path, body string) string {
	length := ""
	if body != "" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return method + " " + path + " HTTP/1.1\r\nHost: depot.example\r\nTest-Id: id" + path + "\r\nTest-Key: 7\r\n" + length + "\r\n" + body
}

func getRequests(n int) string {
	var text strings.Builder
	for i := range n {
		text.WriteString(getRequest(fmt.Sprintf("/look/%d", i)))
	}
	return text.String()
}

// pipelineClient is a client that writes and reads bytes as it likes.
type pipelineClient struct {
	net.Conn
	t      testing.TB
	reader *bufio.Reader
}

func (f *fixture) connect() *pipelineClient { return f.connectFor(f.t) }

func (f *fixture) connectFor(t testing.TB) *pipelineClient {
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return &pipelineClient{Conn: conn, t: t, reader: bufio.NewReader(conn)}
}

func (c *pipelineClient) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

// next reads a response; its status is 0 at the end of the connection.
func (c *pipelineClient) next() (status int, body string, closes bool) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", true
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return response.StatusCode, "truncated", true
	}
	return response.StatusCode, string(content), response.Close
}

func (c *pipelineClient) expect(status int, body string) {
	c.t.Helper()
	gotStatus, gotBody, _ := c.next()
	if gotStatus != status || body != "" && gotBody != body {
		c.t.Fatalf("got status %d, body %.40q; want %d, %.40q", gotStatus, gotBody, status, body)
	}
}

func (c *pipelineClient) expectPaths(n int) {
	c.t.Helper()
	for i := range n {
		c.expect(200, fmt.Sprintf("/look/%d", i))
	}
}

// waitFor waits until a condition holds.
func waitFor(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 5 s: %s", what)
		}
	}
}

// Guards against pipelined requests that run one after the other, and against responses in another order than
// the requests: the server answers the first one last.
func TestPipelinedRequestsRunAtTheSameTime(t *testing.T) {
	for _, pause := range []time.Duration{0, 20 * time.Millisecond} { // in one packet, and one after the other
		var others sync.WaitGroup
		others.Add(2)
		server := newFakeBackend(t, pathResponder(func(path string) {
			if path != "/look/0" {
				others.Done()
				return
			}
			others.Wait()
		}))
		client := newPipelineFixture(t, testDepth, server).connect()
		for i := range 3 {
			client.send(getRequest(fmt.Sprintf("/look/%d", i)))
			time.Sleep(pause)
		}
		client.expectPaths(3)
	}
}

// Guards against requests behind a POST that overtake it, and against a POST that overtakes those before it.
func TestPipelinedPostWaitsItsTurn(t *testing.T) {
	var running, overlaps atomic.Int32
	server := newFakeBackend(t, pathResponder(func(path string) {
		if running.Add(1) > 1 {
			overlaps.Add(1)
		}
		time.Sleep(50 * time.Millisecond)
		running.Add(-1)
	}))
	client := newPipelineFixture(t, testDepth, server).connect()
	client.send(getRequest("/look/1") + requestText("POST", "/order/2", "two") + getRequest("/look/3") + requestText("GET", "/order/4", ""))
	for _, path := range []string{"/look/1", "/order/2", "/look/3", "/order/4"} {
		client.expect(200, path)
	}
	if overlaps.Load() > 0 {
		t.Error("requests that must run one after the other have overlapped")
	}
}

// Guards against bytes that are lost, doubled or reordered where a packet ends.
func TestPipelinedHeadsSplitAtEveryByte(t *testing.T) {
	server := newFakeBackend(t, pathResponder(nil))
	f := newPipelineFixture(t, testDepth, server)
	text := getRequest("/look/0") + requestText("POST", "/look/1", "b\r\n\r\n") + getRequest("/look/2") + getRequest("/look/3")
	client := f.connect()
	for split := 1; split < len(text); split++ {
		client.send(text[:split])
		time.Sleep(300 * time.Microsecond)
		client.send(text[split:])
		client.expectPaths(4)
	}
	for i := range text {
		client.send(text[i : i+1])
	}
	client.expectPaths(4)
}

// Guards against more requests at the same time than the setting allows, also when the heads exceed the buffer.
func TestPipelineDepthBoundsRequestsAhead(t *testing.T) {
	var running, most atomic.Int32
	server := newFakeBackend(t, pathResponder(func(string) {
		most.Store(max(most.Load(), running.Add(1)))
		time.Sleep(2 * time.Millisecond)
		running.Add(-1)
	}))
	client := newPipelineFixture(t, testDepth, server).connect()
	const requests = 400
	go func() { _, _ = io.WriteString(client, getRequests(requests)) }()
	client.expectPaths(requests)
	if n := most.Load(); n < 2 || n > testDepth+1 {
		t.Errorf("%d requests at the same time, want 2 to %d", n, testDepth+1)
	}
}

// heldResponder answers when release is closed, and reports the requests whose connection was closed before.
func heldResponder(release <-chan struct{}, canceled *atomic.Int32) responder {
	return func(conn net.Conn, r *http.Request, body []byte) bool {
		left := make(chan struct{})
		go func() {
			_, _ = conn.Read(make([]byte, 1))
			close(left)
		}()
		select {
		case <-left:
			canceled.Add(1)
		case <-release:
			_ = okResponse(r.URL.Path)(conn, r, body)
		}
		return false
	}
}

// Guards against requests that go on after their client has left, also while the connection's buffer is full. Beyond
// the kernel's buffer the end of the connection does not arrive before the client's bytes are read.
func TestLeavingClientCancelsRequestsAhead(t *testing.T) {
	for _, requests := range []int{3, 400} {
		release := make(chan struct{})
		var canceled atomic.Int32
		server := newFakeBackend(t, heldResponder(release, &canceled))
		f := newPipelineFixture(t, testDepth, server)
		client := f.connect()
		client.send(getRequests(requests))
		want := min(requests, testDepth+1)
		waitFor(t, "requests at the server", func() bool { return server.count() >= want })
		_ = client.Close()
		waitFor(t, "canceled requests", func() bool { return int(canceled.Load()) >= want })
		waitFor(t, "no requests ahead", func() bool { return f.host.pipelining.running.Load() == 0 })
		waitFor(t, "released buffers", func() bool { return f.host.pipelining.buffers.TryAcquire(maxAheadBuffers) })
		close(release)
	}
}

// Guards against requests behind a truncated response that go on or are answered, if the response is too large to be read whole.
func TestTruncatedResponseEndsRequestsBehindIt(t *testing.T) {
	var canceled atomic.Int32
	release := make(chan struct{})
	defer close(release)
	held := heldResponder(release, &canceled)
	started := make(chan struct{})
	server := newFakeBackend(t, func(conn net.Conn, r *http.Request, body []byte) bool {
		switch r.URL.Path {
		case "/look/0":
			return okResponse("/look/0")(conn, r, body)
		case "/look/1":
			<-started
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Seal: s\r\nContent-Length: %d\r\n\r\n%s",
				r.Header.Get("Test-Id"), 2*maxWholeResponse, strings.Repeat("x", 400000))
			return false
		}
		close(started)
		return held(conn, r, body)
	})
	client := newPipelineFixture(t, testDepth, server).connect()
	client.send(getRequests(3))
	client.expect(200, "/look/0")
	client.expect(200, "truncated")
	if status, body, _ := client.next(); status != 0 {
		t.Errorf("status %d, body %q behind a truncated response", status, body)
	}
	waitFor(t, "canceled request", func() bool { return canceled.Load() > 0 })
}

// Guards against requests that are answered or run behind one that closes the connection.
func TestRequestsBehindLastOneAreDropped(t *testing.T) {
	server := newFakeBackend(t, pathResponder(nil))
	client := newPipelineFixture(t, testDepth, server).connect()
	last := strings.Replace(getRequest("/look/1"), "Host", "Connection: close\r\nHost", 1)
	client.send(getRequest("/look/0") + last + getRequest("/look/2"))
	client.expectPaths(2)
	if status, _, _ := client.next(); status != 0 || server.count() != 2 {
		t.Errorf("status %d after %d requests at the server, want none after 2", status, server.count())
	}
}

// Guards against requests that get stuck or lost while the process has no room for further ones ahead.
func TestPipelinedRequestsWithoutRoomWaitTheirTurn(t *testing.T) {
	server := newFakeBackend(t, pathResponder(nil))
	f := newPipelineFixture(t, testDepth, server)
	if !f.host.pipelining.ahead.TryAcquire(maxAhead) || !f.host.pipelining.buffers.TryAcquire(maxAheadBuffers) {
		t.Fatal("the bounds are in use")
	}
	client := f.connect()
	const requests = 200
	go func() { _, _ = io.WriteString(client, getRequests(requests)) }()
	client.expectPaths(requests)
}

// Guards against garbage behind a request that is answered before its turn, or that ends the request.
func TestGarbageBehindRequestIsRefusedInItsTurn(t *testing.T) {
	for _, garbage := range []string{"\x00\x01\r\n\r\n", "GET nowhere\r\n\r\n", "GET /look/1 HTTP/1.1\r\nHost: a b\r\nTest-Id: 1\r\n\r\n", "\r\n\r\nGET /\r\n\r\n"} {
		server := newFakeBackend(t, pathResponder(func(string) { time.Sleep(50 * time.Millisecond) }))
		client := newPipelineFixture(t, testDepth, server).connect()
		client.send(getRequest("/look/0") + garbage)
		client.expect(200, "/look/0")
		client.expect(400, "")
		if server.count() != 1 {
			t.Errorf("the server received %d requests, want 1", server.count())
		}
	}
}

// Guards against a response that is too large to wait for its turn and is cut or lost, and against one that is read whole and is.
func TestLargeResponseOfRequestAhead(t *testing.T) {
	for _, size := range []int{2 * maxBufferedResponse, 2 * maxWholeResponse} {
		testLargeResponseOfRequestAhead(t, strings.Repeat("y", size))
	}
}

func testLargeResponseOfRequestAhead(t *testing.T, large string) {
	server := newFakeBackend(t, func(conn net.Conn, r *http.Request, body []byte) bool {
		if r.URL.Path == "/look/0" {
			time.Sleep(100 * time.Millisecond)
		}
		return okResponse(r.URL.Path+large)(conn, r, body)
	})
	for _, ratio := range []float64{0.2, 0} { // with and without a budget for a second run
		f := newFixtureWith(t, func(s *settings.GatewaySettings) {
			s.PipelineDepth, s.RetryRatio, s.RetrySlack = testDepth, ratio, 10*ratio
		}, nil)
		f.publishAttempts(server, 2)
		client := f.connect()
		client.send(getRequests(3))
		for i := range 3 {
			client.expect(200, fmt.Sprintf("/look/%d", i)+large)
		}
		waitFor(t, "released memory", f.host.backends.buffers.Idle)
	}
}

// Guards against a request that runs although its time has passed while it waited behind another one.
func TestWaitBehindOtherRequestCountsTowardsTimeout(t *testing.T) {
	server := newFakeBackend(t, pathResponder(func(string) { time.Sleep(300 * time.Millisecond) }))
	client := newPipelineFixture(t, testDepth, server).connect()
	late := strings.Replace(requestText("POST", "/order/1", "x"), "\r\n", "\r\nTest-Left: 200\r\n", 1)
	client.send(getRequest("/look/0") + late)
	client.expect(200, "/look/0")
	client.expect(http.StatusServiceUnavailable, "")
	server.mu.Lock()
	defer server.mu.Unlock()
	for _, r := range server.requests {
		if r.Method == http.MethodPost {
			t.Error("the request has run although its time has passed")
		}
	}
}

// Guards against memory that grows with what clients send without reading the responses.
func TestUnreadPipelinedResponsesAreBounded(t *testing.T) {
	body := strings.Repeat("z", 100<<10)
	server := newFakeBackend(t, okResponse(body))
	f := newPipelineFixture(t, testDepth, server)
	const clients = 20
	for range clients {
		client := f.connect()
		go func() { _, _ = io.WriteString(client, getRequests(20000)) }()
	}
	before := -1
	waitFor(t, "responses that wait for their clients", func() bool {
		count := server.count()
		quiet := count == before
		before = count
		time.Sleep(300 * time.Millisecond)
		return quiet
	})
	if n := f.host.pipelining.running.Load(); n > clients*(testDepth+1) { // with the one that is being written
		t.Errorf("%d requests ahead, want at most %d", n, clients*(testDepth+1))
	}
	held := int64(0)
	f.host.clientConns.mu.Lock()
	for conn := range f.host.clientConns.idle {
		held += conn.(*clientConn).held.Load()
	}
	f.host.clientConns.mu.Unlock()
	if held > clients*aheadBufferBytes {
		t.Errorf("%d bytes held", held)
	}
	client := f.connect()
	client.send(getRequest("/look/1"))
	client.expect(200, body)
}

// Guards against a stop that loses the responses of requests that were forwarded before their turn, and
// against one that forwards further requests.
func TestStopAnswersRequestsAhead(t *testing.T) {
	for _, after := range []time.Duration{200 * time.Millisecond, 1800 * time.Millisecond} { // before and while it drains
		t.Run(after.String(), func(t *testing.T) {
			t.Parallel()
			testStopAnswersRequestsAhead(t, after)
		})
	}
}

func testStopAnswersRequestsAhead(t *testing.T, after time.Duration) {
	release := make(chan struct{})
	server := newFakeBackend(t, pathResponder(func(string) { <-release }))
	f := newPipelineFixture(t, 2, server)
	client := f.connect()
	client.send(getRequests(5))
	waitFor(t, "requests at the server", func() bool { return server.count() == 3 })
	stopped := make(chan error, 1)
	go func() { stopped <- f.host.Stop(context.Background()) }()
	waitFor(t, "stop", f.host.stopping.Load)
	time.AfterFunc(after, func() { close(release) })
	for i := range 3 {
		status, body, closes := client.next()
		if status != 200 || body != fmt.Sprintf("/look/%d", i) || closes != (i == 2) {
			t.Errorf("response %d: status %d, body %q, closes %v", i, status, body, closes)
		}
	}
	if status, _, _ := client.next(); status != 0 {
		t.Errorf("status %d behind the last response", status)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	if server.count() != 3 {
		t.Errorf("the server received %d requests, want 3", server.count())
	}
}

// Guards against a draining gateway that does not answer a forwarded request whose response was too large to be held.
func TestStopAnswersRequestThatRunsAgain(t *testing.T) {
	large := strings.Repeat("y", 2*maxWholeResponse)
	release := make(chan struct{})
	server := newFakeBackend(t, func(conn net.Conn, r *http.Request, body []byte) bool {
		if r.URL.Path == "/look/0" {
			<-release
		}
		return okResponse(r.URL.Path+large)(conn, r, body)
	})
	f := newPipelineFixtureWith(t, testDepth, server, 2)
	client := f.connect()
	client.send(getRequests(2))
	waitFor(t, "dropped response", func() bool { return server.count() == 2 && f.host.pipelining.running.Load() == 0 })
	f.host.stopping.Store(true)
	f.host.draining.Store(true)
	close(release)
	client.expect(200, "/look/0"+large)
	client.expect(200, "/look/1"+large)
}

// Guards against the response to another request, should net/http read the stream in another way.
func TestOtherRequestGetsNoResponseFromAhead(t *testing.T) {
	f := newPipelineFixture(t, testDepth, newFakeBackend(t, pathResponder(nil)))
	parse := func(text string) *http.Request {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	prepared, same, other := parse(getRequest("/look/1")), parse(getRequest("/look/1")), parse(getRequest("/look/1"))
	other.Header.Set("Test-Key", "8")
	c := &clientConn{shared: f.host.pipelining}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.next = &aheadRequest{request: prepared}
	if c.takeNext(same) == nil {
		t.Error("the request was not recognized")
	}
	c.next = &aheadRequest{request: prepared}
	if c.takeNext(other) != nil || !errors.Is(ctx.Err(), context.Canceled) || !c.noMore {
		t.Error("another request was taken for the prepared one")
	}
}

// Guards against wrong ends of requests, which depend on how the bytes are split.
func TestScannerFindsEndsOfRequests(t *testing.T) {
	cases := []struct {
		text string
		lost bool
	}{
		{text: getRequest("/look/1")},
		{text: requestText("POST", "/look/1", "a\r\n\r\nb")},
		{text: "GET / HTTP/1.1\nUpgrade-Insecure-Requests: 1\n\n"},
		{text: "PUT / HTTP/1.1\r\ncontent-length:  3 \r\n\r\n\r\n\r"},
		{text: "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", lost: true},
		{text: "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n", lost: true},
		{text: "POST / HTTP/1.1\r\nContent-Length:\r\n 4\r\n\r\n", lost: true},
		{text: "GET / HTTP/1.1\r\nUpgrade: h2c\r\n\r\n", lost: true},
		{text: "CONNECT / HTTP/1.1\r\n\r\n", lost: true},
		{text: "\r\nGET / HTTP/1.1\r\n\r\n", lost: true},
	}
	for _, c := range cases {
		for split := range len(c.text) {
			var s scanner
			n := s.advance([]byte(c.text[:split]))
			n += s.advance([]byte(c.text[split:] + "GET "))
			if lost := s.state == lost; lost != c.lost {
				t.Fatalf("%q, split at %d: state %d", c.text, split, s.state)
			}
			if !c.lost && (n != len(c.text) || s.state != atStart) {
				t.Fatalf("%q, split at %d: ends at %d, want %d", c.text, split, n, len(c.text))
			}
		}
	}
}

// responses returns the statuses and bodies that a gateway answers to a stream, until it closes the connection.
func (f *fixture) responses(t testing.TB, parts [][]byte) []string {
	client := f.connectFor(t)
	_ = client.SetDeadline(time.Now().Add(2 * time.Second))
	go func() {
		for _, part := range parts {
			_, _ = client.Write(part)
			time.Sleep(100 * time.Microsecond)
		}
	}()
	var all []string
	for {
		status, body, _ := client.next()
		if status == 0 || body == "truncated" {
			return all
		}
		all = append(all, fmt.Sprint(status, " ", body))
	}
}

// FuzzPipelinedStream compares the responses to a stream with and without requests that run ahead. Where the
// connection was reset behind a refused request, the shorter list is a part of the longer one.
func FuzzPipelinedStream(f *testing.F) {
	plain := newPipelineFixture(f, 0, newFakeBackend(f, pathResponder(nil)))
	ahead := newPipelineFixture(f, testDepth, newFakeBackend(f, pathResponder(nil)))
	f.Add([]byte("\x00\x00\x00\x00"), byte(7))
	f.Add([]byte("\x00\x01\x02\x03\x00\x05\x00"), byte(100))
	f.Add([]byte("\x00\x04\x00\x06\x00"), byte(3))
	f.Add([]byte("\x00\x07\x00\x08\x00GET /look/9 HTTP/1.1\r\n\r\n"), byte(255))
	f.Fuzz(func(t *testing.T, plan []byte, split byte) {
		stream := pipelineStream(plan[:min(len(plan), 64)])
		var parts [][]byte
		for rest := stream; len(rest) > 0; {
			n := min(len(rest), 1+int(split)*(1+len(parts)%3))
			parts, rest = append(parts, rest[:n]), rest[n:]
		}
		want, got := plain.responses(t, parts), ahead.responses(t, parts)
		for i := range min(len(want), len(got)) {
			if want[i] != got[i] {
				t.Fatalf("response %d: %q with requests ahead, %q without; stream %q", i, got[i], want[i], stream)
			}
		}
		if reset := bytes.IndexFunc(plan, func(r rune) bool { return r == 5 || r == 6 || r > 7 }) >= 0; len(want) != len(got) && !reset {
			t.Fatalf("%d responses with requests ahead, %d without; stream %q", len(got), len(want), stream)
		}
	})
}

// pipelineStream returns a stream of requests; each byte of the plan stands for one, or for itself.
func pipelineStream(plan []byte) []byte {
	var stream bytes.Buffer
	for i, b := range plan {
		path := fmt.Sprintf("/look/%d", i)
		switch b {
		case 0:
			stream.WriteString(getRequest(path))
		case 1:
			stream.WriteString(requestText("POST", path, getRequest("/look/body")))
		case 2:
			stream.WriteString(requestText("HEAD", "/none", ""))
		case 3:
			stream.WriteString(strings.Replace(requestText("PUT", path, "3\r\nabc\r\n0\r\n\r\n"), "Content-Length: 15", "Transfer-Encoding: chunked", 1))
		case 4:
			stream.WriteString(requestText("GET", path, "body"))
		case 5:
			stream.WriteString(strings.Replace(getRequest(path), "HTTP/1.1", "HTTP/1.0", 1))
		case 6:
			stream.WriteString(strings.Replace(getRequest(path), "Host", "Connection: close\r\nHost", 1))
		case 7:
			stream.WriteString(strings.ReplaceAll(getRequest(path), "\r\n", "\n"))
		default:
			stream.WriteByte(b)
		}
	}
	stream.WriteString(strings.Replace(getRequest("/look/end"), "Host", "Connection: close\r\nHost", 1))
	return stream.Bytes()
}
