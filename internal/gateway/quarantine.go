package gateway

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/quarantine"
)

const (
	// endCheckDelay is the time after a broken exchange until the server is asked whether its process has
	// ended, so that one check serves all requests that broke at that moment.
	endCheckDelay = 10 * time.Millisecond
	// endCheckTimeout bounds the check.
	endCheckTimeout = dialTimeout
	// permitTimeout bounds the wait for the leader's answer about a suspected request.
	permitTimeout = 250 * time.Millisecond
	// maxBroken is the number of requests that a check can find to have been at a server that ended.
	maxBroken = 64
	// maxPendingCrashes is the number of crashes that wait to be reported while there is no leader.
	maxPendingCrashes = 64
	// retryBelowCrashes is the number of crashes from which on the gateway does not repeat a request.
	retryBelowCrashes = 2
)

// errNoLeader is the error of a call while no leader is known.
var errNoLeader = errors.New("no connection to a leader")

// quarantined is the gateway's part in finding requests that crash backend servers.
type quarantined struct {
	wake chan struct{} // signals that there is something to report

	mu       sync.Mutex // guards the fields below; no other lock is acquired while it is held
	table    *quarantine.Table
	crashes  []quarantine.Crash  // not reported yet
	answered map[string]struct{} // not reported yet
	ended    map[string]struct{} // permitted runs that have ended otherwise; not reported yet
}

func newQuarantined() *quarantined {
	return &quarantined{wake: make(chan struct{}, 1), table: quarantine.NewTable(), answered: map[string]struct{}{}, ended: map[string]struct{}{}}
}

// empty reports whether no request is suspected.
func (q *quarantined) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Empty()
}

// state returns what is known of a request.
func (q *quarantined) state(fingerprint string) quarantine.State {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.State(clockNow(), fingerprint)
}

// apply applies an update from the leader.
func (q *quarantined) apply(u quarantine.Update) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.Apply(clockNow(), u)
}

// reportCrash queues the report of a crash.
func (q *quarantined) reportCrash(c quarantine.Crash) {
	q.mu.Lock()
	q.crashes = append(q.crashes, c)
	if len(q.crashes) > maxPendingCrashes {
		q.crashes = slices.Delete(q.crashes, 0, 1)
	}
	q.mu.Unlock()
	signal(q.wake)
}

// reportAnswered queues the report that a server has answered a suspected request.
func (q *quarantined) reportAnswered(fingerprint string) {
	q.mu.Lock()
	known := q.table.State(clockNow(), fingerprint).Crashes > 0
	if known {
		q.answered[fingerprint] = struct{}{}
	}
	q.mu.Unlock()
	if known {
		signal(q.wake)
	}
}

// reportEnded queues the report that a permitted run has ended.
func (q *quarantined) reportEnded(fingerprint string) {
	q.mu.Lock()
	q.ended[fingerprint] = struct{}{}
	q.mu.Unlock()
	signal(q.wake)
}

// takeReport returns what is not reported yet, and whether there is anything.
func (q *quarantined) takeReport() (report quarantine.Report, any bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	report.Crashes, q.crashes = q.crashes, nil
	for fingerprint := range q.answered {
		report.Answered = append(report.Answered, fingerprint)
	}
	for fingerprint := range q.ended {
		report.Ended = append(report.Ended, fingerprint)
	}
	q.answered, q.ended = map[string]struct{}{}, map[string]struct{}{}
	return report, len(report.Crashes)+len(report.Answered)+len(report.Ended) > 0
}

// known returns the quarantined requests.
func (q *quarantined) known() []quarantine.Entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Quarantined(clockNow())
}

// reportCrashes reports crashes and answers to the leader until the context ends. The first report tells
// a new leader what its predecessors have quarantined.
func (l *leaderLink) reportCrashes(ctx context.Context, client *peer.Client) {
	if known := l.quarantined.known(); len(known) > 0 {
		notifyCrashes(client, quarantine.Report{Known: known})
	}
	for {
		if report, any := l.quarantined.takeReport(); any {
			notifyCrashes(client, report)
		}
		select {
		case <-ctx.Done():
			return
		case <-l.quarantined.wake:
		}
	}
}

func notifyCrashes(client *peer.Client, report quarantine.Report) {
	body, err := cbor.Marshal(report)
	if err == nil {
		err = client.Notify(wire.KindCrashReport, body)
	}
	if err != nil {
		log.WithError(err).Warn("cannot report crashes of backend servers")
	}
}

// fingerprint returns the fingerprint of the request, or an empty text if its body is streamed, so that a
// part of it is not known.
func (c *call) fingerprint() string {
	if c.stream != nil {
		return ""
	}
	c.fingerprintOnce.Do(func() {
		key := strconv.FormatInt(c.info.Key, 10)
		c.fingerprintValue = quarantine.Fingerprint(
			[]byte(c.request.Method), []byte(c.request.Host), []byte(c.request.RequestURI), []byte(key), []byte(c.info.Caller), c.body)
	})
	return c.fingerprintValue
}

// suspicion returns what is known of the request. It computes no fingerprint while nothing is suspected.
func (c *call) suspicion() quarantine.State {
	if c.stream != nil || c.host.quarantined.empty() {
		return quarantine.State{}
	}
	return c.host.quarantined.state(c.fingerprint())
}

// refuseQuarantined refuses the request if it is quarantined.
func (c *call) refuseQuarantined() (refused bool) {
	c.quarantinedFor = c.suspicion().Quarantined
	if c.quarantinedFor == 0 {
		return false
	}
	c.refuse(reasonQuarantined)
	return true
}

// permitPollInterval is the interval at which a suspected request asks again for a permit.
const permitPollInterval = 50 * time.Millisecond

// awaitPermit returns when the request may be sent to a server as far as crashes of servers are concerned,
// or the reason why it may not. A suspected request needs the leader's permit. Without a leader, it is sent
// unless another crash would quarantine it.
func (c *call) awaitPermit(to *target) (reason string) {
	until := c.waitDeadline()
	for {
		state := c.suspicion()
		switch {
		case state.Quarantined > 0:
			c.quarantinedFor = state.Quarantined
			return reasonQuarantined
		case state.Crashes == 0:
			return ""
		}
		granted, err := c.host.leaderLink.askForPermit(c.ctx, quarantine.PermitRequest{Request: c.fingerprint(), ServerID: to.id})
		if err != nil {
			granted = state.Crashes < retryBelowCrashes
		}
		if granted {
			c.permitted = err == nil
			return ""
		}
		left := time.Until(until)
		if left <= 0 || !c.waitForChange(min(left, permitPollInterval), nil) {
			return reasonSuspected
		}
	}
}

// endPermit reports the end of a permitted run, unless the answer or the crash report does.
func (c *call) endPermit(resp *backendResponse, err error) {
	if !c.permitted {
		return
	}
	c.permitted = false
	var e *exchangeError
	crashed := errors.As(err, &e) && e.reason == reasonBroken && e.mayHaveRun
	answered := err == nil && !resp.info.NotExecuted
	if !crashed && !answered {
		c.host.quarantined.reportEnded(c.fingerprint())
	}
}

// askForPermit asks the leader whether a suspected request may be sent.
func (l *leaderLink) askForPermit(ctx context.Context, request quarantine.PermitRequest) (granted bool, err error) {
	client := l.current.Load()
	if client == nil {
		return false, errNoLeader
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	reply, err := callLeader[quarantine.PermitReply](ctx, client, wire.KindPermitRequest, request)
	return reply.Granted, err
}

// recordAnswer clears the request of suspicion: a server has run it and goes on.
func (c *call) recordAnswer() {
	if c.stream == nil && !c.host.quarantined.empty() {
		c.host.quarantined.reportAnswered(c.fingerprint())
	}
}

// recordBroken notes that the connection broke while the server may have run the request, and checks
// whether the server has ended. A connection that was reset proves nothing by itself.
func (b *backend) recordBroken(err error, req *backendRequest) {
	var e *exchangeError
	if !errors.As(err, &e) || e.reason != reasonBroken || !e.mayHaveRun || req.fingerprint == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.broken) < maxBroken {
		b.broken = append(b.broken, req.fingerprint)
	}
	if !b.checkingEnd {
		b.checkingEnd = true
		go b.checkEnd()
	}
}

// checkEnd asks the server's host for a connection. If the host refuses it, the process has ended, and the
// requests that broke are reported. A server that leaves ends by plan.
func (b *backend) checkEnd() {
	time.Sleep(endCheckDelay)
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
	defer cancel()
	conn, err := b.dial(ctx, "tcp", b.address)
	if err == nil {
		_ = conn.Close() // nothing was sent
	}
	b.mu.Lock()
	broken := b.broken
	leaving := b.notices.LeavingFor(clockNow()) > 0
	b.broken, b.checkingEnd = nil, false
	b.mu.Unlock()
	if !errors.Is(err, syscall.ECONNREFUSED) || leaving || b.onCrash == nil {
		return
	}
	crash := quarantine.Crash{ServerID: b.id, StartMillis: b.startMillis}
	for _, fingerprint := range broken {
		if f := fingerprint(); f != "" && !slices.Contains(crash.Requests, f) {
			crash.Requests = append(crash.Requests, f)
		}
	}
	if len(crash.Requests) > 0 {
		b.onCrash(crash)
	}
}

// reportCrash logs a crash and reports it to the leader.
func (h *Host) reportCrash(c quarantine.Crash) {
	h.metrics.crashes.Inc()
	log.WithFields(log.Fields{
		"server": c.ServerID, "requests": len(c.Requests), "first": c.Requests[0],
	}).Warn("backend server ended with requests in flight")
	h.quarantined.reportCrash(c)
}
