package gateway

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/fleet"
	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/keyrange"
)

const (
	// subscribeTimeout bounds the opening of a connection and the subscription.
	subscribeTimeout = 500 * time.Millisecond
	// nextContactWait is the wait before the next control host is asked.
	nextContactWait = 20 * time.Millisecond
	// reportInterval is the time between two load reports.
	reportInterval = 250 * time.Millisecond
)

// link keeps one subscription with the leader of the control hosts.
type link struct {
	self    peer.Identity
	secret  []byte
	metrics *peer.Metrics
	seeds   func() []string
	view    *view
	report  func(span time.Duration) keyrange.LoadReport

	lostAt atomic.Int64 // when the newest subscription ended, on clock.Now; 0 while one stands
}

// lostFor returns how long there has been no subscription.
func (l *link) lostFor(now time.Duration) time.Duration {
	lost := time.Duration(l.lostAt.Load())
	if lost == 0 {
		return 0
	}
	return now - lost
}

// run subscribes to one leader after another until the context ends.
func (l *link) run(ctx context.Context) {
	hint := ""
	for ctx.Err() == nil {
		for _, address := range l.candidates(hint) {
			hint = l.follow(ctx, address)
			if hint != "" || ctx.Err() != nil {
				break
			}
			wait(ctx, nextContactWait)
		}
	}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// candidates returns the control hosts to ask: the one named as the leader, those
// of the newest table, and the seeds, each in random order.
func (l *link) candidates(hint string) []string {
	known := l.view.contacts()
	rand.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	seeds := l.seeds()
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	if hint != "" {
		return append([]string{hint}, append(known, seeds...)...)
	}
	return append(known, seeds...)
}

// follow subscribes at a control host and stays until the connection ends. It
// returns the address of the leader if another host was named.
func (l *link) follow(ctx context.Context, address string) string {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	connected := make(chan struct{}, 1)
	ended := make(chan struct{}, 1)
	client := peer.NewClient(peer.ClientOptions{
		Address:   address,
		Self:      l.self,
		Expect:    address,
		Secret:    l.secret,
		Handler:   &updates{view: l.view, ended: ended},
		OnConnect: func() { signal(connected) },
		Seed:      rand.Uint64(),
		Limits:    fleet.PeerLimits(),
		Metrics:   l.metrics,
	})
	defer client.Close()
	leader, err := l.subscribe(ctx, client, connected)
	if err != nil {
		log.WithFields(log.Fields{"contact": address, "leader": leader, "error": err.Error()}).Debug("no subscription")
		return leader
	}
	log.WithField("control", address).Info("control host connected")
	l.lostAt.Store(0)
	l.reportLoad(ctx, client, ended)
	l.lostAt.Store(int64(clockNow()))
	log.WithField("control", address).Warn("control host lost; going on with the table known")
	return ""
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// subscribe returns the leader's address along with an error if the host named
// another leader.
func (l *link) subscribe(ctx context.Context, client *peer.Client, connected <-chan struct{}) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, subscribeTimeout)
	defer cancel()
	select {
	case <-connected:
	case <-ctx.Done():
		return "", ctx.Err()
	}
	_, err := client.Call(ctx, wire.KindSubscribe, nil)
	var refused *peer.Error
	if errors.As(err, &refused) && refused.Code == wire.CodeNotLeader {
		return refused.Detail, err
	}
	return "", err
}

// reportLoad sends load reports until the connection ends.
func (l *link) reportLoad(ctx context.Context, client *peer.Client, ended <-chan struct{}) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ended:
			return
		case <-ticker.C:
		}
		report := l.report(reportInterval)
		if len(report.Services) == 0 && len(report.Servers) == 0 {
			continue
		}
		body, err := cbor.Marshal(report)
		if err != nil {
			log.WithError(err).Error("encode load report")
			continue
		}
		if err := client.Notify(wire.KindLoadReport, body); err != nil {
			log.WithError(err).Debug("load report not sent")
		}
	}
}

// updates takes the leader's notifications.
type updates struct {
	view  *view
	ended chan struct{}
}

// Call implements peer.Handler; control hosts don't call gateways.
func (u *updates) Call(context.Context, *peer.Conn, int, []byte) ([]byte, error) {
	return nil, &peer.Error{Code: wire.CodeInvalid, Detail: "no calls are taken"}
}

// Notify takes an update of the table.
func (u *updates) Notify(from *peer.Conn, kind int, body []byte) {
	if kind != wire.KindFleetTable {
		return
	}
	var update keyrange.TableUpdate
	if err := cbor.Unmarshal(body, &update); err != nil {
		log.WithError(err).Error("table can't be read; subscribing anew")
		from.Close()
		return
	}
	u.view.apply(clockNow(), update)
}

// Closed tells that the connection ended.
func (u *updates) Closed(*peer.Conn) { signal(u.ended) }
