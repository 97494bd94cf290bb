package control

import (
	"context"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/group"
	"github.com/galenalug/galenalug/internal/groupcall"
	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/membership"
	"github.com/galenalug/galenalug/ownership"
	"github.com/galenalug/galenalug/replog"
)

// memberID returns the disk identity of an initial member. It is derived from the names so that
// all initial hosts compute the same membership.
func memberID(groupName, host string) uint64 {
	return xxhash.Sum64String(groupName + "/" + host)
}

func initialMembers(g membership.Group) []replog.Member {
	var members []replog.Member
	for _, host := range g.Replicas() {
		learner := slices.Contains(g.Learners, host)
		members = append(members, replog.Member{ID: memberID(g.Name, host), Name: host, Learner: learner})
	}
	return members
}

// startRunner starts the host's member of a group. An empty data directory gets the initial
// member's identity if bootstrap is set, and a random new identity otherwise.
func (h *Host) startRunner(g membership.Group, bootstrap bool, state group.Applier) (*group.Runner, error) {
	options := group.Options{
		Name:            g.Name,
		HostName:        h.settings.Name,
		Dir:             filepath.Join(h.settings.DataDir, g.Name),
		Election:        clock.Milliseconds(h.settings.RaftElectionMs),
		Heartbeat:       clock.Milliseconds(h.settings.RaftHeartbeatMs),
		SnapshotEntries: h.settings.SnapshotEntries,
		Seed:            rand.Uint64(),
		Applier:         state,
		Transport:       h,
	}
	if bootstrap {
		options.ID = memberID(g.Name, h.settings.Name)
		options.Bootstrap = initialMembers(g)
	} else if !group.HoldsStore(options.Dir) {
		options.ID = rand.Uint64()
	}
	runner, err := group.Start(options)
	return runner, errors.Wrapf(err, "group %s", g.Name)
}

// Start starts the host's groups, listeners and periodic tasks. It returns ErrDataInUse if
// another process has the data directory open.
func (h *Host) Start() error {
	lock, err := lockData(h.settings.DataDir)
	if err != nil {
		return err
	}
	h.lock = lock
	h.connect()
	if err := h.startGroups(); err != nil {
		return err
	}
	if err := h.server.Start(); err != nil {
		return errors.Wrap(err, "peer listener")
	}
	if err := h.startAdmin(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.startTasks(ctx)
	return nil
}

// connect creates the clients for calls to the other control hosts, and the caller on top of them.
func (h *Host) connect() {
	targets := map[string]groupcall.Target{h.settings.Name: &localTarget{host: h}}
	order := []string{h.settings.Name}
	for _, control := range h.settings.Controls {
		if control.Name == h.settings.Name {
			continue
		}
		client := peer.NewClient(peer.ClientOptions{
			Address:      control.Address,
			Self:         h.identity(),
			ExpectedName: control.Name,
			Secret:       h.options.PeerSecret,
			Seed:         rand.Uint64(),
			Dial:         h.options.Dial,
			Metrics:      h.peers,
		})
		h.clients[control.Name] = client
		targets[control.Name] = client
		order = append(order, control.Name)
	}
	h.caller = groupcall.New(targets, order)
}

func (h *Host) startGroups() error {
	for _, g := range h.plan {
		if !slices.Contains(g.Replicas(), h.settings.Name) {
			continue
		}
		if err := h.startGroup(g); err != nil {
			return err
		}
	}
	return nil
}

func (h *Host) startGroup(g membership.Group) error {
	if g.Name == membership.GroupGlobal {
		state := newGlobalState(g.Name)
		runner, err := h.startRunner(g, false, state)
		if err != nil {
			return err
		}
		h.runners[g.Name] = runner
		h.global = &globalGroup{runner: runner, state: state, regions: membership.Regions(h.hosts), now: h.now}
		return nil
	}
	state := newRegionState(g.Name)
	runner, err := h.startRunner(g, false, state)
	if err != nil {
		return err
	}
	h.runners[g.Name] = runner
	h.regions[g.Name] = &regionGroup{
		name: g.Name,
		settings: ownership.Settings{
			Region:      g.Name,
			Lease:       clock.Milliseconds(h.settings.LeaseMs),
			MaxDeadline: clock.Milliseconds(h.settings.MaxDeadlineMs),
			RampUp:      rampUp,
		},
		planner: newPlanner(string(h.settings.Placement)),
		balance: string(h.settings.Placement) == goalBalance,
		runner:  runner,
		state:   state,
		now:     h.now,
	}
	return nil
}

// startTasks starts the periodic tasks of every group. Most of them do nothing unless this host
// leads the group.
func (h *Host) startTasks(ctx context.Context) {
	h.runEvery(ctx, reportInterval, func() { h.globalTask(ctx) })
	for _, g := range h.regions {
		h.runEvery(ctx, tickInterval, func() { h.regionTask(ctx, g) })
		h.runEvery(ctx, reportInterval, func() { h.reportTask(ctx, g) })
		h.runEvery(ctx, tickInterval, func() { h.retireTask(ctx, g) })
		h.runEvery(ctx, transferInterval, func() { h.transferTask(ctx, g) })
		h.runEvery(ctx, reportInterval, func() { h.partsTask(ctx, g) })
	}
	for _, g := range h.plan {
		if _, ok := h.runners[g.Name]; ok {
			h.runEvery(ctx, joinInterval, func() { h.joinTask(ctx, g) })
		}
	}
}

// runEvery calls work once per interval until the context ends.
func (h *Host) runEvery(ctx context.Context, interval time.Duration, work func()) {
	h.done.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				work()
			}
		}
	})
}
