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
