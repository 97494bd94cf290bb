package workload

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/galenalug/galenalug/placement"
)

// EventKind is what happens to a server or to the keys.
type EventKind int

// Kinds of events.
const (
	Join    EventKind = iota // a new, cold server
	Drain                    // leaves once it owns nothing
	Lose                     // gone at once
	Return                   // a server that was lost joins again, cold
	MoveHot                  // other keys are the hottest ones from now on
)

// Event happens at a second of a life. Server is ignored by MoveHot.
type Event struct {
	Second int
	Kind   EventKind
	Server uint64
}

// SimulationSettings describe one life of a service.
type SimulationSettings struct {
	Keys        KeySettings
	Servers     int
	Seconds     int     // after the warm-up
	HotKeys     int     // keys that MoveHot replaces
	Noise       float64 // of each measured load, uniform, as a part of it
	HandoverGap time.Duration
	LossGap     time.Duration
	RampUp      time.Duration
	Events      []Event
	Seed        uint64
}

const (
	// warmUpSeconds pass before events and figures begin.
	warmUpSeconds = 300
	// reportedKeys is the number of hottest keys that policies are told of.
	reportedKeys = 256
	// loadSmoothing is the weight of the newest measurement of a load.
	loadSmoothing = 0.2
	// overloadFactor is the load over the mean one from which a server counts as
	// overloaded.
	overloadFactor = 1.5
	// slotsPerServer is the number of requests a server runs at one time.
	slotsPerServer = 6
)

// Result holds the figures of one life.
type Result struct {
	// Imbalance is the busiest owner's load over the mean one.
	MeanImbalance, WorstImbalance float64
	// ImbalanceOverBound is the mean of the busiest owner's load over the least that any
	// placement of whole keys could reach.
	ImbalanceOverBound float64
	Moves              int     // changes of owner, of slots and of isolated keys
	Least              float64 // fewest changes of owner that the events ask for
	// UnavailableSlotSeconds is the time without an owner, summed over slots, in seconds.
	UnavailableSlotSeconds float64
	// OverloadedServerSeconds is the time that servers spent above overloadFactor times the
	// mean load, summed over servers, in seconds.
	OverloadedServerSeconds float64
	PlanTime                time.Duration // mean of a call of the planner
}

// Churn is the changes of owner over the fewest possible.
func (r Result) Churn() float64 {
	if r.Least == 0 {
		return 0
	}
	return float64(r.Moves) / r.Least
}

type life struct {
	settings SimulationSettings
	keys     *Keys
	policy   Policy
	random   *rand.Rand
	servers  []placement.Server
	smoothed []float64
	now      Placement
	changed  bool
	counting bool
	result   Result
}

// Simulate plays a life under a policy.
func Simulate(settings SimulationSettings, policy Policy) Result {
	l := &life{
		settings: settings,
		keys:     NewKeys(settings.Keys),
		policy:   policy,
		random:   rand.New(rand.NewPCG(settings.Seed, 0)),
		changed:  true,
	}
	for id := 1; id <= settings.Servers; id++ {
		l.servers = append(l.servers, l.server(uint64(id), settings.RampUp))
	}
	for second := -warmUpSeconds; second < settings.Seconds; second++ {
		l.counting = second >= 0
		l.step(second)
	}
	l.result.MeanImbalance /= float64(settings.Seconds)
	l.result.ImbalanceOverBound /= float64(settings.Seconds)
	if planned, ok := policy.(*plannedPolicy); ok {
		l.result.PlanTime = planned.planTime / time.Duration(planned.plans)
	}
	return l.result
}

func (l *life) server(id uint64, age time.Duration) placement.Server {
	return placement.Server{ID: id, Capacity: slotsPerServer, Age: age, RampUp: l.settings.RampUp}
}

func (l *life) step(second int) {
	for i := range l.servers {
		l.servers[i].Age += time.Second
	}
	for _, event := range l.settings.Events {
		if event.Second == second {
			l.apply(event)
		}
	}
	loads := l.keys.SlotLoads()
	next := l.policy.Place(l.view(second, loads))
	if l.counting {
		l.countMoves(next)
	}
	l.now = next
	l.changed = false
	l.removeDrained()
	if l.counting {
		l.countImbalance(loads)
	}
}

func (l *life) apply(event Event) {
	slots := float64(l.settings.Keys.Slots)
	l.changed = l.changed || event.Kind != MoveHot
	switch event.Kind {
	case MoveHot:
		l.keys.MoveHot(l.settings.HotKeys)
	case Join, Return:
		l.servers = append(l.servers, l.server(event.Server, 0))
		slices.SortFunc(l.servers, func(a, b placement.Server) int { return cmp.Compare(a.ID, b.ID) })
		l.result.Least += slots / float64(len(l.servers))
	case Drain:
		l.result.Least += slots / float64(len(l.servers))
		for i := range l.servers {
			if l.servers[i].ID == event.Server {
				l.servers[i].Draining = true
			}
		}
	case Lose:
		l.result.Least += slots / float64(len(l.servers))
		l.servers = slices.DeleteFunc(l.servers, func(s placement.Server) bool { return s.ID == event.Server })
	}
}

// view measures the loads with noise and smooths them.
func (l *life) view(second int, loads []float64) *View {
	measured := slices.Clone(loads)
	hottest := l.keys.Hottest(reportedKeys)
	for i := range hottest {
		k := &hottest[i]
		if _, isolated := l.now.Exceptions[k.Key]; isolated {
			measured[placement.SlotOf(service, k.Key, len(loads))] -= k.Load
		}
		k.Load = l.noisy(k.Load)
	}
	if l.smoothed == nil {
		l.smoothed = slices.Clone(measured)
	}
	for i, load := range measured {
		l.smoothed[i] += loadSmoothing * (l.noisy(max(0, load)) - l.smoothed[i])
	}
	return &View{
		Now:     time.Duration(second) * time.Second,
		Servers: l.servers,
		Changed: l.changed,
		Loads:   l.smoothed,
		Hottest: hottest,
		Total:   l.settings.Keys.Total,
	}
}

func (l *life) noisy(load float64) float64 {
	return load * (1 + l.settings.Noise*(2*l.random.Float64()-1))
}

// countMoves compares two placements.
func (l *life) countMoves(next Placement) {
	for slot, owner := range next.Owners {
		l.countMove(l.now.Owners[slot], owner)
	}
	home := func(p Placement, key string) uint64 {
		if owner, ok := p.Exceptions[key]; ok {
			return owner
		}
		return p.Owners[placement.SlotOf(service, key, len(p.Owners))]
	}
	for key := range next.Exceptions {
		l.countMove(home(l.now, key), home(next, key))
	}
	for key := range l.now.Exceptions {
		if _, still := next.Exceptions[key]; !still {
			l.countMove(home(l.now, key), home(next, key))
		}
	}
}

func (l *life) countMove(from, to uint64) {
	if from == to {
		return
	}
	l.result.Moves++
	gap := l.settings.LossGap
	for _, s := range l.servers {
		if s.ID == from {
			gap = l.settings.HandoverGap
		}
	}
	l.result.UnavailableSlotSeconds += gap.Seconds()
}

// removeDrained ends the sessions of draining servers that own nothing.
func (l *life) removeDrained() {
	owns := make(map[uint64]bool, len(l.servers))
	for _, owner := range l.now.Owners {
		owns[owner] = true
	}
	for _, owner := range l.now.Exceptions {
		owns[owner] = true
	}
	l.servers = slices.DeleteFunc(l.servers, func(s placement.Server) bool { return s.Draining && !owns[s.ID] })
}

// countImbalance adds up the true loads of the owners.
func (l *life) countImbalance(loads []float64) {
	carried := make(map[uint64]float64, len(l.servers))
	for slot, load := range loads {
		carried[l.now.Owners[slot]] += load
	}
	for rank, key := range l.keys.names[:reportedKeys] {
		if owner, isolated := l.now.Exceptions[key]; isolated {
			carried[l.now.Owners[l.keys.slots[rank]]] -= l.keys.loads[rank]
			carried[owner] += l.keys.loads[rank]
		}
	}
	mean := l.settings.Keys.Total / float64(len(l.servers))
	var busiest float64
	for _, load := range carried {
		busiest = max(busiest, load)
		if load > overloadFactor*mean {
			l.result.OverloadedServerSeconds++
		}
	}
	l.result.MeanImbalance += busiest / mean
	l.result.WorstImbalance = max(l.result.WorstImbalance, busiest/mean)
	l.result.ImbalanceOverBound += busiest / max(mean, l.keys.loads[0])
}
