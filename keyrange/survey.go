package keyrange

import (
	"slices"
	"time"
)

// member is a server's share of a service's load.
type member struct {
	server      *server
	capacity    float64 // requests a second at full use of its slots
	load        float64 // requests a second
	segments    int
	unconfirmed int // of rows
	revoking    int
}

func (m *member) utilization() float64 { return m.load / m.capacity }

// sureUtilization returns the utilization that is more than chance.
func (m *member) utilizationLowerBound(l *load) float64 { return l.lowerBound(m.load) / m.capacity }

// fleet is the load of a service's servers at one moment.
type fleet struct {
	members          map[string]*member
	all              []member // what members points to
	average          float64  // utilization if the load were spread by capacity
	moving           int      // servers that are giving keys away
	reservedSegments int      // runs of keys that wait for servers without any
}

// survey returns the load of the servers that may be given keys, until the next
// survey of the service.
func (c *Coordinator) measureFleet(svc *service) *fleet {
	f := &svc.fleet
	f.reset(len(c.servers))
	workTime := c.averageWorkTime(svc.name)
	capacity := 0.0
	for id, s := range c.servers {
		if s.info.Service == svc.name && s.ready() {
			f.all = append(f.all, member{server: s, capacity: s.capacity(workTime)})
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
		if seg.holder == "" && seg.offeredAt > 0 {
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

// reset makes room for a number of members: there is one survey for each heartbeat.
func (f *fleet) reset(members int) {
	if f.members == nil {
		f.members = map[string]*member{}
	}
	clear(f.members)
	f.all = slices.Grow(f.all[:0], members)
	f.average, f.moving, f.reservedSegments = 0, 0, 0
}

// averageWorkTime returns the time of a request over all servers of a service.
func (c *Coordinator) averageWorkTime(name string) float64 {
	var all workTimes
	for _, s := range c.servers {
		if s.info.Service == name {
			all.seconds += s.work.seconds
			all.count += s.work.count
		}
	}
	return all.average(defaultWorkTime)
}

// capacity returns the requests a second that fill the server's slots.
func (s *server) capacity(average float64) float64 {
	workTime := s.work.average(average)
	capacity := float64(max(s.info.Slots, 1)) / workTime
	if s.info.WarmupMillis > 0 {
		capacity *= warmupFactor
	}
	return capacity
}

// newcomers returns the number of members that have no keys yet and will take some
// with their next heartbeat.
func (f *fleet) emptyServers(now time.Duration) int {
	count := 0
	for _, m := range f.members {
		if m.segments == 0 && m.server.info.WarmupMillis == 0 && now-m.server.lastSeen < emptyServerTimeout {
			count++
		}
	}
	return count
}

// isLeast tells whether no server has a lower utilization.
func (f *fleet) isLeastUtilized(self *member) bool {
	for _, m := range f.members {
		if m.utilization() < self.utilization() {
			return false
		}
	}
	return true
}

// hasFaster tells whether another member is so much faster that a key which fills
// this one is better off there.
func (f *fleet) hasFaster(self *member) bool {
	for _, m := range f.members {
		if m.capacity > fasterFactor*self.capacity {
			return true
		}
	}
	return false
}

// isFastest tells whether no other member is much faster.
func (f *fleet) isFastest(self *member) bool { return !f.hasFaster(self) }

// idle tells whether the service is unused.
func (f *fleet) idle() bool { return f.average < idleUtilization }

// patience returns how long keys wait for a server with room, or for a server
// without any that they were given up for. Nobody asks for those of an unused
// service, so that there every server can come first.
func (f *fleet) maxWait() time.Duration {
	if f.idle() {
		return idleCapacityWait
	}
	return capacityWait
}

// level is the utilization up to which servers take keys. As long as there is
// hardly any load it follows the average, so that keys are divided evenly before
// their load shows.
func (f *fleet) targetUtilization() float64 {
	if f.idle() {
		return f.average * idleTargetFactor
	}
	return max(minTargetUtilization, f.average*targetFactor)
}
