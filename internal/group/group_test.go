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
			t.Fatalf("proposal %d gave %d", i, got)
		}
	}
	// Restart all: snapshot plus log.
	c.stopAll()
	c.startAll()
	if got := c.propose(1); got != 301 {
		t.Fatalf("after the restart: %d", got)
	}
	if err := c.leader().ReadBarrier(t.Context()); err != nil {
		t.Fatal(err)
	}
	// Lose a follower and its disk; repair with a new disk; lose another host.
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
		t.Fatalf("after the second loss: %d", got)
	}
	c.wait(func() bool { return c.states[lost].total() == 302 })
}

// follower returns the name of a host that does not lead.
func (c *cluster) follower() string {
	leader := c.leader()
	for name, r := range c.runners {
		if r != leader {
			return name
		}
	}
	return ""
}

func TestStopHandsOver(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	defer c.stopAll()
	var handedOver atomic.Bool // asked another member to lead
	c.net.observe = func(messages []replog.Message) {
		if slices.ContainsFunc(messages, func(m replog.Message) bool { return m.Kind == replog.KindTimeoutNow }) {
			handedOver.Store(true)
		}
	}
	c.startAll()
	c.propose(1)
	leader := c.leader()
	term := leader.Status().Node.Term
	leader.Stop(t.Context())
	if leader.Leads() {
		t.Fatal("a stopped member leads")
	}
	if !handedOver.Load() {
		t.Fatal("stopped without handing leadership over")
	}
	if _, _, err := leader.Propose(t.Context(), number(1)); !errors.Is(err, ErrStopped) {
		t.Fatal(err)
	}
	if next := c.leader().Status().Node.Term; next != term+1 {
		t.Fatalf("term %d after %d", next, term)
	}
	if got := c.propose(1); got != 2 {
		t.Fatal(got)
	}
}

func TestStorageErrorEndsTakingPart(t *testing.T) {
	c := newCluster(t, "a")
	defer c.stopAll()
	fs := faultfs.New()
	r := c.start("a", 1, c.members, storage.Options{FS: fs})
	c.propose(1)
	fs.SetFaults(faultfs.Faults{FreeBytes: 10})
	if _, _, err := r.Propose(t.Context(), number(1)); !errors.Is(err, ErrUnknownOutcome) {
		t.Fatal(err)
	}
	if r.Leads() {
		t.Fatal("leads without a disk")
	}
	if _, _, err := r.Propose(t.Context(), number(1)); !errors.Is(err, ErrUnavailable) {
		t.Fatal(err)
	}
	if !errors.Is(r.Status().Failed, storage.ErrNoSpace) {
		t.Fatal(r.Status().Failed)
	}
	// The torn record is cut off when the disk has room again.
	c.stop("a")
	fs.SetFaults(faultfs.Faults{FreeBytes: -1})
	c.start("a", 1, nil, storage.Options{FS: fs})
	if got := c.propose(1); got != 2 {
		t.Fatal(got)
	}
}

func TestStartRefusesAnotherIdentity(t *testing.T) {
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
		t.Fatal(err)
	}
	options.Dir = t.TempDir()
	if _, err := Start(options); !errors.Is(err, ErrNotMember) {
		t.Fatal(err)
	}
}

// A leader that hears of nobody steps down: what it proposed may be committed by
// the next leader, and is here, so the outcome is unknown; a read is refused.
func TestOutcomeIsUnknownWhenTheLeaderIsCutOff(t *testing.T) {
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
		t.Fatal(err)
	}
	if err := <-read; !errors.Is(err, ErrNotLeader) {
		t.Fatal(err)
	}
	if old.Leads() {
		t.Fatal("leads without a quorum")
	}
	if _, _, err := old.Propose(t.Context(), number(1)); !errors.Is(err, ErrNotLeader) {
		t.Fatal(err)
	}
	if got := c.propose(1); got != 3 {
		t.Fatalf("sum %d", got)
	}
	c.net.set(name, old)
	c.wait(func() bool { return c.states[name].total() == 3 })
}

// OnLeader and Leads agree: no lease before OnLeader(true), none after
// OnLeader(false).
func TestOnLeaderEnclosesTheLease(t *testing.T) {
	var r *Runner
	var told []bool
	started := make(chan struct{})
	o := Options{
		Name: "test", ID: 1, HostName: "a", Dir: t.TempDir(), Bootstrap: []replog.Member{{ID: 1, Name: "a"}},
		Election: 20 * time.Millisecond, Heartbeat: 5 * time.Millisecond, Applier: &counter{}, Transport: &network{},
		OnLeader: func(leads bool, _ uint64) {
			<-started
			told = append(told, leads)
			if r.Leads() {
				t.Error("a lease while OnLeader is told")
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
	if len(told) != 2 || !told[0] || told[1] {
		t.Fatal(told)
	}
}
