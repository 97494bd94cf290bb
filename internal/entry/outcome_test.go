package entry

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/galenalug/galenalug/internal/wire"
)

func placeOrder(t *testing.T, host *Host, header ...string) callerResponse {
	t.Helper()
	return call(t, host, "POST", "/v1/services/orders/place?x=1", "two buttons", append([]string{wire.HeaderKey, "k"}, header...)...)
}

func resetConnection(c net.Conn) bool {
	_ = c.(*net.TCPConn).SetLinger(0)
	return false
}

// TestOutcomes checks that the outcome reported to the caller agrees with what reached the server, for
// each way in which an attempt can end.
func TestOutcomes(t *testing.T) {
	cases := []struct {
		name    string
		handle  connHandler
		method  string
		status  int
		outcome string
		runs    int // number of requests that reached the server
	}{
		{"answered", respondOK, "POST", 200, "answered", 1},
		{"server error is an answer", func(_ *rawServer, c net.Conn, _ *http.Request, _ int) bool {
			return writeRaw(c, "HTTP/1.1 500 Oops\nContent-Length: 4\n\noops")
		}, "POST", 500, "answered", 1},
		{"shedding", func(_ *rawServer, c net.Conn, _ *http.Request, _ int) bool {
			return writeRaw(c, "HTTP/1.1 503 No\nGalena-Refused: shedding\nContent-Length: 0\n\n")
		}, "POST", 503, "not-run", 1},
		{"reset after the request", func(_ *rawServer, c net.Conn, _ *http.Request, _ int) bool {
			return resetConnection(c)
		}, "POST", 502, "unknown", 1},
		{"closed after the request", func(_ *rawServer, _ net.Conn, _ *http.Request, _ int) bool {
			return false
		}, "POST", 502, "unknown", 1},
		{"half an answer", func(_ *rawServer, c net.Conn, _ *http.Request, _ int) bool {
			writeRaw(c, "HTTP/1.1 200 OK\nContent-Length: 10\n\nhalf")
			return false
		}, "POST", 502, "unknown", 1},
		{"broken chunked answer", func(_ *rawServer, c net.Conn, _ *http.Request, _ int) bool {
			writeRaw(c, "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n4\nhalf\n")
			return false
		}, "POST", 502, "unknown", 1},
		{"answer without a length", func(_ *rawServer, c net.Conn, _ *http.Request, _ int) bool {
			writeRaw(c, "HTTP/1.1 200 OK\n\nmaybe half")
			return false
		}, "POST", 502, "unknown", 1},
		{"not HTTP", func(_ *rawServer, c net.Conn, _ *http.Request, _ int) bool {
			return writeRaw(c, "nonsense\n\n")
		}, "POST", 502, "unknown", 1},
		{"a lookup is repeated", func(_ *rawServer, c net.Conn, _ *http.Request, n int) bool {
			if n == 1 {
				return false
			}
			return writeRaw(c, okResponse)
		}, "GET", 200, "answered", 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			server := startRawServer(t, tc.handle)
			deps := newFakeDependencies()
			deps.setOwner(server.address(), 7)
			host := startHost(t, deps, nil)
			body := ""
			if tc.method == "POST" {
				body = "two buttons"
			}
			got := call(t, host, tc.method, "/v1/services/orders/place", body, wire.HeaderKey, "k")
			if got.status != tc.status || got.outcome != tc.outcome || server.runs() != tc.runs {
				t.Fatalf("got %d %q (%s), %d runs; want %d %q, %d", got.status, got.outcome, got.body, server.runs(), tc.status, tc.outcome, tc.runs)
			}
		})
	}
}

func TestForwardedRequest(t *testing.T) {
	server := startRawServer(t, respondOK)
	deps := newFakeDependencies()
	deps.setOwner(server.address(), 7)
	host := startHost(t, deps, nil)
	got := placeOrder(t, host, "X-Own", "1", "Connection", "x-hop", "X-Hop", "2", wire.HeaderCustomer, "maker", wire.HeaderToken, "99")
	if got.outcome != "answered" || got.body != "ok" || got.header.Get("Content-Type") != "text/plain" {
		t.Fatalf("got %+v", got)
	}
	seen := server.seen[0]
	for name, want := range map[string]string{
		"X-Own": "1", "X-Hop": "", "Connection": "", wire.HeaderCustomer: "maker", wire.HeaderToken: "7", wire.HeaderSlot: "3", wire.HeaderKey: "k",
	} {
		if seen.Header.Get(name) != want {
			t.Errorf("%s is %q, want %q", name, seen.Header.Get(name), want)
		}
	}
	if seen.RequestURI != "/place?x=1" || server.bodies[0] != "two buttons" || seen.Header.Get(wire.HeaderDeadlineMillis) == "" {
		t.Errorf("request line %q, body %q, header %v", seen.RequestURI, server.bodies[0], seen.Header)
	}
}

func TestDialRefusedIsNotRun(t *testing.T) {
	listener, _ := net.Listen("tcp", "127.0.0.1:0")
	address := listener.Addr().String()
	_ = listener.Close()
	deps := newFakeDependencies()
	deps.setOwner(address, 7)
	host := startHost(t, deps, nil)
	got := placeOrder(t, host, wire.HeaderDeadlineMillis, "250")
	if got.outcome != "not-run" || deps.failures() == 0 {
		t.Fatalf("got %+v, %d failures reported", got, deps.failures())
	}
}

// TestLateAnswer checks that a response that arrives after its request has timed out is not taken for
// the response to the next request.
func TestLateAnswer(t *testing.T) {
	release := make(chan struct{})
	server := startRawServer(t, func(_ *rawServer, c net.Conn, _ *http.Request, n int) bool {
		if n == 1 {
			<-release
			return writeRaw(c, "HTTP/1.1 200 OK\nContent-Length: 5\n\nfirst")
		}
		return writeRaw(c, "HTTP/1.1 200 OK\nContent-Length: 6\n\nsecond")
	})
	deps := newFakeDependencies()
	deps.setOwner(server.address(), 7)
	host := startHost(t, deps, nil)
	if got := placeOrder(t, host, wire.HeaderDeadlineMillis, "100"); got.status != 504 || got.outcome != "unknown" {
		t.Fatalf("got %+v", got)
	}
	close(release)
	if got := placeOrder(t, host); got.body != "second" {
		t.Fatalf("got response %q, want %q", got.body, "second")
	}
	if deps.timedOut != 1 || server.runs() != 2 {
		t.Fatalf("%d timeouts reported, %d runs", deps.timedOut, server.runs())
	}
}

// TestShortDeadlineIsNoEvidence checks that a timeout at a deadline below minTimeoutEvidence is not
// reported against the server.
func TestShortDeadlineIsNoEvidence(t *testing.T) {
	release := make(chan struct{})
	server := startRawServer(t, func(_ *rawServer, c net.Conn, _ *http.Request, _ int) bool {
		<-release
		return false
	})
	defer close(release)
	deps := newFakeDependencies()
	deps.setOwner(server.address(), 7)
	host := startHost(t, deps, nil)
	if got := placeOrder(t, host, wire.HeaderDeadlineMillis, "20"); got.status != 504 {
		t.Fatalf("got %+v", got)
	}
	if deps.timedOut != 0 {
		t.Fatalf("%d timeouts reported", deps.timedOut)
	}
}

// TestQueuedRequestsFollowOwnerChange queues requests for an unresponsive server and then moves their
// key to another one. Those that were not sent yet must go to the new owner.
func TestQueuedRequestsFollowOwnerChange(t *testing.T) {
	const callers = 40
	release := make(chan struct{})
	frozen := startRawServer(t, func(_ *rawServer, _ net.Conn, _ *http.Request, _ int) bool {
		<-release
		return false
	})
	next := startRawServer(t, respondOK)
	deps := newFakeDependencies()
	deps.setOwner(frozen.address(), 7)
	host := startHost(t, deps, nil)
	got := make(chan callerResponse, callers)
	for range callers {
		go func() { got <- placeOrder(t, host) }()
	}
	state := func() (running, waiting int) {
		host.gates.each(func(_ sessionKey, gs gateState) {
			for class := range gs.Running {
				running += gs.Running[class]
				waiting += gs.Waiting[class]
			}
		})
		return running, waiting
	}
	running, waiting := 0, 0
	for running+waiting < callers || frozen.runs() < running {
		<-pollTick()
		running, waiting = state()
	}
	deps.setOwner(next.address(), 8)
	for range waiting {
		if response := <-got; response.outcome != "answered" {
			t.Errorf("got %+v", response)
		}
	}
	close(release)
	for range running {
		if response := <-got; response.outcome != "unknown" {
			t.Errorf("request sent to the unresponsive server: got %+v", response)
		}
	}
}

func TestStaleTokenIsRerouted(t *testing.T) {
	var deps *fakeDependencies
	second := startRawServer(t, respondOK)
	first := startRawServer(t, func(_ *rawServer, c net.Conn, _ *http.Request, _ int) bool {
		defer deps.setOwner(second.address(), 8)
		return writeRaw(c, "HTTP/1.1 409 No\nGalena-Refused: stale-token\nContent-Length: 0\n\n")
	})
	deps = newFakeDependencies()
	deps.setOwner(first.address(), 7)
	host := startHost(t, deps, nil)
	if got := placeOrder(t, host); got.outcome != "answered" || second.seen[0].Header.Get(wire.HeaderToken) != "8" {
		t.Fatalf("got %+v", got)
	}
}

// TestRetriesOwnerThatLearnsItsGrantLate routes a request by a grant that the owner does not know yet.
// The host must retry the same grant, because no other one follows. Meanwhile the table changes for
// other reasons.
func TestRetriesOwnerThatLearnsItsGrantLate(t *testing.T) {
	var deps *fakeDependencies
	server := startRawServer(t, func(_ *rawServer, c net.Conn, _ *http.Request, n int) bool {
		if n <= 2 {
			defer deps.changeTable()
			return writeRaw(c, "HTTP/1.1 503 No\nGalena-Refused: not-owner\nContent-Length: 0\n\n")
		}
		return writeRaw(c, okResponse)
	})
	deps = newFakeDependencies()
	deps.setOwner(server.address(), 7)
	host := startHost(t, deps, nil)
	if got := placeOrder(t, host); got.outcome != "answered" || server.runs() != 3 {
		t.Fatalf("got %+v after %d attempts", got, server.runs())
	}
}

// TestTruncatedAnswerIsDetected checks that the caller gets an error if a streamed response, too large
// to be buffered, breaks off at the server.
func TestTruncatedAnswerIsDetected(t *testing.T) {
	for name, head := range map[string]string{
		"fixed":   "Content-Length: 4000000\n\n",
		"chunked": "Transfer-Encoding: chunked\n\n1e8480\n",
	} {
		t.Run(name, func(t *testing.T) {
			server := startRawServer(t, func(_ *rawServer, c net.Conn, _ *http.Request, _ int) bool {
				writeRaw(c, "HTTP/1.1 200 OK\n"+head+strings.Repeat("x", 2000000))
				if name == "chunked" {
					writeRaw(c, "\n")
				}
				return false
			})
			deps := newFakeDependencies()
			deps.setOwner(server.address(), 7)
			host := startHost(t, deps, nil)
			got := placeOrder(t, host)
			if got.status != 200 || got.err == nil {
				t.Fatalf("got status %d, %d body bytes and error %v; want status 200 and an error", got.status, len(got.body), got.err)
			}
		})
	}
}

// TestTruncatedUploadIsDetected checks that the server gets an error if the caller disconnects in the
// middle of an upload.
func TestTruncatedUploadIsDetected(t *testing.T) {
	for name, head := range map[string]string{
		"fixed":   "Content-Length: 100000\r\n\r\n",
		"chunked": "Transfer-Encoding: chunked\r\n\r\n186A0\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			broken, started := make(chan error, 1), make(chan struct{})
			server := startRawStream(t, func(body io.Reader) {
				_, _ = io.CopyN(io.Discard, body, 10000)
				close(started)
				_, err := io.Copy(io.Discard, body)
				broken <- err
			})
			deps := newFakeDependencies()
			deps.setOwner(server, 7)
			host := startHost(t, deps, nil)
			c, err := net.Dial("tcp", host.Addr())
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.WriteString(c, "PUT /v1/services/orders/batch HTTP/1.1\r\nHost: x\r\nGalena-Key: k\r\nGalena-Class: upload\r\n"+head+strings.Repeat("p", 20000))
			<-started
			_ = c.Close()
			if err := <-broken; err == nil {
				t.Fatal("the server read a truncated body without an error")
			}
		})
	}
}
