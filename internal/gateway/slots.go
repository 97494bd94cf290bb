package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/admitshare"
	"github.com/galenalug/galenalug/dispatch"
	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/routes"
	"github.com/galenalug/galenalug/slotqueue"
)

// queuedAtLeader reports whether the request gets its server from the leader's queue.
func (c *call) queuedAtLeader(now time.Duration) bool {
	return !c.keyed && c.host.admission.queued(now, c.service)
}

// awaitSlot asks the leader for a slot and returns its server, or the reason why there is none. It returns false if
// the request is to find a server without the queue.
func (c *call) awaitSlot(service *routes.Service, until time.Time) (to *target, reason string, decided bool) {
	now := clockNow()
	if !c.queuedAtLeader(now) {
		return nil, "", false
	}
	servers, reason := c.servers(now, service)
	if len(servers) == 0 {
		return nil, reason, false
	}
	if to := c.coldTarget(now, servers); to != nil {
		return to, "", true
	}
	ctx, cancel := context.WithCancel(c.request.Context())
	defer cancel()
	defer context.AfterFunc(c.host.givingUp, cancel)()
	answer, granted, answered := c.host.slots.ask(ctx, c.slotRequest(), time.Until(until))
	switch {
	case !answered && ctx.Err() != nil:
		return nil, c.endReason(), true
	case !answered:
		return nil, "", false
	case answer.Refused:
		c.host.metrics.slots.WithLabelValues("refused").Inc()
		return nil, reasonNoCapacity, true
	case answer.ServerID == "":
		return nil, "", false
	}
	if to = c.claimSlot(service, answer); to == nil {
		granted.release(slotqueue.Unsent, 0)
		c.host.metrics.slots.WithLabelValues("unusable").Inc()
		return nil, "", false
	}
	c.slot = granted
	c.host.metrics.slots.WithLabelValues("granted").Inc()
	return to, "", true
}

// slotRequest describes the request to the leader.
func (c *call) slotRequest() slotqueue.Request {
	return slotqueue.Request{
		Service: c.service, Regions: admitshare.RegionList(c.route.AllowedRegions), Priority: c.route.Priority, Domain: c.host.settings.Domain,
		WorkMicros:     c.expectedCost().work.Expected.Microseconds(),
		TargetMillis:   time.Until(c.started.Add(time.Duration(c.route.TargetMillis) * time.Millisecond)).Milliseconds(),
		DeadlineMillis: time.Until(c.deadline).Milliseconds(),
		Avoid:          c.avoid,
	}
}

// coldTarget returns a cold server for which this gateway has a token, or nil. The leader's queue has only warm servers.
func (c *call) coldTarget(now time.Duration, servers []keyrange.Server) *target {
	for _, s := range servers {
		b := c.host.backends.get(s)
		if slices.Contains(c.avoid, s.ID) || b.coldRate(now) == 0 {
			continue
		}
		candidate := b.candidate(now, s, c.host.view.connectionLimit(s), c.host.distance(s.Domain))
		candidate.Ahead = b.ahead(now, nil, c.route.Priority)
		b.addWarmth(now, &candidate) // also lets the gateway ask for tokens ahead
		if dispatch.Admit(now, &candidate, c.dispatchRequest()) != dispatch.Admitted {
			continue
		}
		if to, _, _ := c.claim(now, c.host.target(s)); to != nil {
			return to
		}
	}
	return nil
}

// claimSlot returns the server of an answer, or nil if this gateway can't use it: it may know that the server is leaving
// or cold before the leader does.
func (c *call) claimSlot(service *routes.Service, answer slotqueue.Answer) *target {
	now := clockNow()
	servers, _ := c.servers(now, service)
	for _, s := range servers {
		if s.ID == answer.ServerID && s.StartMillis == answer.StartMillis {
			to := c.host.target(s)
			to.noteListed(now, s)
			to, _, _ = c.claim(now, to)
			return to
		}
	}
	return nil
}

// endSlot gives the request's slot back after an attempt.
func (c *call) endSlot(to *target, resp *backendResponse, err error) {
	if c.slot == nil {
		return
	}
	outcome, atServer := slotqueue.Served, time.Duration(0)
	switch {
	case err != nil && !concernsServer(err):
		outcome = slotqueue.Unsent
	case err != nil && !attemptResult{err: err}.mayHaveRun(), err == nil && resp.info.NotExecuted:
		outcome = slotqueue.Refused
	case err != nil, resp.status >= 500:
		outcome = slotqueue.Failed
	case c.server == to.id: // otherwise a hedged request was sent to another server, which may have answered
		atServer = c.timeAtServer(to)
	}
	c.slot.release(outcome, atServer)
	c.slot = nil
}

// concernsServer reports whether a failed attempt says anything of the server: not if the client left or this gateway did not send
// the request.
func concernsServer(err error) bool {
	var e *exchangeError
	canceled := errors.As(err, &e) && e.reason == reasonCanceled
	return !canceled && !errors.Is(err, errNoColdToken) && !errors.Is(err, errDrained)
}

// returnSlot gives a slot back that no attempt has used.
func (c *call) returnSlot() {
	c.slot.release(slotqueue.Unsent, 0)
	c.slot = nil
}

// timeAtServer returns the time that the latest attempt has spent at the server, without the network.
func (c *call) timeAtServer(to *target) time.Duration {
	sent := time.Duration(c.progress.Load().connectedAt.Load())
	if sent == 0 {
		return 0
	}
	to.mu.Lock()
	defer to.mu.Unlock()
	return max(clockNow()-sent-to.roundTrip, 0)
}
