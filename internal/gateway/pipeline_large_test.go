package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/galenalug/galenalug/routes"
)

// cutResponse sends the head of a response of a size, and half of its body.
func cutResponse(conn net.Conn, r *http.Request, size int) bool {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Seal: s\r\nContent-Length: %d\r\n\r\n%s",
		r.Header.Get("Test-Id"), size, strings.Repeat("x", size/2))
	return false
}

// Guards against requests that a sound server has run and that get no answer, because the connection is closed behind a
// response of another server that broke off (review/9).
func TestResponseThatBreaksOffLosesNoRequestBehindIt(t *testing.T) {
	large := strings.Repeat("y", 2*maxBufferedResponse)
	var cuts atomic.Int32
	behind := make(chan struct{})
	server := newFakeBackend(t, func(conn net.Conn, r *http.Request, body []byte) bool {
		switch r.URL.Path {
		case "/look/0":
			<-behind // /look/1 has been passed on
			if cuts.Add(1) == 1 {
				return cutResponse(conn, r, len(large))
			}
			return okResponse(large)(conn, r, body)
		case "/look/1":
			close(behind)
		}
		return okResponse(r.URL.Path)(conn, r, body)
	})
	client := newPipelineFixtureWith(t, testDepth, server, 2).connect()
	client.send(getRequests(2))
	client.expect(200, large)
	client.expect(200, "/look/1")
	client.send(getRequest("/look/2"))
	client.expect(200, "/look/2")
}

// Guards against a request that runs on more servers than its route allows, because the response of its run ahead was too
// large to be held (review/10).
func TestRequestAheadRunsNoMoreOftenThanItsRouteAllows(t *testing.T) {
	for _, size := range []int{2 * maxBufferedResponse, 2 * maxWholeResponse} {
		large := strings.Repeat("y", size)
		var runs atomic.Int32
		server := newFakeBackend(t, func(conn net.Conn, r *http.Request, body []byte) bool {
			if r.URL.Path == "/look/0" {
				time.Sleep(100 * time.Millisecond)
				return okResponse("/look/0")(conn, r, body)
			}
			runs.Add(1)
			return okResponse(large)(conn, r, body)
		})
		client := newPipelineFixture(t, testDepth, server).connect()
		client.send(getRequests(2))
		client.expect(200, "/look/0")
		client.expect(200, large)
		if got := runs.Load(); got != 1 {
			t.Errorf("%d bytes: the request ran %d times, want once", size, got)
		}
	}
}

// Guards against requests that run behind a response which is passed on as it arrives, once the route is known for such
// responses, and against a route that counts as one with large responses for good.
func TestNothingRunsBehindLargeResponses(t *testing.T) {
	l := newLargeRoutes()
	route := &routes.Route{Name: "look", Kind: routes.Idempotent}
	now := time.Hour
	l.observe(now, route, &backendResponse{})
	if l.contains(now, route) {
		t.Error("a complete response counts as a large one")
	}
	l.observe(now, route, &backendResponse{rest: strings.NewReader("rest")})
	if !l.contains(now+largeResponseTime-1, route) || l.contains(now+largeResponseTime, route) {
		t.Error("want the route to count as one with large responses for largeResponseTime")
	}
	server := newFakeBackend(t, pathResponder(func(path string) {
		if path == "/look/0" {
			time.Sleep(100 * time.Millisecond)
		}
	}))
	f := newPipelineFixture(t, testDepth, server)
	client := f.connect()
	client.send(getRequest("/look/9"))
	client.expect(200, "/look/9")
	f.host.pipelining.large.observe(clockNow(), &testConfig().Routes[0], &backendResponse{rest: strings.NewReader("rest")})
	client.send(getRequests(2))
	time.Sleep(50 * time.Millisecond)
	if got := server.count(); got != 2 {
		t.Errorf("%d requests at the server, want the second one to wait", got)
	}
	client.expectPaths(2)
}
