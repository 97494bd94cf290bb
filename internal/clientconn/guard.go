// Package clientconn guards a process against clients that it does not control: it bounds the number of open
// connections, and cuts off clients that send or read too slowly.
//
// A Guard wraps a listener. When more connections are open than allowed, those that have made the least progress give
// way to new ones: first idle connections, then those without progress for longest, if that is at least the stall time.
// If there is none, the new connection is refused. A client that waits for its response doesn't give way.
//
// Log lines about clients that are cut off are bounded for each cause; see cutLog. Watch writes those that are still due
// when no further client is cut off. Without Watch they wait for the next one.
//
// Guard.mu is held while the kernel is asked for the unacknowledged bytes of connections, which doesn't block.
package clientconn

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/idle"
)

const (
	// defaultStall is how long a connection must have been without progress before it gives way.
	defaultStall = time.Second
	// victimShare is the part of the connections that give way at once, as a divisor. A search takes time in proportion
	// to all connections, so that it should not be needed for each new one.
	victimShare = 16
	// searchInterval is the time after a search without result in which new connections are refused without another.
	searchInterval = 20 * time.Millisecond
	// progressBytes is how many bytes count as progress.
	progressBytes = 1 << 10
	// watchInterval is the interval at which connections are checked.
	watchInterval = 500 * time.Millisecond
	// refusal is sent to a client whose connection is refused. No request of it was read.
	refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	// refusalTimeout bounds the write of the refusal, which fits in the empty send buffer.
	refusalTimeout = 10 * time.Millisecond
)

// Options are the parameters of New.
type Options struct {
	Name    string        // of the listener, in the log
	Max     int           // open connections
	Rate    Rate          // least rate; the zero value for none
	Stall   time.Duration // how long without progress a connection gives way; default: 1 s
	Metrics *Metrics
	Logger  log.Interface // default: log.Log
}

// Guard guards the connections of one listener.
type Guard struct {
	options Options

	mu       sync.Mutex // guards conns, and the fields of connections that say so; no other lock is acquired while it is held
	conns    map[*Conn]struct{}
	byRemote map[string]*Conn // by remote address
	// noneUntil is the time until which no connection gives way, since the last search found none.
	noneUntil time.Time

	cutsMu sync.Mutex // guards cuts; no other lock is acquired while it is held
	cuts   cutLog
}

// New returns a guard.
func New(o Options) *Guard {
	if o.Logger == nil {
		o.Logger = log.Log
	}
	if o.Stall == 0 {
		o.Stall = defaultStall
	}
	g := &Guard{options: o, conns: map[*Conn]struct{}{}, byRemote: map[string]*Conn{}}
	o.Metrics.add(g)
	return g
}

// Listen returns a listener whose connections are guarded.
func (g *Guard) Listen(inner net.Listener) net.Listener { return &listener{Listener: inner, guard: g} }

type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := l.guard.admit(raw); conn != nil {
			return conn, nil
		}
	}
}

// admit adds a connection, or refuses it and returns nil.
func (g *Guard) admit(raw net.Conn) *Conn {
	now := time.Now()
	c := &Conn{Conn: raw, guard: g, remote: raw.RemoteAddr().String(), opened: now, movedAt: now}
	g.mu.Lock()
	var victims []*Conn
	full := len(g.conns) >= g.options.Max
	if full {
		victims = g.leastProgress(now)
	}
	if full && len(victims) == 0 {
		g.mu.Unlock()
		g.recordCut(c, Refused)
		_ = raw.SetWriteDeadline(now.Add(refusalTimeout)) // fails only if the connection is closed
		_, _ = raw.Write([]byte(refusal))                 // the client has closed the connection if it fails
		_ = raw.Close()
		return nil
	}
	g.conns[c] = struct{}{}
	g.byRemote[c.remote] = c
	g.mu.Unlock()
	for _, victim := range victims {
		victim.Cut(GaveWay)
	}
	limitUnsent(raw)
	return c
}

// leastProgress returns the connections that give way. The caller holds mu.
func (g *Guard) leastProgress(now time.Time) []*Conn {
	if now.Before(g.noneUntil) {
		return nil
	}
	idling, stalled := g.stalled(now)
	if len(idling) == 0 && len(stalled) == 0 {
		g.noneUntil = now.Add(searchInterval)
	}
	found := slices.Concat(idling, stalled)
	return found[:min(len(found), g.maxVictims())]
}

// maxVictims returns how many connections give way at once.
func (g *Guard) maxVictims() int { return max(g.options.Max/victimShare, 1) }

// Relieve cuts off clients whose requests hold connections to servers though the clients make no progress. Those without
// progress for longest are the first.
func (g *Guard) Relieve() {
	g.mu.Lock()
	_, victims := g.stalled(time.Now())
	g.mu.Unlock()
	victims = slices.DeleteFunc(victims, func(c *Conn) bool { return c.atServer.Load() == 0 })
	for _, victim := range victims[:min(len(victims), g.maxVictims())] {
		victim.Cut(GaveWay)
	}
}

// stalled returns the connections without progress for the stall time, those without for longest first. The caller
// holds mu.
func (g *Guard) stalled(now time.Time) (idling, stalled []*Conn) {
	for c := range g.conns {
		c.measure()
		c.noteProgress(now)
		state := c.state()
		switch {
		case state == Serving || now.Sub(c.movedAt) < g.options.Stall:
		case state == Idle && !idle.Unread(c):
			idling = append(idling, c)
		default:
			stalled = append(stalled, c)
		}
	}
	for _, group := range [][]*Conn{idling, stalled} {
		slices.SortFunc(group, func(a, b *Conn) int { return a.movedAt.Compare(b.movedAt) })
	}
	return idling, stalled
}

// noteProgress updates when the client has made progress. The caller holds Guard.mu.
func (c *Conn) noteProgress(now time.Time) {
	moved := c.received.Load() + c.taken
	if moved-c.lastMoved >= progressBytes || c.serving.Load() {
		c.lastMoved, c.movedAt = moved, now
	}
}

func (g *Guard) remove(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
	if g.byRemote[c.remote] == c {
		delete(g.byRemote, c.remote)
	}
}

// Watch cuts off clients that don't keep the least rate, until the context ends.
func (g *Guard) Watch(ctx context.Context) {
	last := time.Now()
	for ctx.Err() == nil {
		clock.Sleep(ctx, watchInterval)
		now := time.Now()
		// A process that was suspended has not read meanwhile.
		waited := min(now.Sub(last), 2*watchInterval)
		last = now
		for c, cause := range g.tooSlow(now, waited) {
			c.cutSlow(cause)
		}
		g.logPendingCuts(now)
	}
}

// tooSlow returns the connections that don't keep the least rate.
func (g *Guard) tooSlow(now time.Time, waited time.Duration) map[*Conn]Cause {
	g.mu.Lock()
	defer g.mu.Unlock()
	slow := map[*Conn]Cause{}
	for c := range g.conns {
		c.measure()
		c.noteProgress(now)
		if cause := c.check(g.options.Rate, waited); cause != "" && g.options.Rate.Window > 0 {
			slow[c] = cause
		}
	}
	return slow
}

// check records for how long the process has waited for the client, and returns the cause to cut it off, if any. The
// caller holds Guard.mu.
func (c *Conn) check(rate Rate, waited time.Duration) Cause {
	received := c.received.Load()
	if !c.pending && !c.writing.Load() {
		c.out.reset(c.taken)
	} else if !c.out.observe(rate, c.taken, waited) {
		return SlowReader
	}
	if c.serving.Load() || !c.reading.Load() || c.sinceWritten.Load() == 0 {
		c.in.reset(received)
	} else if !c.in.observe(rate, received, waited) {
		return SlowSender
	}
	return ""
}

// count returns the number of open connections by state.
func (g *Guard) count() map[State]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	counts := map[State]int{}
	for c := range g.conns {
		counts[c.state()]++
	}
	return counts
}

// Find returns the connection from a remote address, IP:port, or nil.
func (g *Guard) Find(remote string) *Conn {
	if g == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.byRemote[remote]
}

func (g *Guard) recordCut(c *Conn, cause Cause) {
	g.options.Metrics.countCut(cause)
	now := time.Now()
	fields := log.Fields{
		"remote": c.remote, "received": c.received.Load(), "written": c.written.Load(), "open_ms": now.Sub(c.opened).Milliseconds(),
	}
	g.cutsMu.Lock()
	lines := g.cuts.add(now, cause, fields)
	g.cutsMu.Unlock()
	g.logCuts(lines)
}

// logPendingCuts writes the log lines that are due though no further client is cut off.
func (g *Guard) logPendingCuts(now time.Time) {
	g.cutsMu.Lock()
	lines := g.cuts.due(now)
	g.cutsMu.Unlock()
	g.logCuts(lines)
}

func (g *Guard) logCuts(lines []cutLine) {
	for _, line := range lines {
		g.options.Logger.WithFields(log.Fields{
			"listener": g.options.Name, "cause": string(line.cause), "count": line.count,
		}).WithFields(line.fields).Warn("client cut off")
	}
}
