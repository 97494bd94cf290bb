package group

import (
	"testing"
	"time"

	"github.com/galenalug/galenalug/internal/faultfs"
	"github.com/galenalug/galenalug/storage"
	"github.com/pkg/errors"
)

// resumeTimeout is how long a member may take to resume after its disk works again: a fraction of
// the time after which the group must bear the loss of two other disks.
const resumeTimeout = 2 * time.Second

// Guards against members that stay out of the group after their disk was full for a moment, until
// two other lost disks leave no quorum (issue 20).
func TestGroupBearsTwoLossesAfterFullDisks(t *testing.T) {
	c := newCluster(t, "a", "b", "c", "d", "e")
	defer c.stopAll()
	disks := map[string]*faultfs.FS{}
	for _, m := range c.members {
		disks[m.Name] = faultfs.New()
		c.start(m.Name, m.ID, c.members, storage.Options{FS: disks[m.Name]})
	}
	want := c.propose(1)
	for range 2 {
		full := c.follower()
		disks[full].SetFaults(faultfs.Faults{FreeBytes: 10})
		for c.runners[full].Status().Failed == nil {
			want = c.propose(1)
		}
		disks[full].SetFaults(faultfs.Faults{FreeBytes: -1})
		c.awaitResumed(full)
	}
	for range 2 {
		c.stop(c.follower())
	}
	if got := c.propose(1); got != want+1 {
		t.Fatalf("sum %d, want %d", got, want+1)
	}
}

// Guards against entries that are applied twice, and against a vote or an entry of a failed write
// that is used after all, when a leader's disk is full and then works again (issue 20).
func TestLeaderResumesAfterFullDisk(t *testing.T) {
	c := newCluster(t, "a")
	defer c.stopAll()
	fs := faultfs.New()
	r := c.start("a", 1, c.members, storage.Options{FS: fs})
	want := uint64(0)
	for range 3 {
		for range 40 { // more than half of the entries between two snapshots
			want++
			if got := c.propose(1); got != want {
				t.Fatalf("sum %d, want %d", got, want)
			}
		}
		fs.SetFaults(faultfs.Faults{FreeBytes: 10})
		if _, _, err := r.Propose(t.Context(), number(1)); !errors.Is(err, ErrUnknownOutcome) {
			t.Fatalf("error %v, want %v", err, ErrUnknownOutcome)
		}
		fs.SetFaults(faultfs.Faults{FreeBytes: -1})
		c.awaitResumed("a")
	}
	c.stop("a")
	fs.Crash(0)
	c.start("a", 1, nil, storage.Options{FS: fs})
	if got := c.propose(1); got != want+1 {
		t.Fatalf("sum after a restart: %d, want %d", got, want+1)
	}
}

// awaitResumed waits until the member takes part again, and fails the test after resumeTimeout.
func (c *cluster) awaitResumed(name string) {
	c.t.Helper()
	deadline := time.Now().Add(resumeTimeout)
	for c.runners[name].Status().Failed != nil {
		if time.Now().After(deadline) {
			c.t.Fatalf("member %s still has failed %s after its disk works again: %v", name, resumeTimeout, c.runners[name].Status().Failed)
		}
		time.Sleep(time.Millisecond)
	}
}
