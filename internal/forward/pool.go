package forward

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/idle"
)

// errPoolFull is returned if all connections allowed to the server are in use, or the pool is closed.
var errPoolFull = errors.New("all connections allowed to the server are in use")

// Dial opens a TCP connection.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// pool holds the connections of one class to one server.
type pool struct {
	address  string
	limit    int
	dial     Dial
	counters *counters

	mu     sync.Mutex // guards the fields below
	idle   []*conn    // least recently used first
	open   int        // number of connections, idle and busy
	closed bool
}

// acquire returns an idle connection or opens a new one. If aliveSince is set, an idle connection
// qualifies only if it was last known to be alive at that time or later.
func (p *pool) acquire(ctx context.Context, aliveSince time.Time) (*conn, error) {
	for {
		c, err := p.takeIdle(aliveSince)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.connect(ctx)
		}
		switch c.peekIdle() {
		case idle.Quiet:
			c.written = 0
			return c, nil
		case idle.Readable:
			p.counters.lateResponses.Add(1)
		}
		p.discard(c)
	}
}

// takeIdle returns an idle connection, or nil if the caller is to open a new one, which is then
// already counted as open. If the pool is full, it closes the least recently used idle connection to
// make room.
func (p *pool) takeIdle(aliveSince time.Time) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if last := len(p.idle) - 1; last >= 0 && !p.idle[last].lastAlive.Before(aliveSince) {
		c := p.idle[last]
		p.idle = p.idle[:last]
		return c, nil
	}
	if p.open >= p.limit && len(p.idle) > 0 {
		oldest := p.idle[0]
		p.idle = p.idle[1:]
		p.open--
		_ = oldest.Close()
	}
	if p.open >= p.limit || p.closed {
		return nil, errPoolFull
	}
	p.open++
	return nil, nil
}

// connect opens a connection for which takeIdle has made room.
func (p *pool) connect(ctx context.Context) (*conn, error) {
	c, err := p.dial(ctx, p.address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	p.counters.dialed.Add(1)
	return newConn(c, time.Now()), nil
}

// release returns a connection to the pool after its response was read completely.
func (p *pool) release(c *conn) {
	c.lastAlive, c.fresh = time.Now(), false
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		p.open--
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// returnUnused returns a connection to the pool to which nothing was written since acquire. Unlike
// release, it does not mark the connection as alive.
func (p *pool) returnUnused(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

// discard closes a connection and removes it from the pool.
func (p *pool) discard(c *conn) {
	_ = c.Close()
	p.counters.discarded.Add(1)
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// closeIdle closes connections that have been idle since before the given time. If retire is set, it
// closes all idle connections and the pool itself, so that release closes connections, too.
func (p *pool) closeIdle(before time.Time, retire bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = p.closed || retire
	kept := p.idle[:0]
	for _, c := range p.idle {
		if retire || c.lastAlive.Before(before) {
			_ = c.Close()
			p.open--
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
}

func (p *pool) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
