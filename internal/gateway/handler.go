package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenalug/galenalug/dispatch"
	"github.com/galenalug/galenalug/internal/clientconn"
	"github.com/galenalug/galenalug/routes"
)

const (
	// maxBufferedBody is the size up to which a request body is read in full before it is sent, so
	// that the request can be retried.
	maxBufferedBody = 1 << 20
	// defaultTimeout applies to a request until its route is known.
	defaultTimeout = 30 * time.Second
	// maxWaitFraction is the fraction of a request's time for which it may wait for an owner of its
	// key or for capacity at a server before it is refused.
	maxWaitFraction = 0.33
	// retryAfterFraction is the fraction of a refused request's remaining time that is sent as
	// Retry-After.
	retryAfterFraction = 0.3
	// grantPropagationDelay is how much later than this gateway an owner may learn of its grant:
	// the reply to its heartbeat may take a longer network path.
	grantPropagationDelay = 60 * time.Millisecond
	// shortRetryAfter is the upper bound of Retry-After if the server reported that it did not run
	// the request, since the cause is expected to pass at once.
	shortRetryAfter = 30 * time.Millisecond
	// otherGatewayRetryAfter is the upper bound of Retry-After if only this gateway can't serve the
	// request, and the client's next connection reaches another one.
	otherGatewayRetryAfter = 200 * time.Millisecond
)

// Reasons in the decision log and the metrics, in addition to those of package dispatch and of
// exchangeError.
const (
	reasonNoConfig    = "no-configuration"
	reasonStaleConfig = "stale-configuration"
	reasonStopping    = "stopping"
	reasonNoRoute     = "no-route"
	reasonNoOwner     = "no-owner"
	reasonNoServer    = "no-server"
	reasonRegion      = "no-server-in-allowed-regions"
	reasonOverload    = "owner-overloaded"
	reasonNoCapacity  = "service-overloaded"
	reasonQuarantined = "crashes-servers"
	reasonSuspected   = "may-crash-servers"
	reasonLinkFull    = "link-between-regions-full"
	reasonBody        = "request-body"
	reasonBodyLarge   = "request-body-too-large"
	reasonBodySlow    = "request-body-too-slow"
	reasonHeadLarge   = "request-head-too-large"
	reasonMemory      = "memory-short"
	reasonBusy        = "too-many-requests-in-progress"
	reasonNoKey       = "no-key"
	reasonNotExecuted = "server-did-not-run-it"
	reasonNotOwner    = "server-does-not-hold-the-key"
	reasonFromServer  = "response"
)

// call is the state of one client request.
type call struct {
	host             *Host
	request          *http.Request
	writer           http.ResponseWriter // nil until the turn of a call that runs ahead
	ahead            *aheadRequest       // nil unless the call runs before its turn
	conn             *clientConn         // nil unless requests of the connection may run before their turn
	info             RequestInfo
	started          time.Time
	deadline         time.Time
	route            *routes.Route
	service          string
	keyed            bool // the service is partitioned by key
	stamp            Stamp
	hold             hold // of the client's connection and memory
	place            place
	body             []byte
	stream           *clientBody     // replaces body if the body exceeds maxBufferedBody
	ctx              context.Context // of the attempts; ends when the gateway gives up its requests
	attempts         int
	granted          bool   // the route and the retry budget have allowed the next attempt
	server           string // ID of the server of the last attempt
	answered         bool   // whether a server ran the request and answered
	mayHaveRun       bool   // whether an attempt without a usable response may have run
	deniedBy         string // ID of the server that responded that it does not own the key
	deniedAt         time.Duration
	allowedBy        string         // ID of the owner for which allowedAtOwner has admitted the request
	chosenLoad       float64        // estimated requests at the chosen server
	avoid            []string       // IDs of servers that refused the request, or to which no connection opened
	basis            dispatch.Basis // why the server was chosen; empty without balance: work
	pausedFor        time.Duration  // how much longer all servers that may run the request want none
	bulk             *linkTicket    // on links between regions; nil for a small request
	linkWait         time.Duration  // how long the request would have to wait for the link
	slot             *slot          // at the chosen server, from the leader's queue; nil for none
	permitted        bool           // the leader has permitted the run of a suspected request
	quarantinedFor   time.Duration  // how much longer the request is quarantined
	fingerprintOnce  sync.Once
	fingerprintValue string
	progress         atomic.Pointer[progress] // of the latest attempt; nil before the first
}

// serve handles one client request.
func (h *Host) serve(w http.ResponseWriter, r *http.Request) {
	guarded := clientconn.From(r.Context())
	guarded.SetServing(true) // a request that has run before its turn is served without the rest of this function
	defer guarded.SetServing(false)
	conn := clientConnOf(r)
	defer conn.endRequest()
	served, attempts := conn.serveAhead(w, r)
	if served {
		return
	}
	c := h.newCall(w, r, conn.arrivedAt())
	c.attempts, c.mayHaveRun, c.granted = attempts, attempts > 0, attempts > 0
	c.openHold(guarded)
	defer c.closeHold()
	if !c.takeHead() {
		return
	}
	if h.draining.Load() && attempts == 0 { // the request might not end before the process does
		c.refuse(reasonStopping)
		return
	}
	c.serve()
}

// newCall returns the state of a request. The writer is nil for a request that runs before its turn.
func (h *Host) newCall(w http.ResponseWriter, r *http.Request, started time.Time) *call {
	c := &call{
		host: h, request: r, writer: w, started: started, conn: clientConnOf(r), info: h.dialect.ParseRequest(r.Header),
		ctx: r.Context(),
	}
	c.setDeadline(defaultTimeout)
	return c
}

// serve selects the route and runs the request.
func (c *call) serve() {
	h := c.host
	table, reason := c.waitForRoutes()
	if table == nil {
		if c.awaitTurn(nil) {
			c.writer.Header().Set("Connection", "close") // another gateway may serve the client
			c.refuse(reason)
		}
		return
	}
	path, _, _ := strings.Cut(c.request.RequestURI, "?")
	c.route = table.Match(c.request.Host, path)
	if c.route == nil {
		c.respondWithStatus(http.StatusNotFound, reasonNoRoute)
		return
	}
	if c.ahead != nil && !h.pipelining.mayRunAhead(c.route) { // the table has changed, or responses have become large
		c.ahead.again = true
		return
	}
	c.setDeadline(time.Duration(c.route.TimeoutMillis) * time.Millisecond)
	if c.ahead == nil && c.route.Kind.Repeatable() && safeRequest(c.request) && !h.pipelining.large.contains(clockNow(), c.route) {
		c.conn.allowAhead()
	}
	c.service = h.pickService(table.Version(), c.route)
	h.countRequest(c.service, c.info.Key)
	if !c.checkHead(table.Limits()) || !c.readBody(table.Limits()) {
		return
	}
	service := table.Service(c.service)
	if service.Keyed && c.info.Key == NoKey {
		c.respondWithStatus(http.StatusBadRequest, reasonNoKey)
		return
	}
	c.keyed = service.Keyed
	if !c.admitted() {
		c.refuse(reasonNoCapacity)
		return
	}
	if !c.place.take(c.request.Context(), h.clients, c.clientConn()) {
		c.refuse(reasonBusy)
		return
	}
	defer c.place.giveBack()
	c.run(service)
	c.endAdmitted()
}

// setDeadline sets the deadline to the earlier of the client's and the given timeout.
func (c *call) setDeadline(timeout time.Duration) {
	if c.info.Timeout > 0 {
		timeout = min(timeout, c.info.Timeout)
	}
	c.deadline = c.started.Add(timeout)
}

// limitToStop ends the request's time, if the gateway is stopping, at the end of the stop: what can't
// be answered by then is not sent to a server any more.
func (c *call) limitToStop() {
	end := time.Duration(c.host.stopEnd.Load())
	if end == 0 {
		return
	}
	if until := time.Now().Add(end - clockNow()); until.Before(c.deadline) {
		c.deadline = until
	}
}

// readBody reads the request body. If it can't be read, it responds to the client and returns
// false.
func (c *call) readBody(limits routes.Limits) bool {
	limit := limits.BodyBytes
	if limit > 0 && c.request.ContentLength > limit {
		c.respondWithStatus(http.StatusRequestEntityTooLarge, reasonBodyLarge)
		return false
	}
	body, ended, err := c.readStart(limit)
	if err != nil {
		c.refuseBody(err)
		return false
	}
	c.body = body
	c.hold.unread = !ended
	c.hold.awaitServer()
	if !ended {
		c.stream = &clientBody{reader: io.MultiReader(bytes.NewReader(body), c.request.Body), request: c.request, limit: limit, hold: &c.hold}
		// Only HTTP/1 needs this, which is half duplex by default.
		_ = http.NewResponseController(c.writer).EnableFullDuplex()
	}
	return true
}

// run sends the request until it gets a final response or must not be sent again.
func (c *call) run(service *routes.Service) {
	ctx, cancel := context.WithCancel(c.attemptContext())
	defer cancel()
	defer context.AfterFunc(c.host.givingUp, cancel)()
	defer context.AfterFunc(c.request.Context(), c.logClientLeft)()
	c.ctx = ctx
	c.bulk = c.bulkTicket()
	defer c.bulk.release()
	defer c.returnSlot()
	lastReason := reasonNotExecuted
	for {
		c.limitToStop()
		if c.refuseQuarantined() {
			return
		}
		if c.clientLeft() {
			c.drop()
		}
		target, reason := c.awaitServer(service)
		if target == nil {
			c.refuse(reason)
			return
		}
		if !c.mayAttempt() {
			c.refuse(lastReason)
			return
		}
		if reason := c.awaitPermit(target); reason != "" {
			c.refuse(reason)
			return
		}
		resp, err := c.send(target, service)
		c.endSlot(target, resp, err)
		c.endPermit(resp, err)
		final := err == nil && !c.notFinal(resp)
		if final {
			err = c.readWhole(resp)
			final = err == nil
		}
		if !final || c.route.Kind != routes.Download {
			c.bulk.release()
		}
		if err == nil && !resp.info.NotExecuted {
			c.recordAnswer()
			c.answered = true
		}
		if final {
			c.host.responseSizes.observe(c.route, resp)
			c.respond(resp)
			return
		}
		again := false
		if again, lastReason = c.handleFailure(resp, err); !again {
			return
		}
	}
}

// clientLeft reports whether the client has closed its connection.
func (c *call) clientLeft() bool {
	return c.request.Context().Err() != nil || c.stream != nil && c.stream.brokeOff()
}
