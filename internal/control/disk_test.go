package control

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenalug/galenalug/allowance"
	"github.com/galenalug/galenalug/internal/settings"
	"github.com/galenalug/galenalug/internal/wire"
)

// hangTimeout only ends a test that hangs; no result depends on its value.
const hangTimeout = 50 * time.Second

// testHosts runs the control hosts of one region in this process.
type testHosts struct {
	t        *testing.T
	settings map[string]*settings.ControlSettings
	running  map[string]*Host
}

func startHosts(t *testing.T, names ...string) *testHosts {
	c := &testHosts{t: t, settings: map[string]*settings.ControlSettings{}, running: map[string]*Host{}}
	var controls []settings.ControlHost
	for _, name := range names {
		controls = append(controls, settings.ControlHost{Name: name, Region: "mien-trung", Domain: name, Address: freeAddress(t)})
	}
	dir := t.TempDir()
	for _, control := range controls {
		c.settings[control.Name] = &settings.ControlSettings{
			Name: control.Name, PeerListen: control.Address, AdminListen: freeAddress(t), Controls: controls,
			DataDir: filepath.Join(dir, control.Name), LeaseMs: 800, MaxDeadlineMs: 5000, RaftElectionMs: 250,
			RaftHeartbeatMs: 50, RunWindowSeconds: 600, SlotsPerService: 16, SnapshotEntries: 10000, Workers: 64,
		}
		if err := InitializeData(c.settings[control.Name]); err != nil {
			t.Fatal(err)
		}
		c.start(control.Name)
	}
	t.Cleanup(func() {
		for name := range c.running {
			c.stop(name)
		}
	})
	return c
}

func (c *testHosts) open(name string) (*Host, error) {
	return New(Options{
		Settings: c.settings[name], PeerSecret: []byte("0123456789abcdef0123456789abcdef"),
		OperatorSecret: []byte("operator"), Registry: prometheus.NewRegistry(),
	})
}

func (c *testHosts) start(name string) {
	c.t.Helper()
	host, err := c.open(name)
	if err == nil {
		err = host.Start()
	}
	if err != nil {
		c.t.Fatal(err)
	}
	c.running[name] = host
}

// stop stops a host without waiting for leadership transfers. The host may not have started.
func (c *testHosts) stop(name string) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = c.running[name].Stop(ctx) // only reports that the context was cancelled
	delete(c.running, name)
}

func (c *testHosts) waitFor(what string, holds func() bool) {
	c.t.Helper()
	end := time.Now().Add(hangTimeout)
	for !holds() {
		if time.Now().After(end) {
			c.t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// setPlans commits an empty list of plans through a host.
func (c *testHosts) setPlans(name string, version uint64) {
	c.t.Helper()
	data, err := encodeLists(allowance.Command{Plans: &allowance.PlanList{Version: version}})
	if err != nil {
		c.t.Fatal(err)
	}
	c.waitFor("the change", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
		defer cancel()
		_, err := c.running[name].proposeTo(ctx, wire.GroupGlobal, data)
		return err == nil
	})
}

// votingDisks reports whether, as known to another host, a host is a member of every group exactly
// once and no group has a learner. It also returns the identities of the host's disks by group.
func votingDisks(seenBy *Host, name string) (bool, map[string]string) {
	disks := map[string]string{}
	for _, g := range seenBy.status().Groups {
		for _, member := range g.Members {
			if member.Learner || member.Name == name && disks[g.Group] != "" {
				return false, nil
			}
			if member.Name == name {
				disks[g.Group] = member.Disk
			}
		}
	}
	return len(disks) == len(seenBy.runners), disks
}

// TestLostDiskIsReplaced replaces the disk of one host, and stops another host once the new disk is
// a voting member. The new disk must then form a quorum with the remaining host and have the full
// state.
func TestLostDiskIsReplaced(t *testing.T) {
	c := startHosts(t, "control-a", "control-b", "control-c")
	c.setPlans("control-a", 1)
	_, before := votingDisks(c.running["control-a"], "control-b")
	c.stop("control-b")
	if err := os.RemoveAll(c.settings["control-b"].DataDir); err != nil {
		t.Fatal(err)
	}
	c.start("control-b")
	for _, other := range []string{"control-a", "control-c"} {
		c.waitFor("membership of the new disk", func() bool {
			member, disks := votingDisks(c.running[other], "control-b")
			for group, disk := range disks {
				member = member && disk != before[group]
			}
			return member
		})
	}
	c.stop("control-a")
	c.setPlans("control-c", 2)
	c.waitFor("the new disk's state", func() bool { return c.running["control-b"].status().PlansVersion == 2 })
}

func TestDataDirIsLocked(t *testing.T) {
	c := startHosts(t, "control-a")
	if err := InitializeData(c.settings["control-a"]); !errors.Is(err, ErrDataInUse) {
		t.Fatalf("InitializeData of a data folder in use: got %v, want ErrDataInUse", err)
	}
	second := *c.settings["control-a"]
	second.PeerListen = freeAddress(t)
	c.settings["second"] = &second
	host, err := c.open("second")
	if err != nil {
		t.Fatal(err)
	}
	c.running["second"] = host
	if err := host.Start(); !errors.Is(err, ErrDataInUse) {
		t.Fatalf("Start of a second host: got %v, want ErrDataInUse", err)
	}
	c.stop("control-a")
	c.start("control-a")
}

// TestStopRightAfterStart stops hosts whose admin server may not serve yet. It guards against a
// fault where the admin server then served forever and Stop waited for it.
func TestStopRightAfterStart(t *testing.T) {
	c := startHosts(t, "control-a")
	for range 5 {
		c.stop("control-a")
		c.start("control-a")
	}
}
