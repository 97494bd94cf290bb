package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/placement"
)

// Limits of hot key detection.
const (
	keyReportInterval  = 500 * time.Millisecond // between reports of one region
	countersPerService = 256                    // key counters for one service in one region
	maxTrackedServices = 64                     // services tracked in one region
	maxReportedKeys    = 32                     // per report
	minKeyRequests     = 2                      // requests below which a key is not reported
)

// keyTracker finds the keys with the most requests since the last report, grouped by the keys' home
// region. It is not safe for concurrent use.
type keyTracker struct {
	groups map[string]*groupKeys
}

// groupKeys counts the keys of one region since its last report.
type groupKeys struct {
	services map[string]*placement.HotKeys
	reported time.Duration // time of the last report
}

func newKeyTracker() *keyTracker { return &keyTracker{groups: map[string]*groupKeys{}} }

// observe counts one request for a key. Services beyond maxTrackedServices are not counted.
func (h *keyTracker) observe(group, service, key string) {
	keys := h.groups[group]
	if keys == nil {
		keys = &groupKeys{services: map[string]*placement.HotKeys{}}
		h.groups[group] = keys
	}
	tracker := keys.services[service]
	if tracker == nil {
		if len(keys.services) >= maxTrackedServices {
			return
		}
		tracker = placement.NewHotKeys(countersPerService)
		keys.services[service] = tracker
	}
	tracker.Observe(service, key)
}

// take returns the hottest keys of a region since the last report and resets their counters. The
// counters are approximate, so it reports the lower bound of a key's requests. It returns nothing
// within keyReportInterval of the last report.
func (h *keyTracker) take(now time.Duration, group string) []wire.KeyLoad {
	keys := h.groups[group]
	if keys == nil || now-keys.reported < keyReportInterval {
		return nil
	}
	var loads []wire.KeyLoad
	for _, tracker := range keys.services {
		for _, top := range tracker.Top(maxReportedKeys) {
			if certain := int(top.Load - top.Error); certain >= minKeyRequests {
				loads = append(loads, wire.KeyLoad{Service: top.Service, Key: top.Key, Requests: certain})
			}
		}
	}
	slices.SortFunc(loads, func(a, b wire.KeyLoad) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Key, b.Key))
	})
	h.groups[group] = &groupKeys{services: map[string]*placement.HotKeys{}, reported: now}
	return loads[:min(len(loads), maxReportedKeys)]
}
