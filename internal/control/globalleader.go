package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/allowance"
	"github.com/galenalug/galenalug/catalog"
	"github.com/galenalug/galenalug/internal/group"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/placement"
)

// firstAssignmentDelay is how long the global leader waits for all regions' reports before
// it gives slots their first homes without them.
const firstAssignmentDelay = 1500 * time.Millisecond

// emptyRegionTimeout is the time after which a region that says itself that it has
// no server of a service loses its slots.
const emptyRegionTimeout = time.Second

// globalGroup is this host's member of the global group, and the leader's work
// when it leads.
type globalGroup struct {
	runner  *group.Runner
	state   *globalState
	regions []string
	now     func() time.Duration

	mu          sync.Mutex // taken before globalState.mu
	term        uint64     // guarded by mu, as are the fields below; term of the reports
	termStart   time.Duration
	reports     map[string]*regionReport
	firstSeen   map[string]time.Duration // when each service without homes was first seen
	partPlanner *allowance.PartPlanner
}

// regionReport is what a region last reported in this term.
type regionReport struct {
	receivedAt time.Duration
	capacities map[string]*reportedCapacity
}

type reportedCapacity struct {
	keyed      bool
	slots      float64
	emptySince time.Duration
}

// report takes a region's report. It fails with errNotLeading.
func (g *globalGroup) report(r wire.RegionReport) error {
	if !g.runner.Leads() {
		return errNotLeading
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resetOnNewTerm()
	now := g.now()
	last := g.reports[r.Group]
	if last == nil {
		last = &regionReport{capacities: map[string]*reportedCapacity{}}
		g.reports[r.Group] = last
	}
	last.receivedAt = now
	last.update(now, r.Capacities)
	g.observeDemands(now, r)
	return nil
}

// update takes the capacities of a report; a service that it does not name has
// none.
func (r *regionReport) update(now time.Duration, capacities []wire.ServiceCapacity) {
	named := map[string]bool{}
	for _, c := range capacities {
		named[c.Service] = true
		r.set(now, c)
	}
	for service := range r.capacities {
		if !named[service] {
			r.set(now, wire.ServiceCapacity{Service: service, Keyed: r.capacities[service].keyed})
		}
	}
}

func (r *regionReport) set(now time.Duration, c wire.ServiceCapacity) {
	entry := r.capacities[c.Service]
	if entry == nil {
		entry = &reportedCapacity{emptySince: now}
		r.capacities[c.Service] = entry
	}
	if c.Capacity > 0 || entry.slots > 0 {
		entry.emptySince = now
	}
	entry.keyed = c.Keyed
	entry.slots = c.Capacity
}

// resetOnNewTerm forgets the reports of earlier terms. The caller holds mu.
func (g *globalGroup) resetOnNewTerm() {
	term := g.runner.Status().Node.Term
	if g.reports != nil && g.term == term {
		return
	}
	g.term = term
	g.termStart = g.now()
	g.reports = map[string]*regionReport{}
	g.firstSeen = map[string]time.Duration{}
	g.partPlanner = allowance.NewPartPlanner(g.regions)
}

// tick proposes the homes that the regions' reports make due.
func (g *globalGroup) tick(ctx context.Context) error {
	if !g.runner.Leads() {
		return nil
	}
	for _, command := range g.due() {
		if err := g.proposeCatalog(ctx, command); err != nil {
			return err
		}
	}
	return g.planParts(ctx)
}

func (g *globalGroup) due() []catalog.Command {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resetOnNewTerm()
	if len(g.reports) < len(g.regions) && g.now()-g.termStart < firstAssignmentDelay {
		return nil
	}
	g.state.mu.RLock()
	defer g.state.mu.RUnlock()
	var commands []catalog.Command
	for _, name := range g.state.catalog.Names() {
		service := g.state.catalog.Service(name)
		if moves := g.planHomes(service); len(moves) > 0 {
			commands = append(commands, catalog.Command{MoveHomes: &catalog.MoveHomes{Service: name, Moves: moves}})
		}
	}
	return commands
}

// planHomes returns the homes to set or move. While a region's report is missing
// only first homes are set: what it has is not known.
func (g *globalGroup) planHomes(service *catalog.Service) []catalog.HomeMove {
	if len(service.Homes) == 0 || !g.pastFirstAssignmentDelay(service) {
		return nil
	}
	current := g.hasCurrentReports()
	slots := make([]placement.Home, len(service.Homes))
	for i, home := range service.Homes {
		slots[i] = placement.Home{Region: home.Destination()}
	}
	var moves []catalog.HomeMove
	moving := countMoving(service.Homes)
	settings := placement.DefaultHomeSettings()
	settings.ReassignAfter = emptyRegionTimeout
	for _, move := range placement.PlanHomes(slots, g.placementRegions(service.Name), settings) {
		home := service.Homes[move.Slot]
		if home.Region == "" {
			moves = append(moves, catalog.HomeMove{Slot: move.Slot, To: move.To})
			continue
		}
		if current && home.To == "" && moving < maxHomeMoves {
			moving++
			moves = append(moves, catalog.HomeMove{Slot: move.Slot, To: move.To})
		}
	}
	return moves
}

// maxHomeMoves is the number of slots of a service whose homes move at the same
// time: their keys have no owner for a moment.
const maxHomeMoves = 128

func countMoving(homes []catalog.Home) int {
	count := 0
	for _, home := range homes {
		if home.To != "" {
			count++
		}
	}
	return count
}

// pastFirstAssignmentDelay reports whether a service's servers in all regions have had time
// to announce themselves before its slots get their first homes.
func (g *globalGroup) pastFirstAssignmentDelay(service *catalog.Service) bool {
	if service.Homes[0].Region != "" {
		return true
	}
	first, ok := g.firstSeen[service.Name]
	if !ok {
		first = g.now()
		g.firstSeen[service.Name] = first
	}
	return g.now()-first >= firstAssignmentDelay
}

// maxReportAge is the age after which a report says nothing any more.
const maxReportAge = 4 * reportInterval

func (g *globalGroup) hasCurrentReports() bool {
	for _, region := range g.regions {
		report := g.reports[region]
		if report == nil || g.now()-report.receivedAt > maxReportAge {
			return false
		}
	}
	return true
}

func (g *globalGroup) placementRegions(service string) []placement.Region {
	var regions []placement.Region
	for _, name := range g.regions {
		region := placement.Region{Name: name}
		if report := g.reports[name]; report != nil {
			if entry := report.capacities[service]; entry != nil {
				region.Capacity = entry.slots
				region.EmptyFor = g.now() - entry.emptySince
			} else {
				region.EmptyFor = g.now() - g.termStart
			}
		}
		regions = append(regions, region)
	}
	return regions
}

func (g *globalGroup) proposeCatalog(ctx context.Context, command catalog.Command) error {
	data, err := encodeCatalog(command)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	_, _, err = g.runner.Propose(ctx, data)
	return err
}

func encodeCatalog(command catalog.Command) ([]byte, error) {
	data, err := cbor.Marshal(globalEntry{Catalog: &command})
	return data, errors.Wrap(err, "encode log entry")
}

func encodeLists(command allowance.Command) ([]byte, error) {
	lists, err := command.Encode()
	if err != nil {
		return nil, err
	}
	data, err := cbor.Marshal(globalEntry{Lists: lists})
	return data, errors.Wrap(err, "encode log entry")
}

// missingServices returns the services that servers announced and the catalog
// does not have.
func (s *globalState) missingServices(announced map[string]capacity) []string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var missing []string
	for name := range announced {
		if s.catalog.Service(name) == nil {
			missing = append(missing, name)
		}
	}
	slices.Sort(missing)
	return missing
}
