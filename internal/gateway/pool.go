package gateway

import (
	"context"
	"slices"
	"time"
)

// maxIdleForOnce is the longest idle time of a connection that is used for a request that may
// run only once. If the server closes the connection while the request is sent, such a request
// can't be sent again.
const maxIdleForOnce = 4 * time.Second

func (b *backend) closeIdle() {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := b.idle[:0]
	for _, c := range b.idle {
		if time.Since(c.lastUsed) > c.maxIdle {
			_ = c.Close() // no request is in flight on it
			continue
		}
		kept = append(kept, c)
	}
	b.idle = kept
}

// connect returns an open idle connection, or dials a new one. A request that may run only once
// gets an idle connection only if that was used within maxIdleForOnce.
func (b *backend) connect(ctx context.Context, once bool, id string) (*conn, error) {
	closedAfter := time.Duration(-1) // shortest idle time of a connection that the server has closed early
	for {
		c := b.takeIdle(once, id)
		if c == nil {
			if closedAfter >= 0 {
				b.suspectClosed(closedAfter)
			}
			started := clockNow()
			raw, err := b.dialCounted(ctx)
			if err != nil {
				return nil, err
			}
			c = newConn(raw, b.buffers)
			c.count = b.conns
			c.dialTook = clockNow() - started
			return c, nil
		}
		if c.reusable() {
			return c, nil
		}
		if idleFor := time.Since(c.lastUsed); c.closedEarly() && (closedAfter < 0 || idleFor < closedAfter) {
			closedAfter = idleFor
		}
		_ = c.Close() // no request is in flight on it
	}
}

// hasIdle reports whether an idle connection may carry a request. The caller holds b.mu.
func (b *backend) hasIdle(once bool) bool {
	if len(b.idle) == 0 {
		return false
	}
	return !once || time.Since(b.idle[len(b.idle)-1].lastUsed) <= maxIdleForOnce
}

// takeIdle takes the most recently used idle connection that may carry the request, or returns nil.
func (b *backend) takeIdle(once bool, id string) *conn {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := len(b.idle) - 1; i >= 0; i-- {
		c := b.idle[i]
		if once && time.Since(c.lastUsed) > maxIdleForOnce {
			return nil
		}
		if c.mayCarry(id) {
			b.idle = slices.Delete(b.idle, i, i+1)
			return c
		}
	}
	return nil
}

// returnUnused returns a connection on which nothing was sent, if there is one.
func (b *backend) returnUnused(c *conn, err error) {
	if err == nil {
		b.keepIdle(c, true)
	}
}

// release returns a connection to the idle list, or closes it.
func (b *backend) release(c *conn, keep bool) {
	c.lastUsed = time.Now()
	b.keepIdle(c, keep)
}

func (b *backend) keepIdle(c *conn, keep bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !keep || b.closed {
		_ = c.Close() // no request is in flight on it
		return
	}
	b.idle = append(b.idle, c)
}
