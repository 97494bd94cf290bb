package health

import (
	"cmp"
	"slices"
	"time"
)

// serviceCapacity is the capacity of one service. Each server name counts once.
type serviceCapacity struct {
	byServer    map[string]float64
	total       float64
	withheld    map[string]bool // servers that get no slots because of evidence
	withheldSum float64
	failing     map[string]bool // servers that seem to have failed
	failingSum  float64
}

func newServiceCapacity() *serviceCapacity {
	return &serviceCapacity{byServer: map[string]float64{}, withheld: map[string]bool{}, failing: map[string]bool{}}
}

// add counts a server. Of a server with two sessions only the first counts.
func (c *serviceCapacity) add(name string, capacity float64) {
	if _, known := c.byServer[name]; !known {
		c.byServer[name] = capacity
		c.total += capacity
	}
}

func (c *serviceCapacity) withhold(name string) {
	if !c.withheld[name] {
		c.withheld[name] = true
		c.withheldSum += c.byServer[name]
	}
}

func (c *serviceCapacity) markFailing(name string) {
	if !c.failing[name] {
		c.failing[name] = true
		c.failingSum += c.byServer[name]
	}
}

// mayWithhold reports whether a server may be withheld in addition to the others. A single server
// may always be withheld if it is not the last one.
func (c *serviceCapacity) mayWithhold(name string, maxFraction float64) bool {
	capacity := c.byServer[name]
	if c.withheld[name] {
		return true
	}
	if c.withheldSum+capacity >= c.total {
		return false
	}
	return len(c.withheld) == 0 || c.withheldSum+capacity <= maxFraction*c.total
}

// capacities returns the capacity of each service, with the servers that are withheld. Failed
// servers that have not come back count as withheld for absentRetention.
func (d *Detector) capacities(now time.Duration) map[string]*serviceCapacity {
	all := map[string]*serviceCapacity{}
	present := map[string]bool{} // names and addresses
	for _, s := range d.sorted() {
		c := all[s.server.Service]
		if c == nil {
			c = newServiceCapacity()
			all[s.server.Service] = c
		}
		present[s.server.Name] = true
		present[s.server.Address] = true
		c.add(s.server.Name, s.server.Capacity)
		if s.state == Failed {
			c.markFailing(s.server.Name)
		}
		if s.withheld {
			c.withhold(s.server.Name)
		}
	}
	for name, r := range d.records {
		c := all[r.service]
		if c == nil || present[name] || present[r.address] || r.cleared || now-r.failedAt > absentRetention {
			continue
		}
		c.add(name, r.capacity)
		c.withhold(name)
	}
	return all
}

// limitWithheld limits the fraction of each service that is withheld: newly failed sessions above
// the limit become Suspected again. Sessions that have been failing the longest take precedence.
func (d *Detector) limitWithheld(now time.Duration) {
	var newlyFailed []*session
	for _, s := range d.sorted() {
		if s.state != Failed || s.withheld {
			continue
		}
		if !s.mayHoldSlots {
			s.state = Suspected // a session in quarantine has no slots to withhold
		} else {
			newlyFailed = append(newlyFailed, s)
		}
	}
	if len(newlyFailed) == 0 {
		return
	}
	capacities := d.capacities(now)
	for _, s := range d.sessions {
		if s.quarantined {
			capacities[s.server.Service].withhold(s.server.Name)
		}
	}
	slices.SortStableFunc(newlyFailed, func(a, b *session) int { return cmp.Compare(a.failingSince, b.failingSince) })
	for _, s := range newlyFailed {
		c := capacities[s.server.Service]
		switch {
		case 2*c.failingSum > c.total:
			s.state, s.reason = Suspected, ReasonServiceWide
		case !c.mayWithhold(s.server.Name, d.settings.MaxWithheldFraction):
			s.state, s.reason = Suspected, ReasonWithheldLimit
		default:
			s.withheld = true
			c.withhold(s.server.Name)
			d.recordFailure(now, s.server, detectedFailureWeight)
		}
	}
}
