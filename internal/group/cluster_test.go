package group

import (
	"context"
	"encoding/binary"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/galenalug/galenalug/replog"
	"github.com/galenalug/galenalug/storage"
	"github.com/pkg/errors"
)

// counter is an Applier that sums the proposed numbers.
type counter struct {
	mu    sync.Mutex // guards the fields below
	sum   uint64
	calls int
}

func (c *counter) Apply(_ uint64, data []byte) any {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sum += binary.LittleEndian.Uint64(data)
	c.calls++
	return c.sum
}

func (c *counter) Snapshot() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return binary.LittleEndian.AppendUint64(nil, c.sum), nil
}

// Freeze implements Freezer.
func (c *counter) Freeze() (func() ([]byte, error), error) {
	data, err := c.Snapshot()
	return func() ([]byte, error) { return data, nil }, err
}

func (c *counter) Restore(_ uint64, data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sum = binary.LittleEndian.Uint64(data)
	return nil
}

func (c *counter) total() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sum
}

func number(n uint64) []byte { return binary.LittleEndian.AppendUint64(nil, n) }

// network delivers messages between runners in one process, by host name.
type network struct {
	mu      sync.Mutex // guards runners and off; not held during calls to a runner
	runners map[string]*Runner
	off     map[string]bool // hosts without power
	observe func(messages []replog.Message)
}

func (n *network) Send(_ string, to replog.Member, messages []replog.Message) {
	if n.observe != nil {
		n.observe(messages)
	}
	n.mu.Lock()
	runner := n.runners[to.Name]
	n.mu.Unlock()
	if runner != nil {
		runner.Deliver(messages)
	}
}

// hostTransport is the Transport of one host. What it sends is lost while the host has no power.
type hostTransport struct {
	net  *network
	host string
}

func (t hostTransport) Send(group string, to replog.Member, messages []replog.Message) {
	t.net.mu.Lock()
	off := t.net.off[t.host]
	t.net.mu.Unlock()
	if !off {
		t.net.Send(group, to, messages)
	}
}

// powerOff cuts a host off in both directions.
func (n *network) powerOff(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.runners[name], n.off[name] = nil, true
}

// powerOn lets a host send again.
func (n *network) powerOn(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.off[name] = false
}

func (n *network) set(name string, runner *Runner) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.runners[name] = runner
}

// cluster is a group of runners in one process.
type cluster struct {
	t               testing.TB
	net             *network
	members         []replog.Member
	runners         map[string]*Runner
	states          map[string]*counter
	dir             string
	snapshotEntries int
	snapshotBytes   int
	voters          *replog.VoterPolicy
	sum             atomic.Uint64 // after the last successful propose

	election, heartbeat time.Duration
}

func newCluster(t testing.TB, names ...string) *cluster {
	c := &cluster{
		t: t, net: &network{runners: map[string]*Runner{}, off: map[string]bool{}}, dir: t.TempDir(),
		runners: map[string]*Runner{}, states: map[string]*counter{}, snapshotEntries: 50,
		// Long enough to avoid spurious elections on a busy machine.
		election: time.Second, heartbeat: 50 * time.Millisecond,
	}
	for i, name := range names {
		c.members = append(c.members, replog.Member{ID: uint64(i + 1), Name: name})
	}
	return c
}

func (c *cluster) startAll() {
	for _, m := range c.members {
		c.start(m.Name, m.ID, c.members, storage.Options{})
	}
}

func (c *cluster) start(name string, id uint64, bootstrap []replog.Member, options storage.Options) *Runner {
	c.t.Helper()
	state := &counter{}
	r, err := Start(Options{
		Name: "test", ID: id, HostName: name, Dir: filepath.Join(c.dir, name, string(rune('a'+id))),
		Bootstrap: bootstrap, Election: c.election, Heartbeat: c.heartbeat,
		SnapshotEntries: c.snapshotEntries, SnapshotBytes: c.snapshotBytes, Seed: 1, Applier: state,
		Transport: hostTransport{c.net, name}, Storage: options, Voters: c.voters,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	c.runners[name], c.states[name] = r, state
	c.net.set(name, r)
	return r
}

// stop stops a runner without a leadership transfer; to the others this looks like a host failure.
func (c *cluster) stop(name string) {
	c.net.set(name, nil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.runners[name].Stop(ctx)
	delete(c.runners, name)
}

func (c *cluster) stopAll() {
	for name := range c.runners {
		c.stop(name)
	}
}

// wait polls until holds returns true. It has no timeout of its own.
func (c *cluster) wait(holds func() bool) {
	c.t.Helper()
	for !holds() {
		if c.t.Context().Err() != nil {
			c.t.Fatal("test ended before the condition held")
		}
		time.Sleep(time.Millisecond)
	}
}

func (c *cluster) leader() *Runner {
	c.t.Helper()
	var leader *Runner
	c.wait(func() bool {
		for _, r := range c.runners {
			if r.Leads() {
				leader = r
			}
		}
		return leader != nil
	})
	return leader
}

// propose proposes n until it is applied, and returns the sum. It tries again on ErrNotLeader, and on
// ErrUnknownOutcome if the next leader shows that the proposal was not applied. Any other error, and any
// sum that does not follow from the previous one, fails the test.
func (c *cluster) propose(n uint64) uint64 {
	c.t.Helper()
	for {
		result, _, err := c.leader().Propose(c.t.Context(), number(n))
		switch {
		case err == nil:
			c.sum.Store(result.(uint64))
			return c.sum.Load()
		case errors.Is(err, ErrUnknownOutcome):
			if sum, applied := c.outcome(n); applied {
				c.sum.Store(sum)
				return sum
			}
		case !errors.Is(err, ErrNotLeader):
			c.t.Fatal(err)
		}
	}
}

// outcome returns the sum at the leader after a proposal of n whose outcome is unknown, and whether the
// proposal was applied. What the leader has not applied after a read barrier will never be.
func (c *cluster) outcome(n uint64) (sum uint64, applied bool) {
	c.t.Helper()
	var leader *Runner
	c.wait(func() bool {
		leader = c.leader()
		return leader.ReadBarrier(c.t.Context()) == nil
	})
	for name, r := range c.runners {
		if r == leader {
			sum = c.states[name].total()
		}
	}
	if previous := c.sum.Load(); sum != previous && sum != previous+n {
		c.t.Fatalf("sum %d after a proposal of %d on top of %d", sum, n, previous)
	}
	return sum, sum != c.sum.Load()
}
