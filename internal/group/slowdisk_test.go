package group

import (
	"context"
	"testing"
	"time"

	"github.com/galenalug/galenalug/internal/faultfs"
	"github.com/galenalug/galenalug/storage"
	"github.com/pkg/errors"
)

// slowDiskRecovery is how long a group of which a majority works may take until it commits.
const slowDiskRecovery = 5 * time.Second

// startOnDisks starts three members with short election timeouts on disks whose faults can be set.
func startOnDisks(t *testing.T, faults faultfs.Faults) (*cluster, map[string]*faultfs.FS) {
	c := newCluster(t, "a", "b", "c")
	c.election, c.heartbeat = 200*time.Millisecond, 20*time.Millisecond
	disks := map[string]*faultfs.FS{}
	for _, m := range c.members {
		disks[m.Name] = faultfs.New()
		c.start(m.Name, m.ID, c.members, storage.Options{FS: disks[m.Name]})
		disks[m.Name].SetFaults(faults)
	}
	t.Cleanup(func() {
		for _, disk := range disks {
			disk.SetFaults(faultfs.Faults{FreeBytes: -1})
		}
		c.stopAll()
	})
	return c, disks
}

// commits fails the test if a proposal takes longer than slowDiskRecovery.
func (c *cluster) commits(situation string) {
	c.t.Helper()
	started := time.Now()
	c.propose(1)
	if took := time.Since(started); took > slowDiskRecovery {
		c.t.Errorf("%s: a proposal took %v", situation, took)
	}
}

// Guards against groups without a leader while all writes take longer than the election timeout: members timed out
// during the writes of their votes, and leaders sent no heartbeats during the write of their first entry.
func TestGroupWithSlowDisksHasOneLeader(t *testing.T) {
	c, _ := startOnDisks(t, faultfs.Faults{FreeBytes: -1, SyncDelay: 300 * time.Millisecond})
	c.commits("after the start")
	term := c.leader().Status().Node.Term
	for range 3 {
		c.commits("with a leader")
	}
	if now := c.leader().Status().Node.Term; now > term+1 {
		t.Errorf("term %d became %d", term, now)
	}
}

// Guards against a leader that keeps its leadership, or blocks the group, while its disk stalls, and against a former
// leader that disrupts the next one when its disk works again.
func TestLeaderWithStalledDiskIsReplaced(t *testing.T) {
	c, disks := startOnDisks(t, faultfs.Faults{FreeBytes: -1})
	c.commits("after the start")
	stalled := c.leader().options.HostName
	disks[stalled].SetFaults(faultfs.Faults{FreeBytes: -1, Stalled: true})
	c.commits("with a stalled leader")
	next := c.leader()
	term := next.Status().Node.Term
	if next.options.HostName == stalled {
		t.Fatal("the member with the stalled disk leads")
	}
	disks[stalled].SetFaults(faultfs.Faults{FreeBytes: -1})
	want := c.propose(1)
	c.wait(func() bool { return c.states[stalled].total() == want })
	if now := c.leader().Status().Node.Term; now != term {
		t.Errorf("term %d became %d after the disk works again", term, now)
	}
}

// Guards against a follower whose disk stalls and that deposes the leader, and against a group without a leader after
// the disk that all members share has stalled.
func TestLeaderSurvivesStalledDisks(t *testing.T) {
	c, disks := startOnDisks(t, faultfs.Faults{FreeBytes: -1})
	c.commits("after the start")
	term := c.leader().Status().Node.Term
	slow := c.follower()
	disks[slow].SetFaults(faultfs.Faults{FreeBytes: -1, Stalled: true})
	for until := time.Now().Add(5 * c.election); time.Now().Before(until); {
		c.commits("with a stalled follower")
	}
	if now := c.leader().Status().Node.Term; now != term {
		t.Errorf("term %d became %d while a follower's disk stalled", term, now)
	}
	for _, disk := range disks {
		disk.SetFaults(faultfs.Faults{FreeBytes: -1, Stalled: true})
	}
	time.AfterFunc(10*c.election, func() {
		for _, disk := range disks {
			disk.SetFaults(faultfs.Faults{FreeBytes: -1})
		}
	})
	c.commits("after a stall of all disks")
}

// Guards against a leader that accepts proposals without limit while its writes hang: they fill its memory.
func TestProposalsDuringStalledWriteAreBounded(t *testing.T) {
	c := newCluster(t, "a")
	disk := faultfs.New()
	r := c.start("a", 1, c.members, storage.Options{FS: disk})
	t.Cleanup(c.stopAll)
	c.commits("after the start")
	disk.SetFaults(faultfs.Faults{FreeBytes: -1, Stalled: true})
	t.Cleanup(func() { disk.SetFaults(faultfs.Faults{FreeBytes: -1}) })
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	for i := range maxQueuedRequests {
		_, _, _ = r.Propose(canceled, number(1))
		if i%1024 == 0 { // lets the loop take what is queued
			if err := r.runTask(t.Context(), func(time.Duration) (bool, error) { return true, nil }); err != nil {
				t.Fatal(err)
			}
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), slowDiskRecovery)
	defer cancel()
	if _, _, err := r.Propose(ctx, number(1)); !errors.Is(err, ErrUnavailable) {
		t.Errorf("error %v after %d proposals, want %v", err, maxQueuedRequests, ErrUnavailable)
	}
}
