package gateway

import (
	"bytes"
	"context"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/galenalug/galenalug/internal/clientconn"
	"github.com/galenalug/galenalug/internal/membudget"
)

// maxHeldHead is the size up to which a response's head is held until the response's turn, bytes.
const maxHeldHead = 16 << 10

// Results of pipelined requests in the metrics: those that ran ahead, why others did not, and what became
// of the former.
const (
	ranAhead           = "ahead"
	notAheadTurn       = "not-ahead-turn"   // nothing that may run beside it was running
	notAheadForm       = "not-ahead-form"   // not a GET or HEAD request without a body and special fields
	notAheadRoute      = "not-ahead-route"  // its route is not idempotent
	notAheadDepth      = "not-ahead-depth"  // enough requests of the connection are ahead
	notAheadNoRoom     = "not-ahead-room"   // enough requests of the process are ahead
	notAheadEnding     = "not-ahead-ending" // the connection closes, or the gateway is stopping
	aheadCanceled      = "canceled"
	aheadNotHeld       = "not-held"       // its response was too large to be held: it ran again
	aheadNotRecognized = "not-recognized" // net/http has read another request
)

// aheadRequest is a request that runs before its turn. Its response waits until net/http calls the handler for
// it.
type aheadRequest struct {
	conn     *clientConn
	request  *http.Request // as parsed here; equal to that of net/http
	arrived  time.Time
	account  *membudget.Account
	turn     chan struct{} // closed when writer is set
	writer   http.ResponseWriter
	done     chan struct{} // closed at the end; the fields below are set before
	again    bool          // there is no response; the request has to run in its turn
	attempts int           // that were made before
	canceled bool
	panicked any
}

// startAhead starts the requests in the buffer that may run before their turn. The caller holds mu.
func (c *clientConn) startAhead() {
	for !c.barrier && c.scanner.state == atStart && c.looked < len(c.buf) {
		rest := c.buf[c.looked:]
		end := bytes.Index(rest, []byte("\r\n\r\n"))
		if end < 0 {
			return
		}
		end += len("\r\n\r\n")
		c.cause, c.barrier = c.startNext(rest[:end], c.arrivalOf(c.looked+end))
		if c.cause != "" {
			return
		}
		c.looked += end
	}
}

// startNext starts the request with the given head. Otherwise it returns the cause, and whether that lasts. The
// caller holds mu.
func (c *clientConn) startNext(head []byte, arrived time.Time) (cause string, lasts bool) {
	h := c.shared.host
	switch {
	case !c.allowed:
		return notAheadTurn, false
	case c.noMore || h.stopping.Load():
		return notAheadEnding, true
	case len(c.queue) >= c.shared.depth:
		return notAheadDepth, false
	}
	r := parseAhead(head)
	if r == nil {
		return notAheadForm, true
	}
	table, stamp, _ := h.view.snapshot(clockNow())
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if table == nil || !stamp.ConfigUsable || !c.shared.mayRunAhead(table.Match(r.Host, path)) {
		return notAheadRoute, true
	}
	account := c.takeAhead(r)
	if account == nil {
		return notAheadNoRoom, false
	}
	if c.ctx == nil {
		c.ctx, c.cancel = context.WithCancel(context.WithValue(context.Background(), connKey{}, c))
	}
	r.RemoteAddr = c.RemoteAddr().String()
	a := &aheadRequest{
		conn: c, request: r.WithContext(c.ctx), arrived: arrived, account: account,
		turn: make(chan struct{}), done: make(chan struct{}),
	}
	c.queue = append(c.queue, a)
	c.shared.running.Add(1)
	h.metrics.pipelined.WithLabelValues(ranAhead).Inc()
	go a.run(h)
	return "", false
}

// takeAhead takes a part of what all requests ahead may have, and the memory of the request's head. It returns the account
// of the request, or nil if there is not enough. The account does not give way before the response is written: its client
// has done its part. If it has to then, the connection is closed. The caller holds mu.
func (c *clientConn) takeAhead(r *http.Request) *membudget.Account {
	if !c.shared.ahead.TryAcquire(1) {
		return nil
	}
	now := clockNow()
	account := c.shared.host.clients.budget.Open(now, func() { c.Cut(clientconn.MemoryShort) })
	account.SetAtServer(now, true)
	if !account.TryTake(membudget.Heads, headMemory(headSize(r))) {
		account.Close()
		c.shared.ahead.Release(1)
		return nil
	}
	return account
}

// run serves the request in the code path of other requests.
func (a *aheadRequest) run(h *Host) {
	c := h.newCall(nil, a.request, a.arrived)
	c.ahead = a
	c.hold.account = a.account
	defer func() {
		a.panicked = recover() // raised again in the handler
		if a.canceled = c.writer == nil && !a.again; a.canceled {
			h.metrics.pipelined.WithLabelValues(aheadCanceled).Inc()
		}
		a.conn.shared.running.Add(-1)
		a.conn.shared.ahead.Release(1)
		close(a.done)
	}()
	defer c.closeHold() // before the end is known: the connection then serves the next request
	c.serve()
}

// serveAhead serves a request from what ran ahead for it. If it returns false, the request has to be served as
// usual; attempts is how many attempts were made nevertheless.
func (c *clientConn) serveAhead(w http.ResponseWriter, r *http.Request) (served bool, attempts int) {
	a := c.takeNext(r)
	if a == nil {
		return false, 0
	}
	c.allowAhead()
	a.writer = w
	close(a.turn)
	<-a.done
	switch {
	case a.panicked != nil:
		panic(a.panicked)
	case a.again:
		c.shared.host.metrics.pipelined.WithLabelValues(aheadNotHeld).Inc()
		return false, a.attempts
	case a.canceled:
		panic(http.ErrAbortHandler) // the client has left; without a response net/http would send an empty one
	}
	return true, 0
}

// takeNext returns the request ahead that net/http has read now, or nil. If net/http has read another one, all
// requests ahead are canceled.
func (c *clientConn) takeNext(r *http.Request) *aheadRequest {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.next
	c.next = nil
	if a == nil || a.sameAs(r) {
		return a
	}
	c.shared.host.metrics.pipelined.WithLabelValues(aheadNotRecognized).Inc()
	c.cancelAhead()
	c.queue, c.looked = nil, 0
	return nil
}

// sameAs reports whether net/http has read the same request.
func (a *aheadRequest) sameAs(r *http.Request) bool {
	own := a.request
	return own.Method == r.Method && own.RequestURI == r.RequestURI && own.Host == r.Host && own.Proto == r.Proto &&
		r.ContentLength == 0 && maps.EqualFunc(own.Header, r.Header, slices.Equal[[]string])
}

// awaitTurn returns true when the call may write its response: at once, unless it runs ahead. A response of a
// backend server is held as far as there is memory. A larger one waits at its server, which may cut it off, unless
// the route and the retry budget let the request run again in its turn.
//
// A call without a connection to a server gives back its place among the requests in progress, and a slot that it has not
// used, before it waits. It needs none to write the response: it can't be refused any more.
func (c *call) awaitTurn(resp *backendResponse) bool {
	a := c.ahead
	if a == nil || c.writer != nil {
		return true
	}
	select {
	case <-a.turn:
		c.writer = a.writer
		return true
	default:
	}
	switch {
	case resp == nil || resp.hold():
		c.place.giveBack()
		c.returnSlot()
	case c.mayAttempt():
		resp.finish(false)
		a.again, a.attempts = true, c.attempts
		return false
	}
	select {
	case <-a.turn:
		c.writer = a.writer
		return true
	case <-a.request.Context().Done():
	}
	if resp != nil {
		resp.finish(false)
	}
	c.log("client left", reasonCanceled, 0, true)
	return false
}

// hold ends the exchange of a complete response that waits for its turn, and keeps the memory of its body until
// finish is called again. Of any other it returns false.
func (r *backendResponse) hold() bool {
	size := 0
	for name, values := range r.header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	if r.rest != nil || size > maxHeldHead {
		return false
	}
	release := r.releaseBody
	r.releaseBody = func() {}
	r.finish(true)
	r.finish = func(bool) { release() }
	return true
}
