package gateway

import (
	"maps"

	"github.com/galenalug/galenalug/keyrange"
)

// maxKeyCounts bounds the keys of all services that are counted between two load reports: about 0.5 MB. A gateway of the
// rental deployment gets a few requests in this time. There may be far more keys while there is no leader to report to,
// and clients may name any.
const maxKeyCounts = 4096

// keyOf is a key of a service.
type keyOf struct {
	service string
	key     int64
}

// keyCounts counts requests by service and key. Beyond maxKeyCounts keys it keeps those with the most requests
// (J. Misra and D. Gries, "Finding Repeated Elements", Science of Computer Programming 1982): a key whose part of the
// requests exceeds 1/maxKeyCounts is always there, with a count that is too low by this part of all requests at most.
// Until then all counts are exact. The zero value is empty.
type keyCounts struct {
	counts map[keyOf]int64
}

// add counts a request.
func (k *keyCounts) add(service string, key int64) {
	if k.counts == nil {
		k.counts = map[keyOf]int64{}
	}
	id := keyOf{service, key}
	if _, known := k.counts[id]; known || len(k.counts) < maxKeyCounts {
		k.counts[id]++
		return
	}
	for other, count := range k.counts { // takes constant time on average: each step undoes a request that was counted
		if count > 1 {
			k.counts[other] = count - 1
		} else {
			delete(k.counts, other)
		}
	}
}

// drop forgets the counts of services.
func (k *keyCounts) drop(services map[string]bool) {
	maps.DeleteFunc(k.counts, func(id keyOf, _ int64) bool { return services[id.service] })
}

// take returns the counts since the last call.
func (k *keyCounts) take() []keyrange.ServiceLoad {
	var loads []keyrange.ServiceLoad
	index := map[string]int{}
	for id, count := range k.counts {
		i, known := index[id.service]
		if !known {
			i = len(loads)
			index[id.service] = i
			loads = append(loads, keyrange.ServiceLoad{Service: id.service})
		}
		loads[i].Keys = append(loads[i].Keys, keyrange.KeyLoad{Key: id.key, Count: count})
	}
	k.counts = nil
	return loads
}
