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

// Times of calls between groups.
const (
	reportTimeout = time.Second            // longest wait for the global leader
	joinInterval  = 500 * time.Millisecond // between a new disk's requests to be admitted
	joinTimeout   = 30 * time.Second       // longest wait for an admission
)

// reportWork tells the global leader what the region has, and of services and
// slots that the global state has yet to follow.
func (h *Host) reportWork(ctx context.Context, g *regionGroup) {
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

// retireWork follows moves of homes away from the region.
func (h *Host) retireWork(ctx context.Context, g *regionGroup) {
	if !g.runner.Leads() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	h.confirmRetired(ctx, g)
}

func (h *Host) sendReport(ctx context.Context, g *regionGroup, capacities map[string]capacity) error {
	report := wire.RegionReport{Group: g.name, Term: g.runner.Status().Node.Term}
	for name, c := range capacities {
		report.Capacities = append(report.Capacities, wire.ServiceCapacity{Service: name, Keyed: c.keyed, Capacity: c.slots})
	}
	var reply wire.ReportReply
	return h.caller.Call(ctx, wire.GroupGlobal, wire.KindReport, report, &reply)
}

// addServices adds announced services to the catalog.
func (h *Host) addServices(ctx context.Context, capacities map[string]capacity) {
	for _, name := range h.global.state.missingServices(capacities) {
		add := catalog.AddService{Name: name, Keyed: capacities[name].keyed, Slots: h.settings.SlotsPerService}
		h.proposeGlobal(ctx, catalog.Command{AddService: &add})
	}
}

func (h *Host) proposeGlobal(ctx context.Context, command catalog.Command) {
	data, err := encodeCatalog(command)
	if err != nil {
		log.WithError(err).Error("encode catalog command")
		return
	}
	if _, err := h.proposeTo(ctx, wire.GroupGlobal, data); err != nil {
		log.WithError(err).Warn("proposal to the global group failed")
	}
}

// proposeTo commits a command in a group, wherever its leader stands.
func (h *Host) proposeTo(ctx context.Context, groupName string, data []byte) (wire.ProposalReply, error) {
	var reply wire.ProposalReply
	err := h.caller.Call(ctx, groupName, wire.KindPropose, wire.Proposal{Group: groupName, Command: data}, &reply)
	return reply, err
}

// confirmRetired hands the run records of slots that the region has given up to
// their next homes, and then tells the global group.
func (h *Host) confirmRetired(ctx context.Context, g *regionGroup) {
	homes := h.global.state.homes()
	for _, name := range homes.Names() {
		slots, generations := g.retiredSlots(name, homes.Of(name))
		if len(slots) == 0 {
			continue
		}
		if err := h.moveRuns(ctx, g, name, slots, homes.Of(name)); err != nil {
			log.WithError(err).WithField("service", name).Warn("run records not moved; the move is tried again")
			continue
		}
		retired := catalog.Retired{Service: name, Region: g.name, Slots: slots, Generations: generations}
		h.proposeGlobal(ctx, catalog.Command{Retired: &retired})
	}
}

func (g *regionGroup) retiredSlots(service string, homes []ownership.Home) ([]int, []uint64) {
	g.state.mu.RLock()
	defer g.state.mu.RUnlock()
	return g.state.owner.RetiredSlots(g.name, service, homes)
}

// maxMoveBytes bounds the run records in one proposal.
const maxMoveBytes = 1 << 20

// moveRuns copies retired slots' run records to the groups of their next homes,
// many slots in one proposal.
func (h *Host) moveRuns(ctx context.Context, g *regionGroup, service string, slots []int, homes []ownership.Home) error {
	batches := map[string]*regionEntry{}
	sizes := map[string]int{}
	for _, slot := range slots {
		part, err := g.sealedPart(service, slot, homes[slot].Generation)
		if err != nil {
			return err
		}
		if part == nil {
			continue
		}
		command, err := ledger.Command{Adopt: &ledger.Adopt{Part: *part}}.Encode()
		if err != nil {
			return err
		}
		to := homes[slot].To
		if batches[to] != nil && sizes[to]+len(command) > maxMoveBytes {
			if err := h.proposeRuns(ctx, to, *batches[to]); err != nil {
				return err
			}
			batches[to], sizes[to] = nil, 0
		}
		if batches[to] == nil {
			batches[to] = &regionEntry{}
		}
		batches[to].Ledger = append(batches[to].Ledger, command)
		sizes[to] += len(command)
	}
	for to, batch := range batches {
		if batch == nil {
			continue
		}
		if err := h.proposeRuns(ctx, to, *batch); err != nil {
			return err
		}
	}
	return nil
}

func (h *Host) proposeRuns(ctx context.Context, to string, entry regionEntry) error {
	data, err := cbor.Marshal(entry)
	if err != nil {
		return errors.Wrap(err, "encode log entry")
	}
	_, err = h.proposeTo(ctx, to, data)
	return err
}

// sealedPart returns the records of a retired slot, nil for a slot that the
// region never adopted.
func (g *regionGroup) sealedPart(service string, slot int, generation uint64) (*ledger.Part, error) {
	g.state.mu.RLock()
	defer g.state.mu.RUnlock()
	if state := g.state.runs.Slot(service, slot); !state.Sealed || state.Move != generation {
		return nil, nil
	}
	part, err := g.state.runs.Extract(service, slot)
	return &part, err
}

// joinWork asks for the admission of a disk that is not a member yet.
func (h *Host) joinWork(ctx context.Context, g membership.Group) {
	status := h.runners[g.Name].Status()
	if status.Failed != nil || h.admitted(g, status.Node) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	join := wire.Join{Group: g.Name, Name: h.settings.Name, ID: status.Node.ID}
	var reply wire.ProposalReply
	if err := h.caller.Call(ctx, g.Name, wire.KindJoin, join, &reply); err != nil {
		log.WithError(err).WithField("group", g.Name).Warn("new disk not admitted yet")
	}
}

// admitted reports whether this host's disk is the member that the plan wants.
func (h *Host) admitted(g membership.Group, status replog.Status) bool {
	planned := slices.Contains(g.Learners, h.settings.Name)
	for _, member := range status.Members {
		if member.ID == status.ID && (planned || !member.Learner) {
			return true
		}
	}
	return false
}
