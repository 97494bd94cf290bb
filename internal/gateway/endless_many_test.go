package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"testing"
	"time"

	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/routes"
)

// publishLarge applies a table with one server that runs many requests at the same time.
func (f *fixture) publishLarge(server *fakeBackend, slots int64) {
	f.publish(server)
	config := testConfig()
	config.Version = 2
	for i := range config.Services {
		config.Services[i].MaxConnections = 2 * slots
	}
	for i := range config.Routes {
		config.Routes[i].TimeoutMillis = 20_000
	}
	if err := f.host.view.applyConfig(routes.Update{Full: &config}); err != nil {
		f.t.Fatal(err)
	}
	address := server.listener.Addr().String()
	f.host.view.apply(clockNow(), keyrange.TableUpdate{Term: 1, Version: 1, EntryHosts: 1, Servers: []keyrange.Server{
		{ID: "s1", Service: "stock", Address: address, Domain: "d1", Slots: slots},
	}})
}

// sendWithoutReading sends a request for key 7 on a connection of its own, and reads nothing.
func (f *fixture) sendWithoutReading(id string) net.Conn {
	f.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		f.t.Fatal(err)
	}
	if _, err := fmt.Fprintf(conn, "GET /look/%s HTTP/1.1\r\nHost: depot.example\r\nTest-Id: %s\r\nTest-Key: 7\r\nTest-Left: 15000\r\n\r\n", id, id); err != nil {
		f.t.Fatal(err)
	}
	return conn
}

// Guards against bodies without end of many responses at the same time, for clients that read slowly: the gateway
// kept the first 256 KiB of each, and ran out of memory with the requests of all its other clients.
func TestManyEndlessBodiesAreBounded(t *testing.T) {
	const (
		clients   = 400
		maxGrowth = 64 << 20 // bytes; an entry host has 184 MB
		bodyStart = "HTTP/1.1 200 OK\r\nTest-Id: ID\r\nTest-Seal: s\r\n"
	)
	chunk := []byte("8000\r\n" + strings.Repeat("z", 32<<10) + "\r\n")
	for name, begin := range map[string]string{
		"chunks":  bodyStart + "Transfer-Encoding: chunked\r\n\r\n",
		"length":  bodyStart + "Content-Length: 99999999999\r\n\r\n",
		"no end":  bodyStart + "Connection: close\r\n\r\n",
		"refusal": "HTTP/1.1 503 Service Unavailable\r\nTest-Id: ID\r\nTest-Not-Run: 1\r\nContent-Length: 99999999999\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			server := newFakeBackend(t, func(conn net.Conn, r *http.Request, body []byte) bool {
				if strings.HasSuffix(r.URL.Path, "small") {
					return okResponse("yes")(conn, r, body)
				}
				_, err := io.WriteString(conn, strings.ReplaceAll(begin, "ID", r.Header.Get("Test-Id")))
				for err == nil {
					_, err = conn.Write(chunk)
				}
				return false
			})
			f := newFixture(t)
			f.publishLarge(server, 2*clients)
			debug.FreeOSMemory()
			before := heapInUse()
			for i := range clients {
				defer f.sendWithoutReading(fmt.Sprint("c", i)).Close()
			}
			for deadline := time.Now().Add(10 * time.Second); server.count() < clients && time.Now().Before(deadline); {
				time.Sleep(20 * time.Millisecond)
			}
			time.Sleep(500 * time.Millisecond) // the gateway reads what it can
			if after := heapInUse(); after > before+maxGrowth {
				t.Errorf("%d responses: the heap grew from %d to %d bytes, want at most %d more", server.count(), before, after, maxGrowth)
			}
			if response, body := f.do(http.MethodGet, "/look/small", nil); response.StatusCode != 200 || body != "yes" {
				t.Errorf("another client got status %d and body %q, want its response", response.StatusCode, body)
			}
		})
	}
}

// A response that is larger than what can be buffered arrives complete.
func TestLargeResponseIsCompleteWithoutBuffers(t *testing.T) {
	const size = 700 << 10
	body := strings.Repeat("0123456789abcdef", size/16)
	server := newFakeBackend(t, okResponse(body))
	f := newFixture(t)
	f.publish(server)
	response, got := f.do(http.MethodGet, "/look/1", nil)
	if response.StatusCode != 200 || got != body {
		t.Errorf("status %d with %d bytes, want 200 with all %d", response.StatusCode, len(got), size)
	}
}

// Guards against a body that breaks off beyond the part that is always read, and passes for a complete one.
func TestCutLargeBodyIsNoCompleteResponse(t *testing.T) {
	part := strings.Repeat("z", 100<<10)
	head := "HTTP/1.1 200 OK\r\nTest-Id: ID\r\nTest-Seal: s\r\n"
	for name, text := range map[string]string{
		"chunked, in a chunk":     head + "Transfer-Encoding: chunked\r\n\r\n20000\r\n" + part,
		"chunked, between chunks": head + "Transfer-Encoding: chunked\r\n\r\n19000\r\n" + part + "\r\n",
		"with a length":           head + "Content-Length: 200000\r\n\r\n" + part,
	} {
		t.Run(name, func(t *testing.T) {
			cut := func(conn net.Conn, r *http.Request, _ []byte) bool {
				_, _ = io.WriteString(conn, strings.ReplaceAll(text, "ID", r.Header.Get("Test-Id")))
				return false
			}
			f := newFixture(t)
			f.publish(newFakeBackend(t, cut))
			if response, body := f.do(http.MethodPost, "/order/1", strings.NewReader("two")); response.StatusCode != http.StatusBadGateway {
				t.Errorf("status %d with %d bytes, want 502", response.StatusCode, len(body))
			}
		})
	}
}
