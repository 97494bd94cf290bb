package fleet

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/panjf2000/ants/v2"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/keyrange"
)

// GrantCaller sends calls about keys to backend servers. One is used for one leadership only.
type GrantCaller interface {
	// Call sends a call and returns what is known of it, when the server has answered, when the call's timeout
	// is over, or when the context ends. now returns the time on the clock of Call.NotAfter.
	Call(ctx context.Context, call keyrange.Call, now func() time.Duration) keyrange.CallResult
	// Close closes all connections.
	Close()
}

const (
	// maxGrantCalls is the number of calls to backend servers at the same time.
	maxGrantCalls = 256
	// grantInterval is the longest time between two searches for calls that are due.
	grantInterval = 25 * time.Millisecond
	// minGrantInterval is the least such time. Results of calls that arrive together are processed together.
	minGrantInterval = 2 * time.Millisecond
)

// grantCalls is a leadership's part in grants by calls.
type grantCalls struct {
	ctx    context.Context // ends with the leadership
	cancel context.CancelFunc
	caller GrantCaller
}

// newGrantCalls returns nil if the host makes no calls.
func (h *Host) newGrantCalls() *grantCalls {
	if h.newCaller == nil {
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &grantCalls{ctx: ctx, cancel: cancel, caller: h.newCaller()}
}

// end gives up the calls under way and resets their connections.
func (g *grantCalls) end() {
	if g != nil {
		g.cancel()
		g.caller.Close()
	}
}

// endGrantCalls ends the calls of a host that stops, also if it could not hand over its leadership.
func (h *Host) endGrantCalls() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leading != nil {
		h.leading.calls.end()
	}
}

// grantLoop sends the leader's calls to backend servers.
func (h *Host) grantLoop(ctx context.Context, pool *ants.Pool) {
	defer pool.Release()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-h.grantWake:
		case <-time.After(grantInterval):
		}
		h.sendDueCalls(pool)
		select {
		case <-ctx.Done():
		case <-time.After(minGrantInterval):
		}
	}
}

// sendDueCalls records new grants and sends the calls that are due.
func (h *Host) sendDueCalls(pool *ants.Pool) {
	l, calls, granted := h.takeDueCalls(pool.Free())
	if len(granted) > 0 {
		h.loops.Go(func() { h.recordAssigned(l, granted) })
	}
	for _, call := range calls {
		err := pool.Submit(func() { h.sendCall(l, call) })
		if err != nil {
			log.WithError(err).WithField("server", call.ServerID).Warn("call not sent")
			h.endCall(l, call, keyrange.CallResult{Outcome: keyrange.CallNotSent}, 0)
		}
	}
}

// takeDueCalls returns at most the given number of calls that are due, and the grants that must be recorded
// before they become due.
func (h *Host) takeDueCalls(limit int) (*leadership, []keyrange.Call, []keyrange.Assignment) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.leading
	if l == nil || l.calls == nil || !h.runner.Leads() || h.state.recordedLease() < h.lease() {
		return nil, nil, nil
	}
	calls := l.coordinator.Calls(clock.Now(), limit)
	return l, calls, l.coordinator.TakePendingGrants()
}

// recordAssigned commits grants to the log, so that their calls become due.
func (h *Host) recordAssigned(l *leadership, granted []keyrange.Assignment) {
	ctx, cancel := context.WithTimeout(l.calls.ctx, heartbeatTimeout)
	defer cancel()
	if err := h.recordGrants(ctx, granted); err != nil {
		log.WithError(err).WithField("grants", len(granted)).Warn("grants not recorded; their keys are free again")
	}
	h.wakeGrants()
}

// sendCall sends a call and passes its result to the coordinator.
func (h *Host) sendCall(l *leadership, call keyrange.Call) {
	started := time.Now()
	result := keyrange.CallResult{Outcome: keyrange.CallNotSent}
	if h.runner.Leads() {
		result = l.calls.caller.Call(l.calls.ctx, call, clock.Now)
	}
	h.endCall(l, call, result, time.Since(started))
}

// endCall passes the result of a call to the coordinator, if this host still leads.
func (h *Host) endCall(l *leadership, call keyrange.Call, result keyrange.CallResult, took time.Duration) {
	h.metrics.calls.count(call.Kind, result.Outcome, took)
	if result.Outcome != keyrange.CallDone && result.Outcome != keyrange.CallNoConn {
		log.WithFields(log.Fields{
			"kind": call.Kind, "outcome": result.Outcome, "server": call.ServerID, "address": call.Address,
			"service": call.Service, "from": call.From, "to": call.To, "token": call.Token, "took_ms": took.Milliseconds(),
		}).Warn("call about keys failed")
	}
	h.mu.Lock()
	if h.leading == l {
		l.coordinator.CallEnded(clock.Now(), call, result)
	}
	h.mu.Unlock()
	h.wakeGrants()
	h.requestPublish()
}

// wakeGrants makes grantLoop look for calls that are due. It never blocks.
func (h *Host) wakeGrants() {
	select {
	case h.grantWake <- struct{}{}:
	default:
	}
}

// newGrantPool returns the pool that sends calls.
func newGrantPool() (*ants.Pool, error) {
	pool, err := ants.NewPool(maxGrantCalls, ants.WithNonblocking(true))
	return pool, errors.Wrap(err, "pool of calls to backend servers")
}
