package keyrange

import (
	"testing"
	"time"
)

// Guards against a server that never gets a grant again: it was taken for ended while a call to it was under way,
// and came back with its next heartbeat before the call ended.
func TestServerThatComesBackDuringACallGetsGrants(t *testing.T) {
	c := New(Options{Term: 1, Keys: 16, Lease: 4 * time.Second, HeartbeatTimeout: 8 * time.Second})
	c.SetServices([]KeyedService{{Name: testService, ByCall: true}})
	sequence := int64(0)
	beat := func(now time.Duration) {
		sequence++
		c.Heartbeat(now, Heartbeat{Sequence: sequence, Server: Server{ID: "s1", StartMillis: 2, Service: testService, Address: "a:1", Slots: 1}})
	}
	calls := func(now time.Duration) []Call {
		due := c.Calls(now, 8)
		c.ResolveGrants(now, c.TakePendingGrants(), true)
		return append(due, c.Calls(now, 8)...)
	}
	now, underWay := time.Second, []Call(nil)
	for ; len(underWay) == 0 && now < 10*time.Second; now += 100 * time.Millisecond {
		beat(now)
		underWay = calls(now)
	}
	if len(underWay) != 1 {
		t.Fatalf("%d calls under way, want 1", len(underWay))
	}
	c.removeServer(c.servers["s1"])
	beat(now)
	c.CallEnded(now, underWay[0], CallResult{Outcome: CallUnknown})
	for end := now + 5*time.Second; now < end; now += 100 * time.Millisecond {
		beat(now)
		if len(calls(now)) > 0 {
			return
		}
	}
	t.Error("no call in 5s after the server came back")
}

// Guards against a grant that is sent at the last moment and arrives late: the server held the keys longer than the
// leader assumed.
func TestLeaseCoversTheLatestArrivalOfAGrant(t *testing.T) {
	e := &endedTest{t: t, now: time.Second, c: New(Options{Term: 1, Keys: 16, Lease: endedLease, HeartbeatTimeout: 2 * endedLease})}
	e.c.SetServices([]KeyedService{{Name: testService, ByCall: true}})
	var calls []Call
	for sequence := int64(1); len(calls) == 0; sequence++ {
		e.now += endedBeat
		e.beat("s1", "a:1", testService, 2, sequence)
		calls = e.c.Calls(e.now, 1)
		e.c.ResolveGrants(e.now, e.c.TakePendingGrants(), true)
	}
	for _, call := range calls {
		latestArrival := call.NotAfter + call.Timeout + arrivalSlack
		for _, seg := range e.c.services[testService].segments {
			if seg.token == call.Token && seg.leaseEnd < latestArrival+LeaseBound(call.Lease) {
				t.Errorf("keys %d to %d: the leader takes the lease to end at %v, but a call that arrives at %v lasts until %v",
					seg.from, seg.to, seg.leaseEnd, latestArrival, latestArrival+LeaseBound(call.Lease))
			}
		}
	}
}
