package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/keyrange"
)

// Deployment size and load of BenchmarkLeader.
const (
	benchServers           = 353
	benchGateways          = 87
	benchHeartbeatInterval = 870 * time.Millisecond
	benchReportInterval    = 250 * time.Millisecond
	benchRequestsPerSecond = 15 // per gateway
	benchHotKeys           = 200
)

// BenchmarkLeader measures a leader that processes the heartbeats of benchServers servers and the
// load reports of benchGateways gateways. Each iteration takes one second of real time. Half of the
// requests go to benchHotKeys adjacent keys, which change every four seconds.
func BenchmarkLeader(b *testing.B) {
	c := newCluster(b, "127.0.0.1", "127.0.0.2", "127.0.0.3")
	c.wait("a leader", func() bool { return c.leader() != nil })
	c.putUntilAccepted(put(0, 1))
	leader := c.leader()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var running sync.WaitGroup
	started := time.Now()
	for i := range benchServers {
		running.Go(func() { sendHeartbeats(ctx, leader, i) })
	}
	var updates updateCount
	for i := range benchGateways {
		client := peer.NewClient(peer.ClientOptions{
			Address: leader.name, Self: peer.Identity{Name: fmt.Sprint("gateway-", i), Role: peer.RoleEntry},
			ExpectedName: leader.name, Handler: &updates,
		})
		defer client.Close()
		running.Go(func() { sendLoadReports(ctx, client, started) })
	}
	measured := time.Now()
	b.ResetTimer()
	for range b.N {
		time.Sleep(time.Second)
	}
	b.StopTimer()
	grants := float64(0)
	for _, e := range leader.keyEvents.All() {
		if e.At.After(measured) && e.Entry.Kind == string(keyrange.EventGranted) {
			grants++
		}
	}
	b.ReportMetric(grants/float64(b.N), "grants/s")
	b.ReportMetric(float64(len(leader.state.grants())), "records")
	b.ReportMetric(float64(updates.count())/float64(b.N)/benchGateways, "updates/gateway/s")
	cancel()
	running.Wait()
}

// sendHeartbeats sends the heartbeats of server i, which takes every granted range and releases
// every revoked one.
func sendHeartbeats(ctx context.Context, leader *Host, i int) {
	hb := keyrange.Heartbeat{Server: keyrange.Server{
		ID: fmt.Sprint("s", i), StartMillis: 1, Service: "stock", Address: fmt.Sprint("s", i, ":80"), Slots: 6,
	}}
	next := time.Duration(rand.Int64N(int64(benchHeartbeatInterval)))
	for clock.Sleep(ctx, next) {
		hb.Sequence++
		reply, err := leader.Heartbeat(ctx, hb)
		next = benchHeartbeatInterval
		if err != nil {
			continue
		}
		granted := map[keyrange.Range]bool{}
		hb.Released = nil
		var holds []keyrange.Range
		for _, g := range reply.Grants {
			r := keyrange.Range{From: g.From, To: g.To, Token: g.Token}
			granted[r] = true
			holds = append(holds, r)
		}
		for _, r := range hb.Holds {
			if !granted[r] {
				hb.Released = append(hb.Released, keyrange.Release{From: r.From, To: r.To, Handover: "h"})
				next = benchHeartbeatInterval / 9
			}
		}
		hb.Holds = holds
	}
}

// sendLoadReports subscribes a gateway and sends its load reports.
func sendLoadReports(ctx context.Context, client *peer.Client, started time.Time) {
	for {
		callContext, cancel := context.WithTimeout(ctx, time.Second)
		_, err := client.Call(callContext, wire.KindSubscribe, firstSubscription)
		cancel()
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	for clock.Sleep(ctx, benchReportInterval) {
		firstHotKey := time.Since(started).Milliseconds() / 4000 * 7919 % keySpace
		counts := map[int64]int64{}
		for range int(benchRequestsPerSecond * benchReportInterval / time.Second) {
			key := rand.Int64N(keySpace)
			if rand.IntN(2) == 0 {
				key = (firstHotKey + rand.Int64N(benchHotKeys)) % keySpace
			}
			counts[key]++
		}
		load := keyrange.ServiceLoad{Service: "stock"}
		for key, count := range counts {
			load.Keys = append(load.Keys, keyrange.KeyLoad{Key: key, Count: count})
		}
		body, err := cbor.Marshal(keyrange.LoadReport{Services: []keyrange.ServiceLoad{load}})
		if err == nil {
			_ = client.Notify(wire.KindLoadReport, body)
		}
	}
}

// updateCount is a peer handler that counts the table updates received by gateways.
type updateCount struct {
	mu sync.Mutex
	n  int
}

func (u *updateCount) Call(context.Context, *peer.Conn, int, []byte) ([]byte, error) { return nil, nil }
func (u *updateCount) Closed(*peer.Conn)                                             {}
func (u *updateCount) Notify(*peer.Conn, int, []byte) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.n++
}

func (u *updateCount) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.n
}
