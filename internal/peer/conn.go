package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/websocket"
	"github.com/pkg/errors"

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

// States of an outgoing message.
const (
	statePending  int32 = iota // queued
	stateWriting               // its first byte may have been written
	stateCanceled              // its call ended before the first byte was written
)

type outgoing struct {
	kind    int
	message []byte
	state   atomic.Int32
}

// cancel prevents a queued message from being written. It returns false if writing may have begun.
func (o *outgoing) cancel() bool {
	return o.state.CompareAndSwap(statePending, stateCanceled)
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

// Notify queues a one-way message without blocking. If the queue is full, the peer does not keep up:
// Notify closes the connection, because later messages would follow a gap, and returns ErrQueueFull.
func (c *Conn) Notify(kind int, body []byte) error {
	_, err := c.enqueue(wire.Frame{Kind: kind, Body: body})
	if errors.Is(err, ErrQueueFull) {
		c.Close()
	}
	return err
}

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

func (c *Conn) enqueue(frame wire.Frame) (*outgoing, error) {
	message, err := EncodeFrame(frame)
	if err != nil {
		return nil, err
	}
	if int64(len(message)) > c.limits.MessageBytes {
		return nil, errors.Wrapf(ErrInvalidFrame, "message of %d bytes exceeds the limit of %d", len(message), c.limits.MessageBytes)
	}
	if c.ctx.Err() != nil {
		return nil, ErrNotConnected
	}
	size := int64(len(message))
	if c.queuedBytes.Add(size) > c.limits.QueueBytes {
		return nil, c.rejectOverflow(size)
	}
	out := &outgoing{kind: frame.Kind, message: message}
	select {
	case c.queue <- out:
		return out, nil
	default:
		return nil, c.rejectOverflow(size)
	}
}

func (c *Conn) rejectOverflow(size int64) error {
	c.queuedBytes.Add(-size)
	c.metrics.overflows.Inc()
	return ErrQueueFull
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

// serve runs the connection until it ends, and returns the cause.
func (c *Conn) serve() error {
	var writer sync.WaitGroup
	writer.Add(1)
	go func() {
		defer writer.Done()
		defer c.Close()
		c.writeLoop()
	}()
	err := c.readLoop()
	c.Close()
	writer.Wait()
	return err
}

func (c *Conn) readLoop() error {
	c.socket.SetReadLimit(c.limits.MessageBytes)
	c.socket.SetPingHandler(c.handlePing)
	c.socket.SetPongHandler(func(string) error {
		c.recordReceipt()
		return c.extendReadDeadline()
	})
	for {
		message, err := c.readMessage()
		if err != nil {
			return err
		}
		frame, err := DecodeFrame(message)
		if err != nil {
			return err
		}
		c.counts.add(DirectionReceived, frame.Kind, sizeOnWire(len(message), !c.masks))
		c.dispatch(frame)
	}
}

func (c *Conn) dispatch(frame wire.Frame) {
	switch {
	case frame.Reply:
		c.deliverReply(frame)
	case frame.CallID != 0:
		c.onCall(c, frame)
	default:
		c.onNotify(c, frame)
	}
}

// readMessage reads one message. Each chunk extends the read deadline, so that a large message on a
// slow link does not time out.
func (c *Conn) readMessage() ([]byte, error) {
	if err := c.extendReadDeadline(); err != nil {
		return nil, err
	}
	messageType, reader, err := c.socket.NextReader()
	if err != nil {
		return nil, errors.Wrap(err, "read message")
	}
	if messageType != binaryMessage {
		return nil, errors.Wrap(ErrInvalidFrame, "not a binary message")
	}
	var message bytes.Buffer
	for {
		if err := c.extendReadDeadline(); err != nil {
			return nil, err
		}
		_, err := io.CopyN(&message, reader, chunkBytes)
		c.recordReceipt()
		if errors.Is(err, io.EOF) {
			return message.Bytes(), nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "read message body")
		}
	}
}

func (c *Conn) extendReadDeadline() error {
	if c.ctx.Err() != nil {
		return ErrNotConnected
	}
	err := c.socket.SetReadDeadline(time.Now().Add(c.limits.IdleTimeout))
	if c.ctx.Err() != nil { // this call may have replaced the past deadline set by a concurrent Close
		return ErrNotConnected
	}
	return errors.Wrap(err, "set read deadline")
}

func (c *Conn) handlePing(data string) error {
	c.recordReceipt()
	if err := c.extendReadDeadline(); err != nil {
		return err
	}
	err := c.socket.WriteControl(websocket.PongMessage, []byte(data), time.Now().Add(controlTimeout))
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return nil // the writer is busy; its data shows the peer that this side is alive
	}
	return err
}

func (c *Conn) writeLoop() {
	ping := time.NewTicker(c.limits.PingInterval)
	defer ping.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-ping.C:
			// On a slow link a ping may wait for the bytes before it.
			deadline := time.Now().Add(c.limits.IdleTimeout)
			if err := c.socket.WriteControl(websocket.PingMessage, nil, deadline); err != nil {
				return
			}
		case out := <-c.queue:
			if err := c.write(out); err != nil {
				return
			}
		}
	}
}

func (c *Conn) write(out *outgoing) error {
	c.queuedBytes.Add(-int64(len(out.message)))
	if !out.state.CompareAndSwap(statePending, stateWriting) {
		return nil
	}
	writer, err := c.socket.NextWriter(binaryMessage)
	if err != nil {
		return errors.Wrap(err, "begin message")
	}
	for rest := out.message; len(rest) > 0; {
		chunk := rest[:min(len(rest), chunkBytes)]
		if err := c.extendWriteDeadline(); err != nil {
			return err
		}
		if _, err := writer.Write(chunk); err != nil {
			return errors.Wrap(err, "write message")
		}
		rest = rest[len(chunk):]
	}
	if err := writer.Close(); err != nil {
		return errors.Wrap(err, "end message")
	}
	c.counts.add(DirectionSent, out.kind, sizeOnWire(len(out.message), c.masks))
	return nil
}

func (c *Conn) extendWriteDeadline() error {
	if c.ctx.Err() != nil {
		return ErrNotConnected
	}
	return errors.Wrap(c.socket.SetWriteDeadline(time.Now().Add(c.limits.IdleTimeout)), "set write deadline")
}
