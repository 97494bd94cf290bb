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

// firstAssignmentDelay is how long the global leader waits for missing region reports, and for
// the servers of a new service to register, before it assigns slots their first homes.
const firstAssignmentDelay = 1500 * time.Millisecond

// emptyRegionTimeout is the time for which a region must report that it has no server of a service
// before the service's slots get homes in other regions. An unreachable region sends no reports, so
// it keeps its slots.
const emptyRegionTimeout = time.Second

// globalGroup is this host's member of the global group, with the state that the leader keeps
// in memory.
type globalGroup struct {
	runner  *group.Runner
	state   *globalState
	regions []string
	now     func() time.Duration

	mu          sync.Mutex // acquired before globalState.mu
	term        uint64     // term of the reports; guarded by mu, as are the fields below
	termStart   time.Duration
	reports     map[string]*regionReport
	firstSeen   map[string]time.Duration // by service without homes
	partPlanner *allowance.PartPlanner
}

// regionReport is the last report of a region in the current term.
type regionReport struct {
	receivedAt time.Duration
	capacities map[string]*reportedCapacity
}

type reportedCapacity struct {
	keyed      bool
	slots      float64
	emptySince time.Duration
}

// report records a region's report. It returns errNotLeading if this host does not lead.
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

// update records the capacities of a report. A service missing from the report has no capacity.
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

// resetOnNewTerm discards the reports of earlier terms. The caller holds mu.
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

// tick commits the due home assignments and shifts of allowance parts.
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

// planHomes returns the homes to assign or move. While a current report is missing, it only
// assigns first homes, because the capacity of that region is unknown.
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

// maxHomeMoves limits the concurrent home moves of a service, because the keys of a moving slot
// have no owner for a short time.
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

// pastFirstAssignmentDelay reports whether the servers of a service have had time to register in
// all regions before its slots get their first homes.
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

// maxReportAge is the age above which a report is treated as missing.
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

// missingServices returns the announced services that are not in the catalog.
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
