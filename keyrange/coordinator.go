package keyrange

import (
	"slices"
	"time"
)

// server is what the coordinator knows of one incarnation.
type server struct {
	info     Server
	sequence int64
	seen     time.Duration
	leftAt   time.Duration // when it said that it leaves; 0 if it did not
	workTime float64       // seconds a request takes without queueing; 0 if not known
}

// ready tells whether the server may be given more keys.
func (s *server) ready() bool { return !s.info.Draining && s.leftAt == 0 }

// service is one service that is divided by key.
type service struct {
	name     string
	rows     rows
	load     *load
	firstAt  time.Duration // when its first server showed up
	seeded   bool          // whether its keys were divided once
	heldRows map[string]int
}

// Coordinator grants keys to servers.
type Coordinator struct {
	options   Options
	counter   uint64
	servers   map[string]*server
	addresses map[string]string // server ID by address
	services  map[string]*service
	published published
}

// New returns a coordinator that knows no server.
func New(options Options) *Coordinator {
	return &Coordinator{
		options:   options,
		servers:   map[string]*server{},
		addresses: map[string]string{},
		services:  map[string]*service{},
		published: published{servers: map[string]Server{}, owners: map[string][]Owner{}},
	}
}

// SetKeyed tells which services are divided by key.
func (c *Coordinator) SetKeyed(names []string) {
	for _, name := range names {
		if c.services[name] == nil {
			c.services[name] = c.newService(name)
		}
	}
	for name := range c.services {
		if !slices.Contains(names, name) {
			delete(c.services, name)
		}
	}
}

func (c *Coordinator) newService(name string) *service {
	all := row{from: 0, to: c.options.Keys - 1, unknown: c.options.Inherited > 0, freeAt: c.options.Inherited}
	return &service{name: name, rows: rows{all}, load: newLoad(c.options.Keys), heldRows: map[string]int{}}
}

// Partial tells whether owners named by an earlier leader may still be unknown.
func (c *Coordinator) Partial(now time.Duration) bool { return now < c.options.Inherited }

func (c *Coordinator) nextToken() uint64 {
	c.counter++
	return c.options.Term<<tokenCounterBits | c.counter
}

// Heartbeat takes in a heartbeat and returns its reply.
func (c *Coordinator) Heartbeat(now time.Duration, hb Heartbeat) HeartbeatReply {
	c.Tick(now)
	s := c.admit(now, hb)
	if s == nil {
		return HeartbeatReply{}
	}
	svc := c.services[s.info.Service]
	if svc == nil {
		return HeartbeatReply{}
	}
	if svc.firstAt == 0 {
		svc.firstAt = max(now, 1)
	}
	svc.takeReport(now, s, hb, LeaseBound(c.options.Lease))
	c.shed(svc, s)
	c.pull(now, svc, s)
	svc.compact(s, c.nextToken)
	return HeartbeatReply{
		Renewed:     true,
		Grants:      svc.renew(s, now+LeaseBound(c.options.Lease)),
		LeaseMillis: c.options.Lease.Milliseconds(),
	}
}

// admit returns the heartbeat's server, or nil if the heartbeat is older than
// what is known.
func (c *Coordinator) admit(now time.Duration, hb Heartbeat) *server {
	info := hb.Server
	known := c.servers[info.ID]
	switch {
	case known == nil:
	case info.BornMillis < known.info.BornMillis:
		return nil
	case info.BornMillis > known.info.BornMillis:
		c.end(now, known)
		known = nil
	case hb.Sequence <= known.sequence:
		return nil
	}
	if known == nil && !c.takeAddress(now, info) {
		return nil
	}
	if known == nil {
		known = &server{}
		c.servers[info.ID] = known
		c.addresses[info.Address] = info.ID
	}
	known.info, known.sequence, known.seen = info, hb.Sequence, now
	return known
}

// takeAddress gives an address to a new incarnation: an older one there has
// ended. It returns false for a late heartbeat of an older incarnation.
func (c *Coordinator) takeAddress(now time.Duration, info Server) bool {
	other := c.servers[c.addresses[info.Address]]
	if other == nil || other.info.ID == info.ID {
		return true
	}
	if info.BornMillis <= other.info.BornMillis {
		return false
	}
	c.end(now, other)
	return true
}

// end forgets an incarnation whose process has ended and frees its keys.
func (c *Coordinator) end(now time.Duration, s *server) {
	if svc := c.services[s.info.Service]; svc != nil {
		for i := range svc.rows {
			if w := &svc.rows[i]; w.holder == s.info.ID && w.born == s.info.BornMillis {
				w.free(now, "")
			}
		}
	}
	c.forget(s)
}

func (c *Coordinator) forget(s *server) {
	delete(c.servers, s.info.ID)
	if c.addresses[s.info.Address] == s.info.ID {
		delete(c.addresses, s.info.Address)
	}
}

// Leave takes in that a server serves no more after the drain time. Its keys are
// free once its lease is over or it gives them back.
func (c *Coordinator) Leave(now time.Duration, leave Leave) {
	s := c.servers[leave.ID]
	if s == nil || leave.BornMillis < s.info.BornMillis || s.leftAt != 0 {
		return
	}
	s.leftAt = max(now, 1)
	s.info.Draining = true
}

// Tick frees keys whose leases are over and forgets silent servers.
func (c *Coordinator) Tick(now time.Duration) {
	for _, svc := range c.services {
		svc.expire(now)
	}
	for _, s := range c.servers {
		if now-s.seen > c.options.Forget || s.leftAt != 0 && now-s.leftAt > c.options.Drain {
			c.forget(s)
		}
	}
}

func (svc *service) expire(now time.Duration) {
	for i := range svc.rows {
		w := &svc.rows[i]
		if w.holder != "" && now > w.until {
			w.free(now, "")
		}
		if w.unknown && now >= w.freeAt {
			w.unknown = false
		}
	}
}
