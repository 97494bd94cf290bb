package workload

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/galenalug/galenalug/placement"
)

// EventKind is the kind of an event.
type EventKind int

// Kinds of events.
const (
	Join           EventKind = iota // a new server starts cold
	Drain                           // a server is removed once it owns nothing
	Fail                            // a server is removed at once
	Return                          // a failed server joins again and starts cold
	ReplaceHotKeys                  // the hottest keys change
)

// Event happens at a second of a simulation. ReplaceHotKeys ignores Server.
type Event struct {
	Second int
	Kind   EventKind
	Server uint64
}

// SimulationSettings describes the simulation of one service.
type SimulationSettings struct {
	Keys         KeySettings
	Servers      int
	Seconds      int           // measured seconds, after the warm-up
	HotKeys      int           // number of keys that ReplaceHotKeys replaces
	Noise        float64       // relative error of each measured load, uniformly distributed
	HandoverTime time.Duration // time without an owner when a live server hands over
	FailoverTime time.Duration // time without an owner when the owner failed
	RampUp       time.Duration
	Events       []Event
	Seed         uint64
}

const (
	// warmUpSeconds is simulated before the first event and without measuring.
	warmUpSeconds = 300
	// reportedKeys is the number of hottest keys in a View.
	reportedKeys = 256
	// smoothingWeight is the weight of the newest load measurement in the moving average.
	smoothingWeight = 0.2
	// overloadFactor times the mean load is the load above which a server counts as overloaded.
	overloadFactor = 1.5
	// slotsPerServer is the number of concurrent requests per server.
	slotsPerServer = 6
)

// Result holds the results of a simulation.
type Result struct {
	// MeanImbalance and WorstImbalance are the mean and the maximum over time of the load of the
	// busiest owner over the mean load.
	MeanImbalance, WorstImbalance float64
	// ImbalanceOverBound is the mean over time of the load of the busiest owner over its lower bound
	// for any placement of whole keys.
	ImbalanceOverBound float64
	Moves              int     // changes of owner of slots and isolated keys
	MinMoves           float64 // fewest moves that joins, returns, drains and failures require, if slots are spread evenly
	// UnavailableSlotSeconds is the time without an owner, summed over slots and isolated keys.
	UnavailableSlotSeconds float64
	// OverloadedServerSeconds is the time above overloadFactor times the mean load, summed over
	// servers.
	OverloadedServerSeconds float64
	PlanTime                time.Duration // mean duration of a planner call
}

// Churn returns the number of moves over MinMoves.
func (r Result) Churn() float64 {
	if r.MinMoves == 0 {
		return 0
	}
	return float64(r.Moves) / r.MinMoves
}

type simulation struct {
	settings  SimulationSettings
	keys      *Keys
	policy    Policy
	random    *rand.Rand
	servers   []placement.Server
	smoothed  []float64 // measured load by slot
	current   Placement
	changed   bool // whether the set of servers changed since the last call of the policy
	measuring bool // whether the warm-up is over
	result    Result
}

// Simulate simulates a service under a policy.
func Simulate(settings SimulationSettings, policy Policy) Result {
	s := &simulation{
		settings: settings,
		keys:     NewKeys(settings.Keys),
		policy:   policy,
		random:   rand.New(rand.NewPCG(settings.Seed, 0)),
		changed:  true,
	}
	for id := 1; id <= settings.Servers; id++ {
		s.servers = append(s.servers, s.server(uint64(id), settings.RampUp))
	}
	for second := -warmUpSeconds; second < settings.Seconds; second++ {
		s.measuring = second >= 0
		s.step(second)
	}
	s.result.MeanImbalance /= float64(settings.Seconds)
	s.result.ImbalanceOverBound /= float64(settings.Seconds)
	if planned, ok := policy.(*plannerPolicy); ok {
		s.result.PlanTime = planned.planTime / time.Duration(planned.plans)
	}
	return s.result
}

func (s *simulation) server(id uint64, age time.Duration) placement.Server {
	return placement.Server{ID: id, Capacity: slotsPerServer, Age: age, RampUp: s.settings.RampUp}
}

func (s *simulation) step(second int) {
	for i := range s.servers {
		s.servers[i].Age += time.Second
	}
	for _, event := range s.settings.Events {
		if event.Second == second {
			s.apply(event)
		}
	}
	loads := s.keys.SlotLoads()
	next := s.policy.Place(s.view(second, loads))
	if s.measuring {
		s.countMoves(next)
	}
	s.current = next
	s.changed = false
	s.removeDrained()
	if s.measuring {
		s.countImbalance(loads)
	}
}

func (s *simulation) apply(event Event) {
	slots := float64(s.settings.Keys.Slots)
	s.changed = s.changed || event.Kind != ReplaceHotKeys
	switch event.Kind {
	case ReplaceHotKeys:
		s.keys.ReplaceHottest(s.settings.HotKeys)
	case Join, Return:
		s.servers = append(s.servers, s.server(event.Server, 0))
		slices.SortFunc(s.servers, func(a, b placement.Server) int { return cmp.Compare(a.ID, b.ID) })
		s.result.MinMoves += slots / float64(len(s.servers))
	case Drain:
		s.result.MinMoves += slots / float64(len(s.servers))
		for i := range s.servers {
			if s.servers[i].ID == event.Server {
				s.servers[i].Draining = true
			}
		}
	case Fail:
		s.result.MinMoves += slots / float64(len(s.servers))
		s.servers = slices.DeleteFunc(s.servers, func(server placement.Server) bool { return server.ID == event.Server })
	}
}

// view returns the input of the policy: measured loads with noise, smoothed per slot.
func (s *simulation) view(second int, loads []float64) *View {
	measured := slices.Clone(loads)
	hottest := s.keys.Hottest(reportedKeys)
	for i := range hottest {
		k := &hottest[i]
		if _, isolated := s.current.Exceptions[k.Key]; isolated {
			measured[placement.SlotOf(service, k.Key, len(loads))] -= k.Load
		}
		k.Load = s.addNoise(k.Load)
	}
	if s.smoothed == nil {
		s.smoothed = slices.Clone(measured)
	}
	for i, load := range measured {
		s.smoothed[i] += smoothingWeight * (s.addNoise(max(0, load)) - s.smoothed[i])
	}
	return &View{
		Now:     time.Duration(second) * time.Second,
		Servers: s.servers,
		Changed: s.changed,
		Loads:   s.smoothed,
		Hottest: hottest,
		Total:   s.settings.Keys.Total,
	}
}

func (s *simulation) addNoise(load float64) float64 {
	return load * (1 + s.settings.Noise*(2*s.random.Float64()-1))
}

// countMoves counts the changes of owner between the current and the next placement.
func (s *simulation) countMoves(next Placement) {
	for slot, owner := range next.Owners {
		s.countMove(s.current.Owners[slot], owner)
	}
	home := func(p Placement, key string) uint64 {
		if owner, ok := p.Exceptions[key]; ok {
			return owner
		}
		return p.Owners[placement.SlotOf(service, key, len(p.Owners))]
	}
	for key := range next.Exceptions {
		s.countMove(home(s.current, key), home(next, key))
	}
	for key := range s.current.Exceptions {
		if _, still := next.Exceptions[key]; !still {
			s.countMove(home(s.current, key), home(next, key))
		}
	}
}

func (s *simulation) countMove(from, to uint64) {
	if from == to {
		return
	}
	s.result.Moves++
	unavailable := s.settings.FailoverTime
	for _, server := range s.servers {
		if server.ID == from {
			unavailable = s.settings.HandoverTime
		}
	}
	s.result.UnavailableSlotSeconds += unavailable.Seconds()
}

// removeDrained removes draining servers that own nothing.
func (s *simulation) removeDrained() {
	owns := make(map[uint64]bool, len(s.servers))
	for _, owner := range s.current.Owners {
		owns[owner] = true
	}
	for _, owner := range s.current.Exceptions {
		owns[owner] = true
	}
	s.servers = slices.DeleteFunc(s.servers, func(server placement.Server) bool { return server.Draining && !owns[server.ID] })
}

// countImbalance adds the imbalance of the actual loads to the result.
func (s *simulation) countImbalance(loads []float64) {
	ownerLoads := make(map[uint64]float64, len(s.servers))
	for slot, load := range loads {
		ownerLoads[s.current.Owners[slot]] += load
	}
	for rank, key := range s.keys.names[:reportedKeys] {
		if owner, isolated := s.current.Exceptions[key]; isolated {
			ownerLoads[s.current.Owners[s.keys.slots[rank]]] -= s.keys.loads[rank]
			ownerLoads[owner] += s.keys.loads[rank]
		}
	}
	mean := s.settings.Keys.Total / float64(len(s.servers))
	var busiest float64
	for _, load := range ownerLoads {
		busiest = max(busiest, load)
		if load > overloadFactor*mean {
			s.result.OverloadedServerSeconds++
		}
	}
	s.result.MeanImbalance += busiest / mean
	s.result.WorstImbalance = max(s.result.WorstImbalance, busiest/mean)
	s.result.ImbalanceOverBound += busiest / max(mean, s.keys.loads[0])
}
