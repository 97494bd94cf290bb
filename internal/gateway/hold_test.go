package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/galenalug/galenalug/internal/membudget"
	"github.com/galenalug/galenalug/internal/settings"
	"github.com/galenalug/galenalug/routes"
)

// newSmallFixture starts a gateway on a host with little memory, whose configuration has limits.
func newSmallFixture(t *testing.T) (*fixture, *fakeBackend) {
	t.Helper()
	f := newFixtureWith(t, func(s *settings.GatewaySettings) { s.MemoryMb, s.MaxDescriptors = 16, 256 }, nil)
	server := newFakeBackend(t, okResponse("yes"))
	f.publish(server)
	config := testConfig()
	config.Version = 2
	config.Limits = routes.Limits{HeaderBytes: 2000, BodyBytes: 100_000}
	if err := f.host.view.applyConfig(routes.Update{Full: &config}); err != nil {
		t.Fatal(err)
	}
	return f, server
}

// raw sends a text on a connection of its own.
func (f *fixture) raw(text string) net.Conn {
	f.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(conn, text); err != nil {
		f.t.Fatal(err)
	}
	return conn
}

func responseOn(t *testing.T, conn net.Conn) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	return response
}

const orderHead = "POST /order/1 HTTP/1.1\r\nHost: depot.example\r\nTest-Id: a1\r\nTest-Key: 7\r\nTest-Left: 900\r\n"

// Guards against requests beyond the configuration's limits that reach a server, or are read to their end.
func TestRequestsBeyondLimitsAreRefused(t *testing.T) {
	f, server := newSmallFixture(t)
	chunk := "1000\r\n" + strings.Repeat("c", 4096) + "\r\n"
	for _, c := range []struct {
		name, text string
		want       int
	}{
		{"long head", orderHead + "X-Long: " + strings.Repeat("h", 2000) + "\r\nContent-Length: 0\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"long body", orderHead + "Content-Length: 100001\r\n\r\n", http.StatusRequestEntityTooLarge},
		{"long chunked body", orderHead + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, 26), http.StatusRequestEntityTooLarge},
	} {
		response := responseOn(t, f.raw(c.text))
		if response.StatusCode != c.want || !response.Close {
			t.Errorf("%s: status %d, close %v, want %d and a closed connection", c.name, response.StatusCode, response.Close, c.want)
		}
	}
	if n := server.count(); n != 0 {
		t.Errorf("%d of these requests reached a server", n)
	}
	within := responseOn(t, f.raw(orderHead+fmt.Sprintf("Content-Length: 100000\r\n\r\n%s", strings.Repeat("b", 100_000))))
	if within.StatusCode != http.StatusOK {
		t.Errorf("a request at the limit got %d", within.StatusCode)
	}
}

// Guards against a crash, and a connection that ends without a response, where the head of a request that runs before its
// turn exceeds the configuration's limit.
func TestLongHeadBehindRequestIsRefusedInItsTurn(t *testing.T) {
	server := newFakeBackend(t, pathResponder(func(string) { time.Sleep(50 * time.Millisecond) }))
	f := newPipelineFixture(t, testDepth, server)
	config := testConfig()
	config.Version = 3
	config.Limits = routes.Limits{HeaderBytes: 2000}
	if err := f.host.view.applyConfig(routes.Update{Full: &config}); err != nil {
		t.Fatal(err)
	}
	client := f.connect()
	long := strings.Replace(getRequest("/look/1"), "Host", "X-Long: "+strings.Repeat("h", 2000)+"\r\nHost", 1)
	client.send(getRequest("/look/0") + long)
	client.expect(http.StatusOK, "/look/0")
	if status, _, closes := client.next(); status != http.StatusRequestHeaderFieldsTooLarge || !closes {
		t.Errorf("status %d, close %v, want 431 and a closed connection", status, closes)
	}
	if n := server.count(); n != 1 {
		t.Errorf("the server received %d requests, want 1", n)
	}
}

// Guards against refusals for want of memory that are not truthful or name no time to retry, and against a stalled client
// that keeps memory from another.
func TestShortMemoryRefusesAndStalledGivesWay(t *testing.T) {
	f, server := newSmallFixture(t)
	budget := f.host.clients.budget
	stalled := f.raw(orderHead + "Content-Length: 60000\r\n\r\n" + strings.Repeat("b", 50_000))
	for until := time.Now().Add(5 * time.Second); budget.Held(membudget.RequestBodies) < 50_000; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the body of the stalled client is not held")
		}
	}
	budget.Charge(membudget.ResponseBodies, budget.Size()*3/4) // others hold the rest of what is for large requests
	text := orderHead + fmt.Sprintf("Content-Length: 90000\r\n\r\n%s", strings.Repeat("b", 90_000))
	refused := responseOn(t, f.raw(text))
	if refused.StatusCode != http.StatusServiceUnavailable || refused.Header.Get("Retry-After") == "" || !refused.Close {
		t.Errorf("without memory: status %d, headers %v", refused.StatusCode, refused.Header)
	}
	if small := responseOn(t, f.raw(orderHead+"Content-Length: 5\r\n\r\nsmall")); small.StatusCode != http.StatusOK {
		t.Errorf("a small request got %d", small.StatusCode)
	}
	time.Sleep(membudget.StallTime)
	budget.Return(membudget.ResponseBodies, 100_000) // room for the request if the stalled one gives way
	if response := responseOn(t, f.raw(text)); response.StatusCode != http.StatusOK {
		t.Errorf("status %d though a stalled client holds memory", response.StatusCode)
	}
	if gone := responseOn(t, stalled); gone.StatusCode != http.StatusServiceUnavailable || gone.Header.Get("Retry-After") == "" {
		t.Errorf("the stalled client got %d", gone.StatusCode)
	}
	if n := server.count(); n != 2 {
		t.Errorf("%d requests reached a server, want the two that were answered", n)
	}
	budget.Return(membudget.ResponseBodies, budget.Size()*3/4-100_000)
	for until := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		held := budget.Held(membudget.Heads) + budget.Held(membudget.RequestBodies) + budget.Held(membudget.ResponseBodies)
		if held == 0 {
			return
		}
		if time.Now().After(until) {
			t.Fatalf("%d bytes are held at the end", held)
		}
	}
}

// Guards against more connections to servers than the host has descriptors for, and against a count that drifts.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	f := newFixture(t)
	server := newFakeBackend(t, okResponse("yes"))
	f.publish(server)
	f.host.backends.conns.max = 1
	for range 3 {
		for _, path := range []string{"/look/1", "/photo/1"} { // two servers
			if response, _ := f.do("GET", path, nil); response.StatusCode != http.StatusOK {
				t.Fatalf("%s: status %d", path, response.StatusCode)
			}
		}
	}
	if open := f.host.backends.conns.open.Load(); open != 1 {
		t.Errorf("%d connections are open, want 1", open)
	}
}
