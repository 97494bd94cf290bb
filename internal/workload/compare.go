package workload

import (
	"fmt"
	"time"

	"github.com/galenalug/galenalug/choice"
	"github.com/galenalug/galenalug/placement"
)

// NamedPolicy creates a policy for each simulation.
type NamedPolicy struct {
	Name string
	New  func() Policy
}

// Policies returns the baseline policies, and the planner with each goal.
func Policies() []NamedPolicy {
	planned := func(goal placement.Goal) func() Policy {
		return func() Policy { return PlannerPolicy(placement.DefaultSettings(goal), true) }
	}
	return []NamedPolicy{
		{"modulo", Modulo},
		{"rendezvous", Rendezvous},
		{"availability", planned(placement.Availability)},
		{"balance", planned(placement.Balance)},
	}
}

// KeyShape is a distribution of the load over keys.
type KeyShape struct {
	Name     string
	Exponent float64 // of the Zipf distribution
	Limited  bool    // whether the load of a key is limited to KeyLimitFraction of the mean server load
}

// KeyShapes returns the distributions for which policies are compared. Without the limit, the load of
// the hottest key exceeds that of a server, and no placement of whole keys can balance it.
func KeyShapes() []KeyShape {
	return []KeyShape{
		{"zipf1.01", 1.01, false},
		{"zipf1.2", 1.2, false},
		{"zipf1.01limited", 1.01, true},
	}
}

// NamedPicker creates a picker for an entry host in a region.
type NamedPicker struct {
	Name string
	New  func(region string) Picker
}

// Pickers returns the baseline pickers and the chooser of package choice.
func Pickers() []NamedPicker {
	return []NamedPicker{
		{"random-of-two", func(string) Picker { return NewTwoChoices("") }},
		{"local-random-of-two", func(region string) Picker { return NewTwoChoices(region) }},
		{"chooser", func(region string) Picker { return choice.New(choice.DefaultSettings(region)) }},
	}
}

// QueueScenario is one configuration of the queueing model.
type QueueScenario struct {
	Name     string
	Settings QueueSettings
}

// QueueScenarios returns scenarios of 8 servers and 10 entry hosts in two regions at several
// utilizations: without a fault, with one slow server, and with servers that freeze in turn.
func QueueScenarios(seed uint64) []QueueScenario {
	var scenarios []QueueScenario
	for _, utilization := range []float64{0.3, 0.6, 0.8} {
		settings := QueueSettings{
			Hosts: 10, Servers: 8, Capacity: slotsPerServer, ServiceTime: 10 * time.Millisecond, Utilization: utilization, Requests: 200000,
			SlowFactor: 3, FreezeDuration: 2 * time.Second, Deadline: 2 * time.Second,
			CrossRegionLatency: 20 * time.Millisecond, LocalLatency: 1500 * time.Microsecond, Seed: seed,
		}
		slow, freeze := settings, settings
		slow.SlowServers = 1
		freeze.FreezeInterval = 5 * time.Second
		prefix := fmt.Sprintf("load%.0f/", utilization*100)
		scenarios = append(scenarios,
			QueueScenario{prefix + "none", settings}, QueueScenario{prefix + "slow", slow}, QueueScenario{prefix + "freeze", freeze})
	}
	return scenarios
}
