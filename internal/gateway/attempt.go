package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/routes"
)

const (
	// hedgeFactor is the multiple of the expected response time after which an idempotent request
	// without a response is sent a second time. Nearly all requests that get a response at all get
	// it before.
	hedgeFactor = 4
	// minHedgeDelay is the lower bound of that delay. The loss of a single packet delays a response
	// by about as much, so a shorter delay gains nothing.
	minHedgeDelay = 250 * time.Millisecond
	// maxHedgeQueueing is the queueing on this host's own link up to which requests are sent a second time.
	// Beyond it the link explains why there is no response, and another copy only adds to its queue.
	maxHedgeQueueing = 100 * time.Millisecond
)

// attemptResult is the outcome of one attempt: a response or an error.
type attemptResult struct {
	resp *backendResponse
	err  error
	end  context.CancelFunc // breaks off the exchange, also while its response is being read

	server string // ID of the server
	second bool   // whether the attempt is the hedged one
}

// mayHaveRun reports whether the server may have run the request.
func (r attemptResult) mayHaveRun() bool {
	var e *exchangeError
	if errors.As(r.err, &e) {
		return e.mayHaveRun
	}
	return r.err != nil || !r.resp.info.NotExecuted
}

// discard ends the exchange of a response that is not used.
func (r attemptResult) discard() {
	if r.err == nil {
		r.resp.finish(false)
	}
	r.end()
}

// use returns the response, whose exchange ends with its finish.
func (r attemptResult) use() (*backendResponse, error) {
	if r.err != nil {
		r.end()
		return nil, r.err
	}
	finish := r.resp.finish
	r.resp.finish = func(complete bool) {
		finish(complete)
		r.end()
	}
	return r.resp, nil
}

// send sends the request to a server. If the first attempt of an idempotent request with a
// buffered body gets no response within the hedge delay, the request is sent a second time (a
// hedged request: J. Dean and L. Barroso, "The Tail at Scale", CACM 2013), and the first usable
// response is returned. If the service is partitioned by key, both attempts go to the key's owner.
func (c *call) send(to *target, service *routes.Service) (*backendResponse, error) {
	if !c.route.Kind.Repeatable() || c.stream != nil || c.attempts > 0 {
		return c.attempt(c.ctx, to)
	}
	results := make(chan attemptResult, 2)
	endFirst := c.startAttempt(to, results)
	timer := time.NewTimer(c.hedgeDelay(to))
	defer timer.Stop()
	select {
	case r := <-results:
		return r.use()
	case <-timer.C:
	}
	second := c.hedgeTarget(to, service)
	if second == nil {
		return (<-results).use()
	}
	endSecond := c.startAttempt(second, results)
	earlier := <-results
	if earlier.err != nil || c.notFinal(earlier.resp) {
		c.mayHaveRun = c.mayHaveRun || earlier.mayHaveRun()
		c.avoid = append(c.avoid, earlier.server)
		earlier.discard()
		return (<-results).use()
	}
	endOther := endSecond
	if earlier.second {
		endOther = endFirst
	}
	go func() {
		endOther()
		(<-results).discard()
	}()
	return earlier.use()
}

// hedgeDelay returns how long to wait for a response before the request is sent a second time. If
// no response time of the service is known yet, half of the route's latency target is left for the
// second attempt.
func (c *call) hedgeDelay(to *target) time.Duration {
	if c.byWork() {
		return c.hedgeDelayByWork(to)
	}
	expectedTime, known := to.expectedTime(clockNow(), to.slots)
	if !known {
		return max(minHedgeDelay, time.Duration(c.route.TargetMillis)*time.Millisecond/2)
	}
	return max(minHedgeDelay, hedgeFactor*expectedTime)
}

// hedgeTarget returns the server for the second attempt, or nil if no server can answer in time, no
// further attempt is allowed, the request is suspected of crashing servers, or a full link or the queue of
// its server explains why there is no response yet.
func (c *call) hedgeTarget(first *target, service *routes.Service) *target {
	if c.suspicion().Crashes > 0 || c.host.linkDelay.queueing() > maxHedgeQueueing {
		return nil
	}
	if c.byWork() { // another server, if there is one
		c.avoid = append(c.avoid, first.id)
		defer func() { c.avoid = c.avoid[:len(c.avoid)-1] }()
	}
	second, _, _ := c.choose(clockNow(), service, &queueEntry{priority: c.route.Priority})
	if second == nil || second.backend == first.backend && second.queues(clockNow(), second.slots) {
		return nil
	}
	if !c.mayAttempt() || !second.takeToken(clockNow()) {
		return nil
	}
	return second
}

// attemptContext returns the context of the attempts, as far as the client determines it. A request
// that may run only once is not canceled when the client disconnects, once it was sent completely; see
// backendRequest.client.
func (c *call) attemptContext() context.Context {
	if c.route.Kind.Repeatable() {
		return c.request.Context()
	}
	return context.WithoutCancel(c.request.Context())
}

// prepare counts an attempt and builds the request to the backend server.
func (c *call) prepare(to *target) *backendRequest {
	c.attempts++
	c.server = to.id
	header := endToEnd(c.request.Header)
	header.Del("Host")
	c.host.dialect.SetForwardHeaders(header, time.Until(c.deadline), to.id)
	req := &backendRequest{
		method: c.request.Method, target: c.request.RequestURI, host: c.request.Host,
		header: header, id: c.info.ID, body: c.body,
		deadline: c.deadline, dialTimeout: c.host.linkDelay.dialTimeout(),
		slots: to.slots, once: !c.route.Kind.Repeatable(), client: c.request.Context(),
	}
	req.claimCold = func() (bool, error) { return to.claimCold(clockNow()) }
	c.progress.Store(&req.progress)
	req.tooLate = func() bool { return c.host.tooLateFor(to.backend) || c.evacuatedFor(to) }
	req.onSend = func() { c.host.countSent(to) }
	if c.host.byWork() {
		req.cost = c.expectedCost()
	}
	if c.stream == nil {
		req.fingerprint = c.fingerprint
	}
	if region := to.otherRegion; region != "" {
		if c.route.Kind != routes.Download {
			req.bulk = c.bulk
		}
		req.onDial = func(took time.Duration) { c.host.observeDial(region, took, c.bulk) }
	}
	if c.stream != nil {
		req.body, req.stream, req.streamLength = nil, c.stream, c.request.ContentLength
	}
	return req
}

// attempt sends the request to a server once.
func (c *call) attempt(ctx context.Context, to *target) (*backendResponse, error) {
	req := c.prepare(to)
	return to.send(ctx, req, c.host.dialect)
}

// startAttempt sends the request to a server on a new goroutine, with a context of its own.
func (c *call) startAttempt(to *target, results chan<- attemptResult) (end context.CancelFunc) {
	ctx, end := context.WithCancel(c.ctx)
	req := c.prepare(to)
	second := c.attempts > 1
	go func() {
		resp, err := to.send(ctx, req, c.host.dialect)
		results <- attemptResult{resp: resp, err: err, end: end, server: to.id, second: second}
	}()
	return end
}
