package clientconn

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Cause is why a client was cut off.
type Cause string

// Causes of cutting clients off.
const (
	Refused      Cause = "too-many-connections" // as it connected
	GaveWay      Cause = "gave-way"             // its connection made the least progress when another client connected
	SlowSender   Cause = "sends-too-slowly"
	SlowReader   Cause = "reads-too-slowly"
	MemoryShort  Cause = "memory-short"
	BodyTooLarge Cause = "body-too-large"
)

// Causes lists all causes.
var Causes = []Cause{Refused, GaveWay, SlowSender, SlowReader, MemoryShort, BodyTooLarge}

// State is what a connection does.
type State string

// States of connections.
const (
	Idle    State = "idle"    // between requests
	Reading State = "reading" // the process waits for a request of the client
	Serving State = "serving" // the client waits for its response
	Writing State = "writing" // the process waits until the client takes a response
)

// States lists all states.
var States = []State{Idle, Reading, Serving, Writing}

// ErrStopped is the error of a read from a connection that is not read any more.
var ErrStopped = errors.New("clientconn: the connection is not read any more")

// Conn is a client's connection. It counts what the client sends and takes.
type Conn struct {
	net.Conn
	guard  *Guard
	remote string // address, IP:port
	opened time.Time

	received     atomic.Int64
	written      atomic.Int64
	sinceWritten atomic.Int64 // bytes received since the last write
	reading      atomic.Bool  // a read is in progress
	writing      atomic.Bool  // a write is in progress
	serving      atomic.Bool
	atServer     atomic.Int32 // requests that hold a connection to a server
	stopped      atomic.Bool  // reads fail
	slow         atomic.Bool  // reads fail because the client sends too slowly
	closed       atomic.Bool

	// The fields below are used by the guard's watch only, with Guard.mu held.
	in, out    meter
	lastMoved  int64 // sum of both directions at movedAt
	movedAt    time.Time
	taken      int64 // bytes that the client's host has acknowledged
	pending    bool  // whether there are bytes that it has not acknowledged
	lastOutput int64 // bytes written when these were measured
}

type contextKey struct{}

// WithConn is a ConnContext hook of an HTTP server.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, conn)
}

// From returns the connection of a request, or nil if it has none that is guarded.
func From(ctx context.Context) *Conn {
	conn, _ := ctx.Value(contextKey{}).(*Conn)
	return conn
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.stopped.Load() {
		return 0, ErrStopped
	}
	c.reading.Store(true)
	n, err := c.Conn.Read(p)
	c.reading.Store(false)
	c.received.Add(int64(n))
	c.sinceWritten.Add(int64(n))
	if c.stopped.Load() {
		return 0, ErrStopped
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Store(true)
	n, err := c.Conn.Write(p)
	c.writing.Store(false)
	c.written.Add(int64(n))
	c.sinceWritten.Store(0)
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.guard.remove(c)
	}
	return c.Conn.Close()
}

// CloseWrite closes the writing side, as HTTP servers do before they close a connection on which a client still sends.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("clientconn: not a socket")
	}
	return socket.SyscallConn()
}

// SetServing states whether the client waits for its response. Such a connection doesn't give way, and no rate is asked
// of it.
func (c *Conn) SetServing(serving bool) {
	if c != nil {
		c.serving.Store(serving)
	}
}

// AddAtServer changes the number of the client's requests that hold a connection to a server, for Relieve.
func (c *Conn) AddAtServer(requests int32) {
	if c != nil {
		c.atServer.Add(requests)
	}
}

// StopReading makes reads fail, also one in progress. A response can still be written.
func (c *Conn) StopReading() {
	if c == nil {
		return
	}
	c.stopped.Store(true)
	_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed
}

// SendsTooSlowly reports whether reads fail because the client did not keep the least rate.
func (c *Conn) SendsTooSlowly() bool { return c != nil && c.slow.Load() }

// cutSlow cuts off a client that did not keep the least rate. One that sends too slowly may still get a response.
func (c *Conn) cutSlow(cause Cause) {
	if cause == SlowReader || c.stopped.Load() {
		c.Cut(cause)
		return
	}
	c.slow.Store(true)
	c.RecordCut(cause)
	c.StopReading()
}

// Cut closes the connection at once, discards what the kernel holds for it, and records the cause.
func (c *Conn) Cut(cause Cause) {
	if c == nil || c.closed.Load() {
		return
	}
	c.guard.recordCut(c, cause)
	c.abort()
}

// RecordCut records that the client of a request is cut off by a response. The caller closes the connection.
func (c *Conn) RecordCut(cause Cause) {
	if c != nil {
		c.guard.recordCut(c, cause)
	}
}

func (c *Conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed
	}
	_ = c.Close()
}

// state returns the state of the connection. The caller holds Guard.mu.
func (c *Conn) state() State {
	switch {
	case c.serving.Load():
		return Serving
	case c.writing.Load() || c.pending:
		return Writing
	case c.sinceWritten.Load() > 0:
		return Reading
	}
	return Idle
}

// measure updates what the client's host has acknowledged: a write that is in progress says nothing of that. The caller
// holds Guard.mu.
func (c *Conn) measure() {
	written := c.written.Load()
	if !c.pending && written == c.lastOutput && !c.writing.Load() {
		return
	}
	c.lastOutput, c.pending = written, false
	if info, known := c.tcpInfo(); known {
		c.taken = int64(info.Bytes_acked)
		c.pending = info.Unacked > 0 || info.Notsent_bytes > 0
	}
}

// unsentBytes bounds what the kernel holds of responses that were not sent yet. What was sent is bounded by the client's
// window.
const unsentBytes = 64 << 10

// limitUnsent bounds the kernel's send buffer of a connection without a bound for its rate.
func limitUnsent(conn net.Conn) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, unsentBytes) // saves memory only
	})
}
