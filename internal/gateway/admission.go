package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/galenalug/galenalug/admitshare"
	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/wire"
)

// admission decides whether a request that has just arrived may be served, by the leader's plan. A nil admission
// admits all requests.
type admission struct {
	mu       sync.Mutex // guards the fields below; no other lock is acquired while it is held
	counter  admitshare.Counter
	limiter  admitshare.Limiter
	throttle admitshare.Throttle
}

// admit counts a request with its expected work and reports whether it may be served. withoutLeader tells that no plan
// can arrive.
func (a *admission) admit(now time.Duration, group admitshare.Group, work time.Duration, withoutLeader bool) bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counter.Add(group, work)
	if withoutLeader && !a.limiter.Fresh(now) {
		return a.throttle.Admit(now, group, rand.Float64())
	}
	return a.limiter.Admit(now, group, rand.Float64())
}

// queued reports whether the requests of a service get their servers from the leader.
func (a *admission) queued(now time.Duration, service string) bool {
	if a == nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limiter.Queued(now, service)
}

// ended records whether a server ran a request that was admitted.
func (a *admission) ended(now time.Duration, group admitshare.Group, accepted bool) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.throttle.Ended(now, group, accepted)
}

// update replaces the leader's plan.
func (a *admission) update(now time.Duration, plan admitshare.Plan) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter.Update(now, plan)
}

// forget drops what is known of groups without requests.
func (a *admission) forget(now time.Duration) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.throttle.Forget(now)
}

// demand returns the demand since the last call.
func (a *admission) demand() admitshare.DemandReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.counter.Take()
}

// dropDemand forgets the demand so far. The leader takes each report for the demand of one report interval: that of a
// longer time without a leader would look like an overload.
func (a *admission) dropDemand() {
	if a != nil {
		a.demand()
	}
}

// admissionGroup returns the group of requests that compete with this one.
func (c *call) admissionGroup() admitshare.Group {
	return admitshare.Group{Service: c.service, Regions: admitshare.RegionList(c.route.AllowedRegions), Priority: c.route.Priority}
}

// admitted reports whether the request may be served. Otherwise more is demanded of its servers than they can run. A
// request with a key has only one server, whose overload the leader limits by itself: see allowedAtOwner. A request that
// has run before its turn, and runs again because its response could not be held, was admitted then.
func (c *call) admitted() bool {
	if c.keyed || c.mayHaveRun {
		return true
	}
	now := clockNow()
	withoutLeader := c.host.leaderLink.disconnectedFor(now) > 0
	return c.host.admission.admit(now, c.admissionGroup(), c.expectedCost().work.Expected, withoutLeader)
}

// endAdmitted records whether a server ran a request that was admitted by the plan or the throttle.
func (c *call) endAdmitted() {
	if !c.keyed {
		c.host.admission.ended(clockNow(), c.admissionGroup(), c.answered)
	}
}

// reportDemand sends the leader the demand since the last report.
func (l *leaderLink) reportDemand(client *peer.Client) {
	if l.admission == nil {
		return
	}
	report := l.admission.demand()
	if len(report.Groups) == 0 {
		return
	}
	body, err := cbor.Marshal(report)
	if err != nil {
		log.WithError(err).Error("cannot encode demand report")
		return
	}
	if err := client.Notify(wire.KindDemandReport, body); err != nil {
		log.WithError(err).Debug("cannot send demand report")
	}
}

func (u *updateHandler) applyAdmission(body []byte) {
	var plan admitshare.Plan
	if err := cbor.Unmarshal(body, &plan); err != nil {
		log.WithError(err).Error("cannot decode the plan of the admission")
		return
	}
	u.admission.update(clockNow(), plan)
}
