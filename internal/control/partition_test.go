package control

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/allowance"
	"github.com/galenalug/galenalug/internal/settings"
	"github.com/galenalug/galenalug/internal/wire"
)

// errPartitioned is the dial error between partitioned regions.
var errPartitioned = errors.New("no route")

// partition simulates a network partition between the regions of control hosts. While it is
// enabled, data sent between regions is lost without an error, nothing is received, and new
// connections fail.
type partition struct {
	mu      sync.Mutex
	enabled bool
	regions map[string]string // by address
}

// partitionConn is a connection between regions that is subject to the partition.
type partitionConn struct {
	net.Conn
	partition *partition
}

func (p *partition) setEnabled(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.enabled = on
}

func (p *partition) isEnabled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.enabled
}

func (p *partition) dialFrom(region string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		p.mu.Lock()
		crosses := p.regions[address] != region
		refused := crosses && p.enabled
		p.mu.Unlock()
		if refused {
			return nil, errPartitioned
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil || !crosses {
			return conn, err
		}
		return &partitionConn{Conn: conn, partition: p}, nil
	}
}

// Write discards the data while the partition is enabled.
func (c *partitionConn) Write(p []byte) (int, error) {
	if c.partition.isEnabled() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Read discards received data while the partition is enabled, until the connection's deadline.
func (c *partitionConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.partition.isEnabled() {
			return n, err
		}
	}
}

// cluster is four control hosts in two regions, each in its own failure domain.
type cluster struct {
	t         *testing.T
	partition *partition
	hosts     map[string]*Host
	controls  []settings.ControlHost
}

// addresses counts the addresses that freeAddress returned.
var addresses atomic.Int32

// freeAddress returns an address that no other process and no other test uses. It is on a loopback
// IP derived from the process ID: a port that is only checked to be free may be taken by another
// process before it is used.
func freeAddress(*testing.T) string {
	const firstPort = 20000
	pid := os.Getpid()
	ip := net.IPv4(127, byte(1+pid>>16&0x3f), byte(pid>>8), byte(pid))
	return fmt.Sprintf("%s:%d", ip, firstPort+addresses.Add(1))
}

func startCluster(t *testing.T) *cluster {
	controls := []settings.ControlHost{
		{Name: "c1", Region: "mien-trung", Domain: "hai-chau"},
		{Name: "c2", Region: "mien-trung", Domain: "son-tra"},
		{Name: "c3", Region: "mien-nam", Domain: "thu-duc"},
		{Name: "c4", Region: "mien-nam", Domain: "binh-thanh"},
	}
	c := &cluster{t: t, partition: &partition{regions: map[string]string{}}, hosts: map[string]*Host{}}
	for i := range controls {
		controls[i].Address = freeAddress(t)
		c.partition.regions[controls[i].Address] = controls[i].Region
	}
	c.controls = controls
	for _, control := range controls {
		c.start(control, controls)
	}
	return c
}

func (c *cluster) start(control settings.ControlHost, controls []settings.ControlHost) {
	s := &settings.ControlSettings{
		Name: control.Name, PeerListen: control.Address, AdminListen: freeAddress(c.t),
		DataDir:  filepath.Join(c.t.TempDir(), control.Name),
		Controls: controls, LeaseMs: 800, MaxDeadlineMs: 500, RaftHeartbeatMs: 50, RaftElectionMs: 400,
		SlotsPerService: 16, SnapshotEntries: 1000, Workers: 64,
	}
	if err := os.MkdirAll(s.DataDir, 0o700); err != nil {
		c.t.Fatal(err)
	}
	if err := InitializeData(s); err != nil {
		c.t.Fatal(err)
	}
	host, err := New(Options{Settings: s, PeerSecret: []byte("a secret of the peers"), Dial: c.partition.dialFrom(control.Region)})
	if err == nil {
		err = host.Start()
	}
	if err != nil {
		c.t.Fatal(err)
	}
	c.hosts[control.Name] = host
	c.t.Cleanup(func() { c.stop(control.Name) })
}

// stop stops a host. It has no effect on a stopped host.
func (c *cluster) stop(name string) {
	host, ok := c.hosts[name]
	if !ok {
		return
	}
	delete(c.hosts, name)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = host.Stop(ctx)
}

// eventually repeats a step until it succeeds. The time limit only ends a test that hangs.
func (c *cluster) eventually(what string, step func() error) {
	c.t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for {
		err := step()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			c.t.Fatalf("%s: %v", what, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// call makes a call to the named hosts in turn until one succeeds.
func (c *cluster) call(names []string, kind int, request, reply any) error {
	body, err := cbor.Marshal(request)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	for _, name := range names {
		var response []byte
		if response, err = c.hosts[name].call(ctx, kind, body); err == nil {
			return cbor.Unmarshal(response, reply)
		}
	}
	return err
}

// The voters of the global group are c1, c3 and c4, so the southern hosts have its quorum.
var (
	centralHosts = []string{"c1", "c2"}
	southHosts   = []string{"c3", "c4"}
)

// sendHeartbeat sends one heartbeat of a server and returns its session.
func (c *cluster) sendHeartbeat(region string, hosts []string, session uint64) (uint64, error) {
	var reply wire.AnnouncementReply
	err := c.call(hosts, wire.KindAnnounce, wire.Announcement{
		Name: "s-" + region, Incarnation: "1", Service: "wheel-swap", Address: "127.0.0.1:1", Region: region,
		Domain: region, Keyed: true, Fencing: true, Slots: 6, Connections: 120, Session: session,
	}, &reply)
	return reply.Session, err
}

// keepAlive sends heartbeats of a server until the test ends.
func (c *cluster) keepAlive(region string, hosts []string) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			_, _ = c.sendHeartbeat(region, hosts, 0)
			time.Sleep(50 * time.Millisecond)
		}
	}()
	c.t.Cleanup(func() {
		cancel()
		<-done
	})
}

// owned returns the number of slots that a region's servers own, as known to one control host.
func (c *cluster) owned(host, region string) int {
	dump := c.hosts[host].regions[region].dump()
	return dump.SlotsByStatus["wheel-swap"][2]
}

// setAllowances commits a list with one plan that has a limit of 10 requests per second.
func (c *cluster) setAllowances(hosts []string, version uint64, plan string) (allowance.Result, error) {
	return c.change(hosts, allowance.Command{Allowances: limitList(version, plan, 10)})
}

func limitList(version uint64, plan string, perSecond float64) *allowance.LimitList {
	return &allowance.LimitList{Version: version, Allowances: []allowance.PlanAllowance{{
		Plan: plan, Limits: []allowance.Limit{{Service: "wheel-swap", RequestsPerSecond: perSecond, Burst: 1}},
	}}}
}

// change commits a list through the first of the named hosts that succeeds.
func (c *cluster) change(hosts []string, list allowance.Command) (allowance.Result, error) {
	data, err := encodeLists(list)
	if err != nil {
		return allowance.Result{}, err
	}
	var reply wire.ProposalReply
	if err := c.call(hosts, wire.KindPropose, wire.Proposal{Group: wire.GroupGlobal, Command: data}, &reply); err != nil {
		return allowance.Result{}, err
	}
	var result allowance.Result
	return result, cbor.Unmarshal(reply.Result, &result)
}

// TestRegionPartition partitions the regions without connection errors. Each side must keep serving
// the slots whose home it is. A list change must be accepted only on the side with the global
// quorum, and must be in force on the other side after the partition.
func TestRegionPartition(t *testing.T) {
	c := startCluster(t)
	c.keepAlive("mien-trung", centralHosts)
	c.keepAlive("mien-nam", southHosts)
	c.eventually("every slot has an owner, and a host of the region leads each region", func() error {
		if m, s := c.owned("c1", "mien-trung"), c.owned("c3", "mien-nam"); m != 8 || s != 8 {
			return errors.Errorf("%d and %d slots are owned, want 8 and 8", m, s)
		}
		if c.hosts["c4"].runners["mien-trung"].Leads() || c.hosts["c1"].runners["mien-nam"].Leads() {
			return errors.New("a witness leads the group of another region")
		}
		return nil
	})

	c.partition.setEnabled(true)
	c.eventually("the side with the global quorum accepts a change", func() error {
		result, err := c.setAllowances(southHosts, 7, "gold")
		if err == nil && !result.Succeeded() {
			t.Fatalf("the change was refused: %+v", result)
		}
		return err
	})
	if _, err := c.setAllowances(centralHosts, 8, "silver"); err == nil {
		t.Fatal("the side without the global quorum accepted a change")
	}
	for _, side := range []struct {
		region string
		hosts  []string
	}{{"mien-trung", centralHosts}, {"mien-nam", southHosts}} {
		c.eventually(side.region+" renews its server during the partition", func() error {
			session, err := c.sendHeartbeat(side.region, side.hosts, 0)
			if err == nil && (session == 0 || c.owned(side.hosts[0], side.region) != 8) {
				err = errors.New("no session, or slots without an owner")
			}
			return err
		})
	}

	c.partition.setEnabled(false)
	c.eventually("the change is in force everywhere", func() error {
		for name, host := range c.hosts {
			if version := host.status().AllowancesVersion; version != 7 {
				return errors.Errorf("%s has version %d", name, version)
			}
		}
		return nil
	})
}
