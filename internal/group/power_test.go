package group

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/galenalug/galenalug/internal/faultfs"
	"github.com/galenalug/galenalug/replog"
	"github.com/galenalug/galenalug/storage"
)

var (
	powerFirst = flag.Uint64("power.first", 1, "first seed of TestRandomLossesOfDisksAndPower")
	powerSeeds = flag.Int("power.seeds", 2, "number of seeds of TestRandomLossesOfDisksAndPower")
)

// firstLaterDisk is the ID of the first disk that replaces a lost one.
const firstLaterDisk = 10

// recoverTimeout is the time after which the group must serve, or bear two further losses, again.
const recoverTimeout = 4 * time.Second

// powerCluster is a group of five on simulated disks, with proposals under way all the time.
type powerCluster struct {
	*cluster
	rng       *rand.Rand
	disks     map[string]*faultfs.FS // by host
	ids       map[string]uint64      // of the disks, by host
	nextID    uint64
	attempted atomic.Uint64
	confirmed atomic.Uint64
	proposals sync.WaitGroup
}

func newPowerCluster(t *testing.T, seed uint64) *powerCluster {
	c := &powerCluster{
		cluster: newCluster(t, "a", "b", "c", "d", "e"), rng: rand.New(rand.NewPCG(seed, 1)),
		disks: map[string]*faultfs.FS{}, ids: map[string]uint64{}, nextID: firstLaterDisk,
	}
	c.election, c.heartbeat, c.snapshotEntries = 200*time.Millisecond, 20*time.Millisecond, 20
	c.voters = &replog.VoterPolicy{Voters: 5, ReplaceAfter: time.Second, RemoveAfter: 2 * time.Second}
	for _, m := range c.members {
		c.disks[m.Name], c.ids[m.Name] = faultfs.New(), m.ID
		c.boot(m.Name)
	}
	return c
}

// boot starts a host on its disk.
func (c *powerCluster) boot(name string) {
	bootstrap := c.members
	if c.ids[name] >= firstLaterDisk {
		bootstrap = nil
	}
	c.net.powerOn(name)
	c.start(name, c.ids[name], bootstrap, storage.Options{FS: c.disks[name], SegmentBytes: 2000})
}

// powerOff cuts the power of hosts at the same moment. What their disks had not synced may be lost.
func (c *powerCluster) powerOff(names []string) {
	for _, name := range names {
		c.net.powerOff(name)
	}
	for _, name := range names {
		c.disks[name] = c.disks[name].Clone()
	}
	for _, name := range names {
		c.stop(name)
		c.disks[name].CrashKeeping(c.rng.IntN(300), func() bool { return c.rng.IntN(2) == 0 })
	}
}

// loseDisk replaces the disk of a host without power by an empty one.
func (c *powerCluster) loseDisk(name string) {
	c.disks[name], c.ids[name] = faultfs.New(), c.nextID
	c.nextID++
}

// names returns the hosts in random order.
func (c *powerCluster) names() []string {
	names := []string{"a", "b", "c", "d", "e"}
	c.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

// propose starts some proposals at the leader, if there is one, without waiting for them.
func (c *powerCluster) propose(ctx context.Context) {
	for _, r := range c.runners {
		if !r.Leads() {
			continue
		}
		for range 1 + c.rng.IntN(8) {
			c.attempted.Add(1)
			c.proposals.Go(func() {
				if _, _, err := r.Propose(ctx, number(1)); err == nil {
					c.confirmed.Add(1)
				}
			})
		}
	}
}

// join asks the leader to add the disks that are no members yet.
func (c *powerCluster) join(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	for _, r := range c.runners {
		if !r.Leads() {
			continue
		}
		for name, id := range c.ids {
			if id >= firstLaterDisk && c.runners[name] != nil {
				_ = r.AddLearner(ctx, name, id) // asked again in the next step
			}
		}
	}
}

// await runs the group until the condition on the leader's view of it holds. An earlier view is not
// used: a voter counts as live for an election timeout after it has been lost.
func (c *powerCluster) await(ctx context.Context, what string, holds func(replog.Status) bool) {
	c.t.Helper()
	started := time.Now()
	for ; ; time.Sleep(5 * time.Millisecond) {
		c.propose(ctx)
		c.join(ctx)
		for _, r := range c.runners {
			if r.Leads() && time.Since(started) > c.election && holds(r.Status().Node) {
				return
			}
		}
		if time.Since(started) > recoverTimeout {
			for name, r := range c.runners {
				c.t.Logf("%s: %+v, failed: %v", name, r.Status().Node, r.Status().Failed)
			}
			c.t.Fatalf("the group still does not %s %s after the last fault", what, recoverTimeout)
		}
	}
}

// awaitWhole runs the group until it bears two losses, and its voters are the disks that exist.
func (c *powerCluster) awaitWhole(ctx context.Context) {
	c.t.Helper()
	c.await(ctx, "bear two losses", func(status replog.Status) bool {
		for _, id := range c.ids {
			if !slices.ContainsFunc(status.Members, func(m replog.MemberStatus) bool { return m.ID == id && m.VotesInOld() && m.Live }) {
				return false
			}
		}
		return status.Quorum() == replog.Quorum{Voters: 5, Live: 5, Margin: 2}
	})
}

// strike injects one fault of those that leave a quorum or all disks.
func (c *powerCluster) strike() string {
	names := c.names()
	switch c.rng.IntN(5) {
	case 0:
		c.powerOff(names)
		for _, name := range names {
			c.boot(name)
		}
		return "all lose power"
	case 1:
		c.powerOff(names)
		c.loseDisk(names[0])
		c.loseDisk(names[1])
		for _, name := range names {
			c.boot(name)
		}
		return "two disks are lost, and all lose power"
	case 2:
		disk := c.disks[names[0]]
		disk.SetFaults(faultfs.Faults{FreeBytes: c.rng.IntN(2000)})
		time.Sleep(time.Duration(c.rng.IntN(300)) * time.Millisecond)
		disk.SetFaults(faultfs.Faults{FreeBytes: -1})
		return "a disk is full for a moment"
	default:
		lost := names[:1+c.rng.IntN(2)]
		c.powerOff(lost)
		for _, name := range lost {
			c.loseDisk(name)
			c.boot(name)
		}
		return fmt.Sprintf("%d disks are lost", len(lost))
	}
}

// runPowerSeeds runs a test on a new cluster for each seed.
func runPowerSeeds(t *testing.T, test func(t *testing.T, ctx context.Context, c *powerCluster)) {
	for seed := range uint64(*powerSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := newPowerCluster(t, *powerFirst+seed)
			ctx, cancel := context.WithCancel(t.Context())
			defer c.proposals.Wait()
			defer c.stopAll()
			defer cancel()
			test(t, ctx, c)
		})
	}
}

// Guards against confirmed entries that are lost, and against a group that does not serve or does not bear
// two lost disks again in time, when disks are lost or full and power goes at any moment of a replacement,
// a snapshot or a change of leader (issue 20).
func TestRandomLossesOfDisksAndPower(t *testing.T) {
	runPowerSeeds(t, func(t *testing.T, ctx context.Context, c *powerCluster) {
		for range 8 {
			c.awaitWhole(ctx)
			for range c.rng.IntN(20) { // the next fault comes at any moment
				c.propose(ctx)
				time.Sleep(time.Duration(c.rng.IntN(5)) * time.Millisecond)
			}
			t.Log(c.strike())
		}
		c.awaitWhole(ctx)
		names := c.names()
		before := c.confirmed.Load()
		c.powerOff(names)
		for _, name := range names[2:] { // the disks of the first two are lost
			c.boot(name)
		}
		c.await(ctx, "serve", func(status replog.Status) bool { return status.Quorum().Margin == 0 })
		sum := c.finalSum()
		if attempted := c.attempted.Load(); sum < before || sum > attempted {
			t.Errorf("sum %d after %d confirmed and %d attempted proposals", sum, before, attempted)
		}
	})
}

// finalSum returns the sum at the leader.
func (c *powerCluster) finalSum() uint64 {
	for name, r := range c.runners {
		if r.Leads() && r.ReadBarrier(c.t.Context()) == nil {
			return c.states[name].total()
		}
	}
	c.t.Error("no leader")
	return 0
}

// fillInTurn fills the disk of each host for a while, in random order and never two at a time. In between
// the leader loses power at times.
func (c *powerCluster) fillInTurn(ctx context.Context) {
	for _, name := range c.names() {
		if leader := c.leaderName(); leader != "" && c.rng.IntN(3) == 0 {
			c.powerOff([]string{leader})
			c.boot(leader)
		}
		disk := c.disks[name]
		disk.SetFaults(faultfs.Faults{FreeBytes: c.rng.IntN(3000)})
		c.proposeFor(ctx, time.Duration(100+c.rng.IntN(1400))*time.Millisecond)
		disk.SetFaults(faultfs.Faults{FreeBytes: -1})
		c.proposeFor(ctx, time.Duration(c.rng.IntN(500))*time.Millisecond)
	}
}

// leaderName returns the host that leads, or an empty text.
func (c *powerCluster) leaderName() string {
	for name, r := range c.runners {
		if r.Leads() {
			return name
		}
	}
	return ""
}

// proposeFor proposes changes for a while.
func (c *powerCluster) proposeFor(ctx context.Context, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		c.propose(ctx)
		c.join(ctx)
	}
}

// Guards against changes that are refused or stay unanswered to the end after the disks of all members were
// full one after the other, though all have room again.
func TestChangesAreAcceptedAfterDisksWereFullInTurn(t *testing.T) {
	runPowerSeeds(t, func(t *testing.T, ctx context.Context, c *powerCluster) {
		for range 2 {
			c.awaitWhole(ctx)
			c.fillInTurn(ctx)
		}
		c.awaitWhole(ctx)
		before := c.confirmed.Load()
		c.await(ctx, "accept changes", func(replog.Status) bool { return c.confirmed.Load() > before+20 })
		if sum, attempted := c.finalSum(), c.attempted.Load(); sum < before || sum > attempted {
			t.Errorf("sum %d after %d confirmed and %d attempted proposals", sum, before, attempted)
		}
	})
}
