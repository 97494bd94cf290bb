package control

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/allowance"
	"github.com/galenalug/galenalug/internal/wire"
)

// demandInterval is the time between reports of a region's demands, and between sweeps of
// expired shares.
const demandInterval = time.Second

// limit returns the region's part of a customer's limit for a service. It returns
// allowance.ErrNoPlan or allowance.ErrNotAllowed if there is none.
func (h *Host) limit(g *regionGroup, pair allowance.Pair) (allowance.Limit, error) {
	limit, part, err := h.global.state.limit(pair, g.name, len(h.global.regions))
	if err != nil {
		return limit, err
	}
	fraction := g.state.effectiveFraction(pair, part)
	limit.RequestsPerSecond *= fraction
	limit.Burst *= fraction
	return limit, nil
}

// limit returns a pair's limit over all regions, and a region's part of it.
func (s *globalState) limit(pair allowance.Pair, region string, regions int) (allowance.Limit, allowance.Part, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	limit, err := s.lists.Limit(pair.Customer, pair.Service)
	return limit, s.parts.Part(pair, region, regions), err
}

// totalLimit returns a pair's limit over all regions in requests per second, 0 for none. The
// caller holds mu.
func (s *globalState) totalLimit(pair allowance.Pair) float64 {
	limit, err := s.lists.Limit(pair.Customer, pair.Service)
	if err != nil {
		return 0
	}
	return limit.RequestsPerSecond
}

func (s *regionState) effectiveFraction(pair allowance.Pair, part allowance.Part) float64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.accepted.EffectiveFraction(pair, part)
}

// demands returns the region's demands for allowances, or nil if no report of them is due.
func (h *Host) demands(g *regionGroup) []wire.Share {
	all, ok := g.dueDemands()
	if !ok {
		return nil
	}
	h.global.state.mu.RLock()
	defer h.global.state.mu.RUnlock()
	shares := []wire.Share{}
	for _, d := range allowance.ReportableDemands(all, h.global.state.totalLimit) {
		shares = append(shares, wire.Share{Customer: d.Pair.Customer, Service: d.Pair.Service, Wanted: d.Rate})
	}
	return shares
}

// dueDemands returns the region's demands once per demandInterval, and false in between or if
// this host does not lead.
func (g *regionGroup) dueDemands() ([]allowance.Demand, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	leader, err := g.currentLeadership()
	if err != nil {
		return nil, false
	}
	now := g.now()
	if leader.lastDemandReport != 0 && now-leader.lastDemandReport < demandInterval {
		return nil, false
	}
	leader.lastDemandReport = now
	leader.shares.Sweep(now)
	return leader.shares.Demands(now), true
}

// partsTask applies the lowered parts of allowances that the global log assigns to the region: it
// accepts them in the region's log. Once the shares of the region's entry hosts no longer exceed a
// lowered part, which may take several intervals, it confirms the part to the global group.
func (h *Host) partsTask(ctx context.Context, g *regionGroup) {
	if !g.runner.Leads() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	lowered := h.global.state.loweredParts(g.name)
	if accepts := g.state.unacceptedParts(lowered); len(accepts) > 0 {
		if _, err := g.commit(ctx, regionEntry{Parts: accepts}); err != nil {
			log.WithError(err).WithField("group", g.name).Warn("accepting lowered parts of allowances failed; will retry")
			return
		}
	}
	confirms := h.confirmableParts(g, lowered)
	if len(confirms) == 0 {
		return
	}
	if err := h.confirmParts(ctx, confirms); err != nil {
		log.WithError(err).WithField("group", g.name).Warn("confirming lowered parts of allowances failed; will retry")
	}
}

func (s *globalState) loweredParts(region string) []allowance.LoweredPart {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.parts.LoweredParts(region)
}

func (s *regionState) unacceptedParts(lowered []allowance.LoweredPart) []allowance.AcceptedPart {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var accepts []allowance.AcceptedPart
	for _, l := range lowered {
		if !s.accepted.HasAccepted(l) {
			accepts = append(accepts, l.AcceptedPart())
		}
	}
	return accepts
}

// confirmableParts returns the confirmations of the parts that the region has accepted and that
// the shares of its entry hosts are certain not to exceed.
func (h *Host) confirmableParts(g *regionGroup, lowered []allowance.LoweredPart) []allowance.PartConfirmation {
	g.mu.Lock()
	defer g.mu.Unlock()
	leader, err := g.currentLeadership()
	if err != nil {
		return nil
	}
	var confirms []allowance.PartConfirmation
	for _, l := range lowered {
		limit, err := h.limit(g, l.Pair)
		if err != nil {
			limit.RequestsPerSecond = 0 // hosts may still hold shares of an earlier limit
		}
		if g.state.hasAccepted(l) && leader.shares.WithinLimit(g.now(), l.Pair, limit.RequestsPerSecond) {
			confirms = append(confirms, l.Confirmation(g.name))
		}
	}
	if _, err := g.currentLeadership(); err != nil {
		return nil
	}
	return confirms
}

func (s *regionState) hasAccepted(l allowance.LoweredPart) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.accepted.HasAccepted(l)
}

func (h *Host) confirmParts(ctx context.Context, confirms []allowance.PartConfirmation) error {
	data, err := encodeParts(allowance.PartCommand{Confirmations: confirms})
	if err != nil {
		return err
	}
	_, err = h.proposeTo(ctx, wire.GroupGlobal, data)
	return err
}

func encodeParts(command allowance.PartCommand) ([]byte, error) {
	data, err := cbor.Marshal(globalEntry{Parts: &command})
	return data, errors.Wrap(err, "encode log entry")
}

// planParts commits the due shifts of parts between regions.
func (g *globalGroup) planParts(ctx context.Context) error {
	shifts := g.dueShifts()
	if len(shifts) == 0 {
		return nil
	}
	data, err := encodeParts(allowance.PartCommand{Shifts: shifts})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	_, _, err = g.runner.Propose(ctx, data)
	return err
}

func (g *globalGroup) dueShifts() []allowance.PartShift {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resetOnNewTerm()
	g.state.mu.RLock()
	defer g.state.mu.RUnlock()
	return g.partPlanner.Plan(g.now(), g.state.parts, g.state.totalLimit)
}

// observeDemands records a region's demands. A nil list means that the report omits the demands,
// an empty one that the region has none. The caller holds mu.
func (g *globalGroup) observeDemands(now time.Duration, r wire.RegionReport) {
	if r.Shares == nil {
		return
	}
	demands := make([]allowance.Demand, 0, len(r.Shares))
	for _, s := range r.Shares {
		pair := allowance.Pair{Customer: s.Customer, Service: s.Service}
		demands = append(demands, allowance.Demand{Pair: pair, Rate: s.Wanted})
	}
	g.partPlanner.Report(now, r.Group, demands)
}
