package gateway

import (
	"strconv"
	"sync"
	"time"

	"github.com/galenalug/galenalug/routes"
)

const (
	// maxWholeResponse is the size up to which the response to a pipelined request, or to one with requests running behind it,
	// is read whole, if there is memory for it, bytes. The others then don't depend on how it ends.
	maxWholeResponse = 1 << 20
	// largeResponseTime is how long a route counts as one with large responses after the last one.
	largeResponseTime = time.Minute
)

// largeRoutes knows the routes that lately had responses that were too large to be read whole, or for which there was no
// memory. Nothing runs ahead on them or behind them: a response that is passed on as it arrives may break off, which closes the
// connection, and one that can't be held would have to run again in its turn.
type largeRoutes struct {
	mu    sync.Mutex               // guards until; no other lock is acquired while it is held
	until map[string]time.Duration // by name of the route
}

func newLargeRoutes() *largeRoutes { return &largeRoutes{until: map[string]time.Duration{}} }

// observe records whether a response was too large.
func (l *largeRoutes) observe(now time.Duration, route *routes.Route, resp *backendResponse) {
	if resp.rest == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.until) >= maxSizedRoutes {
		clear(l.until) // of routes that are no longer there, mostly
	}
	l.until[route.Name] = now + largeResponseTime
}

// contains reports whether a route lately had large responses.
func (l *largeRoutes) contains(now time.Duration, route *routes.Route) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now < l.until[route.Name]
}

// mayRunAhead reports whether the requests of a route may run before their turn. Downloads may not: their responses are
// larger than what is held of a response.
func (p *pipelining) mayRunAhead(route *routes.Route) bool {
	return route != nil && route.Kind == routes.Idempotent && !p.large.contains(clockNow(), route)
}

// readWhole reads a response whole if other requests run behind it, or if it has to wait for its turn. A response that breaks
// off then is an error of its server, and the connection to the client goes on. One that is too large stays as it is.
func (c *call) readWhole(resp *backendResponse) error {
	c.host.pipelining.large.observe(clockNow(), c.route, resp)
	if resp.rest == nil || c.conn == nil || !c.route.Kind.Repeatable() {
		return nil
	}
	waits := c.ahead != nil && c.writer == nil
	if !waits && !c.conn.stopAhead() {
		return nil
	}
	if err := resp.readRest(maxWholeResponse); err != nil {
		resp.finish(false)
		return &exchangeError{reason: reasonOfRead(err), mayHaveRun: true, err: err}
	}
	return nil
}

// readRest reads the rest of the body, if it is within a limit and there is memory for it.
func (r *backendResponse) readRest(limit int64) error {
	length, err := strconv.ParseInt(r.header.Get("Content-Length"), 10, 64)
	if err != nil {
		length = -1
	}
	if length > limit {
		return nil
	}
	body, err := r.buffers.Extend(r.body, r.rest, length, limit)
	if err != nil || body.Data == nil {
		return err
	}
	r.releaseBody() // the start is a part of the whole now
	r.body, r.releaseBody = body.Data, body.Release
	if body.Complete {
		r.rest = nil
	}
	return nil
}
