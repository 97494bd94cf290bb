package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/galenalug/galenalug/internal/idle"
)

// unreadInterval is the time between two looks for unread requests at a stop.
const unreadInterval = 10 * time.Millisecond

// clients are the connections of clients on which no request is under way, as far
// as the server has read.
type clients struct {
	mu   sync.Mutex // guards idle; a leaf
	idle map[net.Conn]struct{}
}

func newClients() *clients { return &clients{idle: map[net.Conn]struct{}{}} }

// note takes in a connection's state; it is the server's ConnState hook.
func (c *clients) note(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.idle[conn] = struct{}{}
		return
	}
	delete(c.idle, conn)
}

// unread tells whether a request waits to be read on any connection. On a host
// without processor time it may wait for long.
func (c *clients) unread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.idle {
		if idle.Unread(conn) {
			return true
		}
	}
	return false
}

// awaitRead returns once no request waits to be read, or the context ends: the
// server's stop closes connections that seem idle to it.
func (c *clients) awaitRead(ctx context.Context) {
	for ctx.Err() == nil && c.unread() {
		wait(ctx, unreadInterval)
	}
}
