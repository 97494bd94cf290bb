package fleet

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/routes"
)

// callLog is shared by the callers of all hosts of a cluster.
type callLog struct {
	mu     sync.Mutex // guards the fields below
	calls  []keyrange.Call
	silent bool // calls get no answer
	ended  int  // calls that ended with their context
	closed int  // callers that were closed
}

// stubCaller is a GrantCaller to servers that carry out everything.
type stubCaller struct{ log *callLog }

func (c stubCaller) Close() {
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	c.log.closed++
}

func (c stubCaller) Call(ctx context.Context, call keyrange.Call, _ func() time.Duration) keyrange.CallResult {
	c.log.mu.Lock()
	silent := c.log.silent
	c.log.calls = append(c.log.calls, call)
	c.log.mu.Unlock()
	if !silent {
		return keyrange.CallResult{Outcome: keyrange.CallDone, Connection: 1, Handover: "h"}
	}
	<-ctx.Done()
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	c.log.ended++
	return keyrange.CallResult{Outcome: keyrange.CallUnknown}
}

// granted returns the number of keys that were granted to a server, and how many of these were released.
func (l *callLog) granted(id string) (granted, released int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := map[int64]bool{}
	for _, call := range l.calls {
		switch {
		case call.ServerID != id:
		case call.Kind == keyrange.CallRelease:
			released += call.To - call.From + 1
		case !seen[call.From]:
			seen[call.From] = true
			granted += call.To - call.From + 1
		}
	}
	return granted, released
}

// beatUntil sends heartbeats of servers to all present hosts until the context ends.
func (c *cluster) beatUntil(ctx context.Context, servers ...*keyrange.Server) *sync.WaitGroup {
	var loops sync.WaitGroup
	for _, h := range c.hosts {
		loops.Go(func() {
			for ctx.Err() == nil {
				for _, s := range servers {
					hb := keyrange.Heartbeat{Server: *s, Sequence: int64(clock.Now())}
					_, _ = h.Heartbeat(ctx, hb) // another one follows
				}
				time.Sleep(40 * time.Millisecond)
			}
		})
	}
	return &loops
}

func putByCall() routes.Put {
	p := put(0, 1)
	p.Config.Services[0].Grants = routes.GrantsByCall
	return p
}

// Guards against servers that take grants by calls and never get a key, and against calls that go on after
// the leadership has ended.
func TestKeysAreGrantedByCalls(t *testing.T) {
	calls := &callLog{}
	c := newCallingCluster(t, func() GrantCaller { return stubCaller{calls} }, "127.0.0.1")
	c.wait("a leader", func() bool { return c.leader() != nil })
	c.putUntilAccepted(putByCall())
	ctx, cancel := context.WithCancel(context.Background())
	server := &keyrange.Server{ID: "s1", StartMillis: 1, Service: "stock", Address: "10.0.0.1:80", Slots: 4}
	loops := c.beatUntil(ctx, server)
	c.wait("all keys to be granted", func() bool { granted, _ := calls.granted("s1"); return granted == keySpace })
	leader := c.leader()
	c.wait("all keys to be accepted", func() bool {
		leader.mu.Lock()
		defer leader.mu.Unlock()
		for _, h := range leader.leading.coordinator.Holdings(0) {
			if h.ServerID != "s1" || h.WhyNotFree != "" {
				return false
			}
		}
		return len(leader.state.grants()) > 0
	})
	calls.mu.Lock()
	calls.silent, calls.calls = true, nil
	calls.mu.Unlock()
	c.wait("a call without an answer", func() bool {
		calls.mu.Lock()
		defer calls.mu.Unlock()
		return len(calls.calls) > 0
	})
	cancel()
	loops.Wait()
	c.stop(leader)
	calls.mu.Lock()
	defer calls.mu.Unlock()
	if calls.closed == 0 || calls.ended != len(calls.calls) {
		t.Errorf("%d callers closed, %d of %d calls ended with the leadership", calls.closed, calls.ended, len(calls.calls))
	}
}

// Guards against a successor that leaves keys without a lease, or grants them to others while their holder has
// them.
func TestSuccessorRenewsGrantsByCall(t *testing.T) {
	calls := &callLog{}
	c := newCallingCluster(t, func() GrantCaller { return stubCaller{calls} }, "127.0.0.1", "127.0.0.2", "127.0.0.3")
	c.wait("a leader", func() bool { return c.leader() != nil })
	c.putUntilAccepted(putByCall())
	ctx, cancel := context.WithCancel(context.Background())
	server := &keyrange.Server{ID: "s1", StartMillis: 1, Service: "stock", Address: "10.0.0.1:80", Slots: 4}
	other := &keyrange.Server{ID: "s2", StartMillis: 1, Service: "stock", Address: "10.0.0.2:80", Slots: 4}
	loops := c.beatUntil(ctx, server, other)
	defer func() { cancel(); loops.Wait() }()
	first := c.leader()
	c.wait("all keys to be granted", func() bool {
		one, _ := calls.granted("s1")
		two, _ := calls.granted("s2")
		return one+two == keySpace && len(first.state.grants()) > 0
	})
	before := first.state.grants()
	calls.mu.Lock()
	calls.calls = nil
	calls.mu.Unlock()
	c.kill(first)
	c.wait("a successor", func() bool { l := c.leader(); return l != nil && l != first })
	c.wait("the keys to be granted by the successor", func() bool {
		one, _ := calls.granted("s1")
		two, _ := calls.granted("s2")
		return one+two == keySpace
	})
	calls.mu.Lock()
	defer calls.mu.Unlock()
	for _, call := range calls.calls {
		for _, a := range before {
			if call.Kind == keyrange.CallGrant && call.From <= a.To && call.To >= a.From && (call.ServerID != a.ServerID || call.Token < a.Token) {
				t.Errorf("keys %d-%d granted to %s with token %d; %s has them with token %d", call.From, call.To, call.ServerID, call.Token, a.ServerID, a.Token)
			}
		}
	}
}
