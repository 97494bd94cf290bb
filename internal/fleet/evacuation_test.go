package fleet

import (
	"context"
	"net/http"
	"net/http/httptest"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/evacuation"
	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/routes"
	"github.com/galenalug/galenalug/warmup"
)

// leaseOverBound is the time for which a gateway that can't be reached delays a start: its lease of 5 s and the drift of clocks, less
// the bound of evacuatingCluster without the time of a request on its way.
const leaseOverBound = 5050*time.Millisecond - (2500*time.Millisecond - evacuation.TransitTime)

// evacuatingCluster starts a cluster that offers evacuations.
func evacuatingCluster(t *testing.T, ips ...string) *cluster {
	c := startCluster(&cluster{t: t, evacuateMs: 2500}, ips...)
	c.wait("a leader", func() bool { return c.leader() != nil })
	c.putUntilAccepted(put(0, 1))
	return c
}

func startOf(domain string) evacuation.Change {
	return evacuation.Change{Domain: domain, Start: true, Millis: time.Now().UnixMilli(), By: "test"}
}

// call repeats a change at all hosts until it is acknowledged, as operators do, and returns how long that took.
func (c *cluster) call(change evacuation.Change) time.Duration {
	c.t.Helper()
	started := time.Now()
	c.wait("a change of "+change.Domain+" to be acknowledged", func() bool {
		for _, h := range c.hosts {
			ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
			err := h.Evacuate(ctx, change, clock.Now())
			cancel()
			if err == nil {
				return true
			}
		}
		return false
	})
	return time.Since(started)
}

// evacuationStub is a gateway that uses the sets that it is sent, and reports them unless it is silent.
type evacuationStub struct {
	mu     sync.Mutex // guards the fields below
	client *peer.Client
	sets   []evacuation.Set
	silent bool
}

func (g *evacuationStub) Call(context.Context, *peer.Conn, int, []byte) ([]byte, error) {
	return nil, nil
}
func (g *evacuationStub) Closed(*peer.Conn) {}
func (g *evacuationStub) Notify(_ *peer.Conn, kind int, body []byte) {
	var update evacuation.Update
	if kind != wire.KindEvacuations || cbor.Unmarshal(body, &update) != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sets = append(g.sets, update.Set)
	if g.client != nil && !g.silent {
		go reportInForce(g.client, update.Set.Revision)
	}
}

func (g *evacuationStub) newest() evacuation.Set {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.sets) == 0 {
		return evacuation.Set{}
	}
	return g.sets[len(g.sets)-1]
}

// reportInForce reports configuration 1 and a revision, and returns the lease; 0 also if the report fails.
func reportInForce(client *peer.Client, revision uint64) time.Duration {
	body, err := cbor.Marshal(routes.ConfigReport{Version: 1, Evacuations: revision})
	if err != nil {
		return 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	replyBody, err := client.Call(ctx, wire.KindConfigReport, body)
	var reply routes.ConfigReportReply
	if err != nil || cbor.Unmarshal(replyBody, &reply) != nil {
		return 0
	}
	return time.Duration(reply.LeaseMillis) * time.Millisecond
}

// gateway connects a stub to the leader, with a lease.
func (c *cluster) gateway(name string, silent bool) (*evacuationStub, *peer.Client) {
	stub := &evacuationStub{silent: silent}
	client := c.subscribeHandler(c.leader(), name, stub)
	c.wait("the first set at "+name, func() bool {
		stub.mu.Lock()
		defer stub.mu.Unlock()
		return len(stub.sets) > 0
	})
	if lease := reportInForce(client, stub.newest().Revision); lease != 5*time.Second {
		c.t.Errorf("%s: lease %v on the newest set, want 5s", name, lease)
	}
	stub.mu.Lock()
	defer stub.mu.Unlock()
	stub.client = client
	return stub, client
}

// Guards against an acknowledgement while a gateway may send to the domain for longer than the bound: one gateway
// reports the set, the other has a lease without it. And against one that waits for longer than needed.
func TestStartWaitsForGatewaysOrTheirLeases(t *testing.T) {
	c := evacuatingCluster(t, "127.0.0.1")
	c.gateway("answering", false)
	if took := c.call(startOf("d1")); took > leaseOverBound/2 {
		t.Errorf("start acknowledged after %v though all gateways answer, want at once", took)
	}
	_, silent := c.gateway("silent", true)
	leased := time.Now()
	reportInForce(silent, 1)
	c.call(startOf("d2"))
	if waited := time.Since(leased); waited < leaseOverBound || waited > leaseOverBound+2*time.Second {
		t.Errorf("start acknowledged %v after the lease of a silent gateway began, want about %v", waited, leaseOverBound)
	}
	if lease := reportInForce(silent, 1); lease != 0 {
		t.Errorf("lease of %v on an older set, want none", lease)
	}
	if lease := reportInForce(silent, 2); lease == 0 {
		t.Error("no lease on the newest set")
	}
}

// Guards against a start that is lost with the leader between its commit and its acknowledgement, and against a new leader that
// acknowledges it although a gateway that it does not know may hold a lease.
func TestStartSurvivesTheLeaderBeforeItsAcknowledgement(t *testing.T) {
	c := evacuatingCluster(t, "127.0.0.1", "127.0.0.2", "127.0.0.3")
	c.gateway("silent", true)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	leader := c.leader()
	if err := leader.Evacuate(ctx, startOf("d1"), clock.Now()); !errors.Is(err, ErrUnknownOutcome) {
		t.Errorf("start while a gateway lacks it: error %v, want %v", err, ErrUnknownOutcome)
	}
	killed := time.Now()
	c.kill(leader)
	c.wait("a second leader", func() bool { return c.leader() != nil })
	if set := c.leader().state.evacuationSet(); set.Revision != 1 {
		t.Errorf("the new leader has revision %d, want 1", set.Revision)
	}
	c.call(startOf("d1"))
	if waited := time.Since(killed); waited < leaseOverBound {
		t.Errorf("acknowledged %v after the loss of the leader, want at least %v", waited, leaseOverBound)
	}
	if set := c.leader().state.evacuationSet(); set.Revision != 1 {
		t.Errorf("revision %d after the repeated start, want 1", set.Revision)
	}
	// The answer was lost: the call is repeated at each of the hosts and acknowledged again.
	for _, h := range c.hosts {
		if err := h.Evacuate(context.Background(), startOf("d1"), clock.Now()); err != nil {
			t.Errorf("repeated start at %s: %v", h.name, err)
		}
	}
}

// Guards against a leader that takes over just after the end of an evacuation and counts the servers of the domain as warm.
func TestNewLeaderCountsServersAsColdAfterEndedEvacuation(t *testing.T) {
	c := evacuatingCluster(t, "127.0.0.1", "127.0.0.2", "127.0.0.3")
	limited := put(1, 2)
	limited.Config.Services[0].WarmupMillis, limited.Config.Services[0].WarmupPerSecond = 30_000, 5.5
	c.putUntilAccepted(limited)
	c.call(startOf("d1"))
	c.call(evacuation.Change{Domain: "d1", Millis: time.Now().UnixMilli(), By: "test"})
	c.kill(c.leader())
	c.wait("a second leader", func() bool { return c.leader() != nil })
	leader := c.leader()
	for domain, cold := range map[string]int{"d1": 1, "d2": 0} {
		hb := keyrange.Heartbeat{Server: keyrange.Server{
			ID: "in-" + domain, Service: "stock", Address: "10.0.0." + domain[1:] + ":80", Domain: domain, Slots: 6, StartMillis: 1,
		}, Sequence: 1}
		leader.mu.Lock()
		coordinator := leader.leading.coordinator
		coordinator.Heartbeat(clock.Now(), hb)
		got := 0
		for _, s := range coordinator.ColdServers() {
			if s.ServerID == hb.Server.ID && s.Cause == warmup.CauseEvacuation {
				got++
			}
		}
		leader.mu.Unlock()
		if got != cold {
			t.Errorf("%s counts as cold: %d, want %d", hb.Server.ID, got, cold)
		}
	}
}

// Guards against evacuations that are lost with power on all hosts, and against a gateway that was cut off and serves before it
// has read the newest set.
func TestSetSurvivesRestartOfAllHosts(t *testing.T) {
	c := evacuatingCluster(t, "127.0.0.1", "127.0.0.2", "127.0.0.3")
	for _, change := range []evacuation.Change{startOf("d1"), {Domain: "d1"}, startOf("d1"), startOf("d2")} {
		c.call(change)
	}
	for _, h := range c.hosts {
		c.kill(h)
	}
	for ip := range c.dirs {
		c.start(ip, false)
	}
	c.wait("a leader", func() bool { return c.leader() != nil })
	stub, client := c.gateway("cut-off", true)
	if set := stub.newest(); set.Revision != 4 || !slices.Equal(set.Names(), []string{"d1", "d2"}) {
		t.Errorf("set after the restart: %+v, want both domains at revision 4", set)
	}
	if lease := reportInForce(client, 3); lease != 0 {
		t.Errorf("lease of %v on the set from before the gateway was cut off, want none", lease)
	}
}

// Guards against a set that is lost once the log is replaced by a snapshot.
func TestSnapshotHasTheSet(t *testing.T) {
	state, restored := &fleetState{onChange: func() {}}, &fleetState{onChange: func() {}}
	entry, err := cbor.Marshal(command{ConditionalEvacuation: &evacuation.ConditionalChange{Change: startOf("d1")}})
	if err != nil {
		t.Fatal(err)
	}
	state.Apply(1, entry)
	snapshot, err := state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := restored.Restore(1, snapshot); err != nil {
		t.Fatal(err)
	}
	if got, want := restored.evacuationSet(), state.evacuationSet(); want.Revision != 1 || !reflect.DeepEqual(got, want) {
		t.Errorf("restored %+v, want %+v at revision 1", got, want)
	}
	if got := restored.evacuationSequence("d1"); got != 1 {
		t.Errorf("restored sequence number %d, want 1: a late copy of a call would take effect", got)
	}
}

// endOf is the opposite of startOf.
func endOf(domain string) evacuation.Change {
	return evacuation.Change{Domain: domain, Millis: time.Now().UnixMilli(), By: "test"}
}

// Guards against a control host that has stood still and then sends on an end that its caller has long repeated elsewhere,
// and so ends an evacuation that was acknowledged since (review/7).
func TestLateEndDoesNotEndALaterEvacuation(t *testing.T) {
	c := evacuatingCluster(t, "127.0.0.1", "127.0.0.2", "127.0.0.3")
	c.call(startOf("d1"))
	received := clock.Now()
	time.Sleep(evacuation.CallerPatience + 100*time.Millisecond)
	c.call(endOf("d1"))
	c.call(startOf("d1"))
	for _, h := range c.hosts {
		if err := h.Evacuate(context.Background(), endOf("d1"), received); !errors.Is(err, ErrUnavailable) {
			t.Errorf("late end at %s: error %v, want %v", h.name, err, ErrUnavailable)
		}
	}
	if set := c.leader().state.evacuationSet(); !set.InForce(startOf("d1")) {
		t.Error("the late end has ended an evacuation that was acknowledged after it")
	}
}

// Guards against an end that is delayed between hosts or at the leader, and against a host whose replica lags and refuses a
// call in time.
func TestChangeOnAnOlderSequenceNumberIsTriedAgainByItsHostOnly(t *testing.T) {
	c := evacuatingCluster(t, "127.0.0.1", "127.0.0.2", "127.0.0.3")
	c.call(startOf("d1"))
	for _, h := range c.hosts {
		reply, err := h.changeEvacuation(context.Background(), evacuation.ConditionalChange{Change: endOf("d1")})
		if err != nil || !reply.Outdated || reply.Sequence == 0 {
			t.Errorf("end on sequence number 0 at %s: %+v, %v, want it outdated", h.name, reply, err)
		}
	}
	if set := c.leader().state.evacuationSet(); !set.InForce(startOf("d1")) {
		t.Error("an outdated end has ended the evacuation")
	}
	for _, h := range c.hosts { // those that do not lead may not have the latest sequence number yet
		for _, change := range []evacuation.Change{endOf("d1"), startOf("d1")} {
			if err := h.Evacuate(context.Background(), change, clock.Now()); err != nil {
				t.Errorf("start %v in time at %s: %v", change.Start, h.name, err)
			}
		}
	}
}

// Guards against evacuations in a deployment that does not ask for them: no message, no condition on leases.
func TestWithoutSettingNothingIsOffered(t *testing.T) {
	c := newCluster(t, "127.0.0.1")
	c.wait("a leader", func() bool { return c.leader() != nil })
	c.putUntilAccepted(put(0, 1))
	stub := &evacuationStub{}
	client := c.subscribeHandler(c.leader(), "gateway", stub)
	if lease := reportInForce(client, 7); lease != 5*time.Second {
		t.Errorf("lease %v, want 5s whatever the revision", lease)
	}
	if err := c.leader().Evacuate(context.Background(), startOf("d1"), clock.Now()); !errors.Is(err, ErrUnknownDomain) {
		t.Errorf("start: %v, want %v", err, ErrUnknownDomain)
	}
	stub.mu.Lock()
	defer stub.mu.Unlock()
	if len(stub.sets) > 0 {
		t.Errorf("%d sets sent, want none", len(stub.sets))
	}
}

// Guards against operators who can't see who evacuated what and what is left there, against an end that gateways do not hear of, and
// against calls about domains that do not exist.
func TestOperatorsStartWatchAndEndEvacuations(t *testing.T) {
	c := evacuatingCluster(t, "127.0.0.1")
	stub, client := c.gateway("gateway", false)
	server := httptest.NewServer(c.leader().OperatorAPI(nil, true))
	t.Cleanup(server.Close)
	call := func(method, path string, want int) string {
		r, err := http.NewRequest(method, server.URL+wire.PathEvacuations+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set(headerOperator, "kim")
		status, text := send(t, server, r)
		if status != want {
			t.Errorf("%s %s: got %d %s, want %d", method, path, status, text, want)
		}
		return text
	}
	call("POST", "/d9/start", http.StatusNotFound)
	call("POST", "/d1/start", http.StatusOK)
	body, err := cbor.Marshal(evacuation.Traffic{Domains: []evacuation.Sent{{Domain: "d1", Requests: 3}}})
	if err != nil {
		t.Fatal(err)
	}
	if err := client.Notify(wire.KindEvacuationSent, body); err != nil {
		t.Fatal(err)
	}
	text := ""
	c.wait("the report of the gateway", func() bool {
		text = call("GET", "", http.StatusOK)
		return strings.Contains(text, `"requests":3`)
	})
	if !strings.Contains(text, `"started_by":"kim"`) || !strings.Contains(text, `"revision":1`) {
		t.Errorf("status %s, want the operator and the revision", text)
	}
	call("POST", "/d1/end", http.StatusOK)
	c.wait("the end at the gateway", func() bool { return stub.newest().Revision == 2 && len(stub.newest().Domains) == 0 })
}
