package gateway

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/eventlog"
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
	reasonBody       = "request-body"
	reasonBodyLarge  = "request-body-too-large"
	reasonNoKey      = "no-key"
	reasonNotRun     = "server-did-not-run-it"
	reasonNotHolder  = "server-does-not-hold-the-key"
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
	c := &call{host: h, request: r, writer: w, started: time.Now(), info: h.dialect.ParseRequest(r.Header)}
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

// setDeadline bounds the request by the client's deadline and a timeout.
func (c *call) setDeadline(timeout time.Duration) {
	if c.info.Timeout > 0 {
		timeout = min(timeout, c.info.Timeout)
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
		target, reason := c.awaitServer(service)
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
	if in.info.NotExecuted {
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
	case in.info.NotExecuted:
		in.finish(true)
	default:
		in.finish(false)
		ran, reason = true, reasonUnsealed
	}
	if in != nil && in.info.NotOwner {
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
	case c.stream != nil:
		c.refuse(reason) // what was sent of the body is gone
		return false, reason
	}
	return true, reason
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
