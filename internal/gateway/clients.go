package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/galenalug/galenalug/internal/idle"
)

// unreadPollInterval is the interval between checks for unread requests while the gateway stops.
const unreadPollInterval = 10 * time.Millisecond

// clientConns tracks the client connections that net/http considers idle.
type clientConns struct {
	mu   sync.Mutex // guards idle; no other lock is acquired while it is held
	idle map[net.Conn]struct{}
}

func newClientConns() *clientConns { return &clientConns{idle: map[net.Conn]struct{}{}} }

// setState is the ConnState hook of the HTTP server.
func (c *clientConns) setState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.idle[conn] = struct{}{}
		return
	}
	delete(c.idle, conn)
}

// hasUnread reports whether an idle connection has received bytes that the server has not read. On
// a host that is short of processor time they may stay unread for long.
func (c *clientConns) hasUnread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.idle {
		if idle.Unread(conn) {
			return true
		}
	}
	return false
}

// awaitRead returns when no connection has unread bytes, or when the context ends. It is called
// before Server.Shutdown, which closes connections that it considers idle even if a request has
// arrived on them.
func (c *clientConns) awaitRead(ctx context.Context) {
	for ctx.Err() == nil && c.hasUnread() {
		sleep(ctx, unreadPollInterval)
	}
}
