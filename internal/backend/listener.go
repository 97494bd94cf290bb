package backend

import (
	"net"
	"sync"
	"sync/atomic"
)

// limitListener closes connections beyond a limit as soon as they are accepted.
type limitListener struct {
	net.Listener
	limit int64
	open  atomic.Int64
}

// Accept returns the next connection within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &limitedConn{Conn: conn, release: func() { l.open.Add(-1) }}, nil
		}
		l.open.Add(-1)
		_ = conn.Close()
	}
}

type limitedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close closes the connection and makes room for another one.
func (c *limitedConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}
