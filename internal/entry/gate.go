package entry

import (
	"context"
	"sync"
	"time"

	"github.com/galenalug/galenalug/admission"
	"github.com/galenalug/galenalug/internal/wire"
)

// gate is the admission queue in front of one backend server. It needs no timer, because the context
// of each request bounds its wait.
type gate struct {
	now func() time.Duration

	mu    sync.Mutex // guards the fields below
	queue *admission.Queue
	// waiting holds the channel of each waiting request. It receives "" when the request may start, or
	// the reason for which the request is refused.
	waiting  map[admission.ID]chan admission.Reason
	lastUsed time.Duration
	lastID   admission.ID
}

func newGate(server Server, queueLength int, now func() time.Duration) *gate {
	config := admission.Config{
		Slots:       server.Slots,
		MaxLimit:    min(maxRequestsPerSlot*server.Slots, max(server.Connections, 1)),
		QueueLength: queueLength,
		Shares:      admission.DefaultShares(),
	}
	return &gate{now: now, queue: admission.New(config), waiting: map[admission.ID]chan admission.Reason{}}
}

// maxRequestsPerSlot bounds the requests in flight to a server per slot. It is above 1 because some
// requests are on the network while others run.
const maxRequestsPerSlot = 4

// slotPermit is the right of a started request to a slot of the server.
type slotPermit struct {
	gate    *gate
	id      admission.ID
	started time.Duration
	once    sync.Once
}

// release frees the slot. Calls after the first one have no effect.
func (p *slotPermit) release(outcome admission.Outcome) {
	p.once.Do(func() { p.gate.finish(p.id, outcome, p.started) })
}

// grant lets a waiting request check that the grant it was routed by is still in force.
type grant struct {
	changed func() <-chan struct{} // closed at the next change of a table
	valid   func() bool
}

// errGrantEnded means that the grant ended while the request waited, so that the request must be
// routed again. It is never returned to callers.
var errGrantEnded = refuseNotRun(503, wire.RefusedNotOwner, "the owner changed while the request waited")

// acquire waits for a slot. If held is not nil, the wait ends with errGrantEnded once that grant is no
// longer valid, so that no request waits for a server that no longer owns its key.
func (g *gate) acquire(
	ctx context.Context, class admission.Class, customer string, deadline time.Duration, held *grant,
) (*slotPermit, *refusal) {
	id, start, decision := g.enqueue(class, customer, deadline)
	if !decision.Accepted {
		return nil, admissionRefusal(decision.Reason, decision.Wait)
	}
	select {
	case reason := <-start:
		return g.permitFor(id, reason)
	default:
	}
	for {
		var changed <-chan struct{}
		if held != nil {
			changed = held.changed()
			if !held.valid() {
				g.abandon(id, start)
				return nil, errGrantEnded
			}
		}
		select {
		case reason := <-start:
			return g.permitFor(id, reason)
		case <-ctx.Done():
			g.abandon(id, start)
			return nil, contextRefusal(ctx)
		case <-changed:
		}
	}
}

func (g *gate) permitFor(id admission.ID, reason admission.Reason) (*slotPermit, *refusal) {
	if reason != "" {
		return nil, admissionRefusal(reason, 0)
	}
	return &slotPermit{gate: g, id: id, started: g.now()}, nil
}

func (g *gate) enqueue(class admission.Class, customer string, deadline time.Duration) (admission.ID, chan admission.Reason, admission.Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.lastUsed = now
	g.lastID++
	id := g.lastID
	decision := g.queue.Enqueue(now, admission.Request{ID: id, Class: class, Customer: customer, Deadline: deadline})
	if !decision.Accepted {
		return id, nil, decision
	}
	start := make(chan admission.Reason, 1)
	g.waiting[id] = start
	for _, evicted := range decision.Evicted {
		g.signal(evicted, admission.ReasonQueueFull)
	}
	g.startNext(now)
	return id, start, decision
}

func (g *gate) finish(id admission.ID, outcome admission.Outcome, started time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.lastUsed = now
	g.queue.Finish(now, id, outcome, now-started)
	for _, expired := range g.queue.Expire(now) {
		g.signal(expired, admission.ReasonDeadline)
	}
	g.startNext(now)
}

// abandon removes a request that stopped waiting.
func (g *gate) abandon(id admission.ID, start chan admission.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, id)
	now := g.now()
	select {
	case <-start: // was started or refused concurrently
	default:
	}
	g.queue.Cancel(now, id)
	g.startNext(now)
}

func (g *gate) startNext(now time.Duration) {
	for _, id := range g.queue.Next(now) {
		g.signal(id, "")
	}
}

func (g *gate) signal(id admission.ID, reason admission.Reason) {
	if start := g.waiting[id]; start != nil {
		delete(g.waiting, id)
		start <- reason
	}
}

// gateState is the state of one gate in the state dump.
type gateState struct {
	Limit   int                       `json:"limit"`
	Running [admission.NumClasses]int `json:"running"` // by class: lookups, orders, uploads
	Waiting [admission.NumClasses]int `json:"waiting"`
}

func (g *gate) state() gateState {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := gateState{Limit: g.queue.Limit()}
	for class := admission.Lookup; class < admission.NumClasses; class++ {
		state.Running[class] = g.queue.Running(class)
		state.Waiting[class] = g.queue.Waiting(class)
	}
	return state
}

// outstanding returns the number of requests running or waiting.
func (g *gate) outstanding() int {
	state := g.state()
	total := 0
	for class := range state.Running {
		total += state.Running[class] + state.Waiting[class]
	}
	return total
}

func (g *gate) unusedSince(before time.Duration) bool {
	g.mu.Lock()
	used := g.lastUsed
	g.mu.Unlock()
	return used < before && g.outstanding() == 0
}

func admissionRefusal(reason admission.Reason, wait time.Duration) *refusal {
	if reason == admission.ReasonDeadline {
		r := refuseNotRun(504, reasonDeadline, "the request cannot finish before its deadline")
		r.retryAfter = wait
		return r
	}
	r := refuseNotRun(503, reasonQueueFull, "the queue of the backend server is full")
	r.retryAfter = max(wait, overloadRetryAfter)
	return r
}

// overloadRetryAfter is the shortest time after which a caller that was refused for overload is told to
// retry.
const overloadRetryAfter = 200 * time.Millisecond

// contextRefusal returns the refusal of an unsent request whose context ended.
func contextRefusal(ctx context.Context) *refusal {
	if ctx.Err() == context.DeadlineExceeded { //nolint:errorlint // Err returns it unwrapped
		return refuseNotRun(504, reasonDeadline, "the deadline passed before the request was sent")
	}
	return refuseNotRun(499, reasonCanceled, "the caller went away before the request was sent")
}
