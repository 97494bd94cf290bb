package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenalug/galenalug/internal/wire"
)

const (
	chunkBytes     = 8 << 10         // size of a read or write; each extends the deadline
	controlTimeout = 1 * time.Second // for writing a pong
)

// socket is the common interface of the WebSocket libraries of client and server.
type socket interface {
	NextReader() (messageType int, r io.Reader, err error)
	NextWriter(messageType int) (io.WriteCloser, error)
	ReadMessage() (messageType int, message []byte, err error)
	WriteMessage(messageType int, message []byte) error
	WriteControl(messageType int, data []byte, deadline time.Time) error
	SetReadDeadline(t time.Time) error
	SetWriteDeadline(t time.Time) error
	SetReadLimit(limit int64)
	SetPingHandler(h func(data string) error)
	SetPongHandler(h func(data string) error)
	NetConn() net.Conn
	Close() error
}

// Conn is one authenticated connection.
type Conn struct {
	socket   socket
	identity Identity // of the peer
	limits   Limits
	metrics  *Metrics
	counts   *counts
	masks    bool // whether this side masks its messages, as WebSocket clients do
	onCall   func(conn *Conn, frame wire.Frame)
	onNotify func(conn *Conn, frame wire.Frame)

	queue       chan *outgoing
	queuedBytes atomic.Int64
	created     time.Time
	receivedAt  atomic.Int64 // when the last bytes were received, nanoseconds after created
	ctx         context.Context
	cancel      context.CancelFunc
	closeOnce   sync.Once

	callsMu sync.Mutex
	calls   map[uint64]chan wire.Frame
	lastID  uint64
}

func newConn(s socket, identity Identity, limits Limits, metrics *Metrics, masks bool) *Conn {
	ctx, cancel := context.WithCancel(context.Background())
	return &Conn{
		created:  time.Now(),
		socket:   s,
		identity: identity,
		limits:   limits,
		metrics:  metrics,
		counts:   newCounts(metrics),
		masks:    masks,
		queue:    make(chan *outgoing, limits.QueueFrames),
		ctx:      ctx,
		cancel:   cancel,
		calls:    map[uint64]chan wire.Frame{},
	}
}

// recordReceipt records that bytes were received.
func (c *Conn) recordReceipt() { c.receivedAt.Store(int64(time.Since(c.created))) }

// silence returns the time since the last bytes were received.
func (c *Conn) silence() time.Duration {
	return time.Since(c.created) - time.Duration(c.receivedAt.Load())
}

// Identity returns the authenticated name and role of the peer.
func (c *Conn) Identity() Identity { return c.identity }

// Counts returns the connection's traffic by direction and kind.
func (c *Conn) Counts() []Count { return c.counts.list() }

// QueuedBytes returns the number of bytes in the send queue.
func (c *Conn) QueuedBytes() int64 { return c.queuedBytes.Load() }

// Close closes the connection.
func (c *Conn) Close() {
	c.closeOnce.Do(func() {
		c.cancel()
		// The server's library ignores Close on a connection that was hijacked from HTTP, so a
		// deadline in the past ends pending reads and writes.
		_ = c.socket.NetConn().SetDeadline(time.Unix(1, 0))
		_ = c.socket.Close()
	})
}

// call sends a call and waits for its reply.
func (c *Conn) call(ctx context.Context, kind int, body []byte) ([]byte, error) {
	id, reply := c.registerCall()
	defer c.removeCall(id)
	out, err := c.enqueue(wire.Frame{Kind: kind, CallID: id, Body: body})
	if err != nil {
		return nil, err
	}
	select {
	case frame := <-reply:
		return replyResult(frame)
	case <-ctx.Done():
	case <-c.ctx.Done():
	}
	select { // prefer a reply that arrived at the same time
	case frame := <-reply:
		return replyResult(frame)
	default:
	}
	if out.cancel() {
		return nil, ErrNotConnected
	}
	return nil, ErrUnknownOutcome
}

// replyResult returns the body of a reply, or its error.
func replyResult(frame wire.Frame) ([]byte, error) {
	if frame.ErrorCode != "" {
		return nil, &Error{Code: frame.ErrorCode, Detail: frame.ErrorDetail}
	}
	return frame.Body, nil
}

func (c *Conn) registerCall() (uint64, chan wire.Frame) {
	reply := make(chan wire.Frame, 1)
	c.callsMu.Lock()
	defer c.callsMu.Unlock()
	c.lastID++
	c.calls[c.lastID] = reply
	return c.lastID, reply
}

func (c *Conn) removeCall(id uint64) {
	c.callsMu.Lock()
	defer c.callsMu.Unlock()
	delete(c.calls, id)
}

// deliverReply passes a reply to its call, or drops it if the call has ended.
func (c *Conn) deliverReply(frame wire.Frame) {
	c.callsMu.Lock()
	reply, ok := c.calls[frame.CallID]
	delete(c.calls, frame.CallID)
	c.callsMu.Unlock()
	if !ok {
		c.metrics.lateReplies.Inc()
		return
	}
	reply <- frame
}
