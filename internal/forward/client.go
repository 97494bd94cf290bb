package forward

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/admission"
	"github.com/galenalug/galenalug/internal/bodybuffer"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/retry"
)

const (
	// dialTimeout bounds connection establishment, which usually takes about 1 ms.
	dialTimeout = 250 * time.Millisecond
	// livenessWindow is how long a connection counts as alive after it was opened or a response was
	// received on it. Requests that may not be repeated use only such connections, because they
	// cannot be retried if the connection turns out to be closed.
	livenessWindow = time.Second
	// maxIdleTime is how long an idle connection is kept open.
	maxIdleTime = 15 * time.Second
)

// classShares is the fraction of a server's connections available to each class.
var classShares = [admission.NumClasses]float64{admission.Lookup: 0.4, admission.Order: 0.4, admission.Upload: 0.2}

type counters struct {
	dialed, discarded, lateResponses, timeouts atomic.Int64
}

// Stats holds counters since the start, and the number of open connections.
type Stats struct {
	Dialed        int64 `json:"dialed"`       // connections opened
	Discarded     int64 `json:"discarded"`    // connections closed because they could not be reused
	LateResponses int64 `json:"late_answers"` // idle connections on which unsolicited bytes had arrived
	Timeouts      int64 `json:"timeouts"`     // exchanges that timed out
	Open          int   `json:"open"`         // connections open now
}

type poolKey struct {
	target Target
	class  admission.Class
}

// Client sends requests to backend servers. It is safe for concurrent use.
type Client struct {
	dial     Dial
	counters counters
	buffers  *bodybuffer.Pool // for response bodies

	mu    sync.Mutex // guards pools; acquired before pool.mu
	pools map[poolKey]*pool
}

// NewClient returns a client that opens connections with dial, or over TCP if dial is nil.
func NewClient(dial Dial) *Client {
	if dial == nil {
		dial = dialTCP
	}
	return &Client{dial: dial, buffers: bodybuffer.NewPool(bodybuffer.DefaultBytes), pools: map[poolKey]*pool{}}
}

// UseBuffers makes the client keep response bodies in a pool that others use, too. It must be called before Send.
func (c *Client) UseBuffers(buffers *bodybuffer.Pool) { c.buffers = buffers }

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}

// Send writes the request at most once. The error is an *Error.
func (c *Client) Send(ctx context.Context, request *Request) (*Response, error) {
	if failure := checkSendable(ctx, request); failure != nil {
		return nil, failure
	}
	p := c.pool(request.Target, request.Class)
	var aliveSince time.Time
	if !request.Repeatable {
		aliveSince = time.Now().Add(-livenessWindow)
	}
	dialContext, cancel := contextWithDeadline(ctx, request.Deadline)
	defer cancel()
	connection, err := p.acquire(dialContext, aliveSince)
	if err != nil {
		return nil, acquireFailure(ctx, err)
	}
	e := &exchange{pool: p, conn: connection, request: request, counters: &c.counters, buffers: c.buffers}
	return e.run(ctx)
}

// checkSendable returns an error if the request may not be sent any more.
func checkSendable(ctx context.Context, request *Request) *Error {
	switch {
	case ctx.Err() != nil:
		return &Error{Outcome: retry.NotRun, Reason: ReasonCanceled, Err: ctx.Err()}
	case !request.Deadline.IsZero() && !time.Now().Before(request.Deadline):
		return &Error{Outcome: retry.NotRun, Reason: ReasonDeadline}
	case request.Writable != nil && !request.Writable():
		return &Error{Outcome: retry.NotRun, Reason: ReasonNotWritable}
	default:
		return nil
	}
}

func contextWithDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

// acquireFailure returns the error of an attempt that got no connection.
func acquireFailure(ctx context.Context, err error) *Error {
	reason := ReasonConnect
	switch {
	case errors.Is(err, errPoolFull):
		reason = ReasonPoolFull
	case ctx.Err() != nil:
		reason = ReasonCanceled
	}
	return &Error{Outcome: retry.NotRun, Reason: reason, Err: err}
}

// pool returns the pool of a server and class, and creates it if necessary.
func (c *Client) pool(target Target, class admission.Class) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := poolKey{target, class}
	p := c.pools[key]
	if p == nil {
		limit := max(1, int(float64(target.Connections)*classShares[class]))
		p = &pool{address: target.Address, limit: limit, dial: c.dial, counters: &c.counters}
		c.pools[key] = p
	}
	return p
}

// Prune closes the pools of servers for which keep returns false, and connections that were idle for
// longer than maxIdleTime.
func (c *Client) Prune(keep func(Target) bool) {
	before := time.Now().Add(-maxIdleTime)
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, p := range c.pools {
		retire := !keep(key.target)
		p.closeIdle(before, retire)
		if retire {
			delete(c.pools, key)
		}
	}
}

// Close closes every idle connection. Busy ones are closed when their exchange ends.
func (c *Client) Close() { c.Prune(func(Target) bool { return false }) }

// Stats returns the client's statistics.
func (c *Client) Stats() Stats {
	stats := Stats{
		Dialed:        c.counters.dialed.Load(),
		Discarded:     c.counters.discarded.Load(),
		LateResponses: c.counters.lateResponses.Load(),
		Timeouts:      c.counters.timeouts.Load(),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		stats.Open += p.size()
	}
	return stats
}

// Probe checks over a new connection whether the server is able to serve requests.
func (c *Client) Probe(ctx context.Context, target Target) error {
	connection, err := c.dial(ctx, target.Address)
	if err != nil {
		return errors.Wrap(err, "connect for probe")
	}
	defer connection.Close() //nolint:errcheck // used for this probe only
	if deadline, ok := ctx.Deadline(); ok {
		_ = connection.SetDeadline(deadline)
	}
	return sendProbe(newConn(connection, time.Now()), target.Address, wire.PathProbe)
}
