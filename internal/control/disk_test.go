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

// hangTimeout ends a test that hangs; no verdict depends on it otherwise.
const hangTimeout = 50 * time.Second

// hosts are the control hosts of one region in this process.
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

// stop ends a host, which may not have started, without waiting for a successor of
// what it leads.
func (c *testHosts) stop(name string) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = c.running[name].Stop(ctx) // the listener's complaint about the ended context
	delete(c.running, name)
}

func (c *testHosts) waitFor(what string, holds func() bool) {
	c.t.Helper()
	end := time.Now().Add(hangTimeout)
	for !holds() {
		if time.Now().After(end) {
			c.t.Fatalf("%s does not come to hold", what)
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

// counts reports whether a host is a member of every group that is no learner, as
// another host sees it, and the identities of its disks by group.
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

// TestLostDiskIsReplaced loses one disk, and the host of another one after the new
// disk counts: the new disk must then be part of the quorum, with the whole state.
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
		t.Fatalf("init of a data folder in use: %v", err)
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
		t.Fatalf("second start: %v", err)
	}
	c.stop("control-a")
	c.start("control-a")
}

// TestStopRightAfterStart stops hosts whose operators' listener may not
// serve yet; it used to serve for ever then, and Stop waited for it.
func TestStopRightAfterStart(t *testing.T) {
	c := startHosts(t, "control-a")
	for range 5 {
		c.stop("control-a")
		c.start("control-a")
	}
}
