package group

import (
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/galenalug/galenalug/internal/faultfs"
	"github.com/galenalug/galenalug/replog"
	"github.com/galenalug/galenalug/storage"
	"github.com/pkg/errors"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestProposeRestartAndReplace(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	defer c.stopAll()
	c.startAll()
	for i := uint64(1); i <= 300; i++ {
		if got := c.propose(1); got != i {
			t.Fatalf("proposal %d: sum %d, want %d", i, got, i)
		}
	}
	// Restart all members, which recover from snapshot and log.
	c.stopAll()
	c.startAll()
	if got := c.propose(1); got != 301 {
		t.Fatalf("sum after the restart: %d, want 301", got)
	}
	if err := c.leader().ReadBarrier(t.Context()); err != nil {
		t.Fatal(err)
	}
	// A follower fails with its disk and is replaced by a new disk; then another host fails.
	lost := c.follower()
	c.stop(lost)
	c.start(lost, 9, nil, storage.Options{})
	if err := c.leader().Replace(t.Context(), lost, 9); err != nil {
		t.Fatal(err)
	}
	second := ""
	for name := range c.runners {
		if name != lost {
			second = name
		}
	}
	c.stop(second)
	if got := c.propose(1); got != 302 {
		t.Fatalf("sum after the second failure: %d, want 302", got)
	}
	c.wait(func() bool { return c.states[lost].total() == 302 })
}

// follower returns the host name of a member that is not the leader.
func (c *cluster) follower() string {
	leader := c.leader()
	for name, r := range c.runners {
		if r != leader {
			return name
		}
	}
	return ""
}

func TestStopTransfersLeadership(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	defer c.stopAll()
	var transferred atomic.Bool // a TimeoutNow message was sent
	c.net.observe = func(messages []replog.Message) {
		if slices.ContainsFunc(messages, func(m replog.Message) bool { return m.Kind == replog.KindTimeoutNow }) {
			transferred.Store(true)
		}
	}
	c.startAll()
	c.propose(1)
	leader := c.leader()
	term := leader.Status().Node.Term
	leader.Stop(t.Context())
	if leader.Leads() {
		t.Fatal("stopped member still leads")
	}
	if !transferred.Load() {
		t.Fatal("leader stopped without a leadership transfer")
	}
	if _, _, err := leader.Propose(t.Context(), number(1)); !errors.Is(err, ErrStopped) {
		t.Fatalf("error %v, want %v", err, ErrStopped)
	}
	if next := c.leader().Status().Node.Term; next != term+1 {
		t.Fatalf("term after the transfer: %d, want %d", next, term+1)
	}
	if got := c.propose(1); got != 2 {
		t.Fatalf("sum %d, want 2", got)
	}
}

func TestStorageErrorStopsMember(t *testing.T) {
	c := newCluster(t, "a")
	defer c.stopAll()
	fs := faultfs.New()
	r := c.start("a", 1, c.members, storage.Options{FS: fs})
	c.propose(1)
	fs.SetFaults(faultfs.Faults{FreeBytes: 10})
	if _, _, err := r.Propose(t.Context(), number(1)); !errors.Is(err, ErrUnknownOutcome) {
		t.Fatalf("error %v, want %v", err, ErrUnknownOutcome)
	}
	if r.Leads() {
		t.Fatal("member leads after a storage error")
	}
	if _, _, err := r.Propose(t.Context(), number(1)); !errors.Is(err, ErrUnavailable) {
		t.Fatalf("error %v, want %v", err, ErrUnavailable)
	}
	if !errors.Is(r.Status().Failed, storage.ErrNoSpace) {
		t.Fatalf("Status().Failed is %v, want %v", r.Status().Failed, storage.ErrNoSpace)
	}
	// Once the disk has free space again, recovery truncates the torn record.
	c.stop("a")
	fs.SetFaults(faultfs.Faults{FreeBytes: -1})
	c.start("a", 1, nil, storage.Options{FS: fs})
	if got := c.propose(1); got != 2 {
		t.Fatalf("sum %d, want 2", got)
	}
}

func TestStartRejectsDifferentID(t *testing.T) {
	c := newCluster(t, "a")
	c.startAll()
	c.stopAll()
	dir := t.TempDir()
	options := Options{Name: "test", ID: 1, Dir: dir, Applier: &counter{}, Transport: c.net, Bootstrap: c.members}
	r, err := Start(options)
	if err != nil {
		t.Fatal(err)
	}
	r.Stop(t.Context())
	options.ID = 2
	if _, err := Start(options); !errors.Is(err, ErrIdentity) {
		t.Fatalf("error %v, want %v", err, ErrIdentity)
	}
	options.Dir = t.TempDir()
	if _, err := Start(options); !errors.Is(err, ErrNotMember) {
		t.Fatalf("error %v, want %v", err, ErrNotMember)
	}
}

// A leader that receives no messages steps down. Its pending proposal may still be committed by the
// next leader, as happens here, so it must fail with ErrUnknownOutcome; a pending read must fail
// with ErrNotLeader.
func TestPartitionedLeaderReturnsUnknownOutcome(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	defer c.stopAll()
	c.startAll()
	c.propose(1)
	old := c.leader()
	name := old.options.HostName
	c.net.set(name, nil)
	read := make(chan error, 1)
	go func() { read <- old.ReadBarrier(t.Context()) }()
	if _, _, err := old.Propose(t.Context(), number(1)); !errors.Is(err, ErrUnknownOutcome) {
		t.Fatalf("error %v, want %v", err, ErrUnknownOutcome)
	}
	if err := <-read; !errors.Is(err, ErrNotLeader) {
		t.Fatalf("error %v, want %v", err, ErrNotLeader)
	}
	if old.Leads() {
		t.Fatal("partitioned leader still leads")
	}
	if _, _, err := old.Propose(t.Context(), number(1)); !errors.Is(err, ErrNotLeader) {
		t.Fatalf("error %v, want %v", err, ErrNotLeader)
	}
	if got := c.propose(1); got != 3 {
		t.Fatalf("sum %d, want 3", got)
	}
	c.net.set(name, old)
	c.wait(func() bool { return c.states[name].total() == 3 })
}

// Leads must return false until OnLeader(true) has returned and once OnLeader(false) is called. A
// lease outside that interval lets a member serve before the application is ready or after it has
// stopped.
func TestLeadsOnlyBetweenOnLeaderCalls(t *testing.T) {
	var r *Runner
	var calls []bool
	started := make(chan struct{})
	o := Options{
		Name: "test", ID: 1, HostName: "a", Dir: t.TempDir(), Bootstrap: []replog.Member{{ID: 1, Name: "a"}},
		Election: 20 * time.Millisecond, Heartbeat: 5 * time.Millisecond, Applier: &counter{}, Transport: &network{},
		OnLeader: func(leads bool, _ uint64) {
			<-started
			calls = append(calls, leads)
			if r.Leads() {
				t.Errorf("Leads returned true during OnLeader(%v)", leads)
			}
		},
	}
	r, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	close(started)
	for !r.Leads() {
		time.Sleep(time.Millisecond)
	}
	r.Stop(t.Context())
	if len(calls) != 2 || !calls[0] || calls[1] {
		t.Fatalf("OnLeader calls: %v, want [true false]", calls)
	}
}
