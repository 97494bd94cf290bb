package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/galenalug/galenalug/internal/eventlog"
)

// respond sends a backend server's response to the client.
func (c *call) respond(resp *backendResponse) {
	if !c.awaitTurn(resp) {
		return
	}
	c.startResponse()
	header := c.writer.Header()
	for name, values := range endToEnd(resp.header) {
		header[name] = values
	}
	c.closeIfStopping()
	if header.Get("Content-Type") == "" {
		header["Content-Type"] = nil // keeps net/http from detecting one
	}
	c.log("answered", reasonFromServer, resp.status, resp.status >= http.StatusInternalServerError)
	if resp.rest == nil {
		header.Set("Content-Length", strconv.Itoa(len(resp.body)))
		c.writer.WriteHeader(resp.status)
		_ = c.writeTo(resp.body) // a write fails only if the client has disconnected
		resp.finish(true)
		return
	}
	c.writer.WriteHeader(resp.status)
	err := c.writeTo(resp.body)
	if err == nil {
		err = c.copyTo(resp.rest)
	}
	resp.finish(err == nil)
	if err != nil {
		panic(http.ErrAbortHandler) // lets the client detect the truncated body
	}
}

// drop ends a request whose client has left, without a response: it closes the connection. If the handler returned
// instead, net/http would send an empty response with status 200, which a client that has only closed its sending side
// would take for the answer.
func (c *call) drop() {
	c.log("client left", reasonCanceled, 0, true)
	panic(http.ErrAbortHandler)
}

// logClientLeft records that the client has closed its connection, and how far the request has come.
func (c *call) logClientLeft() {
	p := c.progress.Load()
	e := eventlog.Event{
		Name: "client left", Request: c.info.ID, Service: c.service, Key: c.info.Key, Phase: string(p.phase()),
		TimeLeft: time.Until(c.deadline), Elapsed: time.Since(c.started), Important: true,
	}
	if p != nil {
		e.SinceStart = clockNow() - time.Duration(p.startedAt.Load())
		e.Connect = between(&p.startedAt, &p.connectedAt)
		e.Write = between(&p.connectedAt, &p.writtenAt)
		if conn := p.conn.Load(); conn != nil {
			e.Unsent, e.Unacked = unsentBytes(conn.Conn)
		}
	}
	c.host.metrics.clientsLeft.WithLabelValues(e.Phase).Inc()
	c.host.events.Add(e)
}

func (c *call) log(outcome, reason string, status int, important bool) {
	c.host.metrics.count(outcome, reason, time.Since(c.started))
	c.host.events.Add(eventlog.Event{
		Name: "request", Request: c.info.ID, Service: c.service, Server: c.server, Key: c.info.Key,
		Outcome: outcome, Reason: reason, Status: status, Attempts: c.attempts,
		ConfigVersion: c.stamp.Config, ConfigAge: c.stamp.ConfigAge,
		Term: c.stamp.Term, TableVersion: c.stamp.Version, TableAge: c.stamp.Age,
		ServerLoad: c.chosenLoad, Choice: string(c.basis), TimeLeft: time.Until(c.deadline), Elapsed: time.Since(c.started), Important: important,
	})
}
