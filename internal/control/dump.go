package control

import (
	"github.com/galenalug/galenalug/ownership"
)

// hostDump is the state of a control host for people.
type hostDump struct {
	Status   hostStatus    `json:"status"`
	Services []serviceDump `json:"services"`
	Regions  []regionDump  `json:"regions"`
}

// serviceDump is a service and how many slots each region is the home of.
type serviceDump struct {
	Name   string         `json:"name"`
	Keyed  bool           `json:"keyed"`
	Slots  int            `json:"slots"`
	Homes  map[string]int `json:"homes"`
	Moving int            `json:"moving"`
}

// regionDump is the ownership state of one region.
type regionDump struct {
	Group         string            `json:"group"`
	Version       uint64            `json:"version"`
	Runs          int               `json:"runs"`
	Servers       []serverDump      `json:"servers"`
	SlotsByStatus map[string][4]int `json:"slots_by_status"` // absent, vacant, owned, releasing
}

// serverDump is one backend server's session.
type serverDump struct {
	Server      ownership.Server `json:"server"`
	Owned       int              `json:"owned"`
	LeaseMillis int64            `json:"lease_ms"` // at the leader; 0 elsewhere
	Term        uint64           `json:"term"`
	Health      string           `json:"health,omitempty"` // at the leader, as are the next two
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
		if g.lead != nil {
			entry.LeaseMillis = g.lead.coordinator.Remaining(g.now(), server.Session).Milliseconds()
			entry.Term = g.lead.term
			if assessment, ok := g.lead.monitor.assessments[server.Session]; ok {
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
