package workload

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenalug/galenalug/placement"
)

// View is the input of a policy, which is called once per second.
type View struct {
	Now     time.Duration
	Servers []placement.Server  // live servers, ordered by ID
	Changed bool                // whether the set of servers changed
	Loads   []float64           // measured load by slot, without isolated keys
	Hottest []placement.KeyLoad // measured loads of the hottest keys
	Total   float64             // load of the service, requests/s
}

// Placement holds the owners of slots and isolated keys.
type Placement struct {
	Owners     []uint64          // by slot
	Exceptions map[string]uint64 // by isolated key
}

// Policy assigns slots and isolated keys to servers.
type Policy interface {
	Place(view *View) Placement
}

// staticPolicy computes each owner from the slot's number and the set of servers. It ignores loads.
type staticPolicy struct {
	owners []uint64
	owner  func(slot int, servers []placement.Server) uint64
}

// Modulo returns the baseline policy that assigns slot i to server i mod n, where n is the
// number of servers.
func Modulo() Policy {
	return &staticPolicy{owner: func(slot int, servers []placement.Server) uint64 {
		return servers[slot%len(servers)].ID
	}}
}

// Rendezvous returns the baseline policy of highest random weight hashing (Thaler and Ravishankar,
// 1998).
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

// isolatedKey is a hot key that is placed like a dedicated slot.
type isolatedKey struct {
	key  string
	slot placement.Slot
}

// plannerPolicy places slots by the planners of package placement.
type plannerPolicy struct {
	planner   *placement.Planner
	isolation *placement.IsolationPlanner
	slots     []placement.Slot
	isolated  []isolatedKey
	planTime  time.Duration
	plans     int
}

// PlannerPolicy returns a policy that uses the planner of package placement and, if isolate is set,
// isolates hot keys. It assumes that a handover takes less than the second between two calls.
func PlannerPolicy(settings placement.Settings, isolate bool) Policy {
	p := &plannerPolicy{planner: placement.NewPlanner(settings)}
	if isolate {
		p.isolation = placement.NewIsolationPlanner(placement.DefaultIsolationSettings())
	}
	return p
}

func (p *plannerPolicy) Place(view *View) Placement {
	p.refresh(view)
	if p.isolation != nil {
		p.isolate(view)
	}
	all := make([]placement.Slot, 0, len(p.slots)+len(p.isolated))
	all = append(all, p.slots...)
	for _, e := range p.isolated {
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

// refresh copies the measured loads and adds the second between two calls to the times since the last
// moves.
func (p *plannerPolicy) refresh(view *View) {
	if p.slots == nil {
		p.slots = make([]placement.Slot, len(view.Loads))
		for i := range p.slots {
			p.slots[i].SinceLastMove = placement.NeverMoved
		}
	}
	for i := range p.slots {
		p.slots[i].Load = view.Loads[i]
		p.slots[i].SinceLastMove = addSecond(p.slots[i].SinceLastMove)
	}
	loads := make(map[string]float64, len(view.Hottest))
	for _, k := range view.Hottest {
		loads[k.Key] = k.Load
	}
	for i := range p.isolated {
		e := &p.isolated[i]
		e.slot.Load = loads[e.key]
		e.slot.SinceLastMove = addSecond(e.slot.SinceLastMove)
	}
}

// addSecond adds a second, without an overflow of placement.NeverMoved.
func addSecond(sinceLastMove time.Duration) time.Duration {
	if sinceLastMove > placement.NeverMoved-time.Second {
		return sinceLastMove
	}
	return sinceLastMove + time.Second
}

// isolate updates the set of isolated keys.
func (p *plannerPolicy) isolate(view *View) {
	plan := p.isolation.Plan(view.Now, view.Hottest, view.Total/float64(len(view.Servers)))
	returned := make(map[string]bool, len(plan.Return))
	for _, key := range plan.Return {
		returned[key] = true
	}
	var remaining []isolatedKey
	for _, e := range p.isolated {
		if !returned[e.key] {
			remaining = append(remaining, e)
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
		remaining = append(remaining, isolatedKey{key: key, slot: slot})
	}
	p.isolated = remaining
}

// at returns a slot by its number. Isolated keys have the numbers after those of the slots.
func (p *plannerPolicy) at(slot int) *placement.Slot {
	if slot < len(p.slots) {
		return &p.slots[slot]
	}
	return &p.isolated[slot-len(p.slots)].slot
}

func (p *plannerPolicy) placement() Placement {
	result := Placement{Owners: make([]uint64, len(p.slots)), Exceptions: make(map[string]uint64, len(p.isolated))}
	for i := range p.slots {
		result.Owners[i] = p.slots[i].Owner
	}
	for _, e := range p.isolated {
		result.Exceptions[e.key] = e.slot.Owner
	}
	return result
}
