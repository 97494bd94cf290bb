package gateway

import (
	"context"
	"slices"
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
	// maxBroken is the number of requests that a check can find to have been at a server that ended.
	maxBroken = 64
)

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
	if errors.Is(err, syscall.ECONNREFUSED) {
		b.suspectRestart(true)
	}
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
	h.evidence.reportCrash(c)
}

// reportKnownCrashes tells a new leader what this gateway has seen and heard of crashes. It precedes the first
// call for a permit on the connection.
func (l *leaderLink) reportKnownCrashes(client *peer.Client) {
	report := l.evidence.firstReport()
	if len(report.Crashes)+len(report.Known.Entries) == 0 {
		return
	}
	log.WithFields(log.Fields{"crashes": len(report.Crashes), "requests": len(report.Known.Entries)}).Info("telling the leader of earlier crashes")
	notifyCrashes(client, report)
}

// reportCrashes reports crashes and answers to the leader until the context ends.
func (l *leaderLink) reportCrashes(ctx context.Context, client *peer.Client) {
	for {
		if report, any := l.evidence.takeReport(); any {
			notifyCrashes(client, report)
		}
		select {
		case <-ctx.Done():
			return
		case <-l.evidence.wake:
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
