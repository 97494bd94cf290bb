package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
	"golang.org/x/sys/unix"

	"github.com/galenalug/galenalug/internal/clientconn"
)

const (
	// maxAhead bounds the requests of all connections that run before their turn or wait for it. Each holds
	// up to bodybuffer.MinBytes of its response besides the memory of the pool, and a head of up to
	// maxHeldHead: 8 MiB together.
	maxAhead = 256
	// aheadBufferBytes is the size of a connection's buffer for requests behind the current one, bytes.
	aheadBufferBytes = 16 << 10
	// maxAheadBuffers bounds the number of these buffers: 4 MiB together. A connection that gets none is
	// read as far as net/http reads.
	maxAheadBuffers = 256
	// maxArrivals bounds the times of arrival that are kept for the bytes in a connection's buffer.
	maxArrivals = 16
)

// pipelining holds what the client connections share to run pipelined requests before their turn.
type pipelining struct {
	host    *Host
	depth   int // per connection
	ahead   *semaphore.Weighted
	buffers *semaphore.Weighted
	running atomic.Int64 // requests that hold a part of ahead
	large   *largeRoutes
}

func newPipelining(h *Host, depth int) *pipelining {
	return &pipelining{
		host: h, depth: depth, ahead: semaphore.NewWeighted(maxAhead), buffers: semaphore.NewWeighted(maxAheadBuffers),
		large: newLargeRoutes(),
	}
}

// pipelineListener accepts connections whose pipelined requests run before their turn.
type pipelineListener struct {
	net.Listener
	shared *pipelining
}

// Accept implements net.Listener.
func (l *pipelineListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if guarded, ok := conn.(*clientconn.Conn); ok && err == nil {
		return &clientConn{Conn: guarded, shared: l.shared}, nil
	}
	return conn, err
}

// clientConn is a client connection. It passes the bytes to net/http unchanged, but at most to the end of one
// request at a time, so that it knows where the next request begins. While net/http waits for the client to
// leave, during a handler, it reads further requests into a buffer and starts those that may run before
// their turn.
type clientConn struct {
	*clientconn.Conn
	shared *pipelining

	mu       sync.Mutex   // guards the fields below; view.mu may be acquired while it is held
	scanner  scanner      // of the bytes passed to net/http
	buf      []byte       // received, not passed to net/http; only the reader changes it
	buffer   bool         // whether buf is one of shared.buffers
	held     atomic.Int64 // length of buf; written with mu held, read also without
	arrivals []arrival    // in order of end; the last one covers all of buf
	arrival  time.Time    // of the request passed last; zero if it never was in buf
	readErr  error        // ends the connection; nil unless a read has failed
	closed   bool
	ctx      context.Context // of the requests ahead; nil before the first
	cancel   context.CancelFunc

	allowed bool            // the current request lets others run ahead
	noMore  bool            // a response closes the connection
	looked  int             // bytes of buf whose requests were started
	barrier bool            // the request after these can't run ahead
	cause   string          // why it has not run ahead so far
	queue   []*aheadRequest // those in buf[:looked]
	next    *aheadRequest   // the one that was passed to net/http, until its handler is called
}

// arrival is the time at which the bytes of the buffer up to an offset arrived.
type arrival struct {
	end int
	at  time.Time
}

// clientConnOf returns the connection of a request, or nil if its requests don't run before their turn.
func clientConnOf(r *http.Request) *clientConn {
	c, _ := r.Context().Value(connKey{}).(*clientConn)
	return c
}

// Read implements net.Conn for net/http, which never calls it concurrently. During a handler it reads one
// byte in the background, to notice that the client leaves. This read gets none as long as the beginning of
// the next request is known.
func (c *clientConn) Read(p []byte) (int, error) {
	if len(p) == 1 && c.betweenRequests() {
		return 0, c.watch(p)
	}
	if n, err := c.readBuffered(p); n > 0 || err != nil {
		return n, err
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fail(err)
	if n == 0 {
		return 0, err
	}
	end := c.scanner.advance(p[:n])
	c.arrival = time.Time{}
	if end < n && !c.closed {
		c.buf = bytes.Clone(p[end:n])
		c.noteArrival()
	}
	return end, err
}

func (c *clientConn) betweenRequests() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scanner.state == atStart
}

// readBuffered passes on bytes of the buffer, at most to the end of a request.
func (c *clientConn) readBuffered(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readErr != nil {
		return 0, c.readErr
	}
	if len(c.buf) == 0 {
		return 0, nil
	}
	if c.scanner.state == atStart {
		c.passNext()
	}
	n := c.scanner.advance(c.buf[:min(len(p), len(c.buf))])
	copy(p, c.buf[:n])
	c.arrival = c.arrivalOf(n)
	for i := range c.arrivals {
		c.arrivals[i].end -= n
	}
	c.arrivals = slices.DeleteFunc(c.arrivals, func(a arrival) bool { return a.end <= 0 })
	c.looked = max(c.looked-n, 0)
	c.buf = c.buf[:copy(c.buf, c.buf[n:])]
	c.held.Store(int64(len(c.buf)))
	if len(c.buf) == 0 {
		c.releaseBuffer()
	}
	return n, nil
}

// passNext notes that the next request begins to be passed to net/http. The caller holds mu.
func (c *clientConn) passNext() {
	if len(c.queue) > 0 {
		c.next, c.queue = c.queue[0], c.queue[1:]
		return
	}
	cause := c.cause
	if cause == "" {
		cause = notAheadTurn
	}
	c.shared.host.metrics.pipelined.WithLabelValues(cause).Inc()
	c.barrier, c.cause = false, ""
}

// watch reads further requests until the read is aborted or the client leaves. It always returns an error.
func (c *clientConn) watch(p []byte) error {
	for {
		c.mu.Lock()
		into, err := c.room(p), c.readErr
		c.mu.Unlock()
		if err != nil {
			return err
		}
		if len(into) == 0 {
			return c.awaitLeave()
		}
		n, err := c.Conn.Read(into)
		c.mu.Lock()
		c.received(into[:n])
		c.fail(err)
		c.mu.Unlock()
		if err != nil {
			return err
		}
	}
}

// awaitLeave waits until the read is aborted or the client has closed its side, without reading.
func (c *clientConn) awaitLeave() error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	err = raw.Read(func(fd uintptr) (done bool) { // called again after each event of the connection
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		_, err := unix.Poll(poll, 0)
		return err == nil && poll[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	if err == nil {
		err = io.EOF
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fail(err)
	return err
}

// fail records that a read has failed. The client has left, unless net/http has aborted the read. Its
// requests are canceled, and those in the buffer count as not read. The caller holds mu.
func (c *clientConn) fail(err error) {
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.readErr = err
	c.cancelAhead()
}

// Close implements net.Conn. What was not passed to net/http is dropped.
func (c *clientConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.cancelAhead()
	c.releaseBuffer()
	c.mu.Unlock()
	return c.Conn.Close()
}

// cancelAhead cancels the requests ahead. The caller holds mu.
func (c *clientConn) cancelAhead() {
	if c.cancel != nil {
		c.cancel()
	}
	c.noMore = true
}

// allowAhead lets the requests behind the current one run before their turn, until endRequest.
func (c *clientConn) allowAhead() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.allowed = true
	c.startAhead()
}

// stopAhead reports whether requests behind the current one run. Otherwise none is started until the next request allows it.
func (c *clientConn) stopAhead() (running bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	running = len(c.queue) > 0
	c.allowed = c.allowed && running
	return running
}

// endRequest is called when the handler of the current request returns.
func (c *clientConn) endRequest() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.allowed = false
}

// mayClose reports whether the current response may close the connection: no request behind it is running.
// If so, none is started any more.
func (c *clientConn) mayClose() bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) > 0 {
		return false
	}
	c.noMore = true
	return true
}
