package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/galenalug/galenalug/dispatch"
	"github.com/galenalug/galenalug/internal/settings"
	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/routes"
)

const (
	// initialWorkPart is the expected work of a route's requests before the first response, as a part of the route's
	// latency target. Targets are two to six times the work.
	initialWorkPart = 0.3
	// defaultWork is the expected work before the first response of a route without a latency target.
	defaultWork = 100 * time.Millisecond
	// workHedgeFactor is the multiple of the time that nearly all requests take after which an idempotent request
	// without a response is sent a second time.
	workHedgeFactor = 1.2
)

// byWork reports whether servers are chosen by their remaining work.
func (h *Host) byWork() bool { return h.settings.Balance == settings.GatewaySettingsBalanceWork }

// byWork reports whether the server of the request is chosen by its remaining work. The owner of a key is the only
// candidate for it.
func (c *call) byWork() bool { return c.host.byWork() && !c.keyed }

// choiceBuffer holds the candidates of one choice.
type choiceBuffer struct {
	candidates []dispatch.Candidate
	loads      []dispatch.Load
}

// choiceBuffers keeps the buffers of past choices, since a choice among many servers would allocate much.
var choiceBuffers = sync.Pool{New: func() any { return &choiceBuffer{} }}

// resize makes room for a number of candidates.
func (b *choiceBuffer) resize(n int) {
	if cap(b.candidates) < n {
		b.candidates, b.loads = make([]dispatch.Candidate, n), make([]dispatch.Load, n)
	}
	b.candidates, b.loads = b.candidates[:n], b.loads[:n]
}

// chooseByWork is like choose, among servers that may run the request.
func (c *call) chooseByWork(now time.Duration, service *routes.Service, servers []keyrange.Server, entry *queueEntry, request dispatch.Request) (chosen, full *target, reason string) {
	c.addCost(now, &request, entry)
	mean := c.host.backends.costs.mean(c.service, request.Work)
	buffer := choiceBuffers.Get().(*choiceBuffer)
	defer choiceBuffers.Put(buffer)
	buffer.resize(len(servers))
	connections, once := 0, !c.route.Kind.Repeatable()
	for i, s := range servers {
		b := c.host.backends.get(s)
		c.host.allowWithoutLeader(now, b)
		if i == 0 || s.Slots != servers[i-1].Slots {
			connections = c.host.view.connectionLimit(s)
		}
		candidate := &buffer.candidates[i]
		*candidate = dispatch.Candidate{
			ID: s.ID, Load: &buffer.loads[i], Slots: int(s.Slots), ConnectionLimit: connections, Distance: c.host.distance(s.Domain),
			Avoid: slices.Contains(c.avoid, s.ID), MeanWork: mean,
		}
		b.fillCandidate(now, s, candidate, entry, once)
		if service.WarmupPerSecond > 0 {
			b.addWarmth(now, candidate)
		}
	}
	choice := c.chooseAndClaim(now, servers, buffer, request)
	if choice.Index < 0 {
		candidates, rejection := buffer.candidates, choice.Reason
		if rejection == dispatch.RateLimited && !service.Keyed {
			servers, candidates, rejection = c.awaitCold(now, request, entry, servers, candidates)
		}
		if i := c.queueFor(service, candidates, rejection); i >= 0 {
			full = c.host.target(servers[i])
		}
		return nil, full, string(rejection)
	}
	c.host.metrics.choices.WithLabelValues(string(choice.Basis)).Inc()
	c.chosenLoad, c.basis = buffer.loads[choice.Index].Requests(now), choice.Basis
	return c.host.target(servers[choice.Index]), nil, ""
}

// chooseAndClaim chooses a server, and claims it if nothing is known of it. If another request has claimed it since its
// state was read, it chooses again without it: requests that wait are all woken when a server joins.
func (c *call) chooseAndClaim(now time.Duration, servers []keyrange.Server, buffer *choiceBuffer, request dispatch.Request) dispatch.Choice {
	for {
		choice := dispatch.ChooseByWork(now, buffer.candidates, request, rand.Float64)
		if choice.Index < 0 || !choice.Probe || c.host.backends.get(servers[choice.Index]).claim(now) {
			return choice
		}
		buffer.loads[choice.Index].Claim(now)
	}
}

// claim claims the server for one request; see dispatch.Load.
func (b *backend) claim(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.load.Claim(now)
}

// addCost adds to a request what dispatch.ChooseByWork needs besides.
func (c *call) addCost(now time.Duration, request *dispatch.Request, entry *queueEntry) {
	work := c.expectedCost().work
	state := c.host.backends.serviceState(c.service)
	request.Work, request.HighWork = work.Expected, work.High
	waited := time.Since(c.started)
	request.Usable = state.usable(now, request.Priority, work.Expected, waited, request.UntilTarget+waited-work.Expected)
	request.Ahead = entry.aheadOfService(now, state)
	request.WarmupSpeed = c.host.backends.costs.warmupSpeed(c.service)
	request.MayBeSilent, request.Gateways = state.mayBeSilent(), c.host.view.gateways()
}

// fillCandidate sets what the backend knows for dispatch.ChooseByWork.
func (b *backend) fillCandidate(now time.Duration, s keyrange.Server, c *dispatch.Candidate, entry *queueEntry, once bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.noteListedLocked(now, s)
	c.WarmingUp = b.countdown.WarmingUp(now)
	*c.Load = b.load
	if b.queue.Len() > 0 {
		if entry.target != nil && entry.target.backend == b {
			c.Ahead = b.queue.Ahead(entry.ticket)
		} else {
			c.Ahead = b.queue.AheadOfNewAging(now, entry.priority)
		}
	}
	limit, _ := b.notices.RateLimit()
	c.Limited, c.PausedFor = limit > 0, b.notices.PausedFor(now)
	if c.Limited {
		c.Tokens = b.tokens.Available(now)
	}
	c.Suspect = b.failedAt != 0 && now-b.failedAt < suspectPeriod
	c.Avoid = c.Avoid || b.backoff.Active(now) || b.failures.Active(now)
	c.Open, c.RoundTrip = b.hasIdle(once), b.roundTrip
	c.WorkLeft, c.Speed = b.load.OwnWork(), b.factor/b.load.HostFactor(now)
}

// aheadOfService returns the number of requests for the service that wait for any server and are served before this
// one.
func (e *queueEntry) aheadOfService(now time.Duration, state *serviceState) int {
	if e.service == state {
		return state.ahead(now, &e.serviceTicket, e.priority)
	}
	return state.ahead(now, nil, e.priority)
}

// enqueueForService adds the request to those that wait for any server of the service.
func (e *queueEntry) enqueueForService(now time.Duration, state *serviceState) {
	if e.service != nil {
		return
	}
	e.service, e.serviceTicket = state, state.enqueue(now, e.priority)
}

// maxPollInterval is the longest interval between checks for capacity of a request that waits behind others.
const maxPollInterval = 100 * time.Millisecond

// pollInterval returns the interval between checks for capacity. It grows with the number of requests that are served
// before this one: each check costs as much as a choice, and in overload many requests wait.
func (e *queueEntry) pollInterval(now time.Duration) time.Duration {
	if e.service == nil {
		return capacityPollInterval
	}
	return min(time.Duration(1+e.aheadOfService(now, e.service))*capacityPollInterval, maxPollInterval)
}

// hedgeDelayByWork returns how long to wait for a response before the request is sent a second time.
func (c *call) hedgeDelayByWork(to *target) time.Duration {
	high := c.expectedCost().work.High
	to.mu.Lock()
	now := clockNow()
	wait := to.load.ExpectedWait(now, to.slots)
	speed := to.factor / to.load.HostFactor(now) * to.warmupFactor(to.countdown.WarmingUp(now))
	to.mu.Unlock()
	return max(minHedgeDelay, wait+time.Duration(workHedgeFactor*float64(high)/speed))
}
