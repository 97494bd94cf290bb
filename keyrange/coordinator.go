package keyrange

import (
	"time"

	"github.com/galenalug/galenalug/warmup"
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
	barred       barred        // whether its failure domain may have no keys of the service
	warmth       warmup.State  // for services with a limit for cold servers
	cold         bool          // according to warmth, as of the last updateCold
}

// ready reports whether the server may receive keys.
func (s *server) ready() bool { return !s.info.Draining && !s.leaving && !s.barred.set }

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
	overload        map[string]int64         // AdmitPermille by server ID
	overloadUpdated time.Duration            // time at which overload was computed
	tickedAt        time.Duration            // time of the last Tick
	evacuated       map[string]time.Duration // start of the evacuation, by failure domain
	warmups         map[string]Warmup        // by service; see SetWarmups
	hearing         hearing
	coldChanges     []ColdChange // since the last call of ColdChanges

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
		hearing:    hearing{gapMinimum: gapIntervals * options.HeartbeatInterval},
		published:  published{servers: map[string]Server{}, owners: map[string][]Owner{}, departed: map[string]bool{}},
	}
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

// Tick frees keys whose leases have expired and removes servers that send no heartbeats.
func (c *Coordinator) Tick(now time.Duration) {
	c.tickedAt = now
	c.updateBarred(now)
	for name, svc := range c.services {
		c.expire(now, svc)
		if !svc.active && svc.unheld(now) {
			delete(c.services, name)
		}
	}
	c.expireRateLimits(now)
	c.updateWarmth(now)
	for _, s := range c.servers {
		if now-s.lastSeen > c.options.HeartbeatTimeout {
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
