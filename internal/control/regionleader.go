package control

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/allowance"
	"github.com/galenalug/galenalug/internal/group"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/ledger"
	"github.com/galenalug/galenalug/ownership"
	"github.com/galenalug/galenalug/placement"
)

// Times of a leader's work.
const (
	tickInterval   = 25 * time.Millisecond  // between looks at what time makes due
	reportInterval = 250 * time.Millisecond // between reports to the global leader
	commitTimeout  = 3 * time.Second        // longest wait for a commit
	maxTickRounds  = 16                     // commits that follow one another without a pause
)

// errNotLeading means that this host does not provably lead the group.
var errNotLeading = errors.New("not the leader")

// leadership is what a leader keeps in memory for one term.
type leadership struct {
	term             uint64
	coordinator      *ownership.Coordinator
	clock            ledger.Clock
	shares           *allowance.Allocator
	lastDemandReport time.Duration // of the last report of demands; 0 for none
	monitor          *healthMonitor
	hotKeys          *hotKeys
}

// regionGroup is this host's member of one region's group, and the leader's work
// when it leads.
type regionGroup struct {
	name     string
	settings ownership.Settings
	planner  ownership.Planner
	balance  bool // whether an even load is favoured over few handovers
	runner   *group.Runner
	state    *regionState
	now      func() time.Duration

	mu   sync.Mutex  // taken before regionState.mu
	lead *leadership // guarded by mu; nil while not leading
}

// leading returns the leadership of the present term. It fails with
// errNotLeading. The caller holds mu.
func (g *regionGroup) currentLeadership() (*leadership, error) {
	if g.lead == nil || !g.runner.Leads() || g.lead.term != g.runner.Status().Node.Term {
		return nil, errNotLeading
	}
	return g.lead, nil
}

// ensureLeadership makes the leader's state once its first entry is applied, and
// drops it when the term is over. From that entry on, commands that were decided in
// an earlier term change nothing, however late they are proposed.
func (g *regionGroup) ensureLeadership(ctx context.Context) bool {
	if !g.runner.Leads() {
		g.setLeadership(nil)
		return false
	}
	term := g.runner.Status().Node.Term
	g.mu.Lock()
	current := g.lead != nil && g.lead.term == term
	g.mu.Unlock()
	if current {
		return true
	}
	if _, err := g.commit(ctx, regionEntry{Term: term, StartsTerm: true}); err != nil {
		return false
	}
	g.setLeadership(g.newLeadership(term))
	log.WithFields(log.Fields{"group": g.name, "term": term}).Info("leading the group")
	return true
}

func (g *regionGroup) setLeadership(lead *leadership) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lead = lead
}

func (g *regionGroup) newLeadership(term uint64) *leadership {
	g.state.mu.RLock()
	defer g.state.mu.RUnlock()
	now := g.now()
	config := allowance.AllocatorConfig{
		Epoch: term,
		Lease: wire.ShareLease,
		Drift: allowance.DefaultDrift,
		Floor: allowance.DefaultFloor,
	}
	return &leadership{
		term:        term,
		coordinator: ownership.NewCoordinator(g.settings, g.planner, now, g.state.ownership),
		clock:       ledger.NewClock(g.state.runs.Now(), now),
		shares:      allowance.NewAllocator(config, now),
		monitor:     newHealthMonitor(g.settings),
		hotKeys:     newHotKeys(g.balance),
	}
}

// tick proposes what time makes due, until nothing is.
func (g *regionGroup) tick(ctx context.Context, homes ownership.Homes) error {
	for range maxTickRounds {
		decided, assessments, err := g.due(homes)
		logAssessments(g.name, assessments)
		if err != nil || len(decided.commands) == 0 {
			return err
		}
		if err := g.propose(ctx, decided); err != nil {
			return err
		}
	}
	return nil
}

// decision is what a leader decided in a term.
type decision struct {
	term     uint64
	commands []ownership.Command
}

// due returns what time makes due, and the changed verdicts for the log.
func (g *regionGroup) due(homes ownership.Homes) (decision, []log.Fields, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	lead, err := g.currentLeadership()
	if err != nil {
		return decision{}, nil, err
	}
	g.state.mu.RLock()
	defer g.state.mu.RUnlock()
	now := g.now()
	assessments := lead.monitor.evaluate(now, g.state.ownership, lead.coordinator)
	lead.hotKeys.plan(now, g.state.ownership, homes, lead.coordinator)
	return decision{lead.term, lead.coordinator.Tick(now, g.state.ownership, homes)}, assessments, nil
}

// propose commits what was decided. It fails with errStaleTerm when another term
// began meanwhile.
func (g *regionGroup) propose(ctx context.Context, decided decision) error {
	result, err := g.commit(ctx, regionEntry{Term: decided.term, Ownership: decided.commands})
	if err != nil {
		return err
	}
	if failure, ok := result.(error); ok {
		return failure
	}
	return nil
}

func (g *regionGroup) commit(ctx context.Context, entry regionEntry) (any, error) {
	data, err := cbor.Marshal(entry)
	if err != nil {
		return nil, errors.Wrap(err, "encode log entry")
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	result, _, err := g.runner.Propose(ctx, data)
	return result, err
}

// heartbeat renews a server's session, and commits what the heartbeat asks for.
func (g *regionGroup) heartbeat(ctx context.Context, heartbeat ownership.Heartbeat) (ownership.RenewalResponse, error) {
	for range 2 {
		response, decided, err := g.renew(heartbeat)
		if err != nil {
			return ownership.RenewalResponse{}, err
		}
		if len(decided.commands) > 0 {
			if err := g.propose(ctx, decided); err != nil {
				return ownership.RenewalResponse{}, err
			}
		}
		if response.Session != 0 || len(decided.commands) == 0 {
			return response, nil
		}
	}
	return ownership.RenewalResponse{}, nil
}

// renew answers a heartbeat. Leadership is proved after the renewal: a later
// leader starts its own count of the lease after that.
func (g *regionGroup) renew(heartbeat ownership.Heartbeat) (ownership.RenewalResponse, decision, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	lead, err := g.currentLeadership()
	if err != nil {
		return ownership.RenewalResponse{}, decision{}, err
	}
	g.state.mu.RLock()
	response, commands := lead.coordinator.Heartbeat(g.now(), g.state.ownership, heartbeat)
	g.state.mu.RUnlock()
	if _, err := g.currentLeadership(); err != nil {
		return ownership.RenewalResponse{}, decision{}, err
	}
	return response, decision{lead.term, commands}, nil
}

// runCommand commits a ledger command and returns its reply.
func (g *regionGroup) runCommand(ctx context.Context, command ledger.Command) (ledger.Reply, error) {
	data, err := command.Encode()
	if err != nil {
		return ledger.Reply{}, err
	}
	result, err := g.commit(ctx, regionEntry{Ledger: [][]byte{data}})
	if err != nil {
		return ledger.Reply{}, err
	}
	reply, ok := result.(ledger.Reply)
	if !ok {
		return ledger.Reply{}, errors.Errorf("unexpected result %T of a ledger command", result)
	}
	return reply, nil
}

// logicalTime returns the leader's logical time for ledger commands.
func (g *regionGroup) logicalTime() (uint64, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	lead, err := g.currentLeadership()
	if err != nil {
		return 0, err
	}
	return lead.clock.At(g.now()), nil
}

// capacities returns the capacity of each service in the region, draining
// servers left out.
func (g *regionGroup) capacities() map[string]capacity {
	g.state.mu.RLock()
	defer g.state.mu.RUnlock()
	all := map[string]capacity{}
	for _, server := range g.state.ownership.Servers() {
		entry := all[server.Service]
		entry.keyed = server.Keyed
		if !server.Draining && !server.Suspended {
			entry.slots += float64(server.Slots)
		}
		all[server.Service] = entry
	}
	return all
}

type capacity struct {
	keyed bool
	slots float64
}

// goalBalance is the setting of a deployment that favours an even load.
const goalBalance = "balance"

// newPlanner returns the planner of a deployment's goal.
func newPlanner(goal string) ownership.Planner {
	settings := placement.DefaultSettings(placement.Availability)
	if goal == goalBalance {
		settings = placement.DefaultSettings(placement.Balance)
	}
	return placement.NewPlanner(settings)
}
