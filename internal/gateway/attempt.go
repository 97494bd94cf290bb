package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/routes"
)

const (
	// hedgeFactor is the multiple of its expected time after which an idempotent
	// request without a response is sent once more: nearly all requests that are
	// answered at all are answered before.
	hedgeFactor = 4
	// hedgeLeast is the least such time: below it a lost packet costs as much.
	hedgeLeast = 250 * time.Millisecond
)

// result is the end of one attempt.
type result struct {
	in  *inbound
	err error
}

// mayRun tells whether the server may have run the request.
func (r result) mayRun() bool {
	var f *failure
	if errors.As(r.err, &f) {
		return f.mayRun
	}
	return r.err != nil || !r.in.info.NotExecuted
}

// discard ends an exchange whose response goes to nobody.
func (r result) discard() {
	if r.err == nil {
		r.in.finish(false)
	}
}

// send sends the request to a server. An idempotent one that has no response in a
// long time is sent once more beside the first (a hedged request: J. Dean and L.
// Barroso, "The Tail at Scale", CACM 2013), and the first response counts.
func (c *call) send(to *target, service *routes.Service) (*inbound, error) {
	if !c.route.Kind.Repeatable() || c.stream != nil || c.attempts > 0 {
		return c.attempt(c.attemptContext(), to)
	}
	ctx, cancel := context.WithCancel(c.request.Context())
	results := make(chan result, 2)
	go c.attemptInto(ctx, to, c.prepare(to), results)
	timer := time.NewTimer(c.hedgeAfter(to))
	defer timer.Stop()
	select {
	case r := <-results:
		return c.settle(cancel, r)
	case <-timer.C:
	}
	second := c.hedgeTarget(service)
	if second == nil {
		return c.settle(cancel, <-results)
	}
	go c.attemptInto(ctx, second, c.prepare(second), results)
	first := <-results
	if first.err != nil || c.rejected(first.in) {
		c.mayRun = c.mayRun || first.mayRun()
		first.discard()
		return c.settle(cancel, <-results)
	}
	go func() {
		cancel()
		(<-results).discard()
	}()
	return first.in, nil
}

// hedgeAfter returns how long the request waits for a response before it is sent
// once more. Where nothing is known of the service's servers, half of its latency
// objective is left for the second send.
func (c *call) hedgeAfter(to *target) time.Duration {
	expected, known := to.expected(clockNow(), to.slots)
	if !known {
		return max(hedgeLeast, time.Duration(c.route.TargetMillis)*time.Millisecond/2)
	}
	return max(hedgeLeast, hedgeFactor*expected)
}

// settle ends the attempts' context with the response.
func (c *call) settle(cancel context.CancelFunc, r result) (*inbound, error) {
	if r.err != nil {
		cancel()
		return nil, r.err
	}
	finish := r.in.finish
	r.in.finish = func(whole bool) {
		finish(whole)
		cancel()
	}
	return r.in, nil
}

// hedgeTarget returns the server for a second send, or nil if the request may not
// be sent again or would come too late.
func (c *call) hedgeTarget(service *routes.Service) *target {
	second, _, _ := c.choose(clockNow(), service, &place{priority: c.route.Priority})
	if second == nil || !c.mayAttempt() {
		return nil
	}
	return second
}

// attemptContext returns the context of a single attempt. The client's leaving
// does not stop what may run only once.
func (c *call) attemptContext() context.Context {
	if c.route.Kind.Repeatable() {
		return c.request.Context()
	}
	return context.WithoutCancel(c.request.Context())
}

// prepare counts an attempt and returns the request as it goes to the server.
func (c *call) prepare(to *target) *outbound {
	c.attempts++
	c.server = to.id
	header := endToEnd(c.request.Header)
	header.Del("Host")
	c.host.dialect.SetForwardHeaders(header, time.Until(c.deadline), to.id)
	o := &outbound{
		method: c.request.Method, target: c.request.RequestURI, host: c.request.Host,
		header: header, id: c.info.ID, body: c.body, deadline: c.deadline,
		slots: to.slots,
	}
	if c.stream != nil {
		o.body, o.stream, o.streamLength = nil, c.stream, c.request.ContentLength
	}
	return o
}

// attempt sends the request to a server once.
func (c *call) attempt(ctx context.Context, to *target) (*inbound, error) {
	o := c.prepare(to)
	return to.send(ctx, o, !c.route.Kind.Repeatable(), c.host.dialect)
}

func (c *call) attemptInto(ctx context.Context, to *target, o *outbound, results chan<- result) {
	in, err := to.send(ctx, o, false, c.host.dialect)
	results <- result{in, err}
}
