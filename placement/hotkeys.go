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
	// Error is the most by which Load may be above the truth.
	Error float64
}

type keyName struct{ service, key string }

type keyCounter struct {
	name  keyName
	count float64
	error float64
	place int // in the heap
}

// counterHeap has the counter with the least count on top.
type counterHeap []*keyCounter

func (h counterHeap) Len() int           { return len(h) }
func (h counterHeap) Less(i, j int) bool { return h[i].count < h[j].count }
func (h counterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

// Push is part of heap.Interface.
func (h *counterHeap) Push(x any) {
	c := x.(*keyCounter)
	c.place = len(*h)
	*h = append(*h, c)
}

// Pop is part of heap.Interface.
func (h *counterHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// HotKeys counts the most frequent keys of a stream with a fixed number of
// counters. It is the Space-Saving algorithm of Metwally, Agrawal and El Abbadi,
// "Efficient computation of frequent and top-k elements in data streams" (ICDT
// 2005): a key that has no counter takes over the least one and its count. Any
// key whose count is above the sum of all counts over the number of counters is
// among them. It is not safe for concurrent use.
type HotKeys struct {
	capacity int
	counters counterHeap
	byName   map[keyName]*keyCounter
}

// NewHotKeys returns a tracker with the given number of counters, at least 1.
func NewHotKeys(counters int) *HotKeys {
	capacity := max(1, counters)
	return &HotKeys{capacity: capacity, byName: make(map[keyName]*keyCounter, capacity)}
}

// Observe counts one request for a key.
func (h *HotKeys) Observe(service, key string) {
	name := keyName{service, key}
	if counter, ok := h.byName[name]; ok {
		counter.count++
		heap.Fix(&h.counters, counter.place)
		return
	}
	if len(h.counters) < h.capacity {
		counter := &keyCounter{name: name, count: 1}
		h.byName[name] = counter
		heap.Push(&h.counters, counter)
		return
	}
	least := h.counters[0]
	delete(h.byName, least.name)
	least.name = name
	least.error = least.count
	least.count++
	h.byName[name] = least
	heap.Fix(&h.counters, 0)
}

// Decay multiplies each count by factor, between 0 and 1, so that the counts
// follow the present load. Called each second with factor 0.5, a key's count
// tends to twice its requests/s.
func (h *HotKeys) Decay(factor float64) {
	for _, counter := range h.counters {
		counter.count *= factor
		counter.error *= factor
	}
}

// Top returns the n keys with the highest counts, the highest first.
func (h *HotKeys) Top(n int) []KeyLoad {
	loads := make([]KeyLoad, 0, len(h.counters))
	for _, c := range h.counters {
		loads = append(loads, KeyLoad{Service: c.name.service, Key: c.name.key, Load: c.count, Error: c.error})
	}
	slices.SortFunc(loads, hottestFirst)
	return loads[:min(max(0, n), len(loads))]
}

func hottestFirst(a, b KeyLoad) int {
	return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Key, b.Key))
}

// MergeKeyLoads sums the loads that several entry hosts report for the same keys,
// and returns the n hottest, the hottest first. A host that does not report a
// key adds nothing, so that a merged load is never above the sum of what was
// seen by more than its Error.
func MergeKeyLoads(reports [][]KeyLoad, n int) []KeyLoad {
	sums := make(map[keyName]KeyLoad)
	for _, report := range reports {
		for _, k := range report {
			name := keyName{k.Service, k.Key}
			sum := sums[name]
			sum.Service, sum.Key = k.Service, k.Key
			sum.Load += k.Load
			sum.Error += k.Error
			sums[name] = sum
		}
	}
	merged := make([]KeyLoad, 0, len(sums))
	for _, sum := range sums {
		merged = append(merged, sum)
	}
	slices.SortFunc(merged, hottestFirst)
	return merged[:min(max(0, n), len(merged))]
}
