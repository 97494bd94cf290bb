package control

import (
	"github.com/galenalug/galenalug/ownership"
)

// hostDump is a state dump of a control host for debugging.
type hostDump struct {
	Status   hostStatus    `json:"status"`
	Services []serviceDump `json:"services"`
	Regions  []regionDump  `json:"regions"`
}

// serviceDump describes a service, with the number of slots by home region.
type serviceDump struct {
	Name   string         `json:"name"`
	Keyed  bool           `json:"keyed"`
	Slots  int            `json:"slots"`
	Homes  map[string]int `json:"homes"`
	Moving int            `json:"moving"`
}

// regionDump describes the ownership state of one region.
type regionDump struct {
	Group         string            `json:"group"`
	Version       uint64            `json:"version"`
	Runs          int               `json:"runs"`
	Servers       []serverDump      `json:"servers"`
	SlotsByStatus map[string][4]int `json:"slots_by_status"` // absent, vacant, owned, releasing
}

// serverDump describes one backend server's session. Lease, term and health are known only at
// the leader; they are zero elsewhere.
type serverDump struct {
	Server      ownership.Server `json:"server"`
	Owned       int              `json:"owned"`
	LeaseMillis int64            `json:"lease_ms"`
	Term        uint64           `json:"term"`
	Health      string           `json:"health,omitempty"`
	Reason      string           `json:"reason,omitempty"`
	Quarantined bool             `json:"quarantined,omitempty"`
}

func (s *globalState) dump() []serviceDump {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var dumps []serviceDump
	for _, name := range s.catalog.Names() {
		service := s.catalog.Service(name)
		dump := serviceDump{Name: name, Keyed: service.Keyed, Slots: len(service.Homes), Homes: map[string]int{}}
		for _, home := range service.Homes {
			dump.Homes[home.Region]++
			if home.To != "" {
				dump.Moving++
			}
		}
		dumps = append(dumps, dump)
	}
	return dumps
}

func (g *regionGroup) dump() regionDump {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.mu.RLock()
	defer g.state.mu.RUnlock()
	dump := regionDump{
		Group:         g.name,
		Version:       g.state.ownership.Version(),
		Runs:          g.state.runs.Len(),
		SlotsByStatus: map[string][4]int{},
	}
	for _, server := range g.state.ownership.Servers() {
		entry := serverDump{Server: server, Owned: g.state.ownership.HeldSlotCount(server.Session)}
		if g.leadership != nil {
			entry.LeaseMillis = g.leadership.coordinator.Remaining(g.now(), server.Session).Milliseconds()
			entry.Term = g.leadership.term
			if assessment, ok := g.leadership.monitor.assessments[server.Session]; ok {
				entry.Health, entry.Reason, entry.Quarantined = assessment.State.String(), assessment.Reason, assessment.Quarantined
			}
		}
		dump.Servers = append(dump.Servers, entry)
	}
	for _, name := range g.state.ownership.ServiceNames() {
		var counts [4]int
		for _, slot := range g.state.ownership.Service(name).Slots {
			counts[slot.Status]++
		}
		dump.SlotsByStatus[name] = counts
	}
	return dump
}
