package workload

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenalug/galenalug/placement"
)

// View is what a policy is shown each second.
type View struct {
	Now     time.Duration
	Servers []placement.Server // live ones, by ID
	Changed bool               // whether the set of servers changed
	Loads   []float64          // by slot, measured, isolated keys excluded
	Hottest []placement.KeyLoad
	Total   float64 // requests/s of the service
}

// Placement says who owns what.
type Placement struct {
	Owners     []uint64          // by slot
	Exceptions map[string]uint64 // owners of isolated keys
}

// Policy places slots on servers.
type Policy interface {
	Place(view *View) Placement
}

// staticPolicy places each slot by its number and the set of servers alone.
type staticPolicy struct {
	owners []uint64
	owner  func(slot int, servers []placement.Server) uint64
}

// Modulo is plain hashing: the slot modulo the number of servers.
func Modulo() Policy {
	return &staticPolicy{owner: func(slot int, servers []placement.Server) uint64 {
		return servers[slot%len(servers)].ID
	}}
}

// Rendezvous is highest random weight hashing (Thaler and Ravishankar, 1998).
func Rendezvous() Policy {
	return &staticPolicy{owner: func(slot int, servers []placement.Server) uint64 {
		var owner, highest uint64
		var bytes [16]byte
		binary.LittleEndian.PutUint64(bytes[:8], uint64(slot))
		for _, server := range servers {
			binary.LittleEndian.PutUint64(bytes[8:], server.ID)
			if weight := xxhash.Sum64(bytes[:]); owner == 0 || weight > highest {
				owner, highest = server.ID, weight
			}
		}
		return owner
	}}
}

func (p *staticPolicy) Place(view *View) Placement {
	if !view.Changed && p.owners != nil {
		return Placement{Owners: p.owners}
	}
	var servers []placement.Server
	for _, server := range view.Servers {
		if !server.Draining {
			servers = append(servers, server)
		}
	}
	p.owners = make([]uint64, len(view.Loads))
	for slot := range p.owners {
		p.owners[slot] = p.owner(slot, servers)
	}
	return Placement{Owners: p.owners}
}

// exception is one isolated key.
type exception struct {
	key  string
	slot placement.Slot
}

// plannedPolicy is the planner of package placement with isolation of hot keys.
type plannedPolicy struct {
	planner    *placement.Planner
	isolation  *placement.IsolationPlanner
	slots      []placement.Slot
	exceptions []exception
	planTime   time.Duration
	plans      int
}

// Planned is the policy of package placement. Handovers take less than the
// second between two calls.
func Planned(settings placement.Settings, isolate bool) Policy {
	p := &plannedPolicy{planner: placement.NewPlanner(settings)}
	if isolate {
		p.isolation = placement.NewIsolationPlanner(placement.DefaultIsolationSettings())
	}
	return p
}

func (p *plannedPolicy) Place(view *View) Placement {
	p.refresh(view)
	if p.isolation != nil {
		p.isolate(view)
	}
	all := make([]placement.Slot, 0, len(p.slots)+len(p.exceptions))
	all = append(all, p.slots...)
	for _, e := range p.exceptions {
		all = append(all, e.slot)
	}
	started := time.Now()
	plan := p.planner.Plan(all, view.Servers)
	p.planTime += time.Since(started)
	p.plans++
	for _, a := range plan.Assign {
		p.at(a.Slot).Owner = a.Server
	}
	for _, m := range plan.Move {
		p.at(m.Slot).Owner = m.To
		p.at(m.Slot).SinceLastMove = 0
	}
	return p.placement()
}

// refresh takes over the measured loads and lets the ages of moves grow by the
// second between two calls.
func (p *plannedPolicy) refresh(view *View) {
	if p.slots == nil {
		p.slots = make([]placement.Slot, len(view.Loads))
		for i := range p.slots {
			p.slots[i].SinceLastMove = placement.NeverMoved
		}
	}
	for i := range p.slots {
		p.slots[i].Load = view.Loads[i]
		p.slots[i].SinceLastMove = older(p.slots[i].SinceLastMove)
	}
	loads := make(map[string]float64, len(view.Hottest))
	for _, k := range view.Hottest {
		loads[k.Key] = k.Load
	}
	for i := range p.exceptions {
		e := &p.exceptions[i]
		e.slot.Load = loads[e.key]
		e.slot.SinceLastMove = older(e.slot.SinceLastMove)
	}
}

func older(age time.Duration) time.Duration {
	if age > placement.NeverMoved-time.Second {
		return age
	}
	return age + time.Second
}

func (p *plannedPolicy) isolate(view *View) {
	plan := p.isolation.Plan(view.Now, view.Hottest, view.Total/float64(len(view.Servers)))
	returned := make(map[string]bool, len(plan.Return))
	for _, key := range plan.Return {
		returned[key] = true
	}
	var kept []exception
	for _, e := range p.exceptions {
		if !returned[e.key] {
			kept = append(kept, e)
		}
	}
	for _, key := range plan.Isolate {
		home := &p.slots[placement.SlotOf(service, key, len(p.slots))]
		slot := placement.Slot{Owner: home.Owner, SinceLastMove: placement.NeverMoved}
		for _, k := range view.Hottest {
			if k.Key == key {
				slot.Load = k.Load
				home.Load = max(0, home.Load-k.Load)
			}
		}
		kept = append(kept, exception{key: key, slot: slot})
	}
	p.exceptions = kept
}

// at returns a slot by its number, the isolated keys counted after the others.
func (p *plannedPolicy) at(slot int) *placement.Slot {
	if slot < len(p.slots) {
		return &p.slots[slot]
	}
	return &p.exceptions[slot-len(p.slots)].slot
}

func (p *plannedPolicy) placement() Placement {
	result := Placement{Owners: make([]uint64, len(p.slots)), Exceptions: make(map[string]uint64, len(p.exceptions))}
	for i := range p.slots {
		result.Owners[i] = p.slots[i].Owner
	}
	for _, e := range p.exceptions {
		result.Exceptions[e.key] = e.slot.Owner
	}
	return result
}
