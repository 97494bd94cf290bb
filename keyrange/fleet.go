package keyrange

import (
	"slices"
	"time"
)

// member is the load and capacity of one server of a service.
type member struct {
	server      *server
	capacity    float64 // requests per second that fill its slots
	load        float64 // requests per second
	segments    int     // number of segments that it holds
	unconfirmed int     // number of unconfirmed segments
	revoking    int     // number of segments being revoked
}

func (m *member) utilization() float64 { return m.load / m.capacity }

// utilizationLowerBound returns the lower confidence bound of the utilization.
func (m *member) utilizationLowerBound(l *load) float64 { return l.lowerBound(m.load) / m.capacity }

// fleet is the load of a service's servers at one time.
type fleet struct {
	members          map[string]*member
	all              []member // storage of members
	average          float64  // utilization if the load were spread in proportion to capacity
	moving           int      // number of servers from which keys are being revoked
	reservedSegments int      // number of free segments reserved for servers without keys

	at       time.Duration // time of the measurement; 0 if there is none
	changes  uint64        // service.changes at that time
	segments int           // number of segments at that time
}

// maxFleetAge is the age up to which a measurement is used again if only the load has changed since.
const maxFleetAge = 100 * time.Millisecond

// current reports whether the measurement is still that of the service.
func (f *fleet) current(now time.Duration, svc *service) bool {
	return f.at != 0 && now-f.at < maxFleetAge && f.changes == svc.changes && f.segments == len(svc.segments)
}

// measureFleet computes the load of the servers that may receive keys, unless nothing but the load has changed
// for a short time: with many servers, most heartbeats change nothing. The result is valid until the next call
// for the same service.
func (c *Coordinator) measureFleet(now time.Duration, svc *service) *fleet {
	f := &svc.fleet
	if f.current(now, svc) {
		return f
	}
	f.at, f.changes, f.segments = max(now, 1), svc.changes, len(svc.segments)
	f.reset(len(c.servers))
	serviceTimeSeconds := c.averageServiceTimeSeconds(svc.name)
	capacity := 0.0
	for id, s := range c.servers {
		if s.info.Service == svc.name && s.ready() {
			f.all = append(f.all, member{server: s, capacity: s.capacity(serviceTimeSeconds, c.warmups[svc.name].PerSecond)})
			m := &f.all[len(f.all)-1]
			f.members[id] = m
			capacity += m.capacity
		}
	}
	total := 0.0
	for i := range svc.segments {
		seg := &svc.segments[i]
		rate := svc.rate(seg)
		total += rate
		if seg.holder == "" && seg.reservedAt > 0 {
			f.reservedSegments++
		}
		m := f.members[seg.holder]
		if m == nil {
			continue
		}
		m.segments++
		if seg.unconfirmed {
			m.unconfirmed++
		}
		if seg.revoking {
			m.revoking++
		} else {
			m.load += rate
		}
	}
	for _, m := range f.members {
		if m.revoking > 0 {
			f.moving++
		}
	}
	if capacity > 0 {
		f.average = total / capacity
	}
	return f
}

// segmentsOf returns the number of segments that a server holds.
func (f *fleet) segmentsOf(s *server) int {
	if m := f.members[s.info.ID]; m != nil {
		return m.segments
	}
	return 0
}

// reset empties the fleet but keeps its memory for reuse, since every heartbeat measures the
// fleet.
func (f *fleet) reset(members int) {
	if f.members == nil {
		f.members = map[string]*member{}
	}
	clear(f.members)
	f.all = slices.Grow(f.all[:0], members)
	f.average, f.moving, f.reservedSegments = 0, 0, 0
}

// averageServiceTimeSeconds returns the average service time of requests on all servers of a
// service, with defaultServiceTimeSeconds as the prior.
func (c *Coordinator) averageServiceTimeSeconds(name string) float64 {
	var all serviceTimes
	for _, s := range c.servers {
		if s.info.Service == name {
			all.seconds += s.serviceTimes.seconds
			all.count += s.serviceTimes.count
		}
	}
	return all.averageSeconds(defaultServiceTimeSeconds)
}

// capacity returns the requests per second that fill the server's slots, or its rate limit if that is
// lower. serviceAverage is the average service time on all servers of its service, in seconds, and coldRate the
// requests per second that a cold server takes, or 0 if there is no limit.
func (s *server) capacity(serviceAverage, coldRate float64) float64 {
	serviceTimeSeconds := s.serviceTimes.averageSeconds(serviceAverage)
	capacity := float64(max(s.info.Slots, 1)) / serviceTimeSeconds
	if s.info.WarmupMillis > 0 {
		capacity *= WarmupFactor
	}
	if s.cold && coldRate > 0 {
		capacity = min(capacity, coldRate)
	}
	if s.rateLimit > 0 {
		capacity = min(capacity, s.rateLimit)
	}
	return capacity
}

// emptyServers returns the number of members without keys that are expected to receive some at
// their next heartbeat.
func (f *fleet) emptyServers(now time.Duration) int {
	count := 0
	for _, m := range f.members {
		if m.segments == 0 && m.server.info.WarmupMillis == 0 && !m.server.cold && now-m.server.lastSeen < emptyServerTimeout {
			count++
		}
	}
	return count
}

// isLeastUtilized reports whether no member has a lower utilization.
func (f *fleet) isLeastUtilized(self *member) bool {
	for _, m := range f.members {
		if m.utilization() < self.utilization() {
			return false
		}
	}
	return true
}

// hasFaster reports whether another member is faster by more than fasterFactor, so that a hot key
// should move there.
func (f *fleet) hasFaster(self *member) bool {
	for _, m := range f.members {
		if m.capacity > fasterFactor*self.capacity {
			return true
		}
	}
	return false
}

// isFastest reports whether no member is faster by more than fasterFactor.
func (f *fleet) isFastest(self *member) bool { return !f.hasFaster(self) }

// idle reports whether the service has hardly any load.
func (f *fleet) idle() bool { return f.average < idleUtilization }

// maxWait returns how long free keys wait for a server with spare capacity, or for the server
// without keys for which they were revoked. In an idle service waiting costs nothing, so the
// wait covers the next heartbeat of every server.
func (f *fleet) maxWait() time.Duration {
	if f.idle() {
		return idleCapacityWait
	}
	return capacityWait
}

// targetUtilization returns the utilization up to which servers receive keys. In an idle
// service it follows the average, so that the keys are divided evenly before their load is
// known.
func (f *fleet) targetUtilization() float64 {
	if f.idle() {
		return f.average * idleTargetFactor
	}
	return max(minTargetUtilization, f.average*targetFactor)
}
