package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/galenalug/galenalug/routes"
)

// serviceRetention is how long the state of a service is kept after the service has left the configuration. By then
// requests to it have ended. A leader that sees the service return sends all owners of its keys, since it drops them within
// 100 ms of a configuration without the service.
const serviceRetention = time.Minute

// leftServices tells which services have been out of the configuration for serviceRetention. The zero value knows of none.
type leftServices struct {
	since map[string]time.Duration // when a service was first found to be out of it
}

// gone returns those of the services with state that are gone.
func (l *leftServices) gone(now time.Duration, configured []routes.Service, held map[string]bool) map[string]bool {
	out := maps.Clone(held)
	for _, service := range configured {
		delete(out, service.Name)
	}
	since, gone := map[string]time.Duration{}, map[string]bool{}
	for name := range out {
		at, known := l.since[name]
		if !known {
			at = now
		}
		if now-at < serviceRetention {
			since[name] = at
		} else {
			gone[name] = true
		}
	}
	l.since = since
	return gone
}

// dropLeftServices drops the state of services that have left the configuration.
func (h *Host) dropLeftServices(now time.Duration, left *leftServices) {
	table, _, _ := h.view.snapshot(now)
	if table == nil {
		return
	}
	held := map[string]bool{}
	h.addServices(held)
	h.backends.addServices(held)
	h.view.addServices(held)
	gone := left.gone(now, table.Services(), held)
	if len(gone) == 0 {
		return
	}
	h.dropServices(gone)
	h.backends.dropServices(gone)
	h.view.dropServices(now, gone)
}

// addServices adds the services of which the host keeps state.
func (h *Host) addServices(held map[string]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	addKeys(held, h.retryLimiters)
}

func (h *Host) dropServices(gone map[string]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	dropKeys(h.retryLimiters, gone)
	h.keyCounts.drop(gone)
}

func (b *backends) addServices(held map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	addKeys(held, b.services)
	addKeys(held, b.meanServiceTimes)
}

// dropServices drops services and their servers, which refer to the state of the service.
func (b *backends) dropServices(gone map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, server := range b.byID {
		if gone[server.service] {
			server.close()
			delete(b.byID, id)
		}
	}
	dropKeys(b.services, gone)
	dropKeys(b.meanServiceTimes, gone)
	b.costs.drop(gone)
}

func (v *view) addServices(held map[string]bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	addKeys(held, v.owners)
}

// dropServices drops the owners of services, except those that have just been learned: the service returns, and its new
// configuration has not arrived or was not seen by the sweep. The leader doesn't send them again.
func (v *view) dropServices(now time.Duration, gone map[string]bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	maps.DeleteFunc(v.owners, func(name string, owners []ownerRange) bool {
		return gone[name] && !slices.ContainsFunc(owners, func(o ownerRange) bool { return now-o.learnedAt < serviceRetention/2 })
	})
}

// addKeys adds the keys of a map by service.
func addKeys[V any](held map[string]bool, byService map[string]V) {
	for name := range byService {
		held[name] = true
	}
}

// dropKeys deletes services from a map by service.
func dropKeys[V any](byService map[string]V, gone map[string]bool) {
	maps.DeleteFunc(byService, func(name string, _ V) bool { return gone[name] })
}
