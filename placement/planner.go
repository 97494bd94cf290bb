package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// UnknownLoad is the Load of a slot that has not been measured yet. The planner assumes the mean
	// load for it.
	UnknownLoad = -1.0
	// NeverMoved is the SinceLastMove of a slot that was never handed over.
	NeverMoved = time.Duration(math.MaxInt64)
)

// Server is a backend server that may own slots.
type Server struct {
	ID       uint64
	Domain   string  // failure domain
	Capacity float64 // number of requests it runs concurrently
	Draining bool
	Age      time.Duration // time since its session began
	RampUp   time.Duration // age at which it reaches its full capacity
}

// Slot is one slot of the service, or the slot of one isolated key. Its index in the slice passed to
// Plan is its number.
type Slot struct {
	Owner  uint64  // server ID, 0 if vacant
	Moving bool    // being handed over; excluded from planning
	Target uint64  // while Moving, the server for which it is planned
	Load   float64 // requests/s, or UnknownLoad
	// SinceLastMove is the time since the slot's last handover between two live servers. The
	// assignment of a vacant slot does not count.
	SinceLastMove time.Duration
}

// Assignment assigns a vacant slot to a server.
type Assignment struct {
	Slot   int
	Server uint64
}

// Move hands an owned slot over from one server to another.
type Move struct {
	Slot     int
	From, To uint64
}

// Plan is the result of one planning call. Assignments take effect at once. Moves are in the order in
// which they should be carried out.
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

// Plan plans one service. Loads are smoothed, in requests/s. A slot whose owner is not among servers
// counts as vacant. Plan is meant to be called about once per second, at once when a slot becomes
// vacant, and optionally after handovers have ended.
func (p *Planner) Plan(slots []Slot, servers []Server) Plan {
	state := newPlanState(slots, servers)
	var plan Plan
	plan.Assign = state.assignVacant()
	drainMoves := p.planDrain(state)
	plan.Move = drainMoves
	if len(plan.Assign) > 0 || len(drainMoves) > 0 || state.active == 0 {
		return plan
	}
	plan.Move = p.planBalance(state)
	return plan
}

// planDrain moves slots off draining servers.
func (p *Planner) planDrain(state *planState) []Move {
	if state.active == 0 {
		return nil
	}
	var pending []int
	for i := range state.servers {
		if state.servers[i].draining {
			pending = append(pending, state.servers[i].movable...)
		}
	}
	slices.SortFunc(pending, state.heaviestFirst)
	if p.settings.Goal == Availability {
		slices.Reverse(pending)
	}
	limit := max(p.settings.MaxMoves, len(state.slots)/max(1, p.settings.DrainSteps))
	limit = max(0, limit-state.moving)
	var moves []Move
	for _, slot := range pending[:min(limit, len(pending))] {
		to := state.leastUtilizedWith(state.weights[slot])
		moves = append(moves, state.move(slot, to))
	}
	return moves
}

// planBalance fills servers that are far below the target utilization and relieves servers that are
// far above it.
func (p *Planner) planBalance(state *planState) []Move {
	state.setTargetUtilization()
	budget := p.settings.MaxMovingLoad*state.total - state.movingWeight
	var moves []Move
	for state.moving+len(moves) < p.settings.MaxMoves {
		slot, to, found := p.nextFillMove(state)
		if !found {
			slot, to, found = p.nextReliefMove(state)
		}
		if !found {
			break
		}
		budget -= state.weights[slot]
		if budget < 0 && state.moving+len(moves) > 0 {
			break
		}
		moves = append(moves, state.move(slot, to))
	}
	return moves
}

// nextFillMove picks a slot for the least utilized server, such as one that has just joined, if it is
// far enough below the target utilization. The server gets no more than its fair share, both by load
// and by number of slots.
func (p *Planner) nextFillMove(state *planState) (slot, to int, found bool) {
	threshold := p.settings.Threshold
	if state.mostLoadsUnknown {
		threshold = unknownLoadThreshold
	}
	to = state.leastUtilized()
	s := &state.servers[to]
	if (s.load+destinationNoiseMargin*s.noiseScale())/s.capacity >= state.targetUtilization*(1-threshold) {
		return 0, 0, false
	}
	if s.slotCount >= state.fairSlotCount(to) {
		return 0, 0, false
	}
	for _, from := range state.mostUtilizedFirst() {
		if state.servers[from].utilization() <= state.targetUtilization*(1-threshold) {
			break
		}
		slot, found = p.heaviestFittingSlot(state, from, to)
		if found {
			return slot, to, true
		}
	}
	return 0, 0, false
}

// heaviestFittingSlot returns the heaviest slot that raises the destination no higher than the target
// utilization and lowers the source by no more than half the threshold below it.
func (p *Planner) heaviestFittingSlot(state *planState, from, to int) (int, bool) {
	source, destination := &state.servers[from], &state.servers[to]
	room := state.targetUtilization*destination.capacity - destination.load - p.settings.NoiseMargin*destination.noiseScale()
	surplus := source.load - state.targetUtilization*source.capacity*(1-p.settings.Threshold/2)
	return state.bestMovable(source, p.settings.Cooldown, func(weight float64) float64 {
		if weight > room || weight > surplus {
			return 0
		}
		return weight
	})
}

// nextReliefMove picks a slot of an overloaded server and hands it over to the least utilized server.
// A server counts as overloaded only if it is above the threshold also after the noise margin is
// subtracted.
func (p *Planner) nextReliefMove(state *planState) (slot, to int, found bool) {
	if state.mostLoadsUnknown {
		return 0, 0, false
	}
	to = state.leastUtilized()
	for _, from := range state.mostUtilizedFirst() {
		source := &state.servers[from]
		certainLoad := source.load - p.settings.NoiseMargin*source.noiseScale()
		if source.utilization() <= state.targetUtilization*(1+p.settings.Threshold) {
			break
		}
		if from == to || certainLoad <= state.targetUtilization*source.capacity*(1+p.settings.Threshold) {
			continue
		}
		slot, found = p.bestReliefSlot(state, from, to)
		if found {
			return slot, to, true
		}
	}
	return 0, 0, false
}

// bestReliefSlot returns the slot whose handover lowers the higher utilization of the two servers the
// most, if the gain is worth a handover. The required gain grows with the source's utilization;
// otherwise a server with one very hot slot would give away all its light ones.
func (p *Planner) bestReliefSlot(state *planState, from, to int) (int, bool) {
	source, destination := &state.servers[from], &state.servers[to]
	before := source.utilization()
	minGain := p.settings.MinGain * state.meanWeight / source.capacity * before / state.targetUtilization
	destinationLoad := destination.load + destinationNoiseMargin*destination.noiseScale()
	return state.bestMovable(source, p.settings.Cooldown, func(weight float64) float64 {
		remaining := (source.load - weight) / source.capacity
		gain := before - max(remaining, (destinationLoad+weight)/destination.capacity)
		if gain < minGain {
			return 0
		}
		return gain
	})
}
