package peer

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"

	"github.com/gorilla/websocket"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/wire"
)

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
