package gateway

import (
	"testing"
	"time"

	"github.com/galenalug/galenalug/cost"
	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/routes"
)

// Guards against state that is kept for services that have left the configuration, and against state that is lost when a
// service is back within the retention.
func TestStateOfServicesThatLeftIsDropped(t *testing.T) {
	f := newFixtureWith(t, byWork, nil)
	h := f.host
	f.publish(newFakeBackend(t, okResponse("ok")))
	f.do("GET", "/look/1", nil)
	f.do("POST", "/photo/1", nil)
	h.view.mu.Lock()
	h.view.owners["left"] = nil
	h.view.mu.Unlock()
	config := testConfig()
	config.Version++
	config.Routes, config.Services = config.Routes[2:], config.Services[1:]
	if err := h.view.applyConfig(routes.Update{Full: &config}); err != nil {
		t.Fatal(err)
	}
	state := func() map[string]bool {
		found := map[string]bool{}
		h.addServices(found)
		h.backends.addServices(found)
		h.view.addServices(found)
		h.mu.Lock()
		for id := range h.keyCounts.counts {
			found[id.service] = true
		}
		h.mu.Unlock()
		h.backends.mu.Lock()
		defer h.backends.mu.Unlock()
		for _, server := range h.backends.byID {
			found[server.service] = true
		}
		h.backends.costs.each(func(c cost.Class, _ cost.Work) { found[c.Service] = true })
		return found
	}
	now := clockNow()
	var left leftServices
	h.dropLeftServices(now, &left)
	h.dropLeftServices(now+serviceRetention-time.Second, &left)
	if found := state(); !found["stock"] || !found["photos"] {
		t.Errorf("state of %v within the retention, want both services", found)
	}
	h.dropLeftServices(now+serviceRetention+time.Second, &left)
	if found := state(); len(found) != 1 || !found["photos"] || len(left.since) > 0 {
		t.Errorf("state of %v, want photos only; %d services remembered", found, len(left.since))
	}
}

// Guards against keys without an owner for a service that returns: the leader sends the owners of its keys once, possibly
// before the gateway has the configuration.
func TestOwnersOfReturningServiceAreKept(t *testing.T) {
	f := newFixtureWith(t, byWork, nil)
	f.publish(nil)
	now := clockNow()
	learn := func(at time.Duration) {
		f.host.view.apply(at, keyrange.TableUpdate{Term: 1, EntryHosts: 1, Owners: []keyrange.Owner{{Service: "back", From: 0, To: 999, ServerID: "s1"}}})
	}
	learn(now)
	var left leftServices
	f.host.dropLeftServices(now, &left)
	learn(now + serviceRetention)
	f.host.dropLeftServices(now+serviceRetention, &left)
	held := map[string]bool{}
	if f.host.view.addServices(held); !held["back"] {
		t.Error("owners that have just been sent are dropped")
	}
	f.host.dropLeftServices(now+serviceRetention+time.Second, &left)
	f.host.dropLeftServices(now+2*serviceRetention+time.Second, &left)
	clear(held)
	if f.host.view.addServices(held); held["back"] {
		t.Error("owners of a service that does not return are kept")
	}
}
