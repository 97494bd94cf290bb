package gateway

import (
	"time"

	"github.com/galenalug/galenalug/dispatch"
	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/routes"
)

// waitForRoutes returns the routes, for which a gateway that has just started may
// have to wait; nil if there are none in time.
func (c *call) waitForRoutes() *routes.Table {
	until := c.holdUntil()
	for {
		table, stamp, changed := c.host.view.snapshot(clockNow())
		c.stamp = stamp
		left := time.Until(until)
		if table != nil || left <= 0 || !c.waitForChange(left, changed) {
			return table
		}
	}
}

// holdUntil returns until when the request may wait before it is sent.
func (c *call) holdUntil() time.Time {
	return c.started.Add(time.Duration(holdPart * float64(c.deadline.Sub(c.started))))
}

// awaitServer returns the server for the next attempt. It waits for an owner of the
// key or for room at a server as long as the client still has time to return,
// and refuses at once what would wait longer.
func (c *call) awaitServer(service *routes.Service) (*target, string) {
	until := c.holdUntil()
	place := &place{priority: c.route.Priority}
	defer place.leave()
	for {
		now := clockNow()
		_, stamp, changed := c.host.view.snapshot(now)
		c.stamp = stamp
		target, full, reason := c.choose(now, service, place)
		left := time.Until(until)
		if target != nil || left <= 0 || !waitable(reason) {
			return target, reason
		}
		if full != nil && !place.take(now, left, full) {
			return nil, reason
		}
		if !c.waitForChange(min(left, waitStep), changed) {
			return nil, reasonCanceled
		}
	}
}

// waitStep is the longest time between two looks for room.
const waitStep = 20 * time.Millisecond

// waitable tells whether a reason may pass within a short time.
func waitable(reason string) bool {
	switch reason {
	case reasonNoOwner, reasonNoServer, string(dispatch.QueueFull), string(dispatch.NoConnection):
		return true
	}
	return false
}

// waitForChange waits for a change of the view, or some time. It returns false if
// the client left.
func (c *call) waitForChange(most time.Duration, changed <-chan struct{}) bool {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-c.request.Context().Done():
		return false
	}
	return true
}

// place is a request's place in the line of at most one server.
type place struct {
	priority int64
	at       *target
	ticket   dispatch.Ticket
}

// target is a server chosen for a request.
type target struct {
	*backend
	slots int
}

// take puts the request into a server's line, and out of any other.
func (p *place) take(now, limit time.Duration, at *target) bool {
	if p.at != nil && p.at.backend == at.backend {
		return true
	}
	p.leave()
	ticket, joined := at.joinLine(now, limit, at.slots, p.priority)
	if joined {
		p.at, p.ticket = at, ticket
	}
	return joined
}

func (p *place) leave() {
	if p.at != nil {
		p.at.leaveLine(p.ticket)
		p.at = nil
	}
}

// ahead returns the number of requests that go to a server before this one.
func (p *place) ahead(k *backend) int {
	if p.at != nil && p.at.backend == k {
		return k.ahead(&p.ticket, p.priority)
	}
	return k.ahead(nil, p.priority)
}

// choose returns the server that takes the request now, or the one to wait for,
// and why.
func (c *call) choose(now time.Duration, service *routes.Service, place *place) (chosen, full *target, reason string) {
	request := dispatch.Request{
		Priority:      c.route.Priority,
		UntilDeadline: time.Until(c.deadline),
		UntilTarget:   time.Until(c.started.Add(time.Duration(c.route.TargetMillis) * time.Millisecond)),
		Bulk:          c.route.Kind == routes.Upload,
	}
	servers, reason := c.servers(now, service)
	if len(servers) == 0 {
		return nil, nil, reason
	}
	candidates := make([]dispatch.Candidate, len(servers))
	for i, s := range servers {
		k := c.host.backends.of(s)
		candidates[i] = k.candidate(now, s, c.host.view.connections(s), c.host.distance(s.Domain))
		candidates[i].Ahead = place.ahead(k)
	}
	best, verdict := dispatch.Choose(now, candidates, request)
	if best < 0 {
		if service.Keyed {
			full = &target{backend: c.host.backends.of(servers[0]), slots: int(servers[0].Slots)}
		}
		return nil, full, string(verdict)
	}
	c.load = candidates[best].Load.Requests(now)
	return &target{backend: c.host.backends.of(servers[best]), slots: int(servers[best].Slots)}, nil, ""
}

// servers returns the servers that may run the request, or why there are none.
func (c *call) servers(now time.Duration, service *routes.Service) ([]keyrange.Server, string) {
	if !service.Keyed {
		return c.host.present(now, c.host.view.serversOf(now, service.Name)), reasonNoServer
	}
	owner, since, known := c.host.view.owner(now, service.Name, c.info.Key)
	if !known || c.host.backends.of(owner).absent(now) || c.unaware(now, owner.ID, since) {
		return nil, reasonNoOwner
	}
	if !c.passes(owner) {
		return nil, reasonOverload
	}
	return []keyrange.Server{owner}, ""
}

// passes tells whether the request may go to its key's owner. Among many gateways
// it must be in the part that an overloaded owner takes.
func (c *call) passes(owner keyrange.Server) bool {
	if c.passed == owner.ID || !dispatch.OneEachOverloads(c.host.view.gateways(), int(owner.Slots)) {
		return true
	}
	if !c.host.backends.of(owner).pass(owner.AdmitPermille, c.route.Priority) {
		return false
	}
	c.passed = owner.ID
	return true
}

// unaware tells whether the owner said that it does not hold the key and is not
// to be asked again: not before it may have heard of a grant that is new, and
// never if the grant is old, since then the table is behind.
func (c *call) unaware(now time.Duration, owner string, since time.Duration) bool {
	if c.denied != owner || since > c.deniedAt {
		return false
	}
	return c.deniedAt-since > grantDelay || now-c.deniedAt < grantDelay
}
