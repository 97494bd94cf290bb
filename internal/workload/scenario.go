package workload

import "time"

// Scenario describes the size of a deployment.
type Scenario struct {
	Name    string
	Servers int
	HotKeys int // number of hottest keys that each ReplaceHotKeys event replaces
	// ServerLoad is the mean load of a server, in requests/s.
	ServerLoad float64
	Keys       float64
}

const (
	hotKeySeconds   = 180 // interval of ReplaceHotKeys events
	rampUp          = 30 * time.Second
	noise           = 0.2
	measuredSeconds = 900
)

// Scenarios returns the sizes of two current deployments and the target size.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "danang27", Servers: 27, HotKeys: 3, ServerLoad: 1000, Keys: 1e6},
		{Name: "botoaria22", Servers: 22, HotKeys: 3, ServerLoad: 1000, Keys: 1e6},
		{Name: "target440", Servers: 440, HotKeys: 28, ServerLoad: 8400, Keys: 360e6},
	}
}

// KeyLimitFraction is the maximum load of one key in simulations with a limit, as a fraction of the
// mean server load.
const KeyLimitFraction = 0.5

// Simulation returns the settings of a simulation with the given key distribution and events. If
// limited is set, no key has more than KeyLimitFraction of the mean server load.
func (s Scenario) Simulation(exponent float64, limited bool, slots int, events []Event, seed uint64) SimulationSettings {
	keys := KeySettings{
		Total:    s.ServerLoad * float64(s.Servers),
		Keys:     s.Keys,
		Exponent: exponent,
		Slots:    slots,
	}
	if limited {
		keys.Limit = KeyLimitFraction * s.ServerLoad
	}
	return SimulationSettings{
		Keys:         keys,
		Servers:      s.Servers,
		Seconds:      measuredSeconds,
		HotKeys:      s.HotKeys,
		Noise:        noise,
		HandoverTime: 50 * time.Millisecond,
		FailoverTime: 900 * time.Millisecond,
		RampUp:       rampUp,
		Events:       events,
		Seed:         seed,
	}
}

// JoinEvents returns the join of one server.
func (s Scenario) JoinEvents() []Event {
	return []Event{{Second: 60, Kind: Join, Server: uint64(s.Servers) + 1}}
}

// DrainEvents returns the draining of one server.
func (s Scenario) DrainEvents() []Event {
	return []Event{{Second: 60, Kind: Drain, Server: 3}}
}

// LossEvents returns the permanent failures of five servers, one after the other.
func (s Scenario) LossEvents() []Event {
	var events []Event
	for i := range 5 {
		events = append(events, Event{Second: 60 + 160*i, Kind: Fail, Server: uint64(5 + 4*i)})
	}
	return events
}

// HotKeyEvents returns a change of the hottest keys every hotKeySeconds.
func (s Scenario) HotKeyEvents() []Event {
	var events []Event
	for second := 60; second < measuredSeconds; second += hotKeySeconds {
		events = append(events, Event{Second: second, Kind: ReplaceHotKeys})
	}
	return events
}

// MixedEvents returns changes of the hottest keys, a join, a drain, two failures and the return of
// one of the failed servers.
func (s Scenario) MixedEvents() []Event {
	events := s.HotKeyEvents()
	return append(events,
		Event{Second: 100, Kind: Join, Server: uint64(s.Servers) + 1},
		Event{Second: 250, Kind: Drain, Server: 3},
		Event{Second: 400, Kind: Fail, Server: 5},
		Event{Second: 500, Kind: Fail, Server: 7},
		Event{Second: 560, Kind: Return, Server: 7},
	)
}

// NoEvents returns no events: only the measured loads vary.
func (s Scenario) NoEvents() []Event {
	return nil
}
