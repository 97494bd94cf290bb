package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// UnknownLoad is the Load of a slot that was not measured yet. Such a slot is
	// taken to have the mean load.
	UnknownLoad = -1.0
	// NeverMoved is the SinceLastMove of a slot that was never handed over.
	NeverMoved = time.Duration(math.MaxInt64)
)

// Server is one backend server that may own slots.
type Server struct {
	ID       uint64
	Domain   string  // failure domain
	Capacity float64 // requests it runs at one time
	Draining bool
	Age      time.Duration // since its session began
	RampUp   time.Duration // age from which it counts with its whole capacity
}

// Slot is one slot of the service, or one key that stands in a slot of its own.
// Its place in the slice passed to Plan is its number.
type Slot struct {
	Owner  uint64 // server ID, 0 when vacant
	Moving bool   // being handed over; not planned again
	Target uint64 // while Moving, the server that it goes to
	Load   float64
	// SinceLastMove is the age of the slot's last handover between two live servers.
	// The assignment of a vacant slot does not count.
	SinceLastMove time.Duration
}

// Assignment gives a vacant slot to a server.
type Assignment struct {
	Slot   int
	Server uint64
}

// Move hands an owned slot over from one server to another.
type Move struct {
	Slot     int
	From, To uint64
}

// Plan is what one call decided. Assign takes effect at once; Move in its order.
type Plan struct {
	Assign []Assignment
	Move   []Move
}

// Planner plans the slots of one service within one region.
type Planner struct {
	settings Settings
}

// NewPlanner returns a planner with the given settings.
func NewPlanner(settings Settings) *Planner {
	return &Planner{settings: settings}
}

// Plan decides about one service. Loads are in requests/s, smoothed. A slot
// whose owner is not among servers counts as vacant. It is called about once a
// second, at once when a slot is vacant, and may be called as soon as handovers
// ended.
func (p *Planner) Plan(slots []Slot, servers []Server) Plan {
	f := newFleet(slots, servers)
	var plan Plan
	plan.Assign = f.assignVacant()
	drained := p.drain(f)
	plan.Move = drained
	if len(plan.Assign) > 0 || len(drained) > 0 || f.active == 0 {
		return plan
	}
	plan.Move = p.balance(f)
	return plan
}

// drain moves slots off draining servers.
func (p *Planner) drain(f *fleet) []Move {
	if f.active == 0 {
		return nil
	}
	var leaving []int
	for i := range f.members {
		if f.members[i].draining {
			leaving = append(leaving, f.members[i].slots...)
		}
	}
	slices.SortFunc(leaving, f.heaviestFirst)
	if p.settings.Goal == Availability {
		slices.Reverse(leaving)
	}
	limit := max(p.settings.MaxMoves, len(f.slots)/max(1, p.settings.DrainSteps))
	limit = max(0, limit-f.moving)
	var moves []Move
	for _, slot := range leaving[:min(limit, len(leaving))] {
		to := f.leastBusyAfter(f.weights[slot])
		moves = append(moves, f.move(slot, to))
	}
	return moves
}

// balance fills servers that are far below the level and relieves servers that
// are far above it.
func (p *Planner) balance(f *fleet) []Move {
	f.setLevel()
	budget := p.settings.MaxMovingLoad*f.total - f.movingWeight
	var moves []Move
	for f.moving+len(moves) < p.settings.MaxMoves {
		slot, to, found := p.nextFill(f)
		if !found {
			slot, to, found = p.nextRelief(f)
		}
		if !found {
			break
		}
		budget -= f.weights[slot]
		if budget < 0 && f.moving+len(moves) > 0 {
			break
		}
		moves = append(moves, f.move(slot, to))
	}
	return moves
}

// nextFill picks a slot for the server that is the furthest below the level, as
// one that has just joined. The server gets no more than its fair share, by load
// and by number of slots.
func (p *Planner) nextFill(f *fleet) (slot, to int, found bool) {
	threshold := p.settings.Threshold
	if f.mostlyUnknown {
		threshold = unknownLoadThreshold
	}
	to = f.leastBusy()
	m := &f.members[to]
	if (m.load+receiverNoiseMargin*m.spread())/m.capacity >= f.level*(1-threshold) {
		return 0, 0, false
	}
	if m.count >= f.fairCount(to) {
		return 0, 0, false
	}
	for _, from := range f.busiestFirst() {
		if f.members[from].utilization() <= f.level*(1-threshold) {
			break
		}
		slot, found = p.heaviestFitting(f, from, to)
		if found {
			return slot, to, true
		}
	}
	return 0, 0, false
}

// heaviestFitting returns the heaviest slot that takes the receiver no higher
// than the level and the giver no lower than the edge of the level's band.
func (p *Planner) heaviestFitting(f *fleet, from, to int) (int, bool) {
	giver, receiver := &f.members[from], &f.members[to]
	room := f.level*receiver.capacity - receiver.load - p.settings.NoiseMargin*receiver.spread()
	spare := giver.load - f.level*giver.capacity*(1-p.settings.Threshold/2)
	return f.pick(giver, p.settings.CoolDown, func(weight float64) float64 {
		if weight > room || weight > spare {
			return 0
		}
		return weight
	})
}

// nextRelief picks the slot of an overloaded server whose handover to the least
// busy server lowers the higher of the two loads the most.
func (p *Planner) nextRelief(f *fleet) (slot, to int, found bool) {
	if f.mostlyUnknown {
		return 0, 0, false
	}
	to = f.leastBusy()
	for _, from := range f.busiestFirst() {
		giver := &f.members[from]
		calm := giver.load - p.settings.NoiseMargin*giver.spread()
		if giver.utilization() <= f.level*(1+p.settings.Threshold) {
			break
		}
		if from == to || calm <= f.level*giver.capacity*(1+p.settings.Threshold) {
			continue
		}
		slot, found = p.bestRelief(f, from, to)
		if found {
			return slot, to, true
		}
	}
	return 0, 0, false
}

// bestRelief returns the slot whose handover lowers the higher load of the two
// servers the most, if that gain is worth a handover. The gain asked for grows
// with the giver's load, so that a server with one very hot slot does not shed
// all its light ones.
func (p *Planner) bestRelief(f *fleet, from, to int) (int, bool) {
	giver, receiver := &f.members[from], &f.members[to]
	before := giver.utilization()
	least := p.settings.MinGain * f.meanWeight / giver.capacity * before / f.level
	expected := receiver.load + receiverNoiseMargin*receiver.spread()
	return f.pick(giver, p.settings.CoolDown, func(weight float64) float64 {
		rest := (giver.load - weight) / giver.capacity
		gain := before - max(rest, (expected+weight)/receiver.capacity)
		if gain < least {
			return 0
		}
		return gain
	})
}
