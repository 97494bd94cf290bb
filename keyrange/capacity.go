package keyrange

import "time"

// DomainCapacity is what the servers of a service in one failure domain can run.
type DomainCapacity struct {
	Service string
	Domain  string
	Slots   float64 // requests that run at the same time
}

// Capacities returns the capacity of the servers that may get new requests. A server without recent heartbeats has
// none, and one with a rate limit what its limit keeps busy.
func (c *Coordinator) Capacities(now time.Duration) []DomainCapacity {
	type place struct{ service, domain string }
	slots := map[place]float64{}
	for id, s := range c.servers {
		if !s.ready() || c.drained(now, id) || now-s.lastSeen > emptyServerTimeout {
			continue
		}
		slots[place{s.info.Service, s.info.Domain}] += s.usableSlots(c.averageServiceTimeSeconds)
	}
	capacities := make([]DomainCapacity, 0, len(slots))
	for at, n := range slots {
		capacities = append(capacities, DomainCapacity{Service: at.service, Domain: at.domain, Slots: n})
	}
	return capacities
}

// usableSlots returns the slots that a server can keep busy. serviceAverage returns the average service time on all
// servers of a service, in seconds.
func (s *server) usableSlots(serviceAverage func(service string) float64) float64 {
	slots := float64(max(s.info.Slots, 1))
	if s.rateLimit > 0 {
		slots = min(slots, s.rateLimit*s.serviceTimes.averageSeconds(serviceAverage(s.info.Service)))
	}
	return slots
}
