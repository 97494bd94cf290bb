package gateway

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/quarantine"
	"github.com/galenalug/galenalug/routes"
)

const (
	// reportInterval is the least interval between load reports.
	reportInterval = 250 * time.Millisecond
	// maxReportsPerSecond limits the load reports of all gateways together, and their reports of an unchanged
	// configuration: the leader handles each of them.
	maxReportsPerSecond = 400
)

// intervalFor returns the interval between reports of one kind for a number of gateways, at least shortest.
func intervalFor(gateways int64, shortest time.Duration) time.Duration {
	return max(shortest, time.Duration(gateways)*time.Second/maxReportsPerSecond)
}

// dialFunc opens a connection, as net.Dialer.DialContext does.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// leaderLink maintains one subscription with the leader of the control hosts.
type leaderLink struct {
	self         peer.Identity
	secret       []byte
	metrics      *peer.Metrics
	seeds        func() []string
	view         *view
	report       func() keyrange.LoadReport
	onDisconnect func() // called when a subscription has ended
	backends     *backends
	tokensWanted chan struct{} // signals that requests wait for tokens
	evidence     *crashEvidence
	admission    *admission // nil if the gateway takes no part in planned admission
	slots        *slotClient
	current      atomic.Pointer[peer.Client] // of the current subscription; nil for none
	delay        *linkDelay
	// dial opens connections to control hosts; nil for net.Dialer. Tests simulate slow links with it.
	dial dialFunc

	needsFullConfig atomic.Bool // the last configuration update did not apply

	// disconnectedAt is the end of the latest subscription, on clock.Now. It is 0 while subscribed and
	// before the first subscription.
	disconnectedAt atomic.Int64
}

// disconnectedFor returns the time since the latest subscription ended, or 0 while subscribed and
// before the first subscription.
func (l *leaderLink) disconnectedFor(now time.Duration) time.Duration {
	since := time.Duration(l.disconnectedAt.Load())
	if since == 0 {
		return 0
	}
	return now - since
}

// notifier returns what sends messages to the leader, or nil while there is no subscription.
func (l *leaderLink) notifier() notifier {
	if client := l.current.Load(); client != nil {
		return client
	}
	return nil
}

// subscription is an established subscription with a control host.
type subscription struct {
	address string
	client  *peer.Client
	ended   chan struct{}
}

// run keeps a subscription with the current leader until the context ends.
func (l *leaderLink) run(ctx context.Context) {
	var next *subscription
	for ctx.Err() == nil {
		s := next
		if s == nil {
			s = l.search(ctx)
		}
		if s == nil {
			continue
		}
		log.WithFields(log.Fields{
			"control": s.address, "disconnected_ms": l.disconnectedFor(clockNow()).Milliseconds(), "config": l.view.configVersion(),
		}).Info("control host connected")
		l.disconnectedAt.Store(0)
		next = l.serve(ctx, s)
		if next == nil {
			l.disconnectedAt.Store(int64(clockNow()))
		}
		l.onDisconnect()
		s.client.Close()
		log.WithFields(log.Fields{
			"control": s.address, "config": l.view.configVersion(), "replaced": next != nil,
		}).Warn("control host lost; continuing with the last known table")
	}
}

// serve reports load and the configuration in force until the subscription ends. It returns the next
// subscription if it has found one meanwhile.
func (l *leaderLink) serve(parent context.Context, s *subscription) (next *subscription) {
	ctx, cancel := context.WithCancel(parent)
	var loops sync.WaitGroup
	l.reportKnownCrashes(s.client)
	l.current.Store(s.client)
	loops.Go(func() { l.reportConfig(ctx, s.client) })
	loops.Go(func() { l.askForTokens(ctx, s.client) })
	loops.Go(func() { l.reportCrashes(ctx, s.client) })
	loops.Go(func() {
		if next = l.watch(ctx, s); next != nil {
			signal(s.ended)
		}
	})
	l.reportLoad(ctx, s.client, s.ended)
	l.current.Store(nil)
	l.slots.disconnected()
	cancel()
	loops.Wait()
	if parent.Err() != nil { // the gateway has stopped serving
		l.reportStopped(s.client)
	}
	return next
}

// subscribeBody returns the body of a subscription, which names the configuration that this gateway has.
func (l *leaderLink) subscribeBody() []byte {
	report := routes.ConfigReport{}
	if !l.needsFullConfig.Load() {
		report.Version = l.view.configVersion()
	}
	body, err := cbor.Marshal(report)
	if err != nil {
		log.WithError(err).Error("cannot encode subscription")
	}
	return body
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// callLeader sends a call to the leader and decodes its reply.
func callLeader[Reply any](ctx context.Context, client *peer.Client, kind int, request any) (Reply, error) {
	var reply Reply
	body, err := cbor.Marshal(request)
	if err != nil {
		return reply, errors.Wrapf(err, "encode %T", request)
	}
	replyBody, err := client.Call(ctx, kind, body)
	if err != nil {
		return reply, err
	}
	return reply, errors.Wrapf(cbor.Unmarshal(replyBody, &reply), "decode %T", reply)
}

// reportLoad sends load reports until the connection or the context ends.
func (l *leaderLink) reportLoad(ctx context.Context, client *peer.Client, ended <-chan struct{}) {
	l.admission.dropDemand()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ended:
			return
		case <-time.After(intervalFor(l.view.gateways(), reportInterval)):
		}
		l.reportDemand(client)
		report := l.report()
		if len(report.Services) == 0 && len(report.Servers) == 0 {
			continue
		}
		body, err := cbor.Marshal(report)
		if err != nil {
			log.WithError(err).Error("cannot encode load report")
			continue
		}
		if err := client.Notify(wire.KindLoadReport, body); err != nil {
			log.WithError(err).Debug("cannot send load report")
		}
	}
}

// updateHandler handles the leader's notifications.
type updateHandler struct {
	view            *view
	backends        *backends
	needsFullConfig *atomic.Bool // of leaderLink
	evidence        *crashEvidence
	admission       *admission // of leaderLink
	slots           *slotClient
	ended           chan struct{}
}

// Call implements peer.Handler. Control hosts make no calls to gateways.
func (u *updateHandler) Call(context.Context, *peer.Conn, int, []byte) ([]byte, error) {
	return nil, &peer.Error{Code: wire.CodeInvalid, Detail: "no calls are taken"}
}

// Notify implements peer.Handler. It applies an update.
func (u *updateHandler) Notify(from *peer.Conn, kind int, body []byte) {
	switch kind {
	case wire.KindConfigUpdate:
		u.applyConfig(from, body)
	case wire.KindQuarantine:
		u.applyQuarantine(body)
	case wire.KindAdmission:
		u.applyAdmission(body)
	case wire.KindSlotAnswer:
		u.slots.answered(body)
	case wire.KindServerDigest:
		u.backends.applyDigest(clockNow(), body)
	case wire.KindFleetTable:
		u.applyTable(from, body)
	case wire.KindEvacuations:
		u.applyEvacuations(from, body)
	}
}

func (u *updateHandler) applyQuarantine(body []byte) {
	var update quarantine.Update
	if err := cbor.Unmarshal(body, &update); err != nil {
		log.WithError(err).Error("cannot decode quarantine update")
		return
	}
	u.evidence.apply(update)
}

func (u *updateHandler) applyTable(from *peer.Conn, body []byte) {
	update, err := keyrange.DecodeTable(body)
	if err != nil {
		log.WithError(err).Error("cannot decode table update; resubscribing")
		from.Close()
		return
	}
	u.view.apply(clockNow(), update)
}

// applyConfig applies a configuration update. If it does not apply, the next subscription asks for the
// complete configuration.
func (u *updateHandler) applyConfig(from *peer.Conn, body []byte) {
	update, err := routes.DecodeUpdate(body)
	if err == nil {
		err = u.view.applyConfig(update)
	}
	u.needsFullConfig.Store(err != nil)
	if err != nil {
		log.WithError(err).Error("cannot apply configuration update; resubscribing")
		from.Close()
	}
}

// Closed implements peer.Handler.
func (u *updateHandler) Closed(*peer.Conn) { signal(u.ended) }
