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
	// subscribeTimeout bounds the opening of a connection and the subscription. A
	// full link between regions delays each of its round trips.
	subscribeTimeout = 2500 * time.Millisecond
	// nextContactWait is the wait before the next control host is asked, too.
	nextContactWait = 100 * time.Millisecond
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
	report  func() keyrange.LoadReport
	onLost  func() // called when a subscription ended

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

// subscription is a connection to the leader, or an attempt to get one.
type subscription struct {
	address string
	client  *peer.Client
	ended   chan struct{}
	leader  string // the leader that the host named instead
	err     error
}

// run subscribes to one leader after another until the context ends.
func (l *link) run(ctx context.Context) {
	for ctx.Err() == nil {
		s := l.find(ctx)
		if s == nil {
			continue
		}
		log.WithField("control", s.address).Info("control host connected")
		l.lostAt.Store(0)
		l.reportLoad(ctx, s.client, s.ended)
		l.lostAt.Store(int64(clockNow()))
		l.onLost()
		s.client.Close()
		log.WithField("control", s.address).Warn("control host lost; going on with the table known")
	}
}

// find asks the control hosts one after another, without waiting for slow ones,
// and returns the first subscription; nil if there is none.
func (l *link) find(ctx context.Context) *subscription {
	ctx, cancel := context.WithCancel(ctx)
	waiting := l.candidates()
	results := make(chan *subscription)
	asked := map[string]bool{}
	running := 0
	defer func() {
		cancel()
		for range running {
			(<-results).client.Close()
		}
	}()
	ask := func(address string) {
		if address == "" || asked[address] {
			return
		}
		asked[address] = true
		running++
		go func() { results <- l.subscribe(ctx, address) }()
	}
	ticker := time.NewTicker(nextContactWait)
	defer ticker.Stop()
	for len(waiting) > 0 || running > 0 {
		select {
		case <-ctx.Done():
			return nil
		case s := <-results:
			running--
			if s.err == nil {
				return s
			}
			s.client.Close()
			ask(s.leader)
		case <-ticker.C:
			if len(waiting) > 0 {
				ask(waiting[0])
				waiting = waiting[1:]
			}
		}
	}
	return nil
}

// candidates returns the control hosts to ask: those of the newest table, and the
// seeds, each in random order.
func (l *link) candidates() []string {
	known := l.view.contacts()
	rand.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	seeds := l.seeds()
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	return append(known, seeds...)
}

// subscribe connects to a control host and subscribes there.
func (l *link) subscribe(ctx context.Context, address string) *subscription {
	connected := make(chan struct{}, 1)
	s := &subscription{address: address, ended: make(chan struct{}, 1)}
	s.client = peer.NewClient(peer.ClientOptions{
		Address:      address,
		Self:         l.self,
		ExpectedName: address,
		Secret:       l.secret,
		Handler:      &updates{view: l.view, ended: s.ended},
		OnConnect:    func() { signal(connected) },
		Seed:         rand.Uint64(),
		Limits:       fleet.PeerLimits(),
		Metrics:      l.metrics,
	})
	ctx, cancel := context.WithTimeout(ctx, subscribeTimeout)
	defer cancel()
	select {
	case <-connected:
	case <-ctx.Done():
		s.err = ctx.Err()
		return s
	}
	_, s.err = s.client.Call(ctx, wire.KindSubscribe, nil)
	var refused *peer.Error
	if errors.As(s.err, &refused) && refused.Code == wire.CodeNotLeader {
		s.leader = refused.Detail
	}
	return s
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
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
		report := l.report()
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
