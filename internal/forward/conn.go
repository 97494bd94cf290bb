package forward

import (
	"bufio"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/idle"
)

// readBufferBytes bounds the header of an answer, too.
const readBufferBytes = 16 << 10

// conn is a connection to a backend server. It implements hertz's
// network.Reader over a bufio.Reader.
type conn struct {
	net.Conn
	reader   *bufio.Reader
	written  int64     // bytes of the current request
	answered time.Time // when the last whole answer arrived; the dial time at first
	fresh    bool      // no request was sent yet
	readErr  error     // of the last read; hertz's codec hides it
	meter    Meter     // of the current exchange; nil for none
}

func newConn(c net.Conn, now time.Time) *conn {
	wrapped := &conn{Conn: c, answered: now, fresh: true}
	wrapped.reader = bufio.NewReaderSize(rawReader{wrapped}, readBufferBytes)
	return wrapped
}

// rawReader reads from the network and keeps the error.
type rawReader struct{ conn *conn }

func (r rawReader) Read(p []byte) (int, error) {
	n, err := r.conn.Conn.Read(p)
	r.conn.readErr = err
	if r.conn.meter != nil && n > 0 {
		r.conn.meter.Received(n)
	}
	return n, err
}

// timedOut reports whether an error, or the last read, is a time-out.
func (c *conn) timedOut(err error) bool {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return true
	}
	return errors.As(c.readErr, &netErr) && netErr.Timeout()
}

// Write counts the bytes that the network took.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	if c.meter != nil && n > 0 {
		c.meter.Sent(n)
	}
	return n, err
}

// Read reads through the buffer.
func (c *conn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// Peek implements network.Reader.
func (c *conn) Peek(n int) ([]byte, error) { return c.reader.Peek(n) }

// Skip implements network.Reader.
func (c *conn) Skip(n int) error {
	_, err := c.reader.Discard(n)
	return err
}

// Release implements network.Reader; the buffer lives as long as the connection.
func (c *conn) Release() error { return nil }

// Len implements network.Reader.
func (c *conn) Len() int { return c.reader.Buffered() }

// ReadByte implements network.Reader.
func (c *conn) ReadByte() (byte, error) { return c.reader.ReadByte() }

// ReadBinary implements network.Reader.
func (c *conn) ReadBinary(n int) ([]byte, error) {
	p := make([]byte, n)
	for read := 0; read < n; {
		m, err := c.reader.Read(p[read:])
		if err != nil {
			return nil, err
		}
		read += m
	}
	return p, nil
}

// peekIdle looks at an idle connection without blocking and without taking
// bytes from it.
func (c *conn) peekIdle() idle.State {
	if c.reader.Buffered() > 0 {
		return idle.Readable
	}
	return idle.Peek(c.Conn)
}
