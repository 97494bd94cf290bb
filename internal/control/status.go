package control

import (
	"fmt"

	"github.com/galenalug/galenalug/internal/group"
	"github.com/galenalug/galenalug/ownership"
	"github.com/galenalug/galenalug/replog"
)

// hostStatus is the response to a status request.
type hostStatus struct {
	Host              string          `json:"host"`
	PlansVersion      uint64          `json:"plans_version"`
	AllowancesVersion uint64          `json:"allowances_version"`
	Groups            []groupStatus   `json:"groups"`
	Servers           []serverStatus  `json:"servers"`
	Withheld          []withheldSlots `json:"withheld"`
}

// groupStatus describes this host's member of one group.
type groupStatus struct {
	Group   string         `json:"group"`
	Leader  string         `json:"leader"` // name of the leader, empty if unknown
	Leads   bool           `json:"leads"`  // whether this host is the confirmed leader
	Role    string         `json:"role"`
	Term    uint64         `json:"term"`
	Commit  uint64         `json:"commit"`
	Applied uint64         `json:"applied"`
	Version uint64         `json:"version"`          // of the group's table
	Failed  string         `json:"failed,omitempty"` // disk error that stopped this member
	Members []memberStatus `json:"members"`
}

// memberStatus describes one group member as known to this host. Live and Behind are set only at
// the leader.
type memberStatus struct {
	Name    string `json:"name"`
	Disk    string `json:"disk"`    // identity of the disk
	Learner bool   `json:"learner"` // not part of the quorum yet
	Live    bool   `json:"live"`
	Behind  uint64 `json:"behind"` // log entries missing
}

// serverStatus describes one backend server's session.
type serverStatus struct {
	Group       string `json:"group"`
	Service     string `json:"service"`
	Name        string `json:"name"`
	Address     string `json:"address"`
	Domain      string `json:"domain"`
	Session     uint64 `json:"session"`
	Fencing     bool   `json:"fencing"`
	Draining    bool   `json:"draining"`
	Suspended   bool   `json:"suspended"` // its lease has expired; entry hosts do not send to it
	Owned       int    `json:"owned_slots"`
	LeaseMillis int64  `json:"lease_ms"` // at the leader; 0 elsewhere
}

// withheldSlots is the number of slots of a service that no server may serve at present.
type withheldSlots struct {
	Group   string `json:"group"`
	Service string `json:"service"`
	Slots   int    `json:"slots"`
}

func (h *Host) status() hostStatus {
	status := hostStatus{Host: h.settings.Name, Servers: []serverStatus{}, Withheld: []withheldSlots{}}
	h.global.state.mu.RLock()
	status.PlansVersion = h.global.state.lists.Plans().Version
	status.AllowancesVersion = h.global.state.lists.Allowances().Version
	h.global.state.mu.RUnlock()
	for _, g := range h.plan {
		runner, ok := h.runners[g.Name]
		if !ok {
			continue
		}
		status.Groups = append(status.Groups, h.groupStatus(runner))
		if region, ok := h.regions[g.Name]; ok {
			region.addStatus(&status)
		}
	}
	return status
}

func (h *Host) groupStatus(runner *group.Runner) groupStatus {
	member := runner.Status()
	status := groupStatus{
		Group:   member.Group,
		Leader:  runner.Leader(),
		Leads:   runner.Leads(),
		Role:    fmt.Sprint(member.Node.Role),
		Term:    member.Node.Term,
		Commit:  member.Node.Commit,
		Applied: member.Node.Applied,
		Version: h.tableVersion(member.Group),
	}
	if member.Failed != nil {
		status.Failed = member.Failed.Error()
	}
	for _, m := range member.Node.Members {
		entry := memberStatus{Name: m.Name, Disk: fmt.Sprintf("%016x", m.ID), Learner: m.Learner}
		if member.Node.Role == replog.Leader {
			self := m.ID == member.Node.ID
			entry.Live = m.Live || self
			if !self {
				entry.Behind = member.Node.Last - min(m.Match, member.Node.Last)
			}
		}
		status.Members = append(status.Members, entry)
	}
	return status
}

func (h *Host) tableVersion(groupName string) uint64 {
	if g, ok := h.regions[groupName]; ok {
		return g.version()
	}
	h.global.state.mu.RLock()
	defer h.global.state.mu.RUnlock()
	return h.global.state.catalog.Version()
}

// addStatus adds the region's servers, and the numbers of slots that none of them may serve.
func (g *regionGroup) addStatus(status *hostStatus) {
	dump := g.dump()
	for _, server := range dump.Servers {
		s := server.Server
		status.Servers = append(status.Servers, serverStatus{
			Group: g.name, Service: s.Service, Name: s.Name, Address: s.Address, Domain: s.Domain,
			Session: s.Session, Fencing: s.Fencing, Draining: s.Draining, Suspended: s.Suspended,
			Owned: server.Owned, LeaseMillis: server.LeaseMillis,
		})
	}
	for service, counts := range dump.SlotsByStatus {
		if slots := counts[ownership.Vacant] + counts[ownership.Releasing]; slots > 0 {
			status.Withheld = append(status.Withheld, withheldSlots{Group: g.name, Service: service, Slots: slots})
		}
	}
}

// Dump returns a state dump of the host to be encoded as JSON.
func (h *Host) Dump() any {
	dump := hostDump{Status: h.status(), Services: h.global.state.dump()}
	for _, g := range h.plan {
		if region, ok := h.regions[g.Name]; ok {
			dump.Regions = append(dump.Regions, region.dump())
		}
	}
	return dump
}
