package gateway

import (
	"testing"
	"time"

	"github.com/galenalug/galenalug/cost"
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
