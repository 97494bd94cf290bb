package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/placement"
)

// Bounds of the search for hot keys.
const (
	keysInterval   = 500 * time.Millisecond // between reports of the hottest keys
	hotCounters    = 256                    // keys counted of one service in one region
	maxHotServices = 64                     // services watched in one region
	maxHotReported = 32                     // keys in one report
	leastKeyCount  = 2                      // requests of a key worth a report
)

// keyTracker finds the hottest keys between two reports, by the region that is their
// home. It is not safe for concurrent use.
type keyTracker struct {
	groups map[string]*groupKeys
}

// groupKeys are the keys of one region since its last report.
type groupKeys struct {
	services map[string]*placement.HotKeys
	reported time.Duration
}

func newKeyTracker() *keyTracker { return &keyTracker{groups: map[string]*groupKeys{}} }

// observe counts one request for a key.
func (h *keyTracker) observe(group, service, key string) {
	keys := h.groups[group]
	if keys == nil {
		keys = &groupKeys{services: map[string]*placement.HotKeys{}}
		h.groups[group] = keys
	}
	tracker := keys.services[service]
	if tracker == nil {
		if len(keys.services) >= maxHotServices {
			return
		}
		tracker = placement.NewHotKeys(hotCounters)
		keys.services[service] = tracker
	}
	tracker.Observe(service, key)
}

// take returns the requests of a region's hottest keys since the last report, as
// far as they are certain, and starts to count anew. It returns nothing while the
// last report is recent.
func (h *keyTracker) take(now time.Duration, group string) []wire.KeyLoad {
	keys := h.groups[group]
	if keys == nil || now-keys.reported < keysInterval {
		return nil
	}
	var loads []wire.KeyLoad
	for _, tracker := range keys.services {
		for _, top := range tracker.Top(maxHotReported) {
			if certain := int(top.Load - top.Error); certain >= leastKeyCount {
				loads = append(loads, wire.KeyLoad{Service: top.Service, Key: top.Key, Requests: certain})
			}
		}
	}
	slices.SortFunc(loads, func(a, b wire.KeyLoad) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Key, b.Key))
	})
	h.groups[group] = &groupKeys{services: map[string]*placement.HotKeys{}, reported: now}
	return loads[:min(len(loads), maxHotReported)]
}
