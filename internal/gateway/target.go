package gateway

import (
	"time"

	"github.com/galenalug/galenalug/dispatch"
	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/routes"
)

// waitForRoutes returns the route table, or nil and the reason why there is none to use. A gateway
// that has just started may have to wait for it. Once the lease on the configuration has expired,
// another gateway will serve the request sooner, so the request does not wait.
func (c *call) waitForRoutes() (*routes.Table, string) {
	until := c.waitDeadline()
	for {
		table, stamp, changed := c.host.view.snapshot(clockNow())
		c.stamp = stamp
		if table != nil && stamp.ConfigUsable {
			return table, ""
		}
		if table != nil && stamp.ConfigKnown {
			return nil, reasonStaleConfig
		}
		left := time.Until(until)
		if left <= 0 || !c.waitForChange(left, changed) {
			return nil, reasonNoConfig
		}
	}
}

// waitDeadline returns the time until which the request may wait before it is sent.
func (c *call) waitDeadline() time.Time {
	return c.started.Add(time.Duration(maxWaitFraction * float64(c.deadline.Sub(c.started))))
}

// awaitServer returns the server for the next attempt. It waits for an owner of the key or for
// capacity at a server only as long as the client still has time to retry, and refuses at once a
// request whose expected wait is longer.
func (c *call) awaitServer(service *routes.Service) (*target, string) {
	until := c.waitDeadline()
	entry := &queueEntry{priority: c.route.Priority}
	defer entry.remove()
	if to, reason, decided := c.awaitSlot(service, until); decided {
		return to, reason
	}
	for {
		now := clockNow()
		_, stamp, changed := c.host.view.snapshot(now)
		c.stamp = stamp
		target, full, reason := c.choose(now, service, entry)
		if target != nil {
			target, full, reason = c.claim(now, target)
		}
		left := time.Until(until)
		if target != nil || left <= 0 || !isTransient(reason) || c.regionsFull(reason) || reason == reasonLinkFull && c.linkWait > left {
			return target, reason
		}
		if full == nil && c.byWork() {
			entry.enqueueForService(now, c.host.backends.serviceState(c.service))
		}
		if full != nil && !entry.enqueue(now, left, full, dispatch.Reason(reason)) {
			return nil, reason
		}
		if reason == string(dispatch.RateLimited) {
			c.host.wantTokens()
		}
		if !c.waitForChange(min(left, entry.pollInterval(now)), changed) {
			return nil, c.endReason()
		}
	}
}

// claim reserves what an attempt needs besides a server with capacity: room on the link to the server's
// region, and a token. Otherwise it returns the reason, and the server to queue for.
func (c *call) claim(now time.Duration, to *target) (claimed, full *target, reason string) {
	if c.bulk != nil && to.otherRegion != "" {
		if c.linkWait = c.bulk.reserve(now, to.otherRegion); c.linkWait > 0 {
			return nil, nil, reasonLinkFull
		}
	}
	if !to.takeToken(now) { // another request took it since
		c.bulk.release()
		return nil, to, string(dispatch.RateLimited)
	}
	return to, nil, ""
}

// capacityPollInterval is the longest interval between checks for capacity.
const capacityPollInterval = 20 * time.Millisecond

// isTransient reports whether the cause of a refusal may pass within a short time.
func isTransient(reason string) bool {
	switch reason {
	case reasonNoOwner, reasonNoServer, reasonLinkFull, string(dispatch.QueueFull), string(dispatch.NoConnection),
		string(dispatch.RateLimited), string(dispatch.Paused):
		return true
	}
	return false
}

// endReason returns why the request is given up although it could wait.
func (c *call) endReason() string {
	if c.request.Context().Err() == nil {
		return reasonStopping
	}
	return reasonCanceled
}

// waitForChange waits for a change of the view, at most for maxWait. It returns false if the client
// disconnected or the gateway gives up its requests.
func (c *call) waitForChange(maxWait time.Duration, changed <-chan struct{}) bool {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-c.request.Context().Done():
		return false
	case <-c.host.givingUp.Done():
		return false
	}
	return true
}

// queueEntry is a request's entry in the queue for at most one server.
type queueEntry struct {
	priority int64
	target   *target // nil if not queued
	ticket   dispatch.Ticket

	// The fields below count for requests that wait for any server of a service, with balance: work.

	service       *serviceState // nil if not queued
	serviceTicket dispatch.Ticket
}

// target is the server selected for a request.
type target struct {
	*backend
	slots       int    // requests that the server runs concurrently
	otherRegion string // region of the server; empty if it is the gateway's own
	domain      string // failure domain of the server

	coldToken time.Duration // until when the request's token for a cold server is valid; 0 if it took none
}

// enqueue adds the request to the queue for a server, and removes it from any other queue. It
// returns false if the expected wait exceeds limit. While the request waits for a token or for the end
// of a pause, this is checked again each time: what is known of these waits changes.
func (e *queueEntry) enqueue(now, limit time.Duration, to *target, reason dispatch.Reason) bool {
	queued := e.target != nil && e.target.backend == to.backend
	if queued && reason != dispatch.RateLimited && reason != dispatch.Paused {
		return true
	}
	if to.expectedWait(now, to.slots, e.ahead(now, to.backend), reason) > limit {
		return false
	}
	if !queued {
		e.remove()
		e.target, e.ticket = to, to.enqueue(now, e.priority)
	}
	return true
}

func (e *queueEntry) remove() {
	if e.target != nil {
		e.target.dequeue(e.ticket)
		e.target = nil
	}
	if e.service != nil {
		e.service.dequeue(e.serviceTicket)
		e.service = nil
	}
}

// ahead returns the number of queued requests that go to a server before this one.
func (e *queueEntry) ahead(now time.Duration, b *backend) int {
	if e.target != nil && e.target.backend == b {
		return b.ahead(now, &e.ticket, e.priority)
	}
	return b.ahead(now, nil, e.priority)
}

// choose returns the server that can take the request now. Otherwise it returns the reason, and the
// server to queue for if the request can go to no other, or waits for a token or the end of a pause.
func (c *call) choose(now time.Duration, service *routes.Service, entry *queueEntry) (chosen, full *target, reason string) {
	request := c.dispatchRequest()
	servers, reason := c.servers(now, service)
	if len(servers) == 0 {
		return nil, nil, reason
	}
	if c.byWork() {
		return c.chooseByWork(now, service, servers, entry, request)
	}
	candidates := make([]dispatch.Candidate, len(servers))
	for i, s := range servers {
		b := c.host.backends.get(s)
		c.host.allowWithoutLeader(now, b)
		candidates[i] = b.candidate(now, s, c.host.view.connectionLimit(s), c.host.distance(s.Domain))
		candidates[i].Ahead = entry.ahead(now, b)
		if service.WarmupPerSecond > 0 {
			b.addWarmth(now, &candidates[i])
		}
	}
	best, rejection := dispatch.Choose(now, candidates, request)
	if best < 0 {
		if rejection == dispatch.RateLimited && !service.Keyed {
			servers, candidates, rejection = c.awaitCold(now, request, entry, servers, candidates)
		}
		if i := c.queueFor(service, candidates, rejection); i >= 0 {
			full = c.host.target(servers[i])
		}
		return nil, full, string(rejection)
	}
	c.chosenLoad = candidates[best].Load.Requests(now)
	return c.host.target(servers[best]), nil, ""
}

// dispatchRequest describes the request for a choice of a server.
func (c *call) dispatchRequest() dispatch.Request {
	return dispatch.Request{
		Priority:      c.route.Priority,
		UntilDeadline: time.Until(c.deadline),
		UntilTarget:   time.Until(c.started.Add(time.Duration(c.route.TargetMillis) * time.Millisecond)),
		Bulk:          c.route.Kind.Bulk(),
	}
}

// target returns a server as a target.
func (h *Host) target(s keyrange.Server) *target {
	t := &target{backend: h.backends.get(s), slots: int(s.Slots), domain: s.Domain}
	if h.distance(s.Domain) == dispatch.OtherRegion {
		t.otherRegion = h.settings.Domains[s.Domain]
	}
	return t
}

// queueFor returns the index of the server to wait for, or -1 if the request does not wait for a
// certain one.
func (c *call) queueFor(service *routes.Service, candidates []dispatch.Candidate, rejection dispatch.Reason) int {
	best := -1
	switch {
	case rejection == dispatch.Paused:
		best = dispatch.ShortestPause(candidates)
		c.pausedFor = candidates[best].PausedFor
	case service.Keyed:
		best = 0 // the owner is the only candidate
	case rejection == dispatch.RateLimited:
		best = dispatch.FewestAhead(candidates)
	}
	return best
}

// servers returns the servers that may run the request, or the reason why there are none.
func (c *call) servers(now time.Duration, service *routes.Service) ([]keyrange.Server, string) {
	arrival := c.host.arrivalTime(now)
	switch {
	case c.host.view.leaseOver(arrival):
		return nil, reasonStaleConfig
	case c.excludedByRegion(arrival, service):
		return nil, reasonRegion
	}
	if !service.Keyed {
		return c.host.available(now, c.host.view.serversOf(arrival, service.Name, c.admits)), reasonNoServer
	}
	owner, learnedAt, found := c.host.view.owner(arrival, service.Name, c.info.Key)
	if found && !c.admits(owner.Domain) {
		return nil, reasonRegion
	}
	if !found || c.host.unavailable(now, owner) || c.knownNotOwner(now, owner.ID, learnedAt) {
		return nil, reasonNoOwner
	}
	if !c.allowedAtOwner(owner) {
		return nil, reasonOverload
	}
	return []keyrange.Server{owner}, ""
}

// allowedAtOwner reports whether the request may be sent to the owner of its key. If one request
// from each gateway would overload the owner, only the fraction of requests that the leader set for
// it is allowed.
func (c *call) allowedAtOwner(owner keyrange.Server) bool {
	if c.allowedBy == owner.ID || !dispatch.OneEachOverloads(c.host.view.gateways(), int(owner.Slots)) {
		return true
	}
	if !c.host.backends.get(owner).allow(owner.AdmitPermille, c.route.Priority) {
		return false
	}
	c.allowedBy = owner.ID
	return true
}

// knownNotOwner reports whether the server responded that it does not own the key and must not be
// asked again. If the grant was new at that time, the owner may not have learned of it yet and is
// asked again after grantPropagationDelay. If the grant was old, the table is out of date, and the
// server is not asked until it is granted the key again.
func (c *call) knownNotOwner(now time.Duration, owner string, learnedAt time.Duration) bool {
	if c.deniedBy != owner || learnedAt > c.deniedAt {
		return false
	}
	return c.deniedAt-learnedAt > grantPropagationDelay || now-c.deniedAt < grantPropagationDelay
}
