package backend

import (
	"net"
	"sync"
	"sync/atomic"
)

// limitListener accepts and immediately closes connections beyond a limit.
type limitListener struct {
	net.Listener
	limit int64
	open  atomic.Int64
}

// Accept returns the next connection that is within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &countedConn{Conn: conn, release: func() { l.open.Add(-1) }}, nil
		}
		l.open.Add(-1)
		_ = conn.Close()
	}
}

// countedConn frees its place under the limit when it is closed.
type countedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close closes the connection. Only the first call decrements the number of open connections.
func (c *countedConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}
