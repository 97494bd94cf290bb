package fleet

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/settings"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/routes"
)

// waitTimeout bounds every wait of these tests.
const waitTimeout = 20 * time.Second

// cluster is a group of control hosts on loopback addresses of their own.
type cluster struct {
	t     testing.TB
	port  int
	seeds []string
	hosts map[string]*Host // by IP
	dirs  map[string]string
}

func newCluster(t testing.TB, bootstrapMembers ...string) *cluster {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	port := listener.Addr().(*net.TCPAddr).Port
	_ = listener.Close()
	c := &cluster{t: t, port: port, hosts: map[string]*Host{}, dirs: map[string]string{}}
	for _, ip := range bootstrapMembers {
		c.seeds = append(c.seeds, ip+":1")
	}
	for _, ip := range bootstrapMembers {
		c.start(ip, true)
	}
	t.Cleanup(func() {
		for _, h := range c.hosts {
			c.kill(h)
		}
	})
	return c
}

// start starts a host on its disk, or on an empty one.
func (c *cluster) start(ip string, found bool) *Host {
	c.t.Helper()
	if c.dirs[ip] == "" {
		c.dirs[ip] = c.t.TempDir()
	}
	h, err := New(Options{
		Settings: &settings.FleetSettings{
			Name: ip, Domain: "d1", Ip: ip, PeerPort: c.port, Seeds: c.seeds, ControlListen: ip + ":2",
			DataDir: c.dirs[ip], Found: found, ToleratedLosses: 1, LeaseMs: 600, DrainMs: 2500,
			ElectionMs: 200, RaftHeartbeatMs: 40,
		},
		Registry: prometheus.NewRegistry(),
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

// kill ends a host without a hand-over.
func (c *cluster) kill(h *Host) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = h.Stop(ctx)
	for ip, other := range c.hosts {
		if other == h {
			delete(c.hosts, ip)
		}
	}
}

func (c *cluster) wait(what string, holds func() bool) {
	c.t.Helper()
	for until := time.Now().Add(waitTimeout); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	c.t.Fatalf("%s: not within %v", what, waitTimeout)
}

func (c *cluster) leader() *Host {
	for _, h := range c.hosts {
		if h.runner.Leads() && h.state.recordedLease() > 0 {
			return h
		}
	}
	return nil
}

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

func put(base, version uint64) routes.Put {
	return routes.Put{
		Base: base, Document: []byte(fmt.Sprintf("version %d", version)),
		Config: routes.Config{Version: version, Services: []routes.Service{{Name: "stock", Keyed: true}}, Routes: []routes.Route{}},
	}
}

// accept sends a change until it has a clear outcome, as operators do.
func (c *cluster) putUntilAccepted(p routes.Put) {
	c.t.Helper()
	c.wait(fmt.Sprintf("version %d accepted", p.Config.Version), func() bool {
		for _, h := range c.hosts {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			reply, err := h.Put(ctx, p)
			cancel()
			if err == nil && reply.Outcome != routes.OutcomeAccepted {
				c.t.Fatalf("version %d: %+v", p.Config.Version, reply)
			}
			return err == nil
		}
		return false
	})
}

func (c *cluster) expectDocument(want string) {
	c.t.Helper()
	for ip, h := range c.hosts {
		var document []byte
		c.wait("read at "+ip, func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			var err error
			document, err = h.Document(ctx)
			return err == nil
		})
		if string(document) != want {
			c.t.Errorf("read at %s: %q, want %q", ip, document, want)
		}
	}
}

func TestConfigurationSurvivesLeaderChangeAndFullRestart(t *testing.T) {
	c := newCluster(t, "127.0.0.1", "127.0.0.2", "127.0.0.3")
	c.wait("leader", func() bool { return c.leader() != nil })
	c.putUntilAccepted(put(0, 3))
	c.kill(c.leader())
	c.wait("second leader", func() bool { return c.leader() != nil })
	c.putUntilAccepted(put(0, 3)) // sent again to the new leader
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
	c.wait("leader", func() bool { return c.leader() != nil })
	c.putUntilAccepted(put(0, 1))
	// A host loses its disk and starts again at its address.
	for ip, h := range c.hosts {
		if !h.runner.Leads() {
			c.kill(h)
			c.dirs[ip] = ""
			c.start(ip, false)
			break
		}
	}
	c.wait("wiped host is a voter", func() bool {
		for _, h := range c.hosts {
			if !isVoter(h.runner.Status().Node) {
				return false
			}
		}
		return c.voters() == 3
	})
	// A host goes for good; another comes at a new address.
	for _, h := range c.hosts {
		if !h.runner.Leads() {
			c.kill(h)
			break
		}
	}
	newcomer := c.start("127.0.0.4", false)
	c.wait("newcomer took the place of the host that went", func() bool {
		return isVoter(newcomer.runner.Status().Node) && c.voters() == 3
	})
	c.expectDocument("version 1")
}

// gatewayStub subscribes as a gateway does.
type gatewayStub struct {
	mu     sync.Mutex
	owners map[string]string
	left   map[string]bool
}

func (g *gatewayStub) Call(context.Context, *peer.Conn, int, []byte) ([]byte, error) { return nil, nil }
func (g *gatewayStub) Closed(*peer.Conn)                                             {}
func (g *gatewayStub) Notify(_ *peer.Conn, kind int, body []byte) {
	var update keyrange.TableUpdate
	if kind != wire.KindFleetTable || cbor.Unmarshal(body, &update) != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, o := range update.Owners {
		g.owners[fmt.Sprintf("%d-%d", o.From, o.To)] = o.ServerID
	}
	for _, s := range update.Servers {
		g.left[s.ID] = s.Draining
	}
}

func (g *gatewayStub) owner(keys string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.owners[keys]
}

func TestFollowerForwardsHeartbeatsAndGatewaysLearnOwners(t *testing.T) {
	c := newCluster(t, "127.0.0.1", "127.0.0.2", "127.0.0.3")
	c.wait("leader", func() bool { return c.leader() != nil })
	c.putUntilAccepted(put(0, 1))
	leader := c.leader()
	stub := &gatewayStub{owners: map[string]string{}, left: map[string]bool{}}
	client := peer.NewClient(peer.ClientOptions{
		Address: leader.name, Self: peer.Identity{Name: "gateway", Role: peer.RoleEntry}, Expect: leader.name, Handler: stub,
	})
	defer client.Close()
	c.wait("subscription", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := client.Call(ctx, wire.KindSubscribe, nil)
		return err == nil
	})
	var follower *Host
	for _, h := range c.hosts {
		if h != leader {
			follower = h
		}
	}
	sequence := int64(0)
	c.wait("all keys granted through a follower", func() bool {
		sequence++
		reply, err := follower.Heartbeat(context.Background(), keyrange.Heartbeat{
			Server:   keyrange.Server{ID: "s1", StartMillis: 1, Service: "stock", Address: "s1:80", Slots: 6},
			Sequence: sequence,
		})
		if err == nil && reply.HeartbeatAddress != leader.settings.ControlListen {
			t.Errorf("contact %q, want that of the leader", reply.HeartbeatAddress)
		}
		return err == nil && len(reply.Grants) > 0
	})
	c.wait("gateway knows the owner", func() bool { return stub.owner("0-65535") == "s1" })
	if err := follower.Leave(context.Background(), keyrange.Leave{ID: "s1", StartMillis: 1}); err != nil {
		t.Fatal(err)
	}
	c.wait("gateway knows that the owner leaves", func() bool {
		stub.mu.Lock()
		defer stub.mu.Unlock()
		return stub.left["s1"]
	})
}

func TestLeaderWithoutQuorumRefusesCalls(t *testing.T) {
	c := newCluster(t, "127.0.0.1", "127.0.0.2", "127.0.0.3")
	c.wait("leader", func() bool { return c.leader() != nil })
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
		t.Errorf("read %q without a quorum", document)
	}
	c.wait("heartbeats refused", func() bool {
		_, err := leader.Heartbeat(ctx, keyrange.Heartbeat{})
		return errors.Is(err, ErrUnavailable)
	})
}
