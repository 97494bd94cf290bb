package gateway

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/galenalug/galenalug/internal/bodybuffer"
	"github.com/galenalug/galenalug/internal/httphead"
	"github.com/galenalug/galenalug/internal/idle"
	"github.com/galenalug/galenalug/internal/readlimit"
)

const (
	// dialTimeout bounds the opening of a connection, besides the queueing on this host's own link. It
	// leaves a wide margin for regions that are 40 ms apart. A lost packet fails only this connection; the
	// request can still be sent on another.
	dialTimeout = 450 * time.Millisecond
	// unackedTimeout is the TCP_USER_TIMEOUT: how long sent bytes may stay unacknowledged before
	// the connection is closed. It detects a broken network path, not a slow server.
	unackedTimeout = 1500 * time.Millisecond
	// maxRefusedIDs is the number of refused requests after which a connection is not used again.
	maxRefusedIDs = 16
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
)

// conn is a connection to a backend server.
type conn struct {
	net.Conn
	reader   *bufio.Reader
	heads    *httphead.Recorder // below reader
	limit    *readlimit.Reader  // below heads
	written  atomic.Int64       // bytes written of the current request
	dialTook time.Duration      // how long it took to open; 0 once that was reported
	maxIdle  time.Duration      // how long the connection may be idle
	lastUsed time.Time          // end of the last exchange
	refused  []string           // IDs of the requests that were refused on the connection
	buffers  *bodybuffer.Pool   // of all connections
	count    *connCount         // of all connections; nil if they are not counted
	closed   atomic.Bool
}

// Write counts the bytes that were handed to the network.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// dialTCP opens a TCP connection to a backend server. The context bounds how long that may take.
func dialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2},
	}
	raw, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if err := setUnackedTimeout(raw); err != nil {
		_ = raw.Close() // nothing was sent
		return nil, err
	}
	return raw, nil
}

func newConn(raw net.Conn, buffers *bodybuffer.Pool) *conn {
	limit := readlimit.NewReader(raw)
	heads := httphead.NewRecorder(limit)
	return &conn{
		Conn: raw, limit: limit, heads: heads, reader: bufio.NewReaderSize(heads, readBufferBytes),
		lastUsed: time.Now(), maxIdle: defaultIdleTime, buffers: buffers,
	}
}

func setUnackedTimeout(c net.Conn) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "set TCP_USER_TIMEOUT")
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err == nil {
		err = optionErr
	}
	return errors.Wrap(err, "set TCP_USER_TIMEOUT")
}

// mayCarry reports whether a request with the given ID may be sent on the connection. A faulty server
// may write a refusal once more; on the connection of an earlier attempt it would pass for the answer
// to this one.
func (c *conn) mayCarry(id string) bool { return id == "" || !slices.Contains(c.refused, id) }

// closedEarly reports whether the server has closed an idle connection before its time.
func (c *conn) closedEarly() bool {
	return time.Since(c.lastUsed) < c.maxIdle && idle.Peek(c.Conn) == idle.Closed
}

// reusable reports whether an idle connection is open and holds no unexpected bytes.
func (c *conn) reusable() bool {
	if len(c.refused) >= maxRefusedIDs || c.reader.Buffered() > 0 || time.Since(c.lastUsed) > c.maxIdle {
		return false
	}
	return idle.Peek(c.Conn) == idle.Quiet
}
