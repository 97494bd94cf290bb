package fleet

import (
	"context"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/slotqueue"
)

// slotStub is a gateway that only takes answers to requests for slots.
type slotStub struct{ answers chan slotqueue.Answer }

func (s *slotStub) Call(context.Context, *peer.Conn, int, []byte) ([]byte, error) { return nil, nil }
func (s *slotStub) Closed(*peer.Conn)                                             {}
func (s *slotStub) Notify(_ *peer.Conn, kind int, body []byte) {
	var a slotqueue.Answer
	if kind == wire.KindSlotAnswer && cbor.Unmarshal(body, &a) == nil {
		s.answers <- a
	}
}

// Guards against a leader whose queue does not know the servers, does not answer gateways, or does not take slots back.
func TestLeaderAssignsSlots(t *testing.T) {
	c := newCluster(t, "127.0.0.1")
	c.wait("a leader", func() bool { return c.leader() != nil })
	leader, sequence := c.leader(), int64(0)
	c.putUntilAccepted(put(0, 1))
	c.wait("the queue of the service", func() bool {
		sequence++
		server := keyrange.Server{ID: "s1", StartMillis: 3, Service: "stock", Address: "s1:80", Slots: 1}
		_, _ = leader.Heartbeat(context.Background(), keyrange.Heartbeat{Server: server, Sequence: sequence})
		leader.mu.Lock()
		defer leader.mu.Unlock()
		leader.updateSlotQueues(clock.Now(), leader.leading, []string{"stock"})
		return len(leader.slotServers(clock.Now(), leader.leading, "stock")) == 1
	})
	stub := &slotStub{answers: make(chan slotqueue.Answer, 10)}
	client := c.subscribeHandler(leader, "gateway-1", stub)
	send := func(kind int, message any) {
		t.Helper()
		body, err := cbor.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		if err := client.Notify(kind, body); err != nil {
			t.Fatal(err)
		}
	}
	request := slotqueue.Request{ID: 1, Service: "stock", WorkMicros: 1000, TargetMillis: 60_000, DeadlineMillis: 60_000}
	for id := int64(1); id <= 3; id++ { // one runs, one may wait at the server, and one waits in the queue
		request.ID = id
		send(wire.KindSlotRequest, request)
	}
	for id := int64(1); id <= 3; id++ {
		if a := <-stub.answers; a.ID != id || a.ServerID != "s1" || a.StartMillis != 3 {
			t.Fatalf("answer %+v, want a slot of s1 for request %d", a, id)
		}
		send(wire.KindSlotRelease, slotqueue.Release{ID: id, Outcome: slotqueue.Served, AtServerMicros: 1000})
	}
}

// Guards against a queue that fills servers that warm up as if they had their usual speed.
func TestServersThatWarmUpGetFewerSlots(t *testing.T) {
	c := newCluster(t, "127.0.0.1")
	c.wait("a leader", func() bool { return c.leader() != nil })
	leader := c.leader()
	p := put(0, 1)
	p.Config.Services[0].Keyed = false
	c.putUntilAccepted(p)
	server := &keyrange.Server{ID: "s1", StartMillis: 3, Service: "stock", Address: "s1:80", Slots: 4, WarmupMillis: 60_000}
	ctx, cancel := context.WithCancel(context.Background())
	loops := c.beatUntil(ctx, server)
	defer loops.Wait()
	defer cancel()
	var servers []slotqueue.Server
	c.wait("the server", func() bool {
		leader.mu.Lock()
		defer leader.mu.Unlock()
		servers = leader.slotServers(clock.Now(), leader.leading, "stock")
		return len(servers) == 1
	})
	if servers[0].Speed != keyrange.WarmupFactor {
		t.Errorf("speed %v during the warm-up, want %v", servers[0].Speed, keyrange.WarmupFactor)
	}
}
