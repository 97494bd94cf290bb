package workload

import "time"

// Scenario names a deployment's size and the life that it is put through.
type Scenario struct {
	Name    string
	Servers int
	HotKeys int // keys that change every HotEvery
	// ServerLoad is the mean load of a server, in requests/s.
	ServerLoad float64
	Keys       float64
}

const (
	hotEvery       = 180 // seconds
	rampUp         = 30 * time.Second
	noise          = 0.2
	defaultSeconds = 900
)

// Scenarios returns the deployments' sizes: those of today and the target.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "danang27", Servers: 27, HotKeys: 3, ServerLoad: 1000, Keys: 1e6},
		{Name: "botoaria22", Servers: 22, HotKeys: 3, ServerLoad: 1000, Keys: 1e6},
		{Name: "target440", Servers: 440, HotKeys: 28, ServerLoad: 8400, Keys: 360e6},
	}
}

// KeyLimitFraction is the most load of one key in lives with a limit, in mean
// server loads.
const KeyLimitFraction = 0.5

// Simulation returns the settings of a life with the given keys and events. With
// limited, no key has more than KeyLimitFraction of a server's mean load.
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
		Keys:        keys,
		Servers:     s.Servers,
		Seconds:     defaultSeconds,
		HotKeys:     s.HotKeys,
		Noise:       noise,
		HandoverGap: 50 * time.Millisecond,
		LossGap:     900 * time.Millisecond,
		RampUp:      rampUp,
		Events:      events,
		Seed:        seed,
	}
}

// JoinEvents is one server joining.
func (s Scenario) JoinEvents() []Event {
	return []Event{{Second: 60, Kind: Join, Server: uint64(s.Servers) + 1}}
}

// DrainEvents is one server draining.
func (s Scenario) DrainEvents() []Event {
	return []Event{{Second: 60, Kind: Drain, Server: 3}}
}

// LossEvents is several servers lost for good, one after the other.
func (s Scenario) LossEvents() []Event {
	var events []Event
	for i := range 5 {
		events = append(events, Event{Second: 60 + 160*i, Kind: Lose, Server: uint64(5 + 4*i)})
	}
	return events
}

// HotKeyEvents is the hottest keys changing every few minutes.
func (s Scenario) HotKeyEvents() []Event {
	var events []Event
	for second := 60; second < defaultSeconds; second += hotEvery {
		events = append(events, Event{Second: second, Kind: MoveHot})
	}
	return events
}

// MixedEvents is all of them together, and a server that freezes and returns.
func (s Scenario) MixedEvents() []Event {
	events := s.HotKeyEvents()
	return append(events,
		Event{Second: 100, Kind: Join, Server: uint64(s.Servers) + 1},
		Event{Second: 250, Kind: Drain, Server: 3},
		Event{Second: 400, Kind: Lose, Server: 5},
		Event{Second: 500, Kind: Lose, Server: 7},
		Event{Second: 560, Kind: Return, Server: 7},
	)
}

// NoEvents is a life in which only the measured loads vary.
func (s Scenario) NoEvents() []Event {
	return nil
}
