package forward

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/admission"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/retry"
)

const (
	// dialTimeout bounds the opening of a connection, which takes about 1 ms.
	dialTimeout = 250 * time.Millisecond
	// provenFor is how long after an answer a connection counts as alive for
	// requests that may not be repeated.
	provenFor = time.Second
	// idleFor is how long an unused connection is kept.
	idleFor = 15 * time.Second
)

// connectionShares divides a server's connections among the classes.
var connectionShares = [admission.NumClasses]float64{admission.Lookup: 0.4, admission.Order: 0.4, admission.Upload: 0.2}

type counters struct {
	dialed, discarded, lateAnswers, timeouts atomic.Int64
}

// Stats counts what happened on connections since the start.
type Stats struct {
	Dialed      int64 `json:"dialed"`       // connections opened
	Discarded   int64 `json:"discarded"`    // connections closed and not reused
	LateAnswers int64 `json:"late_answers"` // idle connections found with unasked bytes
	Timeouts    int64 `json:"timeouts"`     // exchanges that ran out of time
	Open        int   `json:"open"`         // connections open now
}

type poolKey struct {
	target Target
	class  admission.Class
}

// Client sends requests to backend servers. It is safe for concurrent use.
type Client struct {
	dial   Dial
	counts counters

	mu    sync.Mutex // guards pools; taken before a pool's own lock
	pools map[poolKey]*pool
}

// NewClient returns a client that opens connections with dial, or over TCP when
// dial is nil.
func NewClient(dial Dial) *Client {
	if dial == nil {
		dial = dialTCP
	}
	return &Client{dial: dial, pools: map[poolKey]*pool{}}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}

// Send writes the request at most once. The error is an *Error.
func (c *Client) Send(ctx context.Context, request *Request) (*Answer, error) {
	if failure := checkStart(ctx, request); failure != nil {
		return nil, failure
	}
	p := c.pool(request.Target, request.Class)
	var provenAfter time.Time
	if !request.Repeatable {
		provenAfter = time.Now().Add(-provenFor)
	}
	dialContext, cancel := withDeadline(ctx, request.Deadline)
	defer cancel()
	connection, err := p.acquire(dialContext, provenAfter)
	if err != nil {
		return nil, acquireFailure(ctx, err)
	}
	e := &exchange{pool: p, conn: connection, request: request, counts: &c.counts}
	return e.run(ctx)
}

// checkStart fails when the request may not be sent any more.
func checkStart(ctx context.Context, request *Request) *Error {
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

func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

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

func (c *Client) pool(target Target, class admission.Class) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := poolKey{target, class}
	p := c.pools[key]
	if p == nil {
		limit := max(1, int(float64(target.Connections)*connectionShares[class]))
		p = &pool{address: target.Address, limit: limit, dial: c.dial, counts: &c.counts}
		c.pools[key] = p
	}
	return p
}

// Prune closes the pools of servers that keep returns false for, and
// connections that were idle for long.
func (c *Client) Prune(keep func(Target) bool) {
	before := time.Now().Add(-idleFor)
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

// Close closes every idle connection, and busy ones when their exchange ends.
func (c *Client) Close() { c.Prune(func(Target) bool { return false }) }

// Stats returns the counts.
func (c *Client) Stats() Stats {
	stats := Stats{
		Dialed:      c.counts.dialed.Load(),
		Discarded:   c.counts.discarded.Load(),
		LateAnswers: c.counts.lateAnswers.Load(),
		Timeouts:    c.counts.timeouts.Load(),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		stats.Open += p.size()
	}
	return stats
}

// Probe asks the server over a new connection whether it can serve.
func (c *Client) Probe(ctx context.Context, target Target) error {
	connection, err := c.dial(ctx, target.Address)
	if err != nil {
		return errors.Wrap(err, "probe")
	}
	defer connection.Close() //nolint:errcheck // nothing was promised on it
	if deadline, ok := ctx.Deadline(); ok {
		_ = connection.SetDeadline(deadline)
	}
	return probeOn(newConn(connection, time.Now()), target.Address, wire.PathProbe)
}
