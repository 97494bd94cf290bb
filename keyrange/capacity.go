package keyrange

import "time"

// DomainCapacity is what the servers of a service in one failure domain can run, and what they do.
type DomainCapacity struct {
	Service string
	Domain  string
	Slots   float64 // requests that run at the same time
	// Load is the mean number of requests per slot, running and waiting; negative if that is not known.
	Load float64
}

// unknownLoad is the DomainCapacity.Load of servers whose load is not known.
const unknownLoad = -1

// Capacities returns the capacity of the servers that may get new requests. A server without recent heartbeats has
// none, and one with a limit of its rate what that limit keeps busy. loadOf returns a server's requests per slot, and
// whether they are known.
func (c *Coordinator) Capacities(now time.Duration, loadOf func(serverID string) (perSlot float64, known bool)) []DomainCapacity {
	type place struct{ service, domain string }
	type sum struct{ slots, known, requests float64 }
	sums := map[place]sum{}
	for id, s := range c.servers {
		if !c.available(now, id, s) {
			continue
		}
		at := place{s.info.Service, s.info.Domain}
		total := sums[at]
		slots := c.usableSlots(s)
		total.slots += slots
		if perSlot, known := loadOf(id); known {
			total.known += slots
			total.requests += slots * perSlot
		}
		sums[at] = total
	}
	capacities := make([]DomainCapacity, 0, len(sums))
	for at, total := range sums {
		capacity := DomainCapacity{Service: at.service, Domain: at.domain, Slots: total.slots, Load: unknownLoad}
		if total.known > 0 {
			capacity.Load = total.requests / total.known
		}
		capacities = append(capacities, capacity)
	}
	return capacities
}

// available reports whether a server may get new requests. One without recent heartbeats may not.
func (c *Coordinator) available(now time.Duration, id string, s *server) bool {
	return s.ready() && !c.drained(now, id) && now-s.lastSeen <= emptyServerTimeout
}

// AvailableServers returns the servers of a service that may get new requests.
func (c *Coordinator) AvailableServers(now time.Duration, service string) []Server {
	var servers []Server
	for id, s := range c.servers {
		if s.info.Service != service || !c.available(now, id, s) {
			continue
		}
		info := s.info
		info.WarmupMillis = c.warmupMillis(now, s)
		servers = append(servers, info)
	}
	return servers
}

// usableSlots returns the slots that a server can keep busy.
func (c *Coordinator) usableSlots(s *server) float64 {
	slots := float64(max(s.info.Slots, 1))
	rate := s.rateLimit
	if s.cold {
		rate = c.warmups[s.info.Service].PerSecond
	}
	if rate == 0 {
		return slots
	}
	return min(slots, rate*s.serviceTimes.averageSeconds(c.averageServiceTimeSeconds(s.info.Service)))
}
