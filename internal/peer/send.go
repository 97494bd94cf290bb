package peer

import (
	"sync/atomic"
	"time"

	"github.com/gorilla/websocket"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/wire"
)

// States of an outgoing message.
const (
	statePending  int32 = iota // queued
	stateWriting               // its first byte may have been written
	stateCanceled              // its call ended before the first byte was written
)

// outgoing is a message in the queue of a connection.
type outgoing struct {
	kind    int
	message []byte
	state   atomic.Int32
}

// cancel prevents a queued message from being written. It returns false if writing may have begun.
func (o *outgoing) cancel() bool {
	return o.state.CompareAndSwap(statePending, stateCanceled)
}

// Notify queues a one-way message without blocking. If the queue is full, the peer does not keep up:
// Notify closes the connection, because later messages would follow a gap, and returns ErrQueueFull.
func (c *Conn) Notify(kind int, body []byte) error {
	_, err := c.enqueue(wire.Frame{Kind: kind, Body: body})
	if errors.Is(err, ErrQueueFull) {
		c.Close()
	}
	return err
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
