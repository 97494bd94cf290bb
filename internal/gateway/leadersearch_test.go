package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/keyrange"
)

// flakyLeader is a control host that drops its first connection and accepts subscriptions on later
// ones.
type flakyLeader struct{ calls atomic.Int64 }

func (f *flakyLeader) Call(_ context.Context, from *peer.Conn, _ int, _ []byte) ([]byte, error) {
	if f.calls.Add(1) == 1 {
		from.Close()
		return nil, &peer.Error{Code: wire.CodeNotLeader}
	}
	return nil, nil
}
func (f *flakyLeader) Notify(*peer.Conn, int, []byte) {}
func (f *flakyLeader) Closed(*peer.Conn)              {}

// Guards against a new subscription that is given up at once because an earlier connection to the same
// control host had ended.
func TestSubscriptionOutlivesEarlierConnection(t *testing.T) {
	address := freePort(t)
	server, err := peer.NewServer(peer.ServerOptions{
		Listen: address, Self: peer.Identity{Name: address, Role: peer.RoleControl}, Handler: &flakyLeader{},
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	defer server.Stop(context.Background())
	l := &leaderLink{
		self: peer.Identity{Name: "gateway-1", Role: peer.RoleEntry}, metrics: peer.NewMetrics(nil), view: newView(time.Second),
		seeds: func() []string { return []string{address} }, report: func() keyrange.LoadReport { return keyrange.LoadReport{} },
	}
	s := l.search(context.Background())
	if s == nil {
		t.Fatal("no subscription")
	}
	defer s.client.Close()
	select {
	case <-s.ended:
		t.Error("the subscription counts as ended, but its connection is open")
	case <-time.After(200 * time.Millisecond):
	}
}
