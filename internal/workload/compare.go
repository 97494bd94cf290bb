package workload

import (
	"fmt"
	"time"

	"github.com/galenalug/galenalug/choice"
	"github.com/galenalug/galenalug/placement"
)

// NamedPolicy makes a fresh policy for each life.
type NamedPolicy struct {
	Name string
	New  func() Policy
}

// Policies returns the baselines, and the planner with each goal.
func Policies() []NamedPolicy {
	planned := func(goal placement.Goal) func() Policy {
		return func() Policy { return Planned(placement.DefaultSettings(goal), true) }
	}
	return []NamedPolicy{
		{"modulo", Modulo},
		{"rendezvous", Rendezvous},
		{"availability", planned(placement.Availability)},
		{"balance", planned(placement.Balance)},
	}
}

// KeyShape is a distribution of load over keys.
type KeyShape struct {
	Name     string
	Exponent float64 // of the Zipf distribution
	Limited  bool    // whether no key exceeds KeyLimitFraction of a server
}

// KeyShapes returns the distributions that policies are compared with. Without
// the limit the hottest key alone exceeds a server, and no placement of whole
// keys can balance it.
func KeyShapes() []KeyShape {
	return []KeyShape{
		{"zipf1.01", 1.01, false},
		{"zipf1.2", 1.2, false},
		{"zipf1.01limited", 1.01, true},
	}
}

// NamedPicker makes a picker for an entry host of a region.
type NamedPicker struct {
	Name string
	New  func(region string) Picker
}

// Pickers returns the baselines and the chooser.
func Pickers() []NamedPicker {
	return []NamedPicker{
		{"random-of-two", func(string) Picker { return NewRandomOfTwo("") }},
		{"local-random-of-two", func(region string) Picker { return NewRandomOfTwo(region) }},
		{"chooser", func(region string) Picker { return choice.New(choice.DefaultSettings(region)) }},
	}
}

// QueueScenario is one run of the queueing model.
type QueueScenario struct {
	Name     string
	Settings QueueSettings
}

// QueueScenarios returns 8 servers and 10 entry hosts in two regions at several loads,
// each without a fault, with one slow server, and with one server after the
// other freezing.
func QueueScenarios(seed uint64) []QueueScenario {
	var queues []QueueScenario
	for _, load := range []float64{0.3, 0.6, 0.8} {
		settings := QueueSettings{
			Hosts: 10, Servers: 8, Capacity: slotsPerServer, Work: 10 * time.Millisecond, Load: load, Requests: 200000,
			SlowFactor: 3, FreezeFor: 2 * time.Second, Deadline: 2 * time.Second,
			RegionTrip: 20 * time.Millisecond, LocalTrip: 1500 * time.Microsecond, Seed: seed,
		}
		slow, freeze := settings, settings
		slow.Slow = 1
		freeze.FreezeEvery = 5 * time.Second
		prefix := fmt.Sprintf("load%.0f/", load*100)
		queues = append(queues,
			QueueScenario{prefix + "none", settings}, QueueScenario{prefix + "slow", slow}, QueueScenario{prefix + "freeze", freeze})
	}
	return queues
}
