package fleet

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/settings"
	"github.com/galenalug/galenalug/internal/testport"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/routes"
)

// waitTimeout limits each wait in these tests.
const waitTimeout = 20 * time.Second

// firstSubscription is the body of the subscription of a gateway without a configuration: an empty map.
var firstSubscription = []byte{0xa0}

// cluster is a group of control hosts, each on its own loopback address.
type cluster struct {
	t     testing.TB
	port  int
	seeds []string
	hosts map[string]*Host // by IP
	dirs  map[string]string
	// newCaller makes the callers of hosts that are started; nil for none.
	newCaller func() GrantCaller
	// evacuateMs is the setting of that name.
	evacuateMs float64
}

// newCluster starts a cluster whose hosts are all seeds that bootstrap the group.
func newCluster(t testing.TB, ips ...string) *cluster { return newCallingCluster(t, nil, ips...) }

// newCallingCluster is newCluster with callers.
func newCallingCluster(t testing.TB, newCaller func() GrantCaller, ips ...string) *cluster {
	return startCluster(&cluster{t: t, newCaller: newCaller}, ips...)
}

// startCluster starts the hosts of a cluster.
func startCluster(c *cluster, ips ...string) *cluster {
	port, err := testport.Free(ips...)
	if err != nil {
		c.t.Fatal(err)
	}
	c.port, c.hosts, c.dirs = port, map[string]*Host{}, map[string]string{}
	c.startAll(ips)
	c.t.Cleanup(c.killAll)
	return c
}

func (c *cluster) startAll(ips []string) {
	for _, ip := range ips {
		c.seeds = append(c.seeds, ip+":1")
	}
	for _, ip := range ips {
		c.start(ip, true)
	}
}

func (c *cluster) killAll() {
	for _, h := range c.hosts {
		c.kill(h)
	}
}

// start starts a host with its existing data directory, or with an empty one if it has none.
func (c *cluster) start(ip string, bootstrap bool) *Host {
	c.t.Helper()
	if c.dirs[ip] == "" {
		c.dirs[ip] = c.t.TempDir()
	}
	h, err := New(Options{
		Settings: &settings.FleetSettings{
			Name: ip, Domain: "d1", Ip: ip, PeerPort: c.port, Seeds: c.seeds, ControlListen: ip + ":2",
			DataDir: c.dirs[ip], Bootstrap: bootstrap, ToleratedLosses: 1, LeaseMs: 600, DrainMs: 2500, ConfigApplyMs: 2500,
			ElectionMs: 200, RaftHeartbeatMs: 40, EvacuateMs: c.evacuateMs, Domains: map[string]string{"d1": "r1", "d2": "r1"},
		},
		Registry:       prometheus.NewRegistry(),
		NewGrantCaller: c.newCaller,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	if err := h.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.hosts[ip] = h
	return h
}

// kill stops a host like a crash: without a leadership transfer, and without a message to the others.
func (c *cluster) kill(h *Host) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	h.peers.close()
	_ = h.Stop(ctx)
	c.forget(h)
}

// stop stops a host as a signal does.
func (c *cluster) stop(h *Host) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if err := h.Stop(ctx); err != nil {
		c.t.Error(err)
	}
	c.forget(h)
}

func (c *cluster) forget(h *Host) {
	for ip, other := range c.hosts {
		if other == h {
			delete(c.hosts, ip)
		}
	}
}

// wait polls a condition and fails the test if it does not hold within waitTimeout.
func (c *cluster) wait(what string, condition func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	c.t.Fatalf("timed out after %v waiting for %s", waitTimeout, what)
}

// leader returns the host that leads and has recorded its lease, or nil.
func (c *cluster) leader() *Host {
	for _, h := range c.hosts {
		if h.runner.Leads() && h.state.recordedLease() > 0 {
			return h
		}
	}
	return nil
}

// voters returns the number of voters by the leader's log, or 0 without a leader.
func (c *cluster) voters() int {
	leader := c.leader()
	if leader == nil {
		return 0
	}
	count := 0
	for _, m := range leader.runner.Status().Node.Members {
		if !m.Learner {
			count++
		}
	}
	return count
}

// put returns a change of the configuration with one keyed service.
func put(base, version uint64) routes.Put {
	return routes.Put{
		Base: base, Document: []byte(fmt.Sprintf("version %d", version)),
		Config: routes.Config{Version: version, Services: []routes.Service{{Name: "stock", Keyed: true}}, Routes: []routes.Route{}},
	}
}

// putUntilAccepted retries a change until its outcome is known, as operators do.
func (c *cluster) putUntilAccepted(p routes.Put) {
	c.t.Helper()
	c.wait(fmt.Sprintf("version %d to be accepted", p.Config.Version), func() bool {
		for _, h := range c.hosts {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			reply, err := h.Put(ctx, p)
			cancel()
			if err == nil && reply.Outcome != routes.OutcomeAccepted {
				c.t.Fatalf("put version %d: got %+v, want outcome accepted", p.Config.Version, reply)
			}
			return err == nil
		}
		return false
	})
}

// expectDocument reads the document at each running host.
func (c *cluster) expectDocument(want string) {
	c.t.Helper()
	for ip, h := range c.hosts {
		var document []byte
		c.wait("document read at "+ip, func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			var err error
			document, err = h.Document(ctx)
			return err == nil
		})
		if string(document) != want {
			c.t.Errorf("document at %s: got %q, want %q", ip, document, want)
		}
	}
}

func TestConfigurationSurvivesLeaderChangeAndFullRestart(t *testing.T) {
	c := newCluster(t, "127.0.0.1", "127.0.0.2", "127.0.0.3")
	c.wait("a leader", func() bool { return c.leader() != nil })
	c.putUntilAccepted(put(0, 3))
	c.kill(c.leader())
	c.wait("a second leader", func() bool { return c.leader() != nil })
	c.putUntilAccepted(put(0, 3)) // retry of an applied change at the new leader
	c.putUntilAccepted(put(3, 8))
	for _, h := range c.hosts {
		c.kill(h)
	}
	for ip := range c.dirs {
		c.start(ip, false)
	}
	c.expectDocument("version 8")
}

func TestNewDisksJoinAndReplaceLostOnes(t *testing.T) {
	c := newCluster(t, "127.0.0.1", "127.0.0.2", "127.0.0.3")
	c.wait("a leader", func() bool { return c.leader() != nil })
	c.putUntilAccepted(put(0, 1))
	// A host loses its disk and restarts at the same address.
	for ip, h := range c.hosts {
		if !h.runner.Leads() {
			c.kill(h)
			c.dirs[ip] = ""
			c.start(ip, false)
			break
		}
	}
	c.wait("host with the new disk to become a voter", func() bool {
		for _, h := range c.hosts {
			if !isVoter(h.runner.Status().Node) {
				return false
			}
		}
		return c.voters() == 3
	})
	// A host is lost permanently; another one joins at a new address.
	for _, h := range c.hosts {
		if !h.runner.Leads() {
			c.kill(h)
			break
		}
	}
	replacement := c.start("127.0.0.4", false)
	c.wait("replacement to become a voter in place of the lost host", func() bool {
		return isVoter(replacement.runner.Status().Node) && c.voters() == 3
	})
	c.expectDocument("version 1")
}

// gatewayStub is a peer handler that records the owners and draining servers of table updates.
type gatewayStub struct {
	mu       sync.Mutex
	owners   map[string]string // server ID by key range
	draining map[string]bool   // by server ID
}

// decodeTable decodes an update of the table.
func decodeTable(body []byte, u *keyrange.TableUpdate) (ok bool) {
	decoded, err := keyrange.DecodeTable(body)
	*u = decoded
	return err == nil
}

func (g *gatewayStub) Call(context.Context, *peer.Conn, int, []byte) ([]byte, error) { return nil, nil }
func (g *gatewayStub) Closed(*peer.Conn)                                             {}
func (g *gatewayStub) Notify(_ *peer.Conn, kind int, body []byte) {
	var update keyrange.TableUpdate
	if kind != wire.KindFleetTable || !decodeTable(body, &update) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, o := range update.Owners {
		g.owners[fmt.Sprintf("%d-%d", o.From, o.To)] = o.ServerID
	}
	for _, s := range update.Servers {
		g.draining[s.ID] = s.Draining
	}
}

func (g *gatewayStub) owner(keys string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.owners[keys]
}

func TestFollowerForwardsHeartbeatsAndGatewaysLearnOwners(t *testing.T) {
	c := newCluster(t, "127.0.0.1", "127.0.0.2", "127.0.0.3")
	c.wait("a leader", func() bool { return c.leader() != nil })
	c.putUntilAccepted(put(0, 1))
	leader := c.leader()
	stub := &gatewayStub{owners: map[string]string{}, draining: map[string]bool{}}
	client := peer.NewClient(peer.ClientOptions{
		Address: leader.name, Self: peer.Identity{Name: "gateway", Role: peer.RoleEntry}, ExpectedName: leader.name, Handler: stub,
	})
	defer client.Close()
	c.wait("subscription", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := client.Call(ctx, wire.KindSubscribe, firstSubscription)
		return err == nil
	})
	var follower *Host
	for _, h := range c.hosts {
		if h != leader {
			follower = h
		}
	}
	sequence := int64(0)
	c.wait("all keys to be granted through a follower", func() bool {
		sequence++
		reply, err := follower.Heartbeat(context.Background(), keyrange.Heartbeat{
			Server:   keyrange.Server{ID: "s1", StartMillis: 1, Service: "stock", Address: "s1:80", Slots: 6},
			Sequence: sequence,
		})
		if err == nil && reply.HeartbeatAddress != leader.settings.ControlListen {
			t.Errorf("heartbeat address: got %q, want the leader's %q", reply.HeartbeatAddress, leader.settings.ControlListen)
		}
		return err == nil && len(reply.Grants) > 0
	})
	c.wait("gateway to learn the owner", func() bool { return stub.owner("0-65535") == "s1" })
	if err := follower.Leave(context.Background(), keyrange.Leave{ID: "s1", StartMillis: 1}, clock.Now()); err != nil {
		t.Fatal(err)
	}
	c.wait("gateway to learn that the owner is draining", func() bool {
		stub.mu.Lock()
		defer stub.mu.Unlock()
		return stub.draining["s1"]
	})
}

func TestLeaderWithoutQuorumRefusesCalls(t *testing.T) {
	c := newCluster(t, "127.0.0.1", "127.0.0.2", "127.0.0.3")
	c.wait("a leader", func() bool { return c.leader() != nil })
	c.putUntilAccepted(put(0, 1))
	leader := c.leader()
	for _, h := range c.hosts {
		if h != leader {
			c.kill(h)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if document, err := leader.Document(ctx); err == nil {
		t.Errorf("read document %q without a quorum, want an error", document)
	}
	c.wait("heartbeats to be refused", func() bool {
		_, err := leader.Heartbeat(ctx, keyrange.Heartbeat{
			Server: keyrange.Server{ID: "s1", Service: "stock", Address: "127.0.0.1:80", Domain: "d1", Slots: 6, StartMillis: 1},
		})
		return errors.Is(err, ErrUnavailable)
	})
}
