package fleet

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/routes"
)

// gatedConn is a connection from which nothing can be read while the gate is closed.
type gatedConn struct {
	net.Conn
	closed *atomic.Bool
}

func (c gatedConn) Read(p []byte) (int, error) {
	for c.closed.Load() {
		time.Sleep(5 * time.Millisecond)
	}
	return c.Conn.Read(p)
}

// tableRecorder is a peer handler that records table updates.
type tableRecorder struct{ updates chan keyrange.TableUpdate }

func (r *tableRecorder) Call(context.Context, *peer.Conn, int, []byte) ([]byte, error) {
	return nil, nil
}
func (r *tableRecorder) Closed(*peer.Conn) {}
func (r *tableRecorder) Notify(_ *peer.Conn, kind int, body []byte) {
	var update keyrange.TableUpdate
	if kind == wire.KindFleetTable && decodeTable(body, &update) {
		r.updates <- update
	}
}

// heartbeat sends one heartbeat of the server with the given number.
func heartbeat(t *testing.T, leader *Host, server int, sequence int64) {
	id := string(rune('a'+server%26)) + string(rune('a'+server/26))
	_, err := leader.Heartbeat(context.Background(), keyrange.Heartbeat{
		Server: keyrange.Server{ID: id, StartMillis: 1, Service: "photos", Address: id + ":80", Slots: 6}, Sequence: sequence,
	})
	if err != nil {
		t.Error(err)
	}
}

// keepAlive goes on sending heartbeats of the servers, since the leader forgets silent ones, until the
// returned function is called.
func keepAlive(t *testing.T, leader *Host, servers int) (stop func()) {
	ended, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for sequence := int64(2); ; sequence++ {
			for i := range servers {
				heartbeat(t, leader, i, sequence)
			}
			select {
			case <-ended:
				return
			case <-time.After(300 * time.Millisecond):
			}
		}
	}()
	return func() {
		close(ended)
		<-done
	}
}

// Guards against updates that queue up for a gateway with a slow link until its connection is closed:
// it misses updates, and gets the newest table when its link has caught up.
func TestSlowGatewayGetsNewestTable(t *testing.T) {
	const blockingBytes, servers = 15 << 20, 120
	c := newCluster(t, "127.0.0.1")
	c.wait("a leader", func() bool { return c.leader() != nil })
	leader := c.leader()
	config := put(0, 1)
	config.Config.Services = append(config.Config.Services, routes.Service{Name: "photos"})
	c.putUntilAccepted(config)
	var closed atomic.Bool
	recorder := &tableRecorder{updates: make(chan keyrange.TableUpdate, 4*servers)}
	client := peer.NewClient(peer.ClientOptions{
		Address: leader.name, Self: peer.Identity{Name: "slow", Role: peer.RoleEntry}, ExpectedName: leader.name, Handler: recorder,
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return gatedConn{conn, &closed}, err
		},
	})
	defer client.Close()
	c.wait("subscription", func() bool {
		_, err := client.Call(context.Background(), wire.KindSubscribe, firstSubscription)
		return err == nil
	})
	closed.Store(true)
	leader.mu.Lock()
	for conn := range leader.subscribers { // the first message occupies the link, the second the queue
		_ = conn.Notify(wire.KindReport, make([]byte, blockingBytes))
		_ = conn.Notify(wire.KindReport, make([]byte, 2*maxQueuedBytes))
	}
	leader.mu.Unlock()
	for i := range servers {
		heartbeat(t, leader, i, 1)
		time.Sleep(minPublishInterval / 5)
	}
	defer keepAlive(t, leader, servers)()
	c.wait("the updates to be published", func() bool { return len(leader.publishRequests) == 0 })
	closed.Store(false)
	known, updates := map[string]bool{}, 0
	for deadline := time.After(waitTimeout); len(known) < servers; {
		select {
		case update := <-recorder.updates:
			updates++
			for _, s := range update.Servers {
				known[s.ID] = true
			}
		case <-deadline:
			t.Fatalf("the gateway knows %d servers after %d updates, want %d", len(known), updates, servers)
		}
	}
	if !client.Connected() {
		t.Error("the connection was closed")
	}
	if updates > 8 {
		t.Errorf("%d updates were sent over the slow link, want only the newest table", updates)
	}
}
