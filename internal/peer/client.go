package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/gorilla/websocket"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/wire"
)

// Client maintains a connection to one server. It is safe for concurrent use.
type Client struct {
	options ClientOptions
	cancel  context.CancelFunc
	done    chan struct{}

	mu   sync.Mutex
	conn *Conn // nil while not connected
}

// NewClient starts a client, which connects and reconnects in the background until Close.
func NewClient(options ClientOptions) *Client {
	options.Limits = options.Limits.withDefaults()
	if options.Logger == nil {
		options.Logger = log.Log
	}
	if options.Metrics == nil {
		options.Metrics = NewMetrics(nil)
	}
	if options.Dial == nil {
		options.Dial = (&net.Dialer{}).DialContext
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{options: options, cancel: cancel, done: make(chan struct{})}
	go c.run(ctx)
	return c
}

// Close closes the connection and waits for the client's goroutines to end.
func (c *Client) Close() {
	c.cancel()
	<-c.done
}

// Connected reports whether an authenticated connection is open.
func (c *Client) Connected() bool { return c.current() != nil }

// Call sends a call and waits for its reply or the end of the context. It fails with an *Error if
// the server returned one, with ErrNotConnected, ErrQueueFull or ErrInvalidFrame if nothing was sent,
// and with ErrUnknownOutcome if the call was sent but not answered.
func (c *Client) Call(ctx context.Context, kind int, body []byte) ([]byte, error) {
	conn := c.current()
	if conn == nil {
		return nil, ErrNotConnected
	}
	return conn.call(ctx, kind, body)
}

// Notify queues a one-way message without blocking. It fails with ErrNotConnected, ErrQueueFull or
// ErrInvalidFrame. A full queue does not close the connection; a peer that does not read is detected
// by the write deadline.
func (c *Client) Notify(kind int, body []byte) error {
	conn := c.current()
	if conn == nil {
		return ErrNotConnected
	}
	_, err := conn.enqueue(wire.Frame{Kind: kind, Body: body})
	return err
}

// Silence returns the time since anything was received on the current connection, or 0 without one.
func (c *Client) Silence() time.Duration {
	conn := c.current()
	if conn == nil {
		return 0
	}
	return conn.silence()
}

// Counts returns the traffic of the current connection by direction and kind.
func (c *Client) Counts() []Count {
	conn := c.current()
	if conn == nil {
		return nil
	}
	return conn.Counts()
}

func (c *Client) current() *Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn
}

func (c *Client) setCurrent(conn *Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = conn
}

// run connects repeatedly with exponential backoff, which is reset after each connection that was
// authenticated.
func (c *Client) run(ctx context.Context) {
	defer close(c.done)
	random := rand.New(rand.NewPCG(c.options.Seed, 0))
	wait := c.options.Limits.BackoffMin
	for ctx.Err() == nil {
		conn, err := c.connect(ctx)
		if err == nil {
			wait = c.options.Limits.BackoffMin
			err = c.serve(ctx, conn)
		}
		if ctx.Err() != nil {
			return
		}
		c.options.Logger.WithFields(log.Fields{
			"peer": c.options.ExpectedName, "address": c.options.Address, "error": err.Error(),
		}).Warn("peer connection failed; reconnecting")
		if !clock.Sleep(ctx, jitter(random, wait)) {
			return
		}
		wait = min(2*wait, c.options.Limits.BackoffMax)
	}
}

// jitter returns a random duration between wait/2 and wait.
func jitter(random *rand.Rand, wait time.Duration) time.Duration {
	half := wait / 2
	return half + time.Duration(random.Int64N(int64(half)+1))
}

func (c *Client) connect(ctx context.Context) (*Conn, error) {
	limits := c.options.Limits
	ctx, cancel := context.WithTimeout(ctx, limits.HandshakeTimeout)
	defer cancel()
	dialer := websocket.Dialer{
		NetDialContext:  c.options.Dial,
		WriteBufferSize: chunkBytes,
	}
	s, response, err := dialer.DialContext(ctx, "ws://"+c.options.Address+Path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	_ = response.Body.Close()
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	identity, err := authenticateClient(s, c.options.Self, c.options.ExpectedName, c.options.Secret, limits.HandshakeTimeout)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		if errors.Is(err, ErrAuthenticationFailed) {
			c.options.Metrics.refused.Inc()
		}
		_ = s.Close()
		return nil, err
	}
	return newConn(s, identity, limits, c.options.Metrics, true), nil
}

func (c *Client) serve(ctx context.Context, conn *Conn) error {
	conn.onCall = c.refuseCall
	conn.onNotify = c.notify
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	c.setCurrent(conn)
	ended := make(chan error, 1)
	go func() { ended <- conn.serve() }()
	if c.options.OnConnect != nil {
		c.options.OnConnect()
	}
	err := <-ended
	c.setCurrent(nil)
	if c.options.Handler != nil {
		c.options.Handler.Closed(conn)
	}
	return err
}

// refuseCall closes the connection, since servers may only send notifications.
func (c *Client) refuseCall(conn *Conn, frame wire.Frame) {
	c.options.Logger.WithField("kind", frame.Kind).Warn("unexpected call from peer server; closing the connection")
	conn.Close()
}

func (c *Client) notify(conn *Conn, frame wire.Frame) {
	if c.options.Handler != nil {
		c.options.Handler.Notify(conn, frame.Kind, frame.Body)
	}
}
