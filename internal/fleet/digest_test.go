package fleet

import (
	"context"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/serverload"
)

// digestStub is a gateway that only takes digests.
type digestStub struct{ digests chan serverload.Digest }

func (s *digestStub) Call(context.Context, *peer.Conn, int, []byte) ([]byte, error) { return nil, nil }
func (s *digestStub) Closed(*peer.Conn)                                             {}
func (s *digestStub) Notify(_ *peer.Conn, kind int, body []byte) {
	var d serverload.Digest
	if kind == wire.KindServerDigest && cbor.Unmarshal(body, &d) == nil {
		s.digests <- d
	}
}

// Guards against a gateway that does not learn what the others know of a server's load, at once or after it
// subscribed.
func TestLeaderSharesLoads(t *testing.T) {
	c := newCluster(t, "127.0.0.1")
	c.wait("a leader", func() bool { return c.leader() != nil })
	leader := c.leader()
	c.putUntilAccepted(put(0, 1))
	leader.mu.Lock()
	leader.leading.loads = &serverload.Tracker{} // as balance: work does
	leader.mu.Unlock()
	first := &digestStub{digests: make(chan serverload.Digest, 100)}
	client := c.subscribeHandler(leader, "gateway-1", first)
	sequence := int64(0)
	c.wait("the heartbeat to be taken", func() bool { // the leader drops those that come before it uses the configuration
		sequence++
		_, err := leader.Heartbeat(context.Background(), keyrange.Heartbeat{
			Server: keyrange.Server{ID: "s1", StartMillis: 1, Service: "stock", Address: "s1:80", Slots: 6}, Sequence: sequence,
		})
		leader.mu.Lock()
		defer leader.mu.Unlock()
		return err == nil && leader.leading.coordinator.Slots("s1", 1) > 0
	})
	body, err := cbor.Marshal(keyrange.LoadReport{Servers: []keyrange.ServerLoad{{ServerID: "s1", StartMillis: 1, Running: 6, Waiting: 3, ReportAge: 41}}})
	if err != nil {
		t.Fatal(err)
	}
	if err := client.Notify(wire.KindLoadReport, body); err != nil {
		t.Fatal(err)
	}
	expect := func(stub *digestStub) {
		t.Helper()
		var view serverload.View
		c.wait("a digest with the load of s1", func() bool {
			select {
			case d := <-stub.digests:
				if err := view.Apply(1, d); err != nil {
					t.Error(err)
				}
			default:
			}
			return view.Server(serverload.Hash("s1")).PerSlot == 1.5
		})
	}
	expect(first)
	second := &digestStub{digests: make(chan serverload.Digest, 100)}
	c.subscribeHandler(leader, "gateway-2", second)
	expect(second)
}
