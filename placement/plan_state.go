package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// serverState is one server with its expected load, including the moves planned so far.
type serverState struct {
	id         uint64
	capacity   float64 // effective capacity, reduced while the server warms up
	draining   bool
	load       float64
	sumSquares float64 // sum of the squared weights of its slots
	slotCount  int
	movable    []int // owned slots that are not being handed over
}

func (s *serverState) utilization() float64 { return s.load / s.capacity }

// noiseScale is the root of the summed squares of the slot weights. The measurement error of the
// server's load is proportional to it if the relative errors of its slots are independent.
func (s *serverState) noiseScale() float64 { return math.Sqrt(s.sumSquares) }

func (s *serverState) add(weight float64) {
	s.load += weight
	s.sumSquares += weight * weight
	s.slotCount++
}

// remove subtracts one slot's weight. The results are clamped at 0, as rounding could make them
// negative.
func (s *serverState) remove(weight float64) {
	s.load = max(0, s.load-weight)
	s.sumSquares = max(0, s.sumSquares-weight*weight)
	s.slotCount--
}

// planState is the working state of one call of Planner.Plan.
type planState struct {
	slots             []Slot
	weights           []float64      // by slot, in requests/s; always above 0
	servers           []serverState  // sorted by ID, including draining servers
	index             map[uint64]int // position in servers by server ID
	scratch           []int          // reused by mostUtilizedFirst
	vacant            []int
	active            int     // servers that may receive slots
	capacity          float64 // summed effective capacity of the active servers
	total             float64 // sum of weights
	meanWeight        float64
	targetUtilization float64 // utilization of every server in an ideal placement
	moving            int     // handovers in progress
	movingWeight      float64
	mostLoadsUnknown  bool
}

func newPlanState(slots []Slot, servers []Server) *planState {
	ps := &planState{slots: slots, index: make(map[uint64]int, len(servers))}
	ps.setWeights()
	ps.addServers(servers)
	for i := range slots {
		ps.addSlot(i)
	}
	return ps
}

// setWeights sets each slot's weight to its load, or to the mean load if its load is unknown, plus
// a constant that spreads idle slots evenly as well.
func (ps *planState) setWeights() {
	var sum float64
	known := 0
	for i := range ps.slots {
		if ps.slots[i].Load >= 0 {
			sum += ps.slots[i].Load
			known++
		}
	}
	ps.mostLoadsUnknown = known*2 < len(ps.slots)
	mean := 1.0
	if sum > 0 {
		mean = sum / float64(known)
	}
	ps.weights = make([]float64, len(ps.slots))
	for i := range ps.slots {
		load := ps.slots[i].Load
		if load < 0 {
			load = mean
		}
		ps.weights[i] = load + idleSlotWeight*mean
		ps.total += ps.weights[i]
	}
	ps.meanWeight = ps.total / float64(max(1, len(ps.slots)))
}

// addServers adds the servers sorted by ID, so that a plan does not depend on their order. Servers
// without capacity are treated as draining.
func (ps *planState) addServers(servers []Server) {
	sorted := slices.Clone(servers)
	slices.SortFunc(sorted, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	for _, server := range sorted {
		s := serverState{id: server.ID, capacity: effectiveCapacity(server), draining: server.Draining}
		if s.capacity <= 0 {
			s.draining = true
		}
		ps.index[s.id] = len(ps.servers)
		ps.servers = append(ps.servers, s)
		if !s.draining {
			ps.active++
			ps.capacity += s.capacity
		}
	}
}

// effectiveCapacity raises the capacity of a new server linearly until RampUp has passed.
func effectiveCapacity(server Server) float64 {
	if server.Age >= server.RampUp {
		return server.Capacity
	}
	ramp := float64(server.Age) / float64(server.RampUp)
	return server.Capacity * max(minRampFactor, ramp)
}

// addSlot adds a slot's weight to its owner, or to the target of a handover in progress. A slot
// without a live owner becomes vacant.
func (ps *planState) addSlot(slot int) {
	s := &ps.slots[slot]
	if s.Moving {
		ps.moving++
		ps.movingWeight += ps.weights[slot]
		holder := s.Target
		if _, ok := ps.index[holder]; !ok {
			holder = s.Owner
		}
		if i, ok := ps.index[holder]; ok {
			ps.servers[i].add(ps.weights[slot])
		}
		return
	}
	i, ok := ps.index[s.Owner]
	if s.Owner == 0 || !ok {
		ps.vacant = append(ps.vacant, slot)
		return
	}
	ps.servers[i].add(ps.weights[slot])
	ps.servers[i].movable = append(ps.servers[i].movable, slot)
}

// assignVacant assigns each vacant slot, heaviest first, to the server that has the lowest
// utilization with it. This spreads the slots of a lost server over all others.
func (ps *planState) assignVacant() []Assignment {
	if ps.active == 0 || len(ps.vacant) == 0 {
		return nil
	}
	slices.SortFunc(ps.vacant, ps.heaviestFirst)
	assignments := make([]Assignment, 0, len(ps.vacant))
	for _, slot := range ps.vacant {
		to := ps.leastUtilizedWith(ps.weights[slot])
		ps.servers[to].add(ps.weights[slot])
		assignments = append(assignments, Assignment{Slot: slot, Server: ps.servers[to].id})
	}
	return assignments
}

func (ps *planState) heaviestFirst(a, b int) int {
	return cmp.Or(cmp.Compare(ps.weights[b], ps.weights[a]), cmp.Compare(a, b))
}

// leastUtilizedWith returns the active server that would have the lowest utilization with the given
// additional weight. Ties go to the server with fewer slots.
func (ps *planState) leastUtilizedWith(weight float64) int {
	best := -1
	var lowest float64
	for i := range ps.servers {
		s := &ps.servers[i]
		if s.draining {
			continue
		}
		after := (s.load + weight) / s.capacity
		if best < 0 || after < lowest || after == lowest && s.slotCount < ps.servers[best].slotCount {
			best, lowest = i, after
		}
	}
	return best
}

func (ps *planState) leastUtilized() int { return ps.leastUtilizedWith(0) }

// mostUtilizedFirst returns the active servers in descending order of utilization. The slice is
// valid until the next call.
func (ps *planState) mostUtilizedFirst() []int {
	ps.scratch = ps.scratch[:0]
	for i := range ps.servers {
		if !ps.servers[i].draining {
			ps.scratch = append(ps.scratch, i)
		}
	}
	slices.SortFunc(ps.scratch, func(a, b int) int {
		return cmp.Or(cmp.Compare(ps.servers[b].utilization(), ps.servers[a].utilization()), cmp.Compare(a, b))
	})
	return ps.scratch
}

// bestMovable returns the server's slot with the highest positive score; the first one wins a tie.
// Slots that were handed over within the cooldown are skipped.
func (ps *planState) bestMovable(s *serverState, cooldown time.Duration, score func(weight float64) float64) (int, bool) {
	best, highest := -1, 0.0
	for _, slot := range s.movable {
		if ps.slots[slot].SinceLastMove < cooldown {
			continue
		}
		if value := score(ps.weights[slot]); value > highest {
			best, highest = slot, value
		}
	}
	return best, best >= 0
}

// move records a planned handover and returns it. The slot is not movable any more in this plan.
func (ps *planState) move(slot, to int) Move {
	from := ps.index[ps.slots[slot].Owner]
	source := &ps.servers[from]
	source.remove(ps.weights[slot])
	source.movable = slices.DeleteFunc(source.movable, func(s int) bool { return s == slot })
	ps.servers[to].add(ps.weights[slot])
	return Move{Slot: slot, From: source.id, To: ps.servers[to].id}
}

// fairSlotCount is a server's share of the slots in proportion to its effective capacity.
func (ps *planState) fairSlotCount(i int) int {
	return int(math.Ceil(float64(len(ps.slots)) * ps.servers[i].capacity / ps.capacity))
}

// setTargetUtilization sets the utilization that every server would have in an ideal placement. A
// slot heavier than a whole server's share cannot be divided, so it is excluded together with one
// server's capacity.
func (ps *planState) setTargetUtilization() {
	serverCapacity := ps.capacity / float64(ps.active)
	share := ps.total / float64(ps.active)
	var heavy []int
	for slot, weight := range ps.weights {
		if weight*float64(ps.active) > ps.total/2 {
			heavy = append(heavy, slot)
		}
	}
	slices.SortFunc(heavy, ps.heaviestFirst)
	remainingWeight, remainingServers := ps.total, ps.active
	for _, slot := range heavy {
		if remainingServers == 1 || ps.weights[slot] <= share {
			break
		}
		remainingWeight -= ps.weights[slot]
		remainingServers--
		share = remainingWeight / float64(remainingServers)
	}
	ps.targetUtilization = share / serverCapacity
}
