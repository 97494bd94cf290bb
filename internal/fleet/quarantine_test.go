package fleet

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/quarantine"
)

// quarantineStub is a gateway that only keeps what it is told of quarantined requests.
type quarantineStub struct {
	mu    sync.Mutex // guards table
	table *quarantine.Gateway
}

// Call implements peer.Handler.
func (s *quarantineStub) Call(context.Context, *peer.Conn, int, []byte) ([]byte, error) {
	return nil, &peer.Error{Code: wire.CodeInvalid}
}

// Notify implements peer.Handler.
func (s *quarantineStub) Notify(_ *peer.Conn, kind int, body []byte) {
	var u quarantine.Update
	if kind != wire.KindQuarantine || cbor.Unmarshal(body, &u) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Apply(0, u)
}

// Closed implements peer.Handler.
func (s *quarantineStub) Closed(*peer.Conn) {}

func (s *quarantineStub) state(fingerprint string) quarantine.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.State(0, fingerprint)
}

func (c *cluster) subscribeQuarantineStub(leader *Host, name string) *quarantineStub {
	c.t.Helper()
	stub := &quarantineStub{table: quarantine.NewGateway()}
	c.subscribeHandler(leader, name, stub)
	return stub
}

// Guards against a request that crashes a server through each gateway in turn: each of them sees one crash.
func TestGatewaysShareEvidenceOfCrashes(t *testing.T) {
	c := newCluster(t, "127.0.0.1")
	c.wait("a leader", func() bool { return c.leader() != nil })
	leader := c.leader()
	early := c.subscribeQuarantineStub(leader, "gateway-early")
	request := quarantine.Fingerprint([]byte("crashing"))
	for i, gateway := range []string{"gateway-1", "gateway-2", "gateway-3"} {
		client := c.subscribeStub(leader, gateway)
		report := quarantine.Report{Crashes: []quarantine.Crash{{ServerID: gateway, StartMillis: int64(i), Requests: []string{request}}}}
		body, err := cbor.Marshal(report)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(300 * time.Millisecond) // crashes at the same moment would count once
		if err := client.Notify(wire.KindCrashReport, body); err != nil {
			t.Fatal(err)
		}
		c.wait("crash", func() bool { return early.state(request).Crashes == i+1 })
	}
	if early.state(request).Quarantined == 0 {
		t.Error("the third crash has not quarantined the request")
	}
	if late := c.subscribeQuarantineStub(leader, "gateway-late"); late.state(request).Quarantined == 0 {
		t.Error("a gateway that subscribes later does not learn of the quarantine")
	}
	reply, err := leader.permitRun(quarantine.PermitRequest{Request: request, ServerID: "s9"})
	if err != nil || reply.Granted {
		t.Errorf("permit for a quarantined request: %+v, %v", reply, err)
	}
}
