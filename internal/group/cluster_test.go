package group

import (
	"context"
	"encoding/binary"
	"path/filepath"
	"sync"
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
	mu      sync.Mutex // guards runners; not held during calls to a runner
	runners map[string]*Runner
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

	election, heartbeat time.Duration
}

func newCluster(t testing.TB, names ...string) *cluster {
	c := &cluster{
		t: t, net: &network{runners: map[string]*Runner{}}, dir: t.TempDir(),
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
		SnapshotEntries: c.snapshotEntries, Seed: 1, Applier: state, Transport: c.net, Storage: options,
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

// propose proposes n, retrying on ErrNotLeader, until it is applied. Any other error fails the
// test.
func (c *cluster) propose(n uint64) uint64 {
	c.t.Helper()
	for {
		result, _, err := c.leader().Propose(c.t.Context(), number(n))
		if err == nil {
			return result.(uint64)
		}
		if !errors.Is(err, ErrNotLeader) {
			c.t.Fatal(err)
		}
	}
}
