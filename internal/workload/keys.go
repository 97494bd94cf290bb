package workload

import (
	"fmt"
	"math"

	"github.com/galenalug/galenalug/placement"
)

// KeySettings describes the keys of a service.
type KeySettings struct {
	Total    float64 // requests/s
	Keys     float64 // number of keys in use
	Exponent float64 // of the Zipf distribution
	// Limit is the maximum load of one key, in requests/s; 0 for none. Load above it is distributed
	// evenly over the slots.
	Limit float64
	Slots int
}

// explicitKeys is the number of hottest keys that are modelled individually. The others are so many,
// and their loads so low, that their total is distributed evenly over the slots.
const explicitKeys = 50000

// service is the name of the simulated service.
const service = "orders"

// Keys holds the loads of a service's keys.
type Keys struct {
	settings   KeySettings
	names      []string  // by rank
	loads      []float64 // by rank, requests/s
	slots      []int     // by rank
	tail       float64   // total load that is distributed evenly, requests/s
	generation int       // number of ReplaceHottest calls; makes key names unique
}

// NewKeys computes the loads of the keys.
func NewKeys(settings KeySettings) *Keys {
	k := &Keys{settings: settings}
	count := int(min(explicitKeys, settings.Keys))
	sum := zipfTail(float64(count), settings.Keys, settings.Exponent)
	for rank := 1; rank <= count; rank++ {
		sum += math.Pow(float64(rank), -settings.Exponent)
	}
	k.tail = settings.Total
	for rank := 1; rank <= count; rank++ {
		load := settings.Total * math.Pow(float64(rank), -settings.Exponent) / sum
		if settings.Limit > 0 {
			load = min(load, settings.Limit)
		}
		k.tail -= load
		k.add(load)
	}
	return k
}

// zipfTail approximates the sum of rank^-exponent over the ranks first+1 to last by its integral. The
// exponent must not be 1.
func zipfTail(first, last, exponent float64) float64 {
	power := 1 - exponent
	return (math.Pow(last+0.5, power) - math.Pow(first+0.5, power)) / power
}

func (k *Keys) add(load float64) {
	k.loads = append(k.loads, load)
	k.names = append(k.names, "")
	k.slots = append(k.slots, 0)
	k.assignName(len(k.loads) - 1)
}

func (k *Keys) assignName(rank int) {
	k.names[rank] = fmt.Sprintf("key-%d-%d", k.generation, rank)
	k.slots[rank] = placement.SlotOf(service, k.names[rank], k.settings.Slots)
}

// ReplaceHottest moves the loads of the n hottest keys to keys that had no load before.
func (k *Keys) ReplaceHottest(n int) {
	k.generation++
	for rank := range n {
		k.assignName(rank)
	}
}

// SlotLoads returns each slot's load in requests/s.
func (k *Keys) SlotLoads() []float64 {
	loads := make([]float64, k.settings.Slots)
	for i := range loads {
		loads[i] = k.tail / float64(k.settings.Slots)
	}
	for rank, load := range k.loads {
		loads[k.slots[rank]] += load
	}
	return loads
}

// Hottest returns the n hottest keys.
func (k *Keys) Hottest(n int) []placement.KeyLoad {
	hottest := make([]placement.KeyLoad, n)
	for rank := range hottest {
		hottest[rank] = placement.KeyLoad{Service: service, Key: k.names[rank], Load: k.loads[rank]}
	}
	return hottest
}
