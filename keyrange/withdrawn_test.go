package keyrange

import (
	"testing"
	"time"
)

// withdrawals are the ways in which a configuration takes the keys of a service away.
var withdrawals = map[string]func(c *Coordinator){
	"service removed":       func(c *Coordinator) { c.SetServices(nil) },
	"service without keys":  func(c *Coordinator) { c.SetServices(nil, testService) },
	"grants in another way": func(c *Coordinator) { c.SetServices([]KeyedService{{Name: testService, ByCall: true}}) },
}

// Guards against two holders of the keys of a service that leaves the configuration and returns (review 4): it was
// rebuilt from the leases at the beginning of the leadership, and its servers go on until theirs end.
func TestKeysOfServiceThatReturnsStayWithTheirHolder(t *testing.T) {
	for name, withdraw := range withdrawals {
		t.Run(name, func(t *testing.T) {
			e := newEndedTest(t)
			withdraw(e.c)
			e.now += 300 * time.Millisecond
			e.c.Tick(e.now)
			e.c.SetServices([]KeyedService{{Name: testService}})
			e.beat("s2", "b:1", testService, 3, 1)
			e.expectHeld("after its return, at the heartbeat of another server")
			e.now += endedBeat
			reply := e.c.Heartbeat(e.now, Heartbeat{
				Sequence: 9, Holds: []Range{{From: 0, To: 15, Token: e.c.services[testService].segments[0].token}},
				Server: Server{ID: "s1", StartMillis: 2, Service: testService, Address: "a:1", Slots: 1},
			})
			if len(reply.Grants) == 0 {
				t.Errorf("the holder got %+v after the return, want its keys", reply)
			}
		})
	}
}

func TestKeysOfWithdrawnServiceAreFreeAfterTheirLeases(t *testing.T) {
	e := newEndedTest(t)
	e.c.SetServices(nil)
	last := e.now
	for e.now < last+LeaseBound(endedLease) {
		e.now += endedBeat
		if reply := e.beat("s1", "a:1", testService, 2, int64(e.now)); reply.Renewed {
			t.Fatal("the lease of a service that the configuration lacks was renewed")
		}
	}
	e.c.Tick(e.now)
	if len(e.c.services) != 0 {
		t.Error("the service is still kept after its leases")
	}
	e.c.SetServices([]KeyedService{{Name: testService}})
	for range 8 { // the service is new again: its first assignment waits for its servers
		e.now += endedBeat
		e.beat("s2", "b:1", testService, 3, int64(e.now))
	}
	if e.keys("s2") == 0 {
		t.Error("s2 got no keys after the return")
	}
}

// A new leader knows what an earlier one granted, whether or not the configuration has the service when it is elected.
func TestKeysOfWithdrawnServiceOutliveTheLeader(t *testing.T) {
	e := newEndedTest(t)
	recorded := []Assignment{{Service: testService, From: 0, To: 15, ServerID: "s1", StartMillis: 2, Token: 7, Sequence: 8}}
	e.c = New(Options{
		Term: 2, Keys: 16, Lease: endedLease, HeartbeatTimeout: 2 * endedLease, RecordedGrants: recorded, InheritedLeasesEnd: e.now + LeaseBound(endedLease),
	})
	e.c.SetServices(nil)
	e.c.Tick(e.now)
	e.now += 300 * time.Millisecond
	e.c.SetServices([]KeyedService{{Name: testService}})
	e.beat("s2", "b:1", testService, 3, 1)
	e.expectHeld("under a new leader, after the return")
}

// Guards against heartbeats without the keys that a server has taken by calls, which freed them once the service
// changed to grants by heartbeats: servers need not report such keys.
func TestKeysTakenByCallsOutliveTheChangeToHeartbeats(t *testing.T) {
	e := &endedTest{t: t, now: time.Second, c: New(Options{Term: 1, Keys: 16, Lease: endedLease, HeartbeatTimeout: 2 * endedLease})}
	e.c.SetServices([]KeyedService{{Name: testService, ByCall: true}})
	var record Record
	for sequence := range int64(8) {
		e.now += endedBeat
		e.c.Heartbeat(e.now, Heartbeat{Sequence: sequence + 1, Server: Server{ID: "s1", StartMillis: 2, Service: testService, Address: "a:1", Slots: 1}})
		for _, call := range e.c.Calls(e.now, 10) {
			e.c.CallEnded(e.now, call, CallResult{Outcome: CallDone, Connection: 1})
		}
		granted := e.c.TakePendingGrants()
		record.Apply(granted)
		e.c.ResolveGrants(e.now, granted, true)
	}
	e.expectHeld("by calls")
	e.c.SetServices([]KeyedService{{Name: testService}})
	e.expectDenialsChangeNothing("after the change")
	e.c = New(Options{Term: 2, Keys: 16, Lease: endedLease, HeartbeatTimeout: 2 * endedLease, RecordedGrants: record.All(), InheritedLeasesEnd: e.now + LeaseBound(endedLease)})
	e.c.SetServices([]KeyedService{{Name: testService}})
	e.expectDenialsChangeNothing("under a new leader")
}

// expectDenialsChangeNothing sends heartbeats of s1 that don't report its keys, and of another server.
func (e *endedTest) expectDenialsChangeNothing(when string) {
	e.t.Helper()
	for range 3 {
		e.now += endedBeat
		hb := Heartbeat{Sequence: int64(e.now / time.Millisecond), Server: Server{ID: "s1", StartMillis: 2, Service: testService, Address: "a:1", Slots: 1, Draining: true}}
		e.c.Heartbeat(e.now, hb)
		e.beat("s2", "b:1", testService, 3, int64(e.now/time.Millisecond))
		e.expectHeld(when + ", with heartbeats that don't report the keys")
	}
}
