package fleet

import (
	"github.com/galenalug/galenalug/internal/group"
	"github.com/galenalug/galenalug/internal/trace"
	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/routes"
)

// stateDump is the state dump of a control host.
type stateDump struct {
	trace.Dump
	Log         group.Status          `json:"log"`
	Config      routes.Config         `json:"config"`
	Subscribers int                   `json:"subscribers"`     // number of connected gateways
	Table       *keyrange.TableUpdate `json:"table,omitempty"` // only on the leader
}

// Dump returns the host's state for the admin endpoint, encodable as JSON.
func (h *Host) Dump() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	dump := stateDump{
		Dump: trace.Dump{
			Host: h.name, Leads: h.leading != nil, Versions: h.state.appliedVersions.All(), Keys: h.keyEvents.All(),
			Recorded: recordedOwners(h.state.grants()),
		},
		Log:         h.runner.Status(),
		Config:      h.state.config(),
		Subscribers: len(h.subscribers),
	}
	if h.leading != nil {
		snapshot := h.leading.coordinator.Snapshot()
		dump.Table, dump.Owners = &snapshot, tableOwners(snapshot)
	}
	return dump
}

func recordedOwners(granted []keyrange.Assignment) []trace.Owner {
	var owners []trace.Owner
	for _, a := range granted {
		owners = append(owners, trace.Owner{Service: a.Service, From: a.From, To: a.To, Server: a.ServerID})
	}
	return owners
}

func tableOwners(table keyrange.TableUpdate) []trace.Owner {
	var owners []trace.Owner
	for _, o := range table.Owners {
		owners = append(owners, trace.Owner{Service: o.Service, From: o.From, To: o.To, Server: o.ServerID})
	}
	return owners
}
