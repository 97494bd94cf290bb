package forward

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/idle"
)

// errPoolFull means that every connection allowed to the server is in use.
var errPoolFull = errors.New("every connection to the server is in use")

// Dial opens a TCP connection.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// pool holds the connections of one class to one server.
type pool struct {
	address string
	limit   int
	dial    Dial
	counts  *counters

	mu     sync.Mutex // guards the fields below
	idle   []*conn    // the one used last stands last
	open   int        // idle and busy
	closed bool
}

// acquire returns a connection. With provenAfter set, only a connection that
// answered since then, or a new one, will do.
func (p *pool) acquire(ctx context.Context, provenAfter time.Time) (*conn, error) {
	for {
		c, err := p.takeIdle(provenAfter)
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
			p.counts.lateAnswers.Add(1)
		}
		p.discard(c)
	}
}

// takeIdle returns an idle connection, or nil after it reserved room for a new
// one.
func (p *pool) takeIdle(provenAfter time.Time) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if last := len(p.idle) - 1; last >= 0 && !p.idle[last].answered.Before(provenAfter) {
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

func (p *pool) connect(ctx context.Context) (*conn, error) {
	c, err := p.dial(ctx, p.address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	p.counts.dialed.Add(1)
	return newConn(c, time.Now()), nil
}

// release returns a connection whose answer was read to its end.
func (p *pool) release(c *conn) {
	c.answered, c.fresh = time.Now(), false
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		p.open--
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// putBack returns a connection that nothing was written to.
func (p *pool) putBack(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

// discard closes a connection for good.
func (p *pool) discard(c *conn) {
	_ = c.Close()
	p.counts.discarded.Add(1)
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// closeIdle closes connections idle since before a time; all of them and every
// later one when the pool is retired.
func (p *pool) closeIdle(before time.Time, retire bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = p.closed || retire
	kept := p.idle[:0]
	for _, c := range p.idle {
		if retire || c.answered.Before(before) {
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
