package gateway

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/galenalug/galenalug/internal/settings"
)

// stoppingFixture is a gateway with a stop timeout of 2 s: it takes no requests from 1 s on.
func stoppingFixture(t *testing.T, server *fakeBackend) *fixture {
	f := newFixtureWith(t, func(s *settings.GatewaySettings) { s.StopSeconds = 2 }, nil)
	f.publish(server)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = f.host.Stop(context.Background())
		_ = f.host.server.Close() // as the exit of the process does
	}()
	t.Cleanup(func() { <-stopped })
	time.Sleep(500 * time.Millisecond)
	return f
}

// Guards against a request that a stopping gateway takes, passes on and then cuts without an answer at
// the end of its time (issue 20, LOST).
func TestRequestTakenLateInStopGetsAnswer(t *testing.T) {
	for _, path := range []string{"/order/1", "/look/1", "/photo/1"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			defer close(release)
			server := newFakeBackend(t, func(net.Conn, *http.Request, []byte) bool {
				<-release
				return false
			})
			f := stoppingFixture(t, server)
			r, err := http.NewRequest("POST", f.url+path, strings.NewReader("two"))
			if err != nil {
				t.Fatal(err)
			}
			r.Host = "depot.example"
			for name, value := range map[string]string{"Test-Id": "a1", "Test-Key": "7", "Test-Left": "5000"} {
				r.Header.Set(name, value)
			}
			response, err := (&http.Transport{}).RoundTrip(r)
			if err != nil {
				t.Fatalf("no answer: %v", err)
			}
			_ = response.Body.Close()
			if server.count() > 0 && response.StatusCode != http.StatusBadGateway && response.StatusCode != http.StatusGatewayTimeout {
				t.Errorf("status %d for a request that may have run, want 502 or 504", response.StatusCode)
			}
		})
	}
}

// Guards against a request that is passed on at the end of a stop since its body arrived late: it
// can't be answered any more, and must be refused as one that did not run (issue 20, LOST).
func TestRequestWithLateBodyIsRefusedAtEndOfStop(t *testing.T) {
	server := newFakeBackend(t, okResponse("ok"))
	f := stoppingFixture(t, server)
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprint(conn, "POST /order/1 HTTP/1.1\r\nHost: depot.example\r\nTest-Id: a1\r\nTest-Key: 7\r\nTest-Left: 5000\r\nContent-Length: 3\r\n\r\n")
	time.Sleep(590 * time.Millisecond) // until shortly before the end: 1.1 s after the start of the stop
	fmt.Fprint(conn, "two")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable || server.count() != 0 {
		t.Errorf("status %d after %d attempts, want 503 after none", response.StatusCode, server.count())
	}
}

// unnoticedListener is a listener whose Accept has not returned yet although it is closed: it returns
// when the server closes the listener too.
type unnoticedListener struct {
	net.Listener
	ended chan struct{}
}

func (l *unnoticedListener) Accept() (net.Conn, error) {
	<-l.ended
	return nil, net.ErrClosed
}

func (l *unnoticedListener) Close() error {
	close(l.ended)
	return l.Listener.Close()
}

// Guards against a stop that reports an error although all requests were completed: the server had not
// noticed yet that its listener was closed, and closed it again.
func TestShutDownAcceptsClosedListener(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{ReadHeaderTimeout: time.Second}
	done := make(chan struct{})
	go func() {
		serveUntilClosed(server, &unnoticedListener{inner, make(chan struct{})})
		close(done)
	}()
	time.Sleep(50 * time.Millisecond) // until the server accepts connections
	_ = inner.Close()
	if err := shutDown(t.Context(), server); err != nil {
		t.Errorf("shutdown: %v", err)
	}
	<-done
}
