package gateway

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/dispatch"
	"github.com/galenalug/galenalug/internal/eventlog"
	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/routes"
)

const (
	// bufferedBody is the longest request body that is read whole before it is
	// sent, so that it can be sent again.
	bufferedBody = 1 << 20
	// defaultTimeout bounds a request whose client names no deadline.
	defaultTimeout = 30 * time.Second
	// holdPart is the part of its time for which a request waits for an owner of
	// its key or room at a server before it is refused.
	holdPart = 0.33
	// returnPart is the part of the time left after which a refused client is
	// told to return.
	returnPart = 0.3
	// grantDelay is how much later than this gateway an owner may hear of its
	// grant: its heartbeat's reply may have farther to go.
	grantDelay = 60 * time.Millisecond
	// soon is when a client is told to return if what it was refused for passes
	// at once.
	soon = 30 * time.Millisecond
)

// Reasons of refusals, besides those of dispatch and failures.
const (
	reasonNoConfig   = "no-configuration"
	reasonNoRoute    = "no-route"
	reasonNoOwner    = "no-owner"
	reasonNoServer   = "no-server"
	reasonOverload   = "owner-overloaded"
	reasonNoBudget   = "no-retry-budget"
	reasonBody       = "request-body"
	reasonBodyLarge  = "request-body-too-large"
	reasonNoKey      = "no-key"
	reasonNotRun     = "server-did-not-run-it"
	reasonNotHolder  = "server-does-not-hold-the-key"
	reasonDeadline   = "deadline"
	reasonFromServer = "response"
)

// call is one request of a client on its way.
type call struct {
	host     *Host
	request  *http.Request
	writer   http.ResponseWriter
	info     RequestInfo
	started  time.Time
	deadline time.Time
	route    *routes.Route
	service  string
	stamp    Stamp
	body     []byte
	stream   io.Reader // the body if it is too long to be kept
	attempts int
	server   string // the server of the last attempt
	mayRun   bool   // whether an attempt without a response may have run
	denied   string // server that said that it does not hold the key
	deniedAt time.Duration
	passed   string // overloaded server whose part the request is in
	load     float64
}

// serve answers one request.
func (h *Host) serve(w http.ResponseWriter, r *http.Request) {
	c := &call{host: h, request: r, writer: w, started: time.Now(), info: h.dialect.Request(r.Header)}
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	c.setDeadline(defaultTimeout)
	table := c.waitForRoutes()
	if table == nil {
		c.refuse(reasonNoConfig)
		return
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	c.route = table.Match(r.Host, path)
	if c.route == nil {
		c.end(http.StatusNotFound, reasonNoRoute)
		return
	}
	c.setDeadline(time.Duration(c.route.TimeoutMillis) * time.Millisecond)
	c.service = h.pick(table.Version(), c.route)
	h.countRequest(c.service, c.info.Key)
	if !c.readBody(table.Limits()) {
		return
	}
	service := table.Service(c.service)
	if service.Keyed && c.info.Key == NoKey {
		c.end(http.StatusBadRequest, reasonNoKey)
		return
	}
	c.run(service)
}

// waitForRoutes returns the routes, for which a gateway that has just started may
// have to wait; nil if there are none in time.
func (c *call) waitForRoutes() *routes.Table {
	until := c.holdUntil()
	for {
		table, stamp, changed := c.host.view.snapshot(clockNow())
		c.stamp = stamp
		left := time.Until(until)
		if table != nil || left <= 0 || !c.waitForChange(left, changed) {
			return table
		}
	}
}

// holdUntil returns until when the request may wait before it is sent.
func (c *call) holdUntil() time.Time {
	return c.started.Add(time.Duration(holdPart * float64(c.deadline.Sub(c.started))))
}

// setDeadline bounds the request by the client's deadline and a timeout.
func (c *call) setDeadline(timeout time.Duration) {
	if c.info.Left > 0 {
		timeout = min(timeout, c.info.Left)
	}
	c.deadline = c.started.Add(timeout)
}

// readBody reads the request's body. It answers the client and returns false if
// it can't be read.
func (c *call) readBody(limits routes.Limits) bool {
	most := limits.BodyBytes
	if most > 0 && c.request.ContentLength > most {
		c.end(http.StatusRequestEntityTooLarge, reasonBodyLarge)
		return false
	}
	body, err := io.ReadAll(io.LimitReader(c.request.Body, bufferedBody))
	if err != nil {
		c.end(http.StatusBadRequest, reasonBody)
		return false
	}
	c.body = body
	if len(body) == bufferedBody {
		c.stream = io.MultiReader(bytes.NewReader(body), c.request.Body)
		_ = http.NewResponseController(c.writer).EnableFullDuplex() // HTTP/1 only; there the default is half duplex
	}
	return true
}

// run sends the request until it has a final response.
func (c *call) run(service *routes.Service) {
	last := reasonNotRun
	for {
		if c.request.Context().Err() != nil {
			c.log("client left", reasonCanceled, 0, true)
			return
		}
		target, reason := c.target(service)
		if target == nil {
			c.refuse(reason)
			return
		}
		if !c.mayAttempt() {
			c.refuse(last)
			return
		}
		in, err := c.send(target, service)
		if err == nil && !c.rejected(in) {
			c.respond(in)
			return
		}
		again := false
		if again, last = c.afterFailure(in, err); !again {
			return
		}
	}
}

// mayAttempt tells whether the request may be sent once more, and spends from
// the retry budget.
func (c *call) mayAttempt() bool {
	if c.attempts == 0 {
		return true
	}
	return c.attempts < int(c.route.MaxAttempts) && c.host.spendRetry(c.service)
}

// rejected tells whether the response is no final response: the server did not
// run the request, or does not vouch for what looks like a success.
func (c *call) rejected(in *inbound) bool {
	if in.info.NotRun {
		return true
	}
	return !in.info.Sealed && (in.status < http.StatusBadRequest || isPromise(in.status))
}

// isPromise tells whether a status says that the request has not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// afterFailure tells whether the request is to be sent again, and why the
// attempt failed. It answers the client if not.
func (c *call) afterFailure(in *inbound, err error) (again bool, reason string) {
	ran := false
	reason = reasonNotRun
	switch {
	case err != nil:
		var f *failure
		errors.As(err, &f)
		ran, reason = f.mayRun, f.reason
		if reason == reasonConnect {
			c.attempts-- // nothing reached a server
		}
	case in.info.NotRun:
		in.finish(true)
	default:
		in.finish(false)
		ran, reason = true, reasonUnsealed
	}
	if in != nil && in.info.NotHolder {
		c.denied, c.deniedAt = c.server, clockNow()
		reason = reasonNotHolder
	}
	c.mayRun = c.mayRun || ran
	switch {
	case reason == reasonCanceled:
		c.log("client left", reason, 0, true)
		return false, reason
	case c.mayRun && !c.route.Kind.Repeatable():
		c.fail(reason)
		return false, reason
	case reason == reasonTimeout || time.Until(c.deadline) <= 0:
		c.fail(reason)
		return false, reason
	}
	return true, reason
}

// target returns the server for the next attempt. It waits for an owner of the
// key or for room at a server as long as the client still has time to return,
// and refuses at once what would wait longer.
func (c *call) target(service *routes.Service) (*target, string) {
	until := c.holdUntil()
	place := &place{priority: c.route.Priority}
	defer place.leave()
	for {
		now := clockNow()
		_, stamp, changed := c.host.view.snapshot(now)
		c.stamp = stamp
		target, full, reason := c.choose(now, service, place)
		left := time.Until(until)
		if target != nil || left <= 0 || !waitable(reason) {
			return target, reason
		}
		if full != nil && !place.take(now, left, full) {
			return nil, reason
		}
		if !c.waitForChange(min(left, waitStep), changed) {
			return nil, reasonCanceled
		}
	}
}

// waitStep is the longest time between two looks for room.
const waitStep = 20 * time.Millisecond

// waitable tells whether a reason may pass within a short time.
func waitable(reason string) bool {
	switch reason {
	case reasonNoOwner, reasonNoServer, string(dispatch.QueueFull), string(dispatch.NoConnection):
		return true
	}
	return false
}

// waitForChange waits for a change of the view, or some time. It returns false if
// the client left.
func (c *call) waitForChange(most time.Duration, changed <-chan struct{}) bool {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-c.request.Context().Done():
		return false
	}
	return true
}

// place is a request's place in the line of at most one server.
type place struct {
	priority int64
	at       *target
	ticket   dispatch.Ticket
}

// target is a server chosen for a request.
type target struct {
	*backend
	slots int
}

// take puts the request into a server's line, and out of any other.
func (p *place) take(now, limit time.Duration, at *target) bool {
	if p.at != nil && p.at.backend == at.backend {
		return true
	}
	p.leave()
	ticket, joined := at.joinLine(now, limit, at.slots, p.priority)
	if joined {
		p.at, p.ticket = at, ticket
	}
	return joined
}

func (p *place) leave() {
	if p.at != nil {
		p.at.leaveLine(p.ticket)
		p.at = nil
	}
}

// ahead returns the number of requests that go to a server before this one.
func (p *place) ahead(k *backend) int {
	if p.at != nil && p.at.backend == k {
		return k.ahead(&p.ticket, p.priority)
	}
	return k.ahead(nil, p.priority)
}

// choose returns the server that takes the request now, or the one to wait for,
// and why.
func (c *call) choose(now time.Duration, service *routes.Service, place *place) (chosen, full *target, reason string) {
	request := dispatch.Request{
		Priority: c.route.Priority,
		Left:     time.Until(c.deadline),
		Target:   time.Until(c.started.Add(time.Duration(c.route.TargetMillis) * time.Millisecond)),
		Bulk:     c.route.Kind == routes.Upload,
	}
	servers, reason := c.servers(now, service)
	if len(servers) == 0 {
		return nil, nil, reason
	}
	connections := c.host.view.connections(service.Name)
	candidates := make([]dispatch.Candidate, len(servers))
	for i, s := range servers {
		k := c.host.backends.of(s)
		candidates[i] = k.candidate(now, s, connections, c.host.distance(s.Domain))
		candidates[i].Ahead = place.ahead(k)
	}
	best, verdict := dispatch.Choose(now, candidates, request)
	if best < 0 {
		if service.Keyed {
			full = &target{backend: c.host.backends.of(servers[0]), slots: int(servers[0].Slots)}
		}
		return nil, full, string(verdict)
	}
	c.load = candidates[best].Load.Requests(now)
	return &target{backend: c.host.backends.of(servers[best]), slots: int(servers[best].Slots)}, nil, ""
}

// servers returns the servers that may run the request, or why there are none.
func (c *call) servers(now time.Duration, service *routes.Service) ([]keyrange.Server, string) {
	if !service.Keyed {
		return c.host.present(now, c.host.view.serversOf(now, service.Name)), reasonNoServer
	}
	owner, since, known := c.host.view.owner(now, service.Name, c.info.Key)
	if !known || c.host.backends.of(owner).absent(now) || c.unaware(now, owner.ID, since) {
		return nil, reasonNoOwner
	}
	if !c.passes(owner) {
		return nil, reasonOverload
	}
	return []keyrange.Server{owner}, ""
}

// passes tells whether the request may go to its key's owner. Among many gateways
// it must be in the part that an overloaded owner takes.
func (c *call) passes(owner keyrange.Server) bool {
	if c.passed == owner.ID || !dispatch.OneIsTooMany(c.host.view.gateways(), int(owner.Slots)) {
		return true
	}
	if !c.host.backends.of(owner).pass(owner.AdmitPermille, c.route.Priority) {
		return false
	}
	c.passed = owner.ID
	return true
}

// unaware tells whether the owner said that it does not hold the key and is not
// to be asked again: not before it may have heard of a grant that is new, and
// never if the grant is old, since then the table is behind.
func (c *call) unaware(now time.Duration, owner string, since time.Duration) bool {
	if c.denied != owner || since > c.deniedAt {
		return false
	}
	return c.deniedAt-since > grantDelay || now-c.deniedAt < grantDelay
}

// respond passes a response on to the client.
func (c *call) respond(in *inbound) {
	header := c.writer.Header()
	for name, values := range endToEnd(in.header) {
		header[name] = values
	}
	if header.Get("Content-Type") == "" {
		header["Content-Type"] = nil // net/http would guess one
	}
	c.log("answered", reasonFromServer, in.status, in.status >= http.StatusInternalServerError)
	if in.rest == nil {
		header.Set("Content-Length", strconv.Itoa(len(in.body)))
		c.writer.WriteHeader(in.status)
		_, err := c.writer.Write(in.body)
		_ = err // a client that left gets nothing
		in.finish(true)
		return
	}
	c.writer.WriteHeader(in.status)
	_, err := c.writer.Write(in.body)
	if err == nil {
		_, err = io.Copy(c.writer, in.rest)
	}
	in.finish(err == nil)
	if err != nil {
		panic(http.ErrAbortHandler) // the client must see that the body broke off
	}
}

// refuse tells the client that the request has not run and never will, and when
// to return. It fails the request instead if an attempt may have run.
func (c *call) refuse(reason string) {
	if c.mayRun {
		c.fail(reason)
		return
	}
	c.writer.Header().Set("Retry-After", strconv.FormatFloat(c.returnAfter(reason).Seconds(), 'f', 3, 64))
	c.end(http.StatusServiceUnavailable, reason)
}

// returnAfter returns when a refused client should return: as late as it may wait
// if a server is full or a key has no owner, at once if the server failed by
// itself.
func (c *call) returnAfter(reason string) time.Duration {
	latest := time.Duration(returnPart * float64(max(time.Until(c.deadline), 0)))
	if reason == reasonNotRun {
		return min(soon, latest)
	}
	return latest
}

// fail ends a request whose outcome is not known.
func (c *call) fail(reason string) {
	status := http.StatusBadGateway
	if reason == reasonTimeout || time.Until(c.deadline) <= 0 {
		status = http.StatusGatewayTimeout
	}
	c.end(status, reason)
}

// end answers the client without a response of a server.
func (c *call) end(status int, reason string) {
	c.log("refused", reason, status, true)
	c.writer.Header().Set("Content-Length", "0")
	c.writer.WriteHeader(status)
}

func (c *call) log(outcome, reason string, status int, important bool) {
	c.host.metrics.count(outcome, reason, time.Since(c.started))
	c.host.events.Add(eventlog.Event{
		Name: "request", Request: c.info.ID, Service: c.service, Server: c.server, Key: c.info.Key,
		Outcome: outcome, Reason: reason, Status: status, Attempts: c.attempts,
		Config: c.stamp.Config, Term: c.stamp.Term, Table: c.stamp.Version, TableAge: c.stamp.Age,
		LoadSeen: c.load, Left: time.Until(c.deadline), Took: time.Since(c.started), Important: important,
	})
}
