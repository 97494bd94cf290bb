package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenalug/galenalug/internal/clientconn"
	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/idle"
)

const (
	// unreadPollInterval is the interval between checks for unread requests while the gateway stops.
	unreadPollInterval = 10 * time.Millisecond
	// clientPollInterval is the interval between checks for open connections while the gateway stops.
	clientPollInterval = 50 * time.Millisecond
)

// clientConns tracks the open client connections, and which of them net/http considers idle.
type clientConns struct {
	mu    sync.Mutex // guards the fields below; no other lock is acquired while it is held
	idle  map[net.Conn]struct{}
	count int // open connections

	ahead *atomic.Int64 // requests that run before their turn; nil for none
}

// connKey is the context key of a request's client connection.
type connKey struct{}

// withClientConn is the ConnContext hook of the HTTP server.
func withClientConn(ctx context.Context, conn net.Conn) context.Context {
	guarded := conn
	if c, ok := conn.(*clientConn); ok {
		guarded = c.Conn
	}
	return clientconn.WithConn(context.WithValue(ctx, connKey{}, conn), guarded)
}

// hungUp reports whether the client has closed the connection of a request. Unlike the request's context
// it also tells while bytes of the body are unread.
func hungUp(r *http.Request) bool {
	conn, ok := r.Context().Value(connKey{}).(net.Conn)
	return ok && idle.HungUp(conn)
}

func newClientConns() *clientConns { return &clientConns{idle: map[net.Conn]struct{}{}} }

// open returns the number of open connections.
func (c *clientConns) open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// setState is the ConnState hook of the HTTP server.
func (c *clientConns) setState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.count++
	case http.StateClosed, http.StateHijacked:
		c.count--
	}
	if state == http.StateIdle {
		c.idle[conn] = struct{}{}
		return
	}
	delete(c.idle, conn)
}

// hasUnread reports whether an idle connection has received bytes that the server has not read. On
// a host that is short of processor time they may stay unread for long. A request that runs before its turn
// counts as unread as well: its connection is idle between two responses.
func (c *clientConns) hasUnread() bool {
	if c.ahead != nil && c.ahead.Load() > 0 {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.idle {
		if held, ok := conn.(*clientConn); ok && held.unread() || idle.Unread(conn) {
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
		clock.Sleep(ctx, unreadPollInterval)
	}
}
