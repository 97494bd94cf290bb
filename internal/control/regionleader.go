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

// Intervals and limits of a region leader's tasks.
const (
	tickInterval   = 25 * time.Millisecond  // between checks for due commands
	reportInterval = 250 * time.Millisecond // between runs of slower tasks, such as reports
	commitTimeout  = 3 * time.Second        // of one commit
	maxTickRounds  = 16                     // consecutive commits in one tick
)

// errNotLeading means that this host is not the confirmed leader of the group.
var errNotLeading = errors.New("not the leader")

// leadership is the state that a region leader keeps in memory for one term.
type leadership struct {
	term             uint64
	coordinator      *ownership.Coordinator
	clock            ledger.Clock
	shares           *allowance.Allocator
	lastDemandReport time.Duration // 0 if there was none
	monitor          *healthMonitor
	hotKeys          *hotKeys
}

// regionGroup is this host's member of one region's group, with the state that the leader keeps
// in memory.
type regionGroup struct {
	name     string
	settings ownership.Settings
	planner  ownership.Planner
	balance  bool // prefer an even load over fewer handovers
	runner   *group.Runner
	state    *regionState
	now      func() time.Duration

	mu         sync.Mutex  // acquired before regionState.mu and globalState.mu
	leadership *leadership // guarded by mu; nil while not leading
}

// currentLeadership returns the leader state of the current term, or errNotLeading. The caller
// holds mu.
func (g *regionGroup) currentLeadership() (*leadership, error) {
	if g.leadership == nil || !g.runner.Leads() || g.leadership.term != g.runner.Status().Node.Term {
		return nil, errNotLeading
	}
	return g.leadership, nil
}

// ensureLeadership reports whether this host leads the group. It creates the leader state once
// the first entry of the term is applied, and discards it when the term is over. Once that first
// entry is applied, ownership commands decided in an earlier term are rejected, however late they
// are proposed.
func (g *regionGroup) ensureLeadership(ctx context.Context) bool {
	if !g.runner.Leads() {
		g.setLeadership(nil)
		return false
	}
	term := g.runner.Status().Node.Term
	g.mu.Lock()
	current := g.leadership != nil && g.leadership.term == term
	g.mu.Unlock()
	if current {
		return true
	}
	if _, err := g.commit(ctx, regionEntry{Term: term, StartsTerm: true}); err != nil {
		return false
	}
	g.setLeadership(g.newLeadership(term))
	log.WithFields(log.Fields{"group": g.name, "term": term}).Info("became leader of the group")
	return true
}

func (g *regionGroup) setLeadership(leader *leadership) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leadership = leader
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

// tick commits due ownership commands until none is left, for at most maxTickRounds commits.
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

// decision is a list of ownership commands with the term in which they were decided.
type decision struct {
	term     uint64
	commands []ownership.Command
}

// due returns the commands that are due, and the changed health assessments to be logged.
func (g *regionGroup) due(homes ownership.Homes) (decision, []log.Fields, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	leader, err := g.currentLeadership()
	if err != nil {
		return decision{}, nil, err
	}
	g.state.mu.RLock()
	defer g.state.mu.RUnlock()
	now := g.now()
	assessments := leader.monitor.evaluate(now, g.state.ownership, leader.coordinator)
	leader.hotKeys.plan(now, g.state.ownership, homes, leader.coordinator)
	return decision{leader.term, leader.coordinator.Tick(now, g.state.ownership, homes)}, assessments, nil
}

// propose commits a decision. It returns errStaleTerm if a new term has begun since.
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

// heartbeat renews a server's session and commits the commands that follow from the heartbeat.
// The second pass renews the session that the first one registered.
func (g *regionGroup) heartbeat(ctx context.Context, heartbeat ownership.Heartbeat) (ownership.RenewalReply, error) {
	for range 2 {
		reply, decided, err := g.renew(heartbeat)
		if err != nil {
			return ownership.RenewalReply{}, err
		}
		if len(decided.commands) > 0 {
			if err := g.propose(ctx, decided); err != nil {
				return ownership.RenewalReply{}, err
			}
		}
		if reply.Session != 0 || len(decided.commands) == 0 {
			return reply, nil
		}
	}
	return ownership.RenewalReply{}, nil
}

// renew processes a heartbeat. It checks leadership again after the renewal. If this host still
// leads, the term of any later leader starts after the renewal. A new leader treats all sessions as
// renewed at the start of its term, so it cannot end the session before the renewed lease expires.
func (g *regionGroup) renew(heartbeat ownership.Heartbeat) (ownership.RenewalReply, decision, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	leader, err := g.currentLeadership()
	if err != nil {
		return ownership.RenewalReply{}, decision{}, err
	}
	g.state.mu.RLock()
	reply, commands := leader.coordinator.Heartbeat(g.now(), g.state.ownership, heartbeat)
	g.state.mu.RUnlock()
	if _, err := g.currentLeadership(); err != nil {
		return ownership.RenewalReply{}, decision{}, err
	}
	return reply, decision{leader.term, commands}, nil
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

// logicalTime returns the leader's current logical time for ledger commands.
func (g *regionGroup) logicalTime() (uint64, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	leader, err := g.currentLeadership()
	if err != nil {
		return 0, err
	}
	return leader.clock.At(g.now()), nil
}

// capacities returns the capacity of each service in the region. Draining and suspended servers
// do not count.
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

// goalBalance is the placement setting that prefers an even load over fewer handovers.
const goalBalance = "balance"

// newPlanner returns the planner for a placement setting.
func newPlanner(goal string) ownership.Planner {
	settings := placement.DefaultSettings(placement.Availability)
	if goal == goalBalance {
		settings = placement.DefaultSettings(placement.Balance)
	}
	return placement.NewPlanner(settings)
}
