package keyrange

import (
	"slices"
	"time"
)

// server is what the coordinator knows of one incarnation.
type server struct {
	info     Server
	sequence int64
	lastSeen time.Duration
	firstAt  time.Duration            // when its first heartbeat of this term came
	leaving  bool                     // whether it said that it leaves
	leaveAt  time.Duration            // when it did
	interval time.Duration            // longest time between two heartbeats; 0 if not known
	refusals map[string]time.Duration // by entry host, when it last saw a connection refused
	work     workTimes
	granted  int // ranges in its newest reply
}

// departure is what is known of a server that said that it leaves. It outlives
// the server's record: a late heartbeat must not bring the server back.
type departure struct {
	startMillis int64
	at          time.Duration
}

// ready tells whether the server may be given more keys.
func (s *server) ready() bool { return !s.info.Draining && !s.leaving }

// service is one service that is divided by key.
type service struct {
	name       string
	segments   segments
	load       *load
	firstAt    time.Duration // when its first server showed up
	lastJoinAt time.Duration // when its newest server showed up
	seeded     bool          // whether its keys were divided once
	fleet      fleet         // of the newest survey
}

// Coordinator grants keys to servers.
type Coordinator struct {
	options         Options
	counter         uint64
	servers         map[string]*server
	addresses       map[string]string // server ID by address
	services        map[string]*service
	departures      map[string]departure // by server ID
	published       published
	overload        map[string]int64 // AdmitPermille by server ID
	overloadUpdated time.Duration    // when overload was set

	granted       []Assignment // since the last call of Granted
	events        []Event
	droppedEvents int
}

// New returns a coordinator that knows no server.
func New(options Options) *Coordinator {
	return &Coordinator{
		options:    options,
		servers:    map[string]*server{},
		addresses:  map[string]string{},
		services:   map[string]*service{},
		departures: map[string]departure{},
		published:  published{servers: map[string]Server{}, owners: map[string][]Owner{}, departed: map[string]bool{}},
	}
}

// SetKeyedServices tells which services are divided by key.
func (c *Coordinator) SetKeyedServices(names []string) {
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

// newService returns a service whose keys are held as earlier terms recorded.
func (c *Coordinator) newService(name string) *service {
	svc := &service{
		name: name, segments: segments{{from: 0, to: c.options.Keys - 1}}, load: newLoad(c.options.Keys),
	}
	for _, a := range c.options.RecordedGrants {
		if a.Service != name || !valid(a.From, a.To, c.options.Keys) {
			continue
		}
		svc.seeded = true
		svc.segments.forEach(a.From, a.To, func(seg *segment) {
			seg.holder, seg.startMillis, seg.token = a.ServerID, a.StartMillis, a.Token
			seg.leaseEnd, seg.unconfirmed = c.options.InheritedLeasesEnd, true
		})
	}
	return svc
}

// Partial tells whether holders of earlier terms may still be silent.
func (c *Coordinator) Partial(now time.Duration) bool { return now < c.options.InheritedLeasesEnd }

func (c *Coordinator) nextToken() uint64 {
	c.counter++
	return c.options.Term<<tokenCounterBits | c.counter
}

// TakePendingGrants returns the grants of the last heartbeat. They must be recorded before
// its reply is sent, and Recorded must tell how that ended.
func (c *Coordinator) TakePendingGrants() []Assignment {
	granted := c.granted
	c.granted = nil
	return granted
}

// ResolveGrants tells that grants are recorded, or that they are not and that their
// reply is never sent: then the keys are free again.
func (c *Coordinator) ResolveGrants(now time.Duration, grants []Assignment, ok bool) {
	for _, g := range grants {
		svc := c.services[g.Service]
		if svc == nil {
			continue
		}
		for i := range svc.segments {
			seg := &svc.segments[i]
			if seg.pendingSince == 0 || seg.token != g.Token {
				continue
			}
			seg.pendingSince = 0
			if !ok {
				seg.free(now, seg.handover)
			}
		}
	}
}

// Heartbeat takes in a heartbeat and returns its reply. See Granted.
func (c *Coordinator) Heartbeat(now time.Duration, hb Heartbeat) HeartbeatReply {
	c.Tick(now)
	s := c.acceptHeartbeat(now, hb)
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
	svc.lastJoinAt = max(svc.lastJoinAt, s.firstAt)
	c.applyReport(now, svc, s, hb)
	f := c.measureFleet(svc)
	c.revokeExcess(now, svc, s, f)
	c.assignFree(now, svc, s, f)
	c.compact(svc, s)
	return HeartbeatReply{
		Renewed:     true,
		Grants:      svc.renew(now, s, now+LeaseBound(c.options.Lease)),
		LeaseMillis: c.options.Lease.Milliseconds(),
	}
}

// admit returns the heartbeat's server, or nil if the heartbeat is older than
// what is known.
func (c *Coordinator) acceptHeartbeat(now time.Duration, hb Heartbeat) *server {
	info := hb.Server
	known := c.servers[info.ID]
	switch {
	case known == nil:
	case info.StartMillis < known.info.StartMillis:
		return nil
	case info.StartMillis > known.info.StartMillis:
		c.removeEnded(now, known)
		known = nil
	case hb.Sequence <= known.sequence:
		return nil
	}
	if known == nil && !c.claimAddress(now, info) {
		return nil
	}
	if known == nil {
		known = &server{}
		c.servers[info.ID] = known
		c.addresses[info.Address] = info.ID
	}
	if known.lastSeen != 0 {
		known.observeInterval(now - known.lastSeen)
	}
	if known.firstAt == 0 {
		known.firstAt = max(now, 1)
	}
	known.info, known.sequence, known.lastSeen = info, hb.Sequence, now
	c.applyDeparture(known)
	return known
}

// applyDeparture notes on a server's record that it said that it leaves.
func (c *Coordinator) applyDeparture(s *server) {
	d, known := c.departures[s.info.ID]
	if !known || d.startMillis < s.info.StartMillis {
		return
	}
	s.leaving, s.leaveAt = true, d.at
	s.info.Draining = true
}

// takeAddress gives an address to a new incarnation: an older one there has
// ended. It returns false for a late heartbeat of an older incarnation.
func (c *Coordinator) claimAddress(now time.Duration, info Server) bool {
	other := c.servers[c.addresses[info.Address]]
	if other == nil || other.info.ID == info.ID {
		return true
	}
	if info.StartMillis <= other.info.StartMillis {
		return false
	}
	c.removeEnded(now, other)
	return true
}

// removeEnded forgets an incarnation whose process has ended and frees its keys.
func (c *Coordinator) removeEnded(now time.Duration, s *server) {
	if svc := c.services[s.info.Service]; svc != nil {
		for i := range svc.segments {
			if seg := &svc.segments[i]; seg.holder == s.info.ID && seg.startMillis == s.info.StartMillis {
				c.recordEvent(now, EventEnded, svc, seg)
				seg.free(now, "")
			}
		}
	}
	c.removeServer(s)
}

func (c *Coordinator) removeServer(s *server) {
	delete(c.servers, s.info.ID)
	if c.addresses[s.info.Address] == s.info.ID {
		delete(c.addresses, s.info.Address)
	}
}

// Leave takes in that a server serves no more after the drain time. Its keys are
// free once its lease is over or it gives them back.
func (c *Coordinator) Leave(now time.Duration, leave Leave) {
	c.recordDeparture(leave, now)
}

// RestoreLeave takes in that a server said to an earlier leader that it leaves. It
// gets no more requests, since nobody knows when its drain time began.
func (c *Coordinator) RestoreLeave(now time.Duration, leave Leave) {
	c.recordDeparture(leave, now-c.options.DrainPeriod)
}

func (c *Coordinator) recordDeparture(leave Leave, at time.Duration) {
	if s := c.servers[leave.ID]; s != nil && leave.StartMillis == 0 {
		leave.StartMillis = s.info.StartMillis // the server did not say which life
	}
	if d, known := c.departures[leave.ID]; known && d.startMillis >= leave.StartMillis {
		return
	}
	c.departures[leave.ID] = departure{startMillis: leave.StartMillis, at: at}
	if s := c.servers[leave.ID]; s != nil {
		c.applyDeparture(s)
	}
}

// Tick frees keys whose leases are over and forgets silent servers.
func (c *Coordinator) Tick(now time.Duration) {
	for _, svc := range c.services {
		c.expire(now, svc)
	}
	for _, s := range c.servers {
		if now-s.lastSeen > c.options.SilenceTimeout {
			c.removeServer(s)
		}
	}
}

func (c *Coordinator) expire(now time.Duration, svc *service) {
	for i := range svc.segments {
		seg := &svc.segments[i]
		if seg.holder != "" && now > seg.leaseEnd {
			c.recordEvent(now, EventExpired, svc, seg)
			seg.free(now, "")
		}
	}
}
