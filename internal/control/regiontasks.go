package control

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/catalog"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/ledger"
	"github.com/galenalug/galenalug/membership"
	"github.com/galenalug/galenalug/ownership"
	"github.com/galenalug/galenalug/replog"
)

// Intervals and timeouts of the tasks below.
const (
	reportTimeout    = time.Second            // of a report to the global leader
	transferInterval = time.Second            // between checks for leaders outside their region
	joinInterval     = 500 * time.Millisecond // between admission requests of a new disk
	joinTimeout      = 30 * time.Second       // of one admission request
)

// reportTask reports the region's capacities and demands to the global leader, and adds newly
// announced services to the catalog.
func (h *Host) reportTask(ctx context.Context, g *regionGroup) {
	if !g.runner.Leads() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	capacities := g.capacities()
	if err := h.sendReport(ctx, g, capacities); err != nil {
		log.WithError(err).WithField("group", g.name).Debug("report to the global leader failed")
		return
	}
	h.addServices(ctx, capacities)
}

// retireTask completes the moves of slots whose home was moved away from the region.
func (h *Host) retireTask(ctx context.Context, g *regionGroup) {
	if !g.runner.Leads() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	h.completeHomeMoves(ctx, g)
}

func (h *Host) sendReport(ctx context.Context, g *regionGroup, capacities map[string]capacity) error {
	report := wire.RegionReport{Group: g.name, Term: g.runner.Status().Node.Term}
	for name, c := range capacities {
		report.Capacities = append(report.Capacities, wire.ServiceCapacity{Service: name, Keyed: c.keyed, Capacity: c.slots})
	}
	report.Shares = h.demands(g)
	var reply wire.ReportReply
	return h.caller.Call(ctx, wire.GroupGlobal, wire.KindReport, report, &reply)
}

// addServices adds announced services that are missing from the catalog.
func (h *Host) addServices(ctx context.Context, capacities map[string]capacity) {
	for _, name := range h.global.state.missingServices(capacities) {
		add := catalog.AddService{Name: name, Keyed: capacities[name].keyed, Slots: h.settings.SlotsPerService}
		h.proposeGlobal(ctx, catalog.Command{AddService: &add})
	}
}

func (h *Host) proposeGlobal(ctx context.Context, command catalog.Command) {
	data, err := encodeCatalog(command)
	if err != nil {
		log.WithError(err).Error("cannot encode catalog command")
		return
	}
	if _, err := h.proposeTo(ctx, wire.GroupGlobal, data); err != nil {
		log.WithError(err).Warn("proposal to the global group failed")
	}
}

// proposeTo commits a command in a group by calling the group's leader on any host.
func (h *Host) proposeTo(ctx context.Context, groupName string, data []byte) (wire.ProposalReply, error) {
	var reply wire.ProposalReply
	err := h.caller.Call(ctx, groupName, wire.KindPropose, wire.Proposal{Group: groupName, Command: data}, &reply)
	return reply, err
}

// completeHomeMoves moves the run records of slots that the region has given up to their new
// homes, and then confirms the moves to the global group.
func (h *Host) completeHomeMoves(ctx context.Context, g *regionGroup) {
	homes := h.global.state.homes()
	for _, name := range homes.ServiceNames() {
		slots, generations := g.retiredSlots(name, homes.Of(name))
		if len(slots) == 0 {
			continue
		}
		move := runMove{group: g.name, service: name, state: g.state, propose: h.proposeRuns}
		if err := move.move(ctx, slots, homes.Of(name)); err != nil {
			log.WithError(err).WithField("service", name).Warn("moving run records failed; will retry")
			continue
		}
		retired := catalog.Retired{Service: name, Region: g.name, Slots: slots, Generations: generations}
		h.proposeGlobal(ctx, catalog.Command{Retired: &retired})
	}
}

func (g *regionGroup) retiredSlots(service string, homes []ownership.Home) ([]int, []uint64) {
	g.state.mu.RLock()
	defer g.state.mu.RUnlock()
	return g.state.ownership.RetiredSlots(g.name, service, homes)
}

// proposeRuns commits ledger commands in a group by calling its leader. It returns an error if a
// command is refused.
func (h *Host) proposeRuns(ctx context.Context, to string, commands [][]byte) error {
	data, err := cbor.Marshal(regionEntry{Ledger: commands})
	if err != nil {
		return errors.Wrap(err, "encode log entry")
	}
	reply, err := h.proposeTo(ctx, to, data)
	if err != nil {
		return err
	}
	var result ledger.Reply
	if err := cbor.Unmarshal(reply.Result, &result); err != nil {
		return errors.Wrap(err, "decode result")
	}
	return result.Err()
}

// transferTask transfers the leadership of a region's group from a witness in another region to a
// host of the region itself, where the quorum is nearby and unaffected by a network partition
// between regions.
func (h *Host) transferTask(ctx context.Context, g *regionGroup) {
	if !g.runner.Leads() || h.groupOf(h.region()) == g.name {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if err := g.runner.TransferLeadership(ctx, h.hostsIn(g.name)); err != nil {
		log.WithError(err).WithField("group", g.name).Warn("leadership transfer to a host of the region failed")
	}
}

func (h *Host) region() string {
	for _, host := range h.hosts {
		if host.Name == h.settings.Name {
			return host.Region
		}
	}
	return ""
}

// hostsIn returns the names of the control hosts in a region.
func (h *Host) hostsIn(region string) []string {
	var names []string
	for _, host := range h.hosts {
		if host.Region == region {
			names = append(names, host.Name)
		}
	}
	return names
}

// joinTask asks the group's leader to admit this host's disk if it is not a member yet.
func (h *Host) joinTask(ctx context.Context, g membership.Group) {
	status := h.runners[g.Name].Status()
	if status.Failed != nil || h.admitted(g, status.Node) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	join := wire.Join{Group: g.Name, Name: h.settings.Name, ID: status.Node.ID}
	var reply wire.ProposalReply
	if err := h.caller.Call(ctx, g.Name, wire.KindJoin, join, &reply); err != nil {
		log.WithError(err).WithField("group", g.Name).Warn("admission of the new disk failed; will retry")
	}
}

// admitted reports whether this host's disk is a member with the role that the plan assigns: a
// voter, unless the host is a planned learner.
func (h *Host) admitted(g membership.Group, status replog.Status) bool {
	planned := slices.Contains(g.Learners, h.settings.Name)
	for _, member := range status.Members {
		if member.ID == status.ID && (planned || !member.Learner) {
			return true
		}
	}
	return false
}
