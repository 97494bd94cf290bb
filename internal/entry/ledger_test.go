package entry

import (
	"context"
	"net"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/retry"
)

// TestRecordedRuns resends a recorded request after each way it can end. The
// server counts the runs.
func TestRecordedRuns(t *testing.T) {
	cases := []struct {
		name   string
		handle connHandler
		first  string // outcome of the first try
		state  string // recorded
		status int    // of the resend
		second string // outcome of the resend
		runs   int
	}{
		{"answered", answerOK, "answered", stateAnswered, 200, "answered", 1},
		{"reset", func(_ *rawServer, c net.Conn, _ *httpRequest, _ int) bool { return resetConnection(c) }, "unknown", stateUnknown, 502, "unknown", 1},
		{"long answer", func(_ *rawServer, c net.Conn, _ *httpRequest, _ int) bool {
			return writeRaw(c, "HTTP/1.1 200 OK\nContent-Length: 300000\n\n"+strings.Repeat("x", 300000))
		}, "answered", stateNotKept, 409, "unknown", 1},
		{"refused", func(_ *rawServer, c net.Conn, _ *httpRequest, n int) bool {
			if n > 1 {
				return writeRaw(c, okAnswer)
			}
			return writeRaw(c, "HTTP/1.1 503 No\nGalena-Refused: shedding\nContent-Length: 0\n\n")
		}, "not-run", stateNotRun, 200, "answered", 2},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			server := startRawServer(t, one.handle)
			deps := newFakeDependencies()
			deps.setOwner(server.address(), 7)
			host := startHost(t, deps, nil)
			if got := placeOrder(t, host, wire.HeaderIdempotencyKey, "a"); got.outcome != one.first {
				t.Fatalf("the first try got %+v", got)
			}
			if finish := <-deps.finished; finish.State != one.state || finish.Attempt != 1 {
				t.Fatalf("recorded %+v", finish)
			}
			got := placeOrder(t, host, wire.HeaderIdempotencyKey, "a")
			if got.status != one.status || got.outcome != one.second || server.runs() != one.runs {
				t.Fatalf("the resend got %+v, %d runs", got, server.runs())
			}
			if one.second == "answered" && got.body != "ok" {
				t.Fatalf("the resend got the body %q", got.body)
			}
		})
	}
}

// TestResendWhileRunning resends a request that is at the server, and the same
// id with another body.
func TestResendWhileRunning(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	server := startRawServer(t, func(_ *rawServer, c net.Conn, _ *httpRequest, _ int) bool {
		close(arrived)
		<-release
		return writeRaw(c, okAnswer)
	})
	deps := newFakeDependencies()
	deps.setOwner(server.address(), 7)
	host := startHost(t, deps, nil)
	first := make(chan reply, 1)
	go func() { first <- placeOrder(t, host, wire.HeaderIdempotencyKey, "a") }()
	<-arrived
	if got := placeOrder(t, host, wire.HeaderIdempotencyKey, "a"); got.status != 409 || got.outcome != "unknown" {
		t.Errorf("the resend got %+v", got)
	}
	other := call(t, host, "POST", "/v1/services/orders/place?x=1", "three buttons", wire.HeaderKey, "k", wire.HeaderIdempotencyKey, "a")
	if other.status != 422 || other.outcome != "not-run" {
		t.Errorf("the other body got %+v", other)
	}
	close(release)
	if got := <-first; got.outcome != "answered" || server.runs() != 1 {
		t.Errorf("the first try got %+v, %d runs", got, server.runs())
	}
}

// TestCallerLeaves loses the caller of a recorded request: it goes on, and the
// resend finds its answer.
func TestRecordedRequestOutlivesCaller(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	server := startRawServer(t, func(_ *rawServer, c net.Conn, _ *httpRequest, _ int) bool {
		close(arrived)
		<-release
		return writeRaw(c, okAnswer)
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
		t.Fatalf("the resend got %+v, %d runs", got, server.runs())
	}
}

// TestNotWritable lets the lease end before the first byte.
func TestNotWritable(t *testing.T) {
	server := startRawServer(t, answerOK)
	deps := newFakeDependencies()
	deps.writable = func() bool { return false }
	deps.setOwner(server.address(), 7)
	host := startHost(t, deps, nil)
	got := placeOrder(t, host, wire.HeaderDeadlineMillis, "100")
	if got.outcome != "not-run" || server.runs() != 0 {
		t.Fatalf("got %+v, %d runs", got, server.runs())
	}
}

// TestWaitForOwner holds a request until its key has an owner.
func TestWaitForOwner(t *testing.T) {
	server := startRawServer(t, answerOK)
	deps := newFakeDependencies()
	host := startHost(t, deps, nil)
	got := make(chan reply, 1)
	go func() { got <- placeOrder(t, host) }()
	for host.ownerWaiters.Load() == 0 {
		<-pollTick()
	}
	deps.setOwner(server.address(), 7)
	if one := <-got; one.outcome != "answered" {
		t.Fatalf("got %+v", one)
	}
}

func TestRefusedBeforeSending(t *testing.T) {
	server := startRawServer(t, answerOK)
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
	for _, one := range cases {
		got := call(t, host, one.method, one.path, one.body, one.header...)
		if got.status != one.status || got.outcome != "not-run" {
			t.Errorf("%s %s %v: got %+v", one.method, one.path, one.header, got)
		}
	}
	deps.denyAdmission.Store(true)
	if got := placeOrder(t, host); got.status != 429 || got.header.Get("Retry-After") != "3" {
		t.Errorf("without allowance: got %+v", got)
	}
	if server.runs() != 0 {
		t.Errorf("%d requests reached the server", server.runs())
	}
}

// TestAttemptContext checks which requests end with their caller.
func TestAttemptContext(t *testing.T) {
	gone, leave := context.WithCancel(context.Background())
	leave()
	in := &inboundRequest{callerContext: gone}
	if (&pendingRequest{in: in}).attemptContext().Err() == nil {
		t.Error("a request goes on without its caller")
	}
	if err := (&pendingRequest{in: in, record: &runRecord{}}).attemptContext().Err(); err != nil {
		t.Errorf("a recorded request ends with its caller: %v", err)
	}
}

// TestBeginAgain meets a slot on its way to another group, and a Begin whose
// reply is lost: both are tried again as the same try.
func TestBeginIsRetriedWithSameNonce(t *testing.T) {
	server := startRawServer(t, answerOK)
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
			t.Errorf("%d tries, one with the nonce %x", len(deps.begun), begin.Nonce)
		}
	}
	deps.beginFailures = make([]error, 1000) // sealed for longer than the deadline
	deps.mu.Unlock()
	got := placeOrder(t, host, wire.HeaderIdempotencyKey, "b", wire.HeaderDeadlineMillis, "200")
	if got.status != 503 || got.outcome != "not-run" || server.runs() != 1 {
		t.Errorf("with a sealed slot: got %+v, %d runs", got, server.runs())
	}
}

// TestSealedFinish meets a slot on its way to another group after the answer.
func TestFinishIsRetriedOnSealedSlot(t *testing.T) {
	server := startRawServer(t, answerOK)
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

// TestRetryBudgetOfGrants counts the attempts at an owner that can't be reached
// or refuses its grant, with and without a retry budget.
func TestGrantRetriesUseRetryBudget(t *testing.T) {
	refusing := startRawServer(t, func(_ *rawServer, c net.Conn, _ *httpRequest, _ int) bool {
		return writeRaw(c, "HTTP/1.1 503 No\nGalena-Refused: not-owner\nContent-Length: 0\n\n")
	})
	gone := startRawServer(t, answerOK)
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
		t.Errorf("%d connections with a budget", deps.failures())
	}
	host.budgets.mu.Lock()
	host.budgets.config, host.budgets.byService = retry.BudgetConfig{}, map[string]*retry.Budget{}
	host.budgets.mu.Unlock()
	before := deps.failures()
	if fail("300"); deps.failures() != before+1 {
		t.Errorf("%d connections without a budget", deps.failures()-before)
	}
	deps.setOwner(refusing.address(), 8)
	if fail("2000"); refusing.runs() != unbudgetedGrantAttempts+1 {
		t.Errorf("%d refusals without a budget", refusing.runs())
	}
}
