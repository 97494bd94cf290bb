package admission

import "container/heap"

// entry is one queued request.
type entry struct {
	request  Request
	start    float64 // start tag: a virtual time, in requests
	sequence uint64  // order of arrival
	index    int     // position in the heap
}

type entryHeap []*entry

func (h entryHeap) Len() int { return len(h) }
func (h entryHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].sequence < h[j].sequence
}
func (h entryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *entryHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}
func (h *entryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}

// flow is the state of one customer in a queue.
type flow struct {
	finish float64 // finish tag of the newest request
	queued int
}

// fairQueue orders the requests of one class by start-time fair queueing (Goyal, Vin and Cheng,
// SIGCOMM 1996). Every request has a cost of 1.
type fairQueue struct {
	heap     entryHeap
	flows    map[string]*flow
	virtual  float64 // virtual time: start tag of the latest request served
	sequence uint64
}

func newFairQueue() *fairQueue {
	return &fairQueue{flows: map[string]*flow{}}
}

// startTag returns the start tag for the next request of a customer.
func (q *fairQueue) startTag(customer string) float64 {
	f := q.flows[customer]
	if f == nil {
		return q.virtual
	}
	return max(q.virtual, f.finish)
}

// ahead returns the number of requests that are served before a new one with the start tag.
func (q *fairQueue) ahead(start float64) int {
	n := 0
	for _, e := range q.heap {
		if e.start <= start {
			n++
		}
	}
	return n
}

func (q *fairQueue) push(request Request) *entry {
	f := q.flows[request.Customer]
	if f == nil {
		f = &flow{}
		q.flows[request.Customer] = f
	}
	q.sequence++
	e := &entry{request: request, start: q.startTag(request.Customer), sequence: q.sequence}
	f.finish = e.start + 1
	f.queued++
	heap.Push(&q.heap, e)
	return e
}

// pop removes the request with the lowest start tag and advances the virtual time.
func (q *fairQueue) pop() *entry {
	e := heap.Pop(&q.heap).(*entry)
	q.virtual = max(q.virtual, e.start)
	f := q.flows[e.request.Customer]
	f.queued--
	q.resetIfEmpty()
	return e
}

// remove takes out a request without serving it; its cost is returned to the customer.
func (q *fairQueue) remove(e *entry) {
	heap.Remove(&q.heap, e.index)
	f := q.flows[e.request.Customer]
	f.queued--
	f.finish--
	q.resetIfEmpty()
}

// resetIfEmpty discards all tags once the queue is empty: they matter only while customers compete.
func (q *fairQueue) resetIfEmpty() {
	if len(q.heap) > 0 || len(q.flows) == 0 {
		return
	}
	clear(q.flows)
	q.virtual = 0
}

// evictionCandidate returns the newest request of the customer with the most queued requests
// (longest queue drop; Suter et al., INFOCOM 1998).
func (q *fairQueue) evictionCandidate() *entry {
	var first *entry
	for _, e := range q.heap {
		if first == nil || q.evictBefore(e, first) {
			first = e
		}
	}
	return first
}

func (q *fairQueue) evictBefore(a, b *entry) bool {
	queuedA, queuedB := q.flows[a.request.Customer].queued, q.flows[b.request.Customer].queued
	if queuedA != queuedB {
		return queuedA > queuedB
	}
	return a.sequence > b.sequence
}

func (q *fairQueue) queued(customer string) int {
	if f := q.flows[customer]; f != nil {
		return f.queued
	}
	return 0
}
