package entry

import (
	"context"
	"sync"
	"time"

	"github.com/galenalug/galenalug/admission"
	"github.com/galenalug/galenalug/internal/wire"
)

// gate is the admission queue in front of one backend server. The caller's
// deadline bounds its wait, so the gate needs no timer of its own.
type gate struct {
	now func() time.Duration

	mu       sync.Mutex // guards the fields below
	queue    *admission.Queue
	waiting  map[admission.ID]chan admission.Reason // an empty reason starts the request
	lastUsed time.Duration
	lastID   admission.ID
}

func newGate(server Server, queueLength int, now func() time.Duration) *gate {
	config := admission.Config{
		Slots:       server.Slots,
		MaxLimit:    min(limitPerSlot*server.Slots, max(server.Connections, 1)),
		QueueLength: queueLength,
		Shares:      admission.DefaultShares(),
	}
	return &gate{now: now, queue: admission.New(config), waiting: map[admission.ID]chan admission.Reason{}}
}

// limitPerSlot bounds the requests sent to a server for each of its slots: some
// are on their way while others run.
const limitPerSlot = 4

// ticket is a started request's hold on a slot.
type ticket struct {
	gate    *gate
	id      admission.ID
	started time.Duration
	once    sync.Once
}

// finish frees the slot; only the first call counts.
func (t *ticket) finish(outcome admission.Outcome) {
	t.once.Do(func() { t.gate.finish(t.id, outcome, t.started) })
}

// grant tells whether the grant that a request waits under still stands.
type grant struct {
	changed func() <-chan struct{} // closed at the next change of a table
	stands  func() bool
}

// errGrantOver tells that the grant ended while the request waited: it must be
// routed anew. It is not for callers.
var errGrantOver = notRun(503, wire.RefusedNotOwner, "the owner changed while the request waited")

// enter waits for a slot while the grant stands, so that no request waits for a
// server that has lost its key. Without a grant it waits for the slot alone.
func (g *gate) enter(
	ctx context.Context, class admission.Class, customer string, deadline time.Duration, under *grant,
) (*ticket, *refusal) {
	id, start, verdict := g.enqueue(class, customer, deadline)
	if !verdict.Accepted {
		return nil, admissionRefusal(verdict.Reason, verdict.Wait)
	}
	select {
	case reason := <-start:
		return g.started(id, reason)
	default:
	}
	for {
		var changed <-chan struct{}
		if under != nil {
			changed = under.changed()
			if !under.stands() {
				g.leave(id, start)
				return nil, errGrantOver
			}
		}
		select {
		case reason := <-start:
			return g.started(id, reason)
		case <-ctx.Done():
			g.leave(id, start)
			return nil, contextRefusal(ctx)
		case <-changed:
		}
	}
}

func (g *gate) started(id admission.ID, reason admission.Reason) (*ticket, *refusal) {
	if reason != "" {
		return nil, admissionRefusal(reason, 0)
	}
	return &ticket{gate: g, id: id, started: g.now()}, nil
}

func (g *gate) enqueue(class admission.Class, customer string, deadline time.Duration) (admission.ID, chan admission.Reason, admission.Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.lastUsed = now
	g.lastID++
	id := g.lastID
	verdict := g.queue.Enqueue(now, admission.Request{ID: id, Class: class, Customer: customer, Deadline: deadline})
	if !verdict.Accepted {
		return id, nil, verdict
	}
	start := make(chan admission.Reason, 1)
	g.waiting[id] = start
	for _, evicted := range verdict.Evicted {
		g.wake(evicted, admission.ReasonQueueFull)
	}
	g.startNext(now)
	return id, start, verdict
}

func (g *gate) finish(id admission.ID, outcome admission.Outcome, started time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.lastUsed = now
	g.queue.Finish(now, id, outcome, now-started)
	for _, expired := range g.queue.Expire(now) {
		g.wake(expired, admission.ReasonDeadline)
	}
	g.startNext(now)
}

// leave takes back a request that stopped waiting.
func (g *gate) leave(id admission.ID, start chan admission.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, id)
	now := g.now()
	select {
	case <-start: // started or refused in the meantime
	default:
	}
	g.queue.Cancel(now, id)
	g.startNext(now)
}

func (g *gate) startNext(now time.Duration) {
	for _, id := range g.queue.Next(now) {
		g.wake(id, "")
	}
}

func (g *gate) wake(id admission.ID, reason admission.Reason) {
	if start := g.waiting[id]; start != nil {
		delete(g.waiting, id)
		start <- reason
	}
}

// gateState is one gate in the state dump.
type gateState struct {
	Limit   int                       `json:"limit"`
	Running [admission.NumClasses]int `json:"running"` // lookups, orders, uploads
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

// outstanding is the number of requests running or waiting.
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
		r := notRun(504, reasonDeadline, "the request cannot finish before its deadline")
		r.retryAfter = wait
		return r
	}
	r := notRun(503, reasonQueueFull, "the queue of the backend server is full")
	r.retryAfter = max(wait, shedRetryAfter)
	return r
}

// shedRetryAfter is the wait advised to callers after a refusal for overload.
const shedRetryAfter = 200 * time.Millisecond

// contextRefusal says why a request that was not sent stopped waiting.
func contextRefusal(ctx context.Context) *refusal {
	if ctx.Err() == context.DeadlineExceeded { //nolint:errorlint // Err returns it unwrapped
		return notRun(504, reasonDeadline, "the deadline passed before the request was sent")
	}
	return notRun(499, reasonCanceled, "the caller went away before the request was sent")
}
