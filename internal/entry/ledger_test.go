package entry

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/retry"
)

// TestRecordedRuns resends a recorded request after each way in which it can end, and checks that it
// runs again only if it is known not to have run.
func TestRecordedRuns(t *testing.T) {
	cases := []struct {
		name   string
		handle connHandler
		first  string // outcome of the first request
		state  string // state recorded in the ledger
		status int    // status of the resend
		second string // outcome of the resend
		runs   int    // requests that reached the server
	}{
		{"answered", respondOK, "answered", stateAnswered, 200, "answered", 1},
		{"reset", func(_ *rawServer, c net.Conn, _ *http.Request, _ int) bool { return resetConnection(c) }, "unknown", stateUnknown, 502, "unknown", 1},
		{"long answer", func(_ *rawServer, c net.Conn, _ *http.Request, _ int) bool {
			return writeRaw(c, "HTTP/1.1 200 OK\nContent-Length: 300000\n\n"+strings.Repeat("x", 300000))
		}, "answered", stateNotKept, 409, "unknown", 1},
		{"refused", func(_ *rawServer, c net.Conn, _ *http.Request, n int) bool {
			if n > 1 {
				return writeRaw(c, okResponse)
			}
			return writeRaw(c, "HTTP/1.1 503 No\nGalena-Refused: shedding\nContent-Length: 0\n\n")
		}, "not-run", stateNotRun, 200, "answered", 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			server := startRawServer(t, tc.handle)
			deps := newFakeDependencies()
			deps.setOwner(server.address(), 7)
			host := startHost(t, deps, nil)
			if got := placeOrder(t, host, wire.HeaderIdempotencyKey, "a"); got.outcome != tc.first {
				t.Fatalf("first request: got %+v", got)
			}
			if finish := <-deps.finished; finish.State != tc.state || finish.Attempt != 1 {
				t.Fatalf("recorded %+v", finish)
			}
			got := placeOrder(t, host, wire.HeaderIdempotencyKey, "a")
			if got.status != tc.status || got.outcome != tc.second || server.runs() != tc.runs {
				t.Fatalf("resend: got %+v, %d runs", got, server.runs())
			}
			if tc.second == "answered" && got.body != "ok" {
				t.Fatalf("resend: got body %q", got.body)
			}
		})
	}
}

// TestResendWhileRunning resends a request while it runs at the server, and sends another body with the
// same idempotency key.
func TestResendWhileRunning(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	server := startRawServer(t, func(_ *rawServer, c net.Conn, _ *http.Request, _ int) bool {
		close(arrived)
		<-release
		return writeRaw(c, okResponse)
	})
	deps := newFakeDependencies()
	deps.setOwner(server.address(), 7)
	host := startHost(t, deps, nil)
	first := make(chan callerResponse, 1)
	go func() { first <- placeOrder(t, host, wire.HeaderIdempotencyKey, "a") }()
	<-arrived
	if got := placeOrder(t, host, wire.HeaderIdempotencyKey, "a"); got.status != 409 || got.outcome != "unknown" {
		t.Errorf("resend: got %+v", got)
	}
	other := call(t, host, "POST", "/v1/services/orders/place?x=1", "three buttons", wire.HeaderKey, "k", wire.HeaderIdempotencyKey, "a")
	if other.status != 422 || other.outcome != "not-run" {
		t.Errorf("different body: got %+v", other)
	}
	close(release)
	if got := <-first; got.outcome != "answered" || server.runs() != 1 {
		t.Errorf("first request: got %+v, %d runs", got, server.runs())
	}
}

// TestRecordedRequestOutlivesCaller checks that a recorded request continues after its caller has
// disconnected, and that a resend gets its response.
func TestRecordedRequestOutlivesCaller(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	server := startRawServer(t, func(_ *rawServer, c net.Conn, _ *http.Request, _ int) bool {
		close(arrived)
		<-release
		return writeRaw(c, okResponse)
	})
	deps := newFakeDependencies()
	deps.setOwner(server.address(), 7)
	host := startHost(t, deps, nil)
	c, err := net.Dial("tcp", host.Addr())
	if err != nil {
		t.Fatal(err)
	}
	writeRaw(c, "POST /v1/services/orders/place?x=1 HTTP/1.1\nHost: x\nGalena-Key: k\nIdempotency-Key: a\nContent-Length: 11\n\ntwo buttons")
	<-arrived
	_ = c.Close()
	close(release)
	if finish := <-deps.finished; finish.State != stateAnswered {
		t.Fatalf("recorded %+v", finish)
	}
	if got := placeOrder(t, host, wire.HeaderIdempotencyKey, "a"); got.body != "ok" || server.runs() != 1 {
		t.Fatalf("resend: got %+v, %d runs", got, server.runs())
	}
}

// TestNotWritable checks that a request is not sent if the lease expires before its first byte is
// written.
func TestNotWritable(t *testing.T) {
	server := startRawServer(t, respondOK)
	deps := newFakeDependencies()
	deps.writable = func() bool { return false }
	deps.setOwner(server.address(), 7)
	host := startHost(t, deps, nil)
	got := placeOrder(t, host, wire.HeaderDeadlineMillis, "100")
	if got.outcome != "not-run" || server.runs() != 0 {
		t.Fatalf("got %+v, %d runs", got, server.runs())
	}
}

// TestWaitForOwner checks that a request waits until its key has an owner.
func TestWaitForOwner(t *testing.T) {
	server := startRawServer(t, respondOK)
	deps := newFakeDependencies()
	host := startHost(t, deps, nil)
	got := make(chan callerResponse, 1)
	go func() { got <- placeOrder(t, host) }()
	for host.ownerWaiters.Load() == 0 {
		<-pollTick()
	}
	deps.setOwner(server.address(), 7)
	if response := <-got; response.outcome != "answered" {
		t.Fatalf("got %+v", response)
	}
}

func TestRefusedBeforeSending(t *testing.T) {
	server := startRawServer(t, respondOK)
	deps := newFakeDependencies()
	deps.setOwner(server.address(), 7)
	host := startHost(t, deps, nil)
	cases := []struct {
		method, path, body string
		header             []string
		status             int
	}{
		{"POST", "/v1/services/orders/p", "x", nil, 400},
		{"POST", "/v1/services/nobody/p", "x", nil, 404},
		{"POST", "/v1/services/orders/galena/v1/probe", "x", []string{wire.HeaderKey, "k"}, 400},
		{"GET", "/v1/services/orders/p", "", []string{wire.HeaderKey, "k", wire.HeaderDeadlineMillis, "soon"}, 400},
		{"GET", "/v1/services/orders/p", "", []string{wire.HeaderKey, "k", wire.HeaderClass, "bulk"}, 400},
		{"GET", "/v1/services/orders/p", "", []string{wire.HeaderKey, "k", wire.HeaderRepeatable, "maybe"}, 400},
		{"GET", "/nowhere", "", nil, 404},
		{"POST", "/v1/services/photos/p", "x", nil, 503},
	}
	for _, tc := range cases {
		got := call(t, host, tc.method, tc.path, tc.body, tc.header...)
		if got.status != tc.status || got.outcome != "not-run" {
			t.Errorf("%s %s %v: got %+v", tc.method, tc.path, tc.header, got)
		}
	}
	deps.denyAdmission.Store(true)
	if got := placeOrder(t, host); got.status != 429 || got.header.Get("Retry-After") != "3" {
		t.Errorf("allowance used up: got %+v", got)
	}
	if server.runs() != 0 {
		t.Errorf("%d requests reached the server", server.runs())
	}
}

// TestAttemptContext checks that a request is canceled when its caller disconnects, unless it is
// recorded.
func TestAttemptContext(t *testing.T) {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	in := &inboundRequest{callerContext: canceled}
	if (&pendingRequest{in: in}).attemptContext().Err() == nil {
		t.Error("unrecorded request: context not canceled with its caller's")
	}
	if err := (&pendingRequest{in: in, record: &runRecord{}}).attemptContext().Err(); err != nil {
		t.Errorf("recorded request: context canceled with its caller's: %v", err)
	}
}

// TestBeginIsRetriedWithSameNonce checks that a Begin that finds the slot sealed, or whose reply is
// lost, is retried with the same nonce, so that the ledger recognizes the retry.
func TestBeginIsRetriedWithSameNonce(t *testing.T) {
	server := startRawServer(t, respondOK)
	deps := newFakeDependencies()
	deps.setOwner(server.address(), 7)
	deps.beginFailures = []error{nil, errors.New("reply lost"), nil, errors.New("reply lost")}
	host := startHost(t, deps, nil)
	if got := placeOrder(t, host, wire.HeaderIdempotencyKey, "a"); got.outcome != "answered" || server.runs() != 1 {
		t.Errorf("got %+v, %d runs", got, server.runs())
	}
	deps.mu.Lock()
	for _, begin := range deps.begun {
		if string(begin.Nonce) != string(deps.begun[0].Nonce) || len(deps.begun) != 5 {
			t.Errorf("%d calls of Begin, one with the nonce %x", len(deps.begun), begin.Nonce)
		}
	}
	deps.beginFailures = make([]error, 1000) // sealed for longer than the deadline
	deps.mu.Unlock()
	got := placeOrder(t, host, wire.HeaderIdempotencyKey, "b", wire.HeaderDeadlineMillis, "200")
	if got.status != 503 || got.outcome != "not-run" || server.runs() != 1 {
		t.Errorf("slot sealed past the deadline: got %+v, %d runs", got, server.runs())
	}
}

// TestFinishIsRetriedOnSealedSlot checks that the end of a run is recorded even if the slot is sealed
// at first, because it is moving to another group.
func TestFinishIsRetriedOnSealedSlot(t *testing.T) {
	server := startRawServer(t, respondOK)
	deps := newFakeDependencies()
	deps.setOwner(server.address(), 7)
	deps.sealedFinishes = 1
	host := startHost(t, deps, nil)
	if got := placeOrder(t, host, wire.HeaderIdempotencyKey, "a"); got.outcome != "answered" {
		t.Errorf("got %+v", got)
	}
	if finish := <-deps.finished; finish.State != stateAnswered {
		t.Errorf("recorded %+v", finish)
	}
}

// TestGrantRetriesUseRetryBudget counts the attempts at an owner that can't be reached or refuses its
// grant, with and without a retry budget. Unlimited retries could keep the owner overloaded.
func TestGrantRetriesUseRetryBudget(t *testing.T) {
	refusing := startRawServer(t, func(_ *rawServer, c net.Conn, _ *http.Request, _ int) bool {
		return writeRaw(c, "HTTP/1.1 503 No\nGalena-Refused: not-owner\nContent-Length: 0\n\n")
	})
	gone := startRawServer(t, respondOK)
	_ = gone.listener.Close()
	deps := newFakeDependencies()
	host := startHost(t, deps, nil)
	fail := func(deadlineMillis string) {
		if got := placeOrder(t, host, wire.HeaderDeadlineMillis, deadlineMillis); got.outcome != "not-run" {
			t.Errorf("got %+v", got)
		}
	}
	deps.setOwner(gone.address(), 7)
	if fail("300"); deps.failures() < 2 {
		t.Errorf("with a retry budget: %d connection attempts, want at least 2", deps.failures())
	}
	host.budgets.mu.Lock()
	host.budgets.config, host.budgets.byService = retry.BudgetConfig{}, map[string]*retry.Budget{}
	host.budgets.mu.Unlock()
	before := deps.failures()
	if fail("300"); deps.failures() != before+1 {
		t.Errorf("without a retry budget: %d connection attempts, want 1", deps.failures()-before)
	}
	deps.setOwner(refusing.address(), 8)
	if fail("2000"); refusing.runs() != unbudgetedGrantRetries+1 {
		t.Errorf("without a retry budget: %d refused attempts, want %d", refusing.runs(), unbudgetedGrantRetries+1)
	}
}
