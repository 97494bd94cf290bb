package keyrange

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// modelEvacuations starts and ends evacuations of two failure domains, also of both at once, while a model runs. Its
// methods do nothing on nil.
type modelEvacuations struct {
	random *rand.Rand
	since  map[string]time.Duration // start by failure domain
}

// modelDomain returns the failure domain of a server of a model.
func modelDomain(address string) string { return fmt.Sprint("d", address[len(address)-1]%2) }

func (e *modelEvacuations) step(now time.Duration, leader *Coordinator) {
	if e == nil {
		return
	}
	if e.random.IntN(40) == 0 {
		domain := fmt.Sprint("d", e.random.IntN(2))
		if _, evacuated := e.since[domain]; evacuated {
			delete(e.since, domain)
		} else {
			e.since[domain] = now
		}
	}
	leader.SetEvacuated(e.since)
	leader.Tick(now)
}

func (e *modelEvacuations) end(leader *Coordinator) {
	if e != nil {
		clear(e.since)
		leader.SetEvacuated(e.since)
	}
}

// check fails if gateways are told that servers own keys in a failure domain whose keys must have been revoked.
func (e *modelEvacuations) check(now time.Duration, leader *Coordinator, fail func(format string, arguments ...any)) {
	svc := leader.services[testService]
	if e == nil || svc == nil {
		return
	}
	for _, o := range leader.visibleOwners(now, svc) {
		s := leader.servers[o.ServerID]
		if s == nil {
			continue
		}
		if since, evacuated := e.since[s.info.Domain]; evacuated && now-since > defaultRevokeBy {
			fail("at %v keys %d to %d are owned in %s, evacuated since %v", now, o.From, o.To, s.info.Domain, since)
		}
	}
}

func newModelEvacuations(seed uint64) *modelEvacuations {
	return &modelEvacuations{random: rand.New(rand.NewPCG(seed, 1)), since: map[string]time.Duration{}}
}

// Guards against two holders of a key, and against keys that stay in an evacuated failure domain, while evacuations start
// and end in quick succession; with grants in both ways.
func TestModelsWithEvacuations(t *testing.T) {
	for seed := range uint64(200) {
		m := (&model{evacuations: newModelEvacuations(seed)}).run(seed)
		if m.violation != "" {
			t.Errorf("grants by heartbeat, seed %d: %s", seed, m.violation)
		}
		c := (&callModel{evacuations: newModelEvacuations(seed)}).run(seed)
		if c.violation != "" {
			t.Errorf("grants by call, seed %d: %s", seed, c.violation)
		}
	}
}

// Guards against keys that are all without an owner at once although their servers take grants by calls, and against keys that go to
// servers of the evacuated domain.
func TestKeysThatAreGrantedByCallsMoveInSteps(t *testing.T) {
	c := New(Options{Term: 1, Keys: 16, Lease: 4 * time.Second, HeartbeatTimeout: 8 * time.Second})
	c.SetServices([]KeyedService{{Name: testService, ByCall: true}})
	now, sequence := time.Second, int64(0)
	run := func(until time.Duration, domains ...string) {
		for ; now < until; now += 50 * time.Millisecond {
			sequence++
			for _, domain := range domains {
				info := Server{ID: "s-" + domain, StartMillis: 2, Service: testService, Address: domain + ":1", Domain: domain, Slots: 1}
				c.Heartbeat(now, Heartbeat{Sequence: sequence, Server: info})
			}
			calls := c.Calls(now, 8)
			c.ResolveGrants(now, c.TakePendingGrants(), true)
			for _, call := range append(calls, c.Calls(now, 8)...) {
				c.CallEnded(now, call, CallResult{Outcome: CallDone})
			}
		}
	}
	run(4*time.Second, "d1")
	if held := c.KeysInDomain("d1"); held != 16 {
		t.Fatalf("%d keys in d1 before the evacuation, want all 16", held)
	}
	run(5*time.Second, "d1", "d2")
	started, held := now, c.KeysInDomain("d1")
	c.SetEvacuated(map[string]time.Duration{"d1": started})
	for step := range int64(revokeSteps) {
		run(started+time.Duration(step)*revokeSpread/revokeSteps+200*time.Millisecond, "d1", "d2")
		if left, most := c.KeysInDomain("d1"), held-(step+1)*held/revokeSteps; left > most || step+1 < revokeSteps && left == 0 {
			t.Errorf("step %d: %d of %d keys left in d1, want at most %d, and some before the last step", step, left, held, most)
		}
	}
	if owned := c.KeysInDomain("d2"); owned != 16 {
		t.Errorf("%d keys in d2 after the evacuation, want all 16", owned)
	}
}
