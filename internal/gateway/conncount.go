package gateway

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
)

// connCount counts the open connections to all servers. The bound keeps the descriptors of the host free for clients.
type connCount struct {
	max  int64
	open atomic.Int64
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.count != nil && c.closed.CompareAndSwap(false, true) {
		c.count.open.Add(-1)
	}
	return c.Conn.Close()
}

// dialCounted opens a connection to the server. If there are as many as there may be, it closes the oldest idle one of
// any server. Requests are bounded so that there is one: see clientLimits.startRequest.
func (b *backend) dialCounted(ctx context.Context) (net.Conn, error) {
	if b.conns.open.Add(1) > b.conns.max {
		b.closeOldest()
	}
	raw, err := b.dial(ctx, "tcp", b.address)
	if err != nil {
		b.conns.open.Add(-1)
		return nil, err
	}
	return raw, nil
}

// closeOldest closes the idle connection that was not used for longest.
func (b *backends) closeOldest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	var oldest *conn
	var holder *backend
	for _, server := range b.byID {
		server.mu.Lock()
		if len(server.idle) > 0 && (oldest == nil || server.idle[0].lastUsed.Before(oldest.lastUsed)) {
			oldest, holder = server.idle[0], server
		}
		server.mu.Unlock()
	}
	if holder != nil {
		holder.closeIfIdle(oldest)
	}
}

// closeIfIdle closes an idle connection, unless it was taken meanwhile.
func (b *backend) closeIfIdle(c *conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.idle, c); i >= 0 {
		b.idle = slices.Delete(b.idle, i, i+1)
		_ = c.Close() // no request is in flight on it
	}
}
