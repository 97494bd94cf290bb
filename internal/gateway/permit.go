package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/quarantine"
)

const (
	// permitTimeout bounds the wait for the leader's answer about a suspected request.
	permitTimeout = 250 * time.Millisecond
	// permitPollInterval is the interval at which a suspected request asks again for a permit.
	permitPollInterval = 50 * time.Millisecond
	// noRetryCrashes is the number of crashes from which on a gateway does not repeat a request.
	noRetryCrashes = 2
)

// errNoLeader is the error of a call while no leader is known.
var errNoLeader = errors.New("no connection to a leader")

// awaitPermit returns when the request may be sent to a server as far as crashes of servers are concerned,
// or the reason why it may not. A suspected request needs the leader's permit, or its own gateway's while no
// leader answers.
func (c *call) awaitPermit(to *target) (reason string) {
	until := c.waitDeadline()
	for {
		state := c.suspicion()
		switch {
		case state.Quarantined > 0:
			c.quarantinedFor = state.Quarantined
			return reasonQuarantined
		case state.Crashes == 0 || state.Free:
			return ""
		}
		granted, err := c.host.leaderLink.askForPermit(c.ctx, quarantine.PermitRequest{Request: c.fingerprint(), ServerID: to.id})
		if err != nil {
			granted = c.host.evidence.permitAlone(c.fingerprint())
		}
		if granted {
			c.permitted = true
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
		c.host.evidence.reportEnded(c.fingerprint())
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
