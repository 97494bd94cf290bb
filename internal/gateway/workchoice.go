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

// initialWorkPart is the expected work of a route's requests before the first response, as a part of the route's
// latency target. Targets are two to six times the work.
const initialWorkPart = 0.3

// byWork reports whether servers are chosen by their remaining work.
func (h *Host) byWork() bool { return h.settings.Balance == settings.GatewaySettingsBalanceWork }

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
	request.Work = c.expectedWork()
	buffer := choiceBuffers.Get().(*choiceBuffer)
	defer choiceBuffers.Put(buffer)
	buffer.resize(len(servers))
	for i, s := range servers {
		b := c.host.backends.get(s)
		c.host.allowWithoutLeader(now, b)
		candidate := &buffer.candidates[i]
		*candidate = dispatch.Candidate{
			ID: s.ID, Load: &buffer.loads[i], Slots: int(s.Slots), ConnectionLimit: c.host.view.connectionLimit(s), Distance: c.host.distance(s.Domain),
			Ahead: entry.ahead(b), Avoid: slices.Contains(c.avoid, s.ID),
		}
		b.fillCandidate(now, candidate, request.Work)
		if service.WarmupPerSecond > 0 {
			b.addWarmth(now, candidate)
		}
	}
	choice := dispatch.ChooseByWork(now, buffer.candidates, request, rand.Float64)
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

// expectedWork returns the expected work of the request on a server of mean speed.
func (c *call) expectedWork() time.Duration {
	if mean := c.host.backends.meanOf(c.service); mean > 0 {
		return mean
	}
	return time.Duration(initialWorkPart * float64(c.route.TargetMillis) * float64(time.Millisecond))
}

// meanOf returns the mean service time of a service, or 0 if it is not known.
func (b *backends) meanOf(service string) time.Duration {
	b.mu.Lock()
	mean := b.meanServiceTime(service)
	b.mu.Unlock()
	return mean.value()
}

// fillCandidate sets what the backend knows for dispatch.ChooseByWork. mean is the expected work of a request of
// the service.
func (b *backend) fillCandidate(now time.Duration, c *dispatch.Candidate, mean time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	*c.Load = b.load
	limit, _ := b.notices.RateLimit()
	c.Limited, c.Tokens, c.PausedFor = limit > 0, b.tokens.Available(now), b.notices.PausedFor(now)
	c.Suspect = b.failedAt != 0 && now-b.failedAt < suspectPeriod
	c.Avoid = c.Avoid || b.backoff.Active(now)
	c.Open = len(b.idle) > 0
	c.WorkLeft, c.MeanWork, c.Speed = b.load.OwnWork(), mean, 1
	if b.load.HasServiceTime() {
		c.Speed = float64(mean) / float64(b.load.ServiceTime())
	}
	c.Speed /= b.load.HostFactor(now)
}
