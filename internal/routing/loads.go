package routing

import (
	"cmp"
	"slices"

	"github.com/galenalug/galenalug/internal/wire"
)

// maxReportedSlots bounds the slots whose loads one renewal reports. With a renewal every 100 ms, each
// of 4096 slots is reported within 7 s.
const maxReportedSlots = 64

// slotLoads counts the requests for each slot until they are reported. It is not safe for concurrent
// use.
type slotLoads struct {
	services map[serviceKey]*serviceCounts
}

type serviceKey struct {
	group   string
	service string
}

type serviceCounts struct {
	slots []int // requests by slot, since that slot's last report
	total int   // requests since the service's last report
}

func newSlotLoads() *slotLoads { return &slotLoads{services: map[serviceKey]*serviceCounts{}} }

// add counts one request. A negative slot means that the request has none; it counts only in the total.
func (l *slotLoads) add(group, service string, slot int) {
	key := serviceKey{group, service}
	counts := l.services[key]
	if counts == nil {
		counts = &serviceCounts{}
		l.services[key] = counts
	}
	counts.total++
	if slot < 0 {
		return
	}
	for len(counts.slots) <= slot {
		counts.slots = append(counts.slots, 0)
	}
	counts.slots[slot]++
}

// take returns the loads of a group's busiest slots and resets them. The counts of the other slots keep
// growing until they are among the busiest, so that every slot is reported eventually.
func (l *slotLoads) take(group string) []wire.ServiceLoads {
	loads := map[string]*wire.ServiceLoads{}
	var busiest []slotCount
	for key, counts := range l.services {
		if key.group != group {
			continue
		}
		loads[key.service] = &wire.ServiceLoads{Service: key.service, Total: counts.total}
		counts.total = 0
		for slot, requests := range counts.slots {
			busiest = insertBusiest(busiest, slotCount{key.service, slot, requests})
		}
	}
	for _, count := range busiest {
		service := loads[count.service]
		service.Slots = append(service.Slots, count.slot)
		service.Requests = append(service.Requests, count.requests)
		l.services[serviceKey{group, count.service}].slots[count.slot] = 0
	}
	var taken []wire.ServiceLoads
	for _, service := range loads {
		if service.Total > 0 || len(service.Slots) > 0 {
			taken = append(taken, *service)
		}
	}
	slices.SortFunc(taken, func(a, b wire.ServiceLoads) int { return cmp.Compare(a.Service, b.Service) })
	return taken
}

type slotCount struct {
	service  string
	slot     int
	requests int
}

// insertBusiest inserts a count into a list of at most maxReportedSlots counts in descending order of
// requests. If the list is full, the smallest count is dropped.
func insertBusiest(list []slotCount, count slotCount) []slotCount {
	full := len(list) == maxReportedSlots
	if count.requests == 0 || full && count.requests <= list[maxReportedSlots-1].requests {
		return list
	}
	if full {
		list = list[:maxReportedSlots-1]
	}
	at, _ := slices.BinarySearchFunc(list, count.requests, func(other slotCount, requests int) int {
		if other.requests >= requests {
			return -1
		}
		return 1
	})
	return slices.Insert(list, at, count)
}
