package gateway

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenalug/galenalug/internal/fleet"
	"github.com/galenalug/galenalug/internal/settings"
	"github.com/galenalug/galenalug/routes"
)

const (
	// applyBound is the time after the acknowledgement of a configuration from which no gateway may
	// handle a request as only an older one allows.
	applyBound = 2500 * time.Millisecond
	// waitTimeout limits each wait for a condition.
	waitTimeout = 20 * time.Second
)

// system is a group of control hosts and a gateway that reaches them through a slow link.
type system struct {
	t       *testing.T
	gateway *fixture
	link    *slowLink
	config  routes.Config // the newest one that was put
	// evacuateMs is the setting of that name of the control hosts.
	evacuateMs float64

	mu       sync.Mutex             // guards controls
	controls map[string]*fleet.Host // by IP
}

func newSystem(t *testing.T, ips ...string) *system { return startSystem(&system{t: t}, ips...) }

// startSystem starts the hosts of a system.
func startSystem(s *system, ips ...string) *system {
	t := s.t
	_, portText, err := net.SplitHostPort(freePort(t))
	if err != nil {
		t.Fatal(err)
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		t.Fatal(err)
	}
	s.controls, s.link = map[string]*fleet.Host{}, &slowLink{bytesPerSecond: grownLinkBytes}
	var seeds []string
	for _, ip := range ips {
		seeds = append(seeds, ip+":1")
	}
	for _, ip := range ips {
		s.startControl(ip, port, seeds)
	}
	s.gateway = newFixtureWith(t, func(g *settings.GatewaySettings) { g.PeerPort, g.Seeds = port, seeds }, s.link.dial)
	return s
}

func (s *system) startControl(ip string, port int, seeds []string) {
	host, err := fleet.New(fleet.Options{
		Settings: &settings.FleetSettings{
			Name: ip, Domain: "d1", Ip: ip, PeerPort: port, Seeds: seeds, ControlListen: ip + ":2",
			DataDir: s.t.TempDir(), Bootstrap: true, ToleratedLosses: 1, LeaseMs: 600, DrainMs: 2500, ConfigApplyMs: 2500,
			ElectionMs: 200, RaftHeartbeatMs: 40, EvacuateMs: s.evacuateMs, Domains: map[string]string{"d1": "r1"},
		},
		Registry: prometheus.NewRegistry(),
	})
	if err != nil {
		s.t.Fatal(err)
	}
	if err := host.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.mu.Lock()
	s.controls[ip] = host
	s.mu.Unlock()
	s.t.Cleanup(func() { s.kill(ip) })
}

// hosts returns the control hosts that run.
func (s *system) hosts() []*fleet.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.controls))
}

// kill stops a control host without waiting for a leadership transfer.
func (s *system) kill(ip string) {
	s.mu.Lock()
	host := s.controls[ip]
	delete(s.controls, ip)
	s.mu.Unlock()
	if host == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = host.Stop(ctx)
}

// killLeader kills the leader and waits until another control host leads.
func (s *system) killLeader() {
	s.t.Helper()
	for ip, host := range s.controls {
		if host.Leads() {
			s.kill(ip)
		}
	}
	s.wait("a new leader", func() bool {
		for _, host := range s.controls {
			if host.Leads() {
				return true
			}
		}
		return false
	})
}

func (s *system) wait(what string, condition func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	s.t.Fatalf("timed out after %v waiting for %s", waitTimeout, what)
}

// put puts the next version, with more routes, and returns when it was acknowledged.
func (s *system) put(paths ...string) time.Time {
	s.t.Helper()
	next := s.config
	next.Version++
	if next.Services == nil {
		next.Services = testConfig().Services
	}
	next.Routes = append([]routes.Route(nil), s.config.Routes...)
	for _, path := range paths {
		next.Routes = append(next.Routes, routes.Route{
			Name: "route-" + path, Host: "depot.example", PathPrefix: "/" + path + "/", Kind: routes.Idempotent,
			TimeoutMillis: 1000, TargetMillis: 500, MaxAttempts: 2, Shares: []routes.Share{{Service: "stock", Weight: 1}},
		})
	}
	change := routes.Put{Base: s.config.Version, Config: next}
	s.wait(fmt.Sprintf("version %d to be acknowledged", next.Version), func() bool {
		for _, host := range s.controls {
			ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
			reply, err := host.Put(ctx, change)
			cancel()
			if err == nil && reply.Outcome != routes.OutcomeAccepted {
				s.t.Fatalf("put version %d: got %+v, want outcome accepted", next.Version, reply)
			}
			return err == nil
		}
		return false
	})
	s.config = next
	return time.Now()
}

// putMany puts a configuration of n routes.
func (s *system) putMany(n int) {
	s.t.Helper()
	paths := make([]string, n)
	for i := range paths {
		paths[i] = fmt.Sprintf("many-%d", i)
	}
	s.put(paths...)
}

// status returns the status that the gateway gives a request.
func (s *system) status(path string) int {
	s.t.Helper()
	response, _ := s.gateway.do(http.MethodGet, path, nil)
	return response.StatusCode
}

// awaitVersion waits until the gateway uses the newest configuration.
func (s *system) awaitVersion() {
	s.t.Helper()
	s.wait(fmt.Sprintf("version %d at the gateway", s.config.Version), func() bool {
		return s.gateway.host.view.configVersion() == s.config.Version
	})
}

// Guards against a request that is answered 404 by an older configuration: the gateway's link stalls,
// and a route is added meanwhile.
func TestStalledLinkNeverServesOldConfiguration(t *testing.T) {
	s := newSystem(t, "127.0.0.1")
	s.put("first")
	s.awaitVersion()
	s.link.setBacklog(time.Hour)
	defer s.link.setBacklog(0)
	acknowledged := s.put("added")
	for end := acknowledged.Add(2 * applyBound); time.Now().Before(end); {
		sent := time.Now()
		status := s.status("/added/1")
		if status == http.StatusNotFound && sent.Sub(acknowledged) > applyBound {
			t.Fatalf("request sent %v after the acknowledgement: status 404 by an older configuration", sent.Sub(acknowledged))
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against changes that queue up behind each other: a series of changes of a configuration of
// 1,640 routes reaches a gateway with a link of 4.3 Mbit/s.
func TestSeriesOfChangesOfLargeConfigurationArrivesInTime(t *testing.T) {
	const changes, interval = 25, 80 * time.Millisecond
	s := newSystem(t, "127.0.0.1")
	s.putMany(1640)
	s.awaitVersion()
	before := s.link.received()
	for i := range changes {
		s.put(fmt.Sprintf("added-%d", i))
		time.Sleep(interval)
	}
	acknowledged := time.Now()
	s.awaitVersion()
	if took := time.Since(acknowledged); took > applyBound {
		t.Errorf("the last of %d changes is in force %v after its acknowledgement, want at most %v", changes, took, applyBound)
	}
	t.Logf("%d bytes for %d changes", s.link.received()-before, changes)
}

// Guards against changes that are sent as whole configurations: a gateway must not receive more than
// 23 KB per second for control.
func TestChangeOfLargeConfigurationSendsLittle(t *testing.T) {
	const changes, interval = 25, 80 * time.Millisecond
	const budget = 23_000 // bytes per second
	s := newSystem(t, "127.0.0.1")
	s.putMany(1640)
	s.awaitVersion()
	before, started := s.link.received(), time.Now()
	for i := range changes {
		s.put(fmt.Sprintf("added-%d", i))
		time.Sleep(interval)
	}
	s.awaitVersion()
	received, took := s.link.received()-before, time.Since(started)
	if float64(received) > budget*took.Seconds() {
		t.Errorf("%d bytes received in %v for %d changes, want at most %d bytes per second", received, took, changes, budget)
	}
	if got := len(s.gateway.host.view.routes.Config().Routes); got != 1640+changes {
		t.Errorf("the gateway has %d routes, want %d", got, 1640+changes)
	}
}

// Guards against gateways that can't subscribe to a new leader while their link is full: each packet
// waits 700 ms.
func TestFullLinkReachesNewLeader(t *testing.T) {
	const packetDelay = 700 * time.Millisecond
	// After a change of leader, hosts that are not disturbed themselves count again after 4 s.
	const settleTime = 4 * time.Second
	s := newSystem(t, "127.0.0.1", "127.0.0.2", "127.0.0.3")
	s.put("first")
	s.awaitVersion()
	s.link.setBacklog(packetDelay)
	s.killLeader()
	elected := time.Now()
	s.put("added")
	s.awaitVersion()
	if took := time.Since(elected); took > settleTime+applyBound {
		t.Errorf("the gateway uses the new leader's configuration %v after its election, want at most %v", took, settleTime+applyBound)
	}
}

// Guards against changes that wait for the lease of a gateway that was stopped in an orderly way.
func TestStoppedGatewayDelaysNoAcknowledgement(t *testing.T) {
	s := newSystem(t, "127.0.0.1")
	s.put("first")
	s.awaitVersion()
	s.wait("a lease", func() bool { return s.gateway.host.view.mayUseConfig(clockNow()) })
	s.gateway.host.settings.StopSeconds = 1.2
	if err := s.gateway.host.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	started := time.Now()
	if took := s.put("added").Sub(started); took > time.Second {
		t.Errorf("acknowledged after %v, want at once", took)
	}
}

// Guards against requests that a gateway serves by a configuration whose age it does not know.
func TestExpiredLeaseRefusesRequests(t *testing.T) {
	server := newFakeBackend(t, okResponse("yes"))
	f := newFixture(t)
	f.publish(server)
	f.host.view.configLease.Drop()
	response, _ := f.do(http.MethodGet, "/look/1", nil)
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" || !response.Close {
		t.Errorf("status %d, header %v; want 503 with Retry-After on a connection that closes", response.StatusCode, response.Header)
	}
	if server.count() != 0 {
		t.Errorf("the server received %d requests, want none", server.count())
	}
	if f.host.view.mayUseConfig(clockNow()) {
		t.Error("the gateway says that it is ready")
	}
}
