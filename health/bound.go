package health

import (
	"cmp"
	"slices"
	"time"
)

// fleet is the capacity of one service, counted once for each server's name.
type fleet struct {
	capacity map[string]float64
	total    float64
	out      map[string]bool // servers that get no slots on evidence
	outSum   float64
	failed   map[string]bool // servers that seem to have failed
	failSum  float64
}

func newFleet() *fleet {
	return &fleet{capacity: map[string]float64{}, out: map[string]bool{}, failed: map[string]bool{}}
}

// add counts a server. A server with two sessions counts once, with the first.
func (f *fleet) add(name string, capacity float64) {
	if _, known := f.capacity[name]; !known {
		f.capacity[name] = capacity
		f.total += capacity
	}
}

func (f *fleet) withhold(name string) {
	if !f.out[name] {
		f.out[name] = true
		f.outSum += f.capacity[name]
	}
}

func (f *fleet) fail(name string) {
	if !f.failed[name] {
		f.failed[name] = true
		f.failSum += f.capacity[name]
	}
}

// mayWithhold reports whether a server may be withheld besides the others. One
// always may be, if another one is left.
func (f *fleet) mayWithhold(name string, part float64) bool {
	capacity := f.capacity[name]
	if f.out[name] {
		return true
	}
	if f.outSum+capacity >= f.total {
		return false
	}
	return len(f.out) == 0 || f.outSum+capacity <= part*f.total
}

// fleets counts each service's capacity, and what is withheld of it.
func (j *Detector) fleets(now time.Duration) map[string]*fleet {
	all := map[string]*fleet{}
	present := map[string]bool{} // names and addresses
	for _, w := range j.sorted() {
		f := all[w.server.Service]
		if f == nil {
			f = newFleet()
			all[w.server.Service] = f
		}
		present[w.server.Name] = true
		present[w.server.Address] = true
		f.add(w.server.Name, w.server.Capacity)
		if w.state == Failed {
			f.fail(w.server.Name)
		}
		if w.withheld {
			f.withhold(w.server.Name)
		}
	}
	for name, r := range j.records {
		f := all[r.service]
		if f == nil || present[name] || present[r.address] || r.cleared || now-r.at > absentMemory {
			continue
		}
		f.add(name, r.capacity)
		f.withhold(name)
	}
	return all
}

// bound lets at most a part of each service be withheld. The sessions that have
// seemed to fail for longest come first.
func (j *Detector) bound(now time.Duration) {
	var fresh []*watched
	for _, w := range j.sorted() {
		if w.state != Failed || w.withheld {
			continue
		}
		if !w.served {
			w.state = Suspected // it has no slots to lose
		} else {
			fresh = append(fresh, w)
		}
	}
	if len(fresh) == 0 {
		return
	}
	fleets := j.fleets(now)
	for _, w := range j.sessions {
		if w.quarantined {
			fleets[w.server.Service].withhold(w.server.Name)
		}
	}
	slices.SortStableFunc(fresh, func(a, b *watched) int { return cmp.Compare(a.failedAt, b.failedAt) })
	for _, w := range fresh {
		f := fleets[w.server.Service]
		switch {
		case 2*f.failSum > f.total:
			w.state, w.reason = Suspected, ReasonServiceWide
		case !f.mayWithhold(w.server.Name, j.settings.MaxWithheldFraction):
			w.state, w.reason = Suspected, ReasonWithheldLimit
		default:
			w.withheld = true
			f.withhold(w.server.Name)
			j.strike(now, w.server, evidenceStrikes)
		}
	}
}
