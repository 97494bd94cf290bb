package forward

import (
	"bufio"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/httphead"
	"github.com/galenalug/galenalug/internal/idle"
)

// readBufferBytes is the size of a connection's read buffer, and so the maximum size of a response
// header.
const readBufferBytes = 16 << 10

// conn is a connection to a backend server. It implements hertz's network.Reader on a bufio.Reader.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	written   int64     // bytes written of the current request
	lastAlive time.Time // when the last complete response was received; initially the dial time
	fresh     bool      // carried no complete exchange yet
	readErr   error     // error of the last network read, which hertz's codec does not pass on
	meter     Meter     // of the current exchange; nil for none
	skipped   []byte    // what the last call to Skip has discarded, if keepSkipped is set
	// keepSkipped is set while a response header is read: hertz skips it as a whole once it has parsed it.
	keepSkipped bool
}

func newConn(c net.Conn, now time.Time) *conn {
	wrapped := &conn{Conn: c, lastAlive: now, fresh: true}
	wrapped.reader = bufio.NewReaderSize(recordingReader{wrapped}, readBufferBytes)
	return wrapped
}

// recordingReader reads from the network, records the error and counts the bytes.
type recordingReader struct{ conn *conn }

func (r recordingReader) Read(p []byte) (int, error) {
	n, err := r.conn.Conn.Read(p)
	r.conn.readErr = err
	if r.conn.meter != nil && n > 0 {
		r.conn.meter.Received(n)
	}
	return n, err
}

// timedOut reports whether err, or the error of the last network read, is a timeout.
func (c *conn) timedOut(err error) bool {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return true
	}
	return errors.As(c.readErr, &netErr) && netErr.Timeout()
}

// Write writes to the network and counts the bytes written.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	if c.meter != nil && n > 0 {
		c.meter.Sent(n)
	}
	return n, err
}

// Read implements io.Reader on the buffer.
func (c *conn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// Peek implements network.Reader.
func (c *conn) Peek(n int) ([]byte, error) { return c.reader.Peek(n) }

// Skip implements network.Reader.
func (c *conn) Skip(n int) error {
	if c.keepSkipped {
		head, err := c.reader.Peek(n)
		if err != nil {
			return err
		}
		c.skipped = append(c.skipped[:0], head...)
	}
	_, err := c.reader.Discard(n)
	return err
}

// readHeader reads the header of one response. It fails if the header is malformed, also where hertz accepts it.
func (c *conn) readHeader(header *protocol.ResponseHeader) error {
	c.keepSkipped = true
	defer func() { c.keepSkipped = false }()
	if err := resp.ReadHeader(header, c); err != nil {
		return err
	}
	return httphead.CheckResponse(c.skipped)
}

// Release implements network.Reader. It does nothing, as the buffer is kept as long as the connection.
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

// peekIdle returns the state of an idle connection without blocking and without consuming bytes.
func (c *conn) peekIdle() idle.State {
	if c.reader.Buffered() > 0 {
		return idle.Readable
	}
	return idle.Peek(c.Conn)
}
