package fleet

import (
	"github.com/galenalug/galenalug/internal/clock"
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
	Cold        []keyrange.ColdServer `json:"cold,omitempty"`  // servers that are cold, or may be; only on the leader
}

// Dump returns the host's state for the admin endpoint, encodable as JSON.
func (h *Host) Dump() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	dump := stateDump{
		Dump: trace.Dump{
			Host: h.name, Leads: h.leading != nil, Versions: h.state.appliedVersions.All(), Evacuations: h.state.evacuationTrace.All(), Keys: h.keyEvents.All(),
			Recorded: recordedOwners(h.state.grants()),
		},
		Log:         h.runner.Status(),
		Config:      h.state.config(),
		Subscribers: len(h.subscribers),
	}
	if h.leading != nil {
		snapshot := h.leading.coordinator.Snapshot()
		dump.Table, dump.Owners = &snapshot, tableOwners(snapshot)
		dump.Cold = h.leading.coordinator.ColdServers()
		dump.Holdings = holdings(h.leading.coordinator.Holdings(clock.Now()))
	}
	return dump
}

func holdings(list []keyrange.Holding) []trace.Holding {
	var all []trace.Holding
	for _, h := range list {
		all = append(all, trace.Holding{
			Service: h.Service, From: h.From, To: h.To, Server: h.ServerID, Token: h.Token, LeaseLeftMs: h.LeaseLeft.Milliseconds(),
			LastCall: h.LastCall, WhyNotFree: h.WhyNotFree,
		})
	}
	return all
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
