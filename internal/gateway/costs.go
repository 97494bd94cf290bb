package gateway

import (
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenalug/galenalug/cost"
	"github.com/galenalug/galenalug/dispatch"
	"github.com/galenalug/galenalug/warmup"
)

// costs holds what the gateway has learned of the work of requests.
type costs struct {
	mu    sync.Mutex // guards model; no other lock is acquired while it is held
	model cost.Model
}

func (c *costs) work(class cost.Class, prior time.Duration) cost.Work {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.model.Work(class, prior)
}

func (c *costs) mean(service string, prior time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.model.Mean(service, prior)
}

func (c *costs) warmupSpeed(service string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.model.WarmupSpeed(service)
}

// observe adds the time of a request that did not queue, on a server in a phase.
func (c *costs) observe(class cost.Class, speed *cost.Speed, prior, took time.Duration, phase warmup.Phase) (logSpeed float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch phase {
	case warmup.Mixed:
		return math.Log(speed.Factor()) // shows nothing new
	case warmup.WarmingUp:
		return c.model.ObserveWarmingUp(class, speed, prior, took)
	}
	return c.model.Observe(class, speed, prior, took)
}

// drop forgets the work of requests for services.
func (c *costs) drop(services map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.model.Forget(func(service string) bool { return services[service] })
}

// each calls visit for each route of which the work is known.
func (c *costs) each(visit func(cost.Class, cost.Work)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.model.Each(visit)
}

// serviceState is what the gateway knows of a service as a whole.
type serviceState struct {
	mu      sync.Mutex // guards the fields below; no other lock is acquired while it is held
	urgency dispatch.Urgency
	queue   dispatch.WaitQueue // requests that wait for capacity at any server
	refused bool               // a server refused a request
}

// mayBeSilent reports whether full servers of the service may not answer: none has refused a request so far.
func (s *serviceState) mayBeSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.refused
}

func (s *serviceState) noteRefused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = true
}

// usable returns the part of each server that a request may use; see dispatch.Urgency.
func (s *serviceState) usable(now time.Duration, priority int64, work, waited, slack time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.urgency.Seen(now, priority, work)
	return s.urgency.Usable(now, priority, work, waited, slack)
}

func (s *serviceState) enqueue(now time.Duration, priority int64) dispatch.Ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.EnqueueAging(now, priority)
}

func (s *serviceState) dequeue(t dispatch.Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Remove(t)
}

// ahead returns the number of waiting requests that are served before the ticket, or before a new request if the
// ticket is nil.
func (s *serviceState) ahead(now time.Duration, t *dispatch.Ticket, priority int64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t != nil {
		return s.queue.Ahead(*t)
	}
	return s.queue.AheadOfNewAging(now, priority)
}

// requestCost is what is expected of a request, and known when it is sent.
type requestCost struct {
	class cost.Class
	prior time.Duration // work of the route before its first response
	work  cost.Work

	host      float64 // by what factor work took longer on the server's host when the request was sent
	warmingUp bool    // whether the server was warming up then
}

// expected returns the expected work; 0 without balance: work.
func (r *requestCost) expected() time.Duration {
	if r == nil {
		return 0
	}
	return r.work.Expected
}

// silentFactor is the multiple of the time that nearly all requests take after which a request without an answer shows
// that the server does not answer.
const silentFactor = 2

// learn updates what is known of the work of requests and of the server after an exchange. The caller holds b.mu.
func (b *backend) learn(req *backendRequest, resp *backendResponse, err error, took time.Duration, queued bool) {
	if req.cost == nil {
		return
	}
	switch {
	case err != nil:
		var e *exchangeError
		high := float64(req.cost.work.High) / b.warmupFactor(req.cost.warmingUp)
		silent := errors.As(err, &e) && e.mayHaveRun && float64(took) > silentFactor*high
		if silent && (e.reason == reasonTimeout || e.reason == reasonCanceled) {
			b.failedAt = clockNow()
		}
	case resp.info.NotExecuted:
		if !resp.info.NotOwner {
			b.state.noteRefused()
		}
	case resp.status >= http.StatusInternalServerError: // often sent without doing the work
	case !queued && (resp.info.Load == nil || resp.info.Load.Waiting == 0):
		host := (req.cost.host + b.load.HostFactor(clockNow())) / 2
		b.observeDial(req.dialTook)
		ran := max(took-between(&req.progress.startedAt, &req.progress.connectedAt)-b.roundTrip, took/10)
		phase := warmup.PhaseOf(req.cost.warmingUp, b.countdown.WarmingUp(clockNow()))
		logSpeed := b.costs.observe(req.cost.class, &b.speed, req.cost.prior, time.Duration(float64(ran)/host), phase)
		b.factor = b.speed.FactorWith(b.shared.Speed)
		b.observed.SpeedSum += int64(1000 * logSpeed)
	}
}

// warmupFactor returns the server's present speed relative to its usual one.
func (b *backend) warmupFactor(warmingUp bool) float64 {
	if !warmingUp {
		return 1
	}
	return b.costs.warmupSpeed(b.service)
}

const (
	// roundTripWeight is the weight of a connection that took longer to open than earlier ones. Lower values count at
	// once: they met no queue.
	roundTripWeight = 0.05
	// maxRoundTrip bounds what counts as the network's part: a connection that takes longer waits in a queue.
	maxRoundTrip = 100 * time.Millisecond
)

// observeDial updates the round trip of the network. The caller holds b.mu.
func (b *backend) observeDial(took time.Duration) {
	took = min(took, maxRoundTrip)
	switch {
	case took == 0:
	case b.roundTrip == 0 || took < b.roundTrip:
		b.roundTrip = took
	default:
		b.roundTrip += time.Duration(roundTripWeight * float64(took-b.roundTrip))
	}
}

// expectedCost returns what is expected of the request.
func (c *call) expectedCost() *requestCost {
	r := &requestCost{
		class: cost.Class{Service: c.service, Route: c.route.Name, Method: cost.MethodOf(c.request.Method), Size: cost.SizeOf(c.bodyBytes())},
		prior: time.Duration(initialWorkPart * float64(c.route.TargetMillis) * float64(time.Millisecond)),
		host:  1,
	}
	if r.prior <= 0 {
		r.prior = defaultWork
	}
	r.work = c.host.backends.costs.work(r.class, r.prior)
	return r
}

func (c *call) bodyBytes() int {
	if c.stream != nil {
		return int(max(int64(len(c.body)), c.request.ContentLength))
	}
	return len(c.body)
}

// costCollector exports the learned work of each route.
type costCollector struct {
	costs          *costs
	expected, high *prometheus.Desc
}

func newCostCollector(c *costs) *costCollector {
	labels := []string{"service", "route"}
	return &costCollector{
		costs:    c,
		expected: prometheus.NewDesc("galenalug_gateway_work_seconds", "Expected work of a request on a server of mean speed.", labels, nil),
		high:     prometheus.NewDesc("galenalug_gateway_work_high_seconds", "Time that nearly all requests take on a server of mean speed.", labels, nil),
	}
}

// Describe implements prometheus.Collector.
func (c *costCollector) Describe(out chan<- *prometheus.Desc) { out <- c.expected; out <- c.high }

// Collect implements prometheus.Collector.
func (c *costCollector) Collect(out chan<- prometheus.Metric) {
	var found []prometheus.Metric
	c.costs.each(func(class cost.Class, work cost.Work) {
		found = append(found,
			prometheus.MustNewConstMetric(c.expected, prometheus.GaugeValue, work.Expected.Seconds(), class.Service, class.Route),
			prometheus.MustNewConstMetric(c.high, prometheus.GaugeValue, work.High.Seconds(), class.Service, class.Route))
	})
	for _, m := range found {
		out <- m
	}
}
