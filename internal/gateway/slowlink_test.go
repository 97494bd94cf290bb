package gateway

import (
	"context"
	"net"
	"sync"
	"time"
)

// grownLinkBytes is the capacity of an entry host's link in the largest deployment, bytes per
// second (4.3 Mbit/s).
const grownLinkBytes = 4_300_000 / 8

// handshakePacketBytes is the size of a packet that opens a TCP connection, with its headers.
const handshakePacketBytes = 60

// slowLink is the receiving side of a host's network link: a queue that is emptied at a fixed rate.
type slowLink struct {
	bytesPerSecond float64

	mu      sync.Mutex // guards the fields below
	freeAt  time.Time  // when the last queued byte will have been received
	backlog time.Duration
	reads   int64 // bytes received
}

// setBacklog makes other traffic occupy the link: every packet arrives this much later.
func (l *slowLink) setBacklog(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.backlog = d
}

// received returns the bytes received through the link.
func (l *slowLink) received() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

// wait blocks until n more bytes have passed the queue.
func (l *slowLink) wait(n int) {
	l.mu.Lock()
	start := time.Now()
	if l.freeAt.After(start) {
		start = l.freeAt
	}
	l.freeAt = start.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	l.reads += int64(n)
	queued := l.freeAt
	l.mu.Unlock()
	for { // the backlog may change meanwhile
		l.mu.Lock()
		left := time.Until(queued.Add(l.backlog))
		l.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(min(left, 5*time.Millisecond))
	}
}

// dial opens a connection whose incoming bytes pass the link.
func (l *slowLink) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	l.wait(handshakePacketBytes)
	if ctx.Err() != nil {
		_ = conn.Close()
		return nil, ctx.Err()
	}
	return &slowConn{Conn: conn, link: l}, nil
}

// slowConn is a connection over a slowLink.
type slowConn struct {
	net.Conn
	link *slowLink
}

// Read reads bytes that have passed the link.
func (c *slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.link.wait(n)
	return n, err
}
