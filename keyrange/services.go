package keyrange

import (
	"math"
	"slices"
	"time"
)

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
	regions    []string      // whose servers may have keys; only if restricted
	restricted bool
}

// KeyedService is a service that is partitioned by key.
type KeyedService struct {
	Name   string
	ByCall bool // its servers take grants by calls instead of in the replies to heartbeats
	// Regions are those whose servers may have keys, if Restricted is set. Otherwise all may.
	Regions    []string
	Restricted bool
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
		svc.regions, svc.restricted = s.Regions, s.Restricted
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

// unheld reports whether no server may hold a key of the service.
func (svc *service) unheld(now time.Duration) bool {
	return !slices.ContainsFunc(svc.segments, func(seg segment) bool { return !seg.grantable(now) })
}
