package gateway

import (
	"bytes"
	"slices"
	"time"
)

// room returns where to read to: the free part of the buffer, or p while there is none. It is empty if the
// buffer is full. The caller holds mu.
func (c *clientConn) room(p []byte) []byte {
	switch {
	case c.closed:
		return p // the read fails
	case len(c.buf) == 0 && !c.buffer:
		return p
	case !c.buffer && c.shared.buffers.TryAcquire(1):
		c.buffer = true
		c.buf = append(make([]byte, 0, max(aheadBufferBytes, len(c.buf))), c.buf...)
	case !c.buffer:
		return nil
	}
	return c.buf[len(c.buf):cap(c.buf)]
}

// received adds bytes that were read to where room said. The caller holds mu.
func (c *clientConn) received(data []byte) {
	if len(data) == 0 || c.closed {
		return
	}
	if c.buffer {
		c.buf = c.buf[:len(c.buf)+len(data)]
	} else {
		c.buf = bytes.Clone(data)
	}
	c.noteArrival()
	c.startAhead()
}

// noteArrival records that the end of the buffer has arrived now. The caller holds mu.
func (c *clientConn) noteArrival() {
	c.held.Store(int64(len(c.buf)))
	now := arrival{end: len(c.buf), at: time.Now()}
	if len(c.arrivals) == maxArrivals {
		c.arrivals[maxArrivals-1] = now
		return
	}
	c.arrivals = append(c.arrivals, now)
}

// arrivalOf returns the time at which the bytes of the buffer up to an offset had arrived. The caller holds mu.
func (c *clientConn) arrivalOf(end int) time.Time {
	i := slices.IndexFunc(c.arrivals, func(a arrival) bool { return a.end >= end })
	return c.arrivals[i].at
}

// releaseBuffer drops the buffer. The caller holds mu.
func (c *clientConn) releaseBuffer() {
	if c.buffer {
		c.shared.buffers.Release(1)
	}
	c.buf, c.buffer, c.arrivals, c.looked = nil, false, nil, 0
	c.held.Store(0)
}

// unread reports whether the connection holds bytes that net/http has not read.
func (c *clientConn) unread() bool { return c.held.Load() > 0 }

// arrivedAt returns the time at which the current request has arrived, as far as it had to wait in the buffer.
func (c *clientConn) arrivedAt() time.Time {
	if c == nil {
		return time.Now()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.arrival.IsZero() {
		return time.Now()
	}
	return c.arrival
}
