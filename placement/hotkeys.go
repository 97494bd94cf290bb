package placement

import (
	"cmp"
	"container/heap"
	"slices"
)

// KeyLoad is one key of a service with its load in requests/s, or its count.
type KeyLoad struct {
	Service string
	Key     string
	Load    float64
	// Error is the largest amount by which Load may exceed the true value.
	Error float64
}

type serviceKey struct{ service, key string }

type keyCounter struct {
	id        serviceKey
	count     float64
	maxError  float64 // largest amount by which count may exceed the true count
	heapIndex int
}

// counterHeap is a min-heap of counters by count.
type counterHeap []*keyCounter

func (h counterHeap) Len() int           { return len(h) }
func (h counterHeap) Less(i, j int) bool { return h[i].count < h[j].count }
func (h counterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *counterHeap) Push(x any) {
	c := x.(*keyCounter)
	c.heapIndex = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *counterHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// HotKeys counts the most frequent keys of a stream with a fixed number of counters. It implements
// the Space-Saving algorithm of Metwally, Agrawal and El Abbadi, "Efficient computation of frequent
// and top-k elements in data streams" (ICDT 2005): a key without a counter replaces the key of the
// lowest counter and inherits its count. Every key whose count is above the sum of all counts
// divided by the number of counters has a counter. HotKeys is not safe for concurrent use.
type HotKeys struct {
	capacity int
	counters counterHeap
	byKey    map[serviceKey]*keyCounter
}

// NewHotKeys returns a sketch with the given number of counters, at least 1.
func NewHotKeys(counters int) *HotKeys {
	capacity := max(1, counters)
	return &HotKeys{capacity: capacity, byKey: make(map[serviceKey]*keyCounter, capacity)}
}

// Observe counts one request for a key.
func (h *HotKeys) Observe(service, key string) {
	id := serviceKey{service, key}
	if counter, ok := h.byKey[id]; ok {
		counter.count++
		heap.Fix(&h.counters, counter.heapIndex)
		return
	}
	if len(h.counters) < h.capacity {
		counter := &keyCounter{id: id, count: 1}
		h.byKey[id] = counter
		heap.Push(&h.counters, counter)
		return
	}
	lowest := h.counters[0]
	delete(h.byKey, lowest.id)
	lowest.id = id
	lowest.maxError = lowest.count
	lowest.count++
	h.byKey[id] = lowest
	heap.Fix(&h.counters, 0)
}

// Decay multiplies each count by factor, between 0 and 1, so that the counts follow the current
// load. With factor 0.5 applied every second, a key's count tends to twice its requests/s.
func (h *HotKeys) Decay(factor float64) {
	for _, counter := range h.counters {
		counter.count *= factor
		counter.maxError *= factor
	}
}

// Top returns the n keys with the highest counts, in descending order.
func (h *HotKeys) Top(n int) []KeyLoad {
	loads := make([]KeyLoad, 0, len(h.counters))
	for _, c := range h.counters {
		loads = append(loads, KeyLoad{Service: c.id.service, Key: c.id.key, Load: c.count, Error: c.maxError})
	}
	slices.SortFunc(loads, hottestFirst)
	return loads[:min(max(0, n), len(loads))]
}

func hottestFirst(a, b KeyLoad) int {
	return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Key, b.Key))
}

// MergeKeyLoads sums the loads that several entry hosts report for the same keys, and returns the n
// hottest in descending order. A host that does not report a key adds nothing, so a merged load
// exceeds the observed sum by at most its Error.
func MergeKeyLoads(reports [][]KeyLoad, n int) []KeyLoad {
	sums := make(map[serviceKey]KeyLoad)
	for _, report := range reports {
		for _, k := range report {
			id := serviceKey{k.Service, k.Key}
			sum := sums[id]
			sum.Service, sum.Key = k.Service, k.Key
			sum.Load += k.Load
			sum.Error += k.Error
			sums[id] = sum
		}
	}
	merged := make([]KeyLoad, 0, len(sums))
	for _, sum := range sums {
		merged = append(merged, sum)
	}
	slices.SortFunc(merged, hottestFirst)
	return merged[:min(max(0, n), len(merged))]
}
