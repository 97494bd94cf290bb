package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// member is one server with the load that it is expected to carry.
type member struct {
	id       uint64
	capacity float64 // effective: less than the whole while the server is cold
	draining bool
	load     float64
	squares  float64 // sum of its slots' squared weights
	count    int
	slots    []int // slots that may be handed over
}

func (m *member) utilization() float64 { return m.load / m.capacity }

func (m *member) spread() float64 { return math.Sqrt(m.squares) }

func (m *member) add(weight float64) {
	m.load += weight
	m.squares += weight * weight
	m.count++
}

// remove takes one slot's weight off. Rounding must not leave a negative load.
func (m *member) remove(weight float64) {
	m.load = max(0, m.load-weight)
	m.squares = max(0, m.squares-weight*weight)
	m.count--
}

// fleet is the working state of one call of Plan.
type fleet struct {
	slots         []Slot
	weights       []float64 // by slot, in requests/s; always above 0
	members       []member  // by server ID; draining ones included
	index         map[uint64]int
	order         []int // scratch of busiestFirst
	vacant        []int
	active        int     // members that may receive slots
	capacity      float64 // effective, of the active members
	total         float64 // of weights
	meanWeight    float64
	level         float64 // utilization that an ideal placement would reach
	moving        int
	movingWeight  float64
	mostlyUnknown bool
}

func newFleet(slots []Slot, servers []Server) *fleet {
	f := &fleet{slots: slots, index: make(map[uint64]int, len(servers))}
	f.weigh()
	f.addServers(servers)
	for i := range slots {
		f.place(i)
	}
	return f
}

// weigh sets each slot's weight: its load, or the mean load where it is unknown,
// plus a little, so that idle slots are spread as well.
func (f *fleet) weigh() {
	var sum float64
	known := 0
	for i := range f.slots {
		if f.slots[i].Load >= 0 {
			sum += f.slots[i].Load
			known++
		}
	}
	f.mostlyUnknown = known*2 < len(f.slots)
	mean := 1.0
	if sum > 0 {
		mean = sum / float64(known)
	}
	f.weights = make([]float64, len(f.slots))
	for i := range f.slots {
		load := f.slots[i].Load
		if load < 0 {
			load = mean
		}
		f.weights[i] = load + idleSlotWeight*mean
		f.total += f.weights[i]
	}
	f.meanWeight = f.total / float64(max(1, len(f.slots)))
}

func (f *fleet) addServers(servers []Server) {
	sorted := slices.Clone(servers)
	slices.SortFunc(sorted, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	for _, server := range sorted {
		m := member{id: server.ID, capacity: effectiveCapacity(server), draining: server.Draining}
		if m.capacity <= 0 {
			m.draining = true
		}
		f.index[m.id] = len(f.members)
		f.members = append(f.members, m)
		if !m.draining {
			f.active++
			f.capacity += m.capacity
		}
	}
}

// effectiveCapacity ramps a cold server's capacity up.
func effectiveCapacity(server Server) float64 {
	if server.Age >= server.RampUp {
		return server.Capacity
	}
	ramp := float64(server.Age) / float64(server.RampUp)
	return server.Capacity * max(leastRamp, ramp)
}

// place accounts one slot to its owner, or to its target while it moves.
func (f *fleet) place(slot int) {
	s := &f.slots[slot]
	if s.Moving {
		f.moving++
		f.movingWeight += f.weights[slot]
		holder := s.Target
		if _, ok := f.index[holder]; !ok {
			holder = s.Owner
		}
		if i, ok := f.index[holder]; ok {
			f.members[i].add(f.weights[slot])
		}
		return
	}
	i, ok := f.index[s.Owner]
	if s.Owner == 0 || !ok {
		f.vacant = append(f.vacant, slot)
		return
	}
	f.members[i].add(f.weights[slot])
	f.members[i].slots = append(f.members[i].slots, slot)
}

// assignVacant gives each vacant slot, the heaviest first, to the server whose
// utilization is the least with it, so that a lost server's slots spread over
// all others.
func (f *fleet) assignVacant() []Assignment {
	if f.active == 0 || len(f.vacant) == 0 {
		return nil
	}
	slices.SortFunc(f.vacant, f.heaviestFirst)
	assignments := make([]Assignment, 0, len(f.vacant))
	for _, slot := range f.vacant {
		to := f.leastBusyAfter(f.weights[slot])
		f.members[to].add(f.weights[slot])
		assignments = append(assignments, Assignment{Slot: slot, Server: f.members[to].id})
	}
	return assignments
}

func (f *fleet) heaviestFirst(a, b int) int {
	return cmp.Or(cmp.Compare(f.weights[b], f.weights[a]), cmp.Compare(a, b))
}

// leastBusyAfter returns the active member whose utilization is the least once
// it has the given weight as well; of equals, the one with fewer slots.
func (f *fleet) leastBusyAfter(weight float64) int {
	best := -1
	var least float64
	for i := range f.members {
		m := &f.members[i]
		if m.draining {
			continue
		}
		after := (m.load + weight) / m.capacity
		if best < 0 || after < least || after == least && m.count < f.members[best].count {
			best, least = i, after
		}
	}
	return best
}

func (f *fleet) leastBusy() int { return f.leastBusyAfter(0) }

// busiestFirst returns the members by falling utilization. The slice is valid
// until the next call.
func (f *fleet) busiestFirst() []int {
	f.order = f.order[:0]
	for i := range f.members {
		if !f.members[i].draining {
			f.order = append(f.order, i)
		}
	}
	slices.SortFunc(f.order, func(a, b int) int {
		return cmp.Or(cmp.Compare(f.members[b].utilization(), f.members[a].utilization()), cmp.Compare(a, b))
	})
	return f.order
}

// pick returns the member's slot with the highest score above 0, of equals the
// first. Slots that moved within the cool-down are left out.
func (f *fleet) pick(m *member, coolDown time.Duration, score func(weight float64) float64) (int, bool) {
	best, highest := -1, 0.0
	for _, slot := range m.slots {
		if f.slots[slot].SinceLastMove < coolDown {
			continue
		}
		if value := score(f.weights[slot]); value > highest {
			best, highest = slot, value
		}
	}
	return best, best >= 0
}

// move accounts a handover and returns it. The slot is not offered again.
func (f *fleet) move(slot, to int) Move {
	from := f.index[f.slots[slot].Owner]
	giver := &f.members[from]
	giver.remove(f.weights[slot])
	giver.slots = slices.DeleteFunc(giver.slots, func(s int) bool { return s == slot })
	f.members[to].add(f.weights[slot])
	return Move{Slot: slot, From: giver.id, To: f.members[to].id}
}

// fairCount is a member's fair share of slots by its effective capacity.
func (f *fleet) fairCount(i int) int {
	return int(math.Ceil(float64(len(f.slots)) * f.members[i].capacity / f.capacity))
}

// setLevel sets the utilization that the servers would have in an ideal
// placement. A slot that is heavier than a whole server's share cannot be
// divided, so it is left out together with one server's capacity.
func (f *fleet) setLevel() {
	serverCapacity := f.capacity / float64(f.active)
	share := f.total / float64(f.active)
	var heavy []int
	for slot, weight := range f.weights {
		if weight*float64(f.active) > f.total/2 {
			heavy = append(heavy, slot)
		}
	}
	slices.SortFunc(heavy, f.heaviestFirst)
	rest, left := f.total, f.active
	for _, slot := range heavy {
		if left == 1 || f.weights[slot] <= share {
			break
		}
		rest -= f.weights[slot]
		left--
		share = rest / float64(left)
	}
	f.level = share / serverCapacity
}
