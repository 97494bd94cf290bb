package keyrange

import (
	"math"
	"slices"
	"time"
)

// server is the state of one incarnation of a backend server.
type server struct {
	info         Server
	sequence     int64
	lastSeen     time.Duration
	firstAt      time.Duration // time of its first heartbeat in this term
	leaving      bool          // whether it sent a Leave message
	leaveAt      time.Duration // time of that message
	saysLeaving  bool          // whether its responses to requests say that it is about to stop
	serviceTimes serviceTimes
	rateLimit    float64       // requests a second that it takes from all entry hosts; 0 for no limit
	rateLimitAt  time.Duration // when rateLimit was last confirmed
	granted      int           // number of ranges in the last reply
	calls        serverCalls   // for services whose servers take grants by calls
}

// departure records that an incarnation is leaving. It outlives the server's entry, so that a
// delayed heartbeat does not add the server again.
type departure struct {
	startMillis int64
	at          time.Duration
}

// ready reports whether the server may receive keys.
func (s *server) ready() bool { return !s.info.Draining && !s.leaving }

// service is the state of one service that is partitioned by key.
type service struct {
	name       string
	segments   segments
	load       *load
	firstAt    time.Duration // time of the first heartbeat of its first server
	lastJoinAt time.Duration // time of the first heartbeat of its newest server
	seeded     bool          // whether the keys have been assigned for the first time
	fleet      fleet         // result of the last measureFleet
	changes    uint64        // number of changes of its keys' holders and its servers
	byCall     bool          // servers take grants by calls
	active     bool          // the configuration has it; if not, its keys are kept until the leases end
	assignAt   time.Duration // time of the next assignAll
}

// Coordinator assigns key ranges to servers. It is not safe for concurrent use.
type Coordinator struct {
	options         Options
	tokenCounter    uint64
	servers         map[string]*server
	addresses       map[string]string // server ID by address
	services        map[string]*service
	configured      map[string]bool      // services of the configuration, with and without keys
	departures      map[string]departure // by server ID
	published       published
	overload        map[string]int64 // AdmitPermille by server ID
	overloadUpdated time.Duration    // time at which overload was computed
	tickedAt        time.Duration    // time of the last Tick

	granted       []Assignment // since the last call of TakePendingGrants
	events        []Event
	droppedEvents int
}

// New returns a coordinator without servers.
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

// KeyedService is a service that is partitioned by key.
type KeyedService struct {
	Name   string
	ByCall bool // its servers take grants by calls instead of in the replies to heartbeats
}

// SetServices sets the services of the configuration. keyless names those that are not partitioned by key: their
// servers receive no keys. Keys of a service that is no longer in the list stay with their servers until the leases
// end, since the servers go on until then.
func (c *Coordinator) SetServices(keyed []KeyedService, keyless ...string) {
	c.configured = map[string]bool{}
	for _, name := range keyless {
		c.configured[name] = true
	}
	for _, svc := range c.services {
		svc.active = false
	}
	for _, s := range keyed {
		c.configured[s.Name] = true
		svc := c.services[s.Name]
		if svc == nil {
			svc = c.newService(s)
			c.services[s.Name] = svc
		}
		svc.active = true
		svc.setMode(s.ByCall)
	}
}

// setMode changes how the servers take grants. What they hold is granted anew in the other way.
func (svc *service) setMode(byCall bool) {
	if svc.byCall == byCall {
		return
	}
	svc.byCall = byCall
	svc.changes++
	for i := range svc.segments {
		seg := &svc.segments[i]
		seg.call, seg.unconfirmed, seg.reported = callState{}, seg.holder != "", false
		if !byCall {
			seg.sequence = neverReported // a server need not report what it took by calls
		}
	}
}

// neverReported is the sequence number of a grant that no heartbeat of its holder's process can deny.
const neverReported = math.MaxInt64

// newService returns a service whose keys are held according to the grants of earlier terms.
func (c *Coordinator) newService(s KeyedService) *service {
	name := s.Name
	svc := &service{
		name: name, segments: segments{{from: 0, to: c.options.Keys - 1}}, load: newLoad(c.options.Keys), byCall: s.ByCall,
	}
	leaseEnd, lastSentAt := c.options.InheritedLeasesEnd, time.Duration(0)
	if s.ByCall { // calls of an earlier leader may still be on their way
		leaseEnd += maxArrival
		lastSentAt = leaseEnd - LeaseBound(c.options.Lease)
	}
	for _, a := range c.options.RecordedGrants {
		if a.Service != name || !valid(a.From, a.To, c.options.Keys) {
			continue
		}
		svc.seeded = true
		svc.segments.forEach(a.From, a.To, func(seg *segment) {
			seg.holder, seg.startMillis, seg.token, seg.sequence = a.ServerID, a.StartMillis, a.Token, a.Sequence
			seg.leaseEnd, seg.unconfirmed = leaseEnd, true
			seg.call.lastSentAt = lastSentAt
		})
	}
	return svc
}

// Partial reports whether keys may still be held under leases of earlier terms.
func (c *Coordinator) Partial(now time.Duration) bool { return now < c.options.InheritedLeasesEnd }

func (c *Coordinator) nextToken() uint64 {
	c.tokenCounter++
	return c.options.Term<<tokenCounterBits | c.tokenCounter
}

// TakePendingGrants returns the grants of the last heartbeat and clears them. They must be
// recorded durably before the reply is sent, and ResolveGrants must be called with the
// outcome.
func (c *Coordinator) TakePendingGrants() []Assignment {
	granted := c.granted
	c.granted = nil
	return granted
}

// ResolveGrants confirms grants that were recorded durably. With ok false it frees their keys;
// the reply that carries them must then never be sent.
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
				svc.changes++
			}
		}
	}
}

// heartbeatTickInterval is the least time between two calls of Tick by heartbeats, each of which looks at all keys and
// servers.
const heartbeatTickInterval = 10 * time.Millisecond

// Heartbeat processes a heartbeat and returns its reply. Before the reply is sent, the grants
// of TakePendingGrants must be recorded.
func (c *Coordinator) Heartbeat(now time.Duration, hb Heartbeat) HeartbeatReply {
	if now-c.tickedAt >= heartbeatTickInterval {
		c.Tick(now)
	}
	s := c.acceptHeartbeat(now, hb)
	if s == nil {
		return HeartbeatReply{}
	}
	svc := c.services[s.info.Service]
	if svc == nil || !svc.active {
		return HeartbeatReply{}
	}
	if svc.firstAt == 0 {
		svc.firstAt = max(now, 1)
	}
	svc.lastJoinAt = max(svc.lastJoinAt, s.firstAt)
	if !svc.byCall {
		c.applyReport(now, svc, s, hb)
	}
	f := c.measureFleet(now, svc)
	c.revokeExcess(now, svc, s, f)
	c.assignFree(now, svc, s, f)
	if svc.byCall {
		c.compact(svc, s, f.segmentsOf(s))
		return HeartbeatReply{}
	}
	c.compact(svc, s, s.granted)
	return HeartbeatReply{
		Renewed:     true,
		Grants:      svc.renew(now, s, now+LeaseBound(c.options.Lease)),
		LeaseMillis: c.options.Lease.Milliseconds(),
	}
}

// acceptHeartbeat updates the server's entry and returns it, or nil if the heartbeat is out of date or no server of
// the configuration can have sent it. In the latter cases nothing changes.
func (c *Coordinator) acceptHeartbeat(now time.Duration, hb Heartbeat) *server {
	info := hb.Server
	known := c.servers[info.ID]
	if known != nil && known.info.StartMillis == info.StartMillis {
		if !known.continuedBy(hb) {
			return nil
		}
	} else if known = c.admitProcess(now, known, info); known == nil {
		return nil
	}
	info.Draining = info.Draining || known.saysLeaving
	if info != known.info {
		known.info = info
		c.serverChanged(known)
	}
	known.sequence, known.lastSeen = hb.Sequence, now
	c.applyDeparture(known)
	return known
}

// continuedBy reports whether a heartbeat is a newer one of the same process. A process keeps its service and its
// address: one that names others is not from the server.
func (s *server) continuedBy(hb Heartbeat) bool {
	return hb.Server.Service == s.info.Service && hb.Server.Address == s.info.Address && hb.Sequence > s.sequence
}

// admitProcess adds the entry of a process whose first heartbeat has arrived, and ends the processes of whose end
// that is proof. It returns nil if the configuration does not have the service, or if the heartbeat is a delayed one
// of an earlier process. earlier is the entry of another process with the same ID, or nil.
func (c *Coordinator) admitProcess(now time.Duration, earlier *server, info Server) *server {
	if !c.configured[info.Service] {
		return nil
	}
	seen := sighting{id: info.ID, address: info.Address, startMillis: info.StartMillis}
	if earlier != nil && !c.endIfProved(now, earlier, seen) || !c.claimAddress(now, seen) {
		return nil
	}
	s := &server{firstAt: max(now, 1)}
	c.servers[info.ID] = s
	c.addresses[info.Address] = info.ID
	return s
}

// applyDeparture marks a server as leaving if it sent a Leave message.
func (c *Coordinator) applyDeparture(s *server) {
	d, known := c.departures[s.info.ID]
	if !known || d.startMillis < s.info.StartMillis {
		return
	}
	s.leaving, s.leaveAt = true, d.at
	s.info.Draining = true
	c.serverChanged(s)
}

// serverChanged must be called when what a server says of itself or may receive has changed, and when it is added
// or removed.
func (c *Coordinator) serverChanged(s *server) {
	if svc := c.services[s.info.Service]; svc != nil {
		svc.changes++
	}
}

// claimAddress returns false if another server that may still run has the address of a new process: the heartbeat
// is then a delayed one.
func (c *Coordinator) claimAddress(now time.Duration, seen sighting) bool {
	other := c.servers[c.addresses[seen.address]]
	return other == nil || other.info.ID == seen.id || c.endIfProved(now, other, seen)
}

func (c *Coordinator) removeServer(s *server) {
	delete(c.servers, s.info.ID)
	c.serverChanged(s)
	if c.addresses[s.info.Address] == s.info.ID {
		delete(c.addresses, s.info.Address)
	}
}

// Leave records that a server stops serving after the drain period. Its keys become free when
// it releases them or its lease expires.
func (c *Coordinator) Leave(now time.Duration, leave Leave) {
	c.recordDeparture(leave, now)
}

// RestoreLeave records a Leave message that an earlier leader received. The server receives no
// more requests, since the start of its drain period is unknown.
func (c *Coordinator) RestoreLeave(now time.Duration, leave Leave) {
	c.recordDeparture(leave, now-c.options.DrainPeriod)
}

func (c *Coordinator) recordDeparture(leave Leave, at time.Duration) {
	if s := c.servers[leave.ID]; s != nil && leave.StartMillis == 0 {
		leave.StartMillis = s.info.StartMillis // the message did not name an incarnation
	}
	if d, known := c.departures[leave.ID]; known && d.startMillis >= leave.StartMillis {
		return
	}
	c.departures[leave.ID] = departure{startMillis: leave.StartMillis, at: at}
	if s := c.servers[leave.ID]; s != nil {
		c.applyDeparture(s)
	}
}

// Tick frees keys whose leases have expired and removes servers that send no heartbeats.
func (c *Coordinator) Tick(now time.Duration) {
	c.tickedAt = now
	for name, svc := range c.services {
		c.expire(now, svc)
		if !svc.active && svc.unheld(now) {
			delete(c.services, name)
		}
	}
	c.expireRateLimits(now)
	for _, s := range c.servers {
		if now-s.lastSeen > c.options.HeartbeatTimeout {
			c.removeServer(s)
		}
	}
}

// unheld reports whether no server may hold a key of the service.
func (svc *service) unheld(now time.Duration) bool {
	return !slices.ContainsFunc(svc.segments, func(seg segment) bool { return !seg.grantable(now) })
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
