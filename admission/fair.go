package admission

import "container/heap"

// entry is one queued request. Its start tag is virtual time, counted in
// requests.
type entry struct {
	request  Request
	start    float64
	sequence uint64
	index    int
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

// flow is one customer's part of a queue.
type flow struct {
	finish float64 // finish tag of its newest request
	queued int
}

// fairQueue orders one class's requests by start-time fair queueing (Goyal, Vin
// and Cheng, SIGCOMM 1996). Every request costs 1.
type fairQueue struct {
	heap     entryHeap
	flows    map[string]*flow
	virtual  float64 // start tag of the request last served
	sequence uint64
}

func newFairQueue() *fairQueue {
	return &fairQueue{flows: map[string]*flow{}}
}

// startTag returns the tag that a customer's next request gets.
func (q *fairQueue) startTag(customer string) float64 {
	f := q.flows[customer]
	if f == nil {
		return q.virtual
	}
	return max(q.virtual, f.finish)
}

// ahead counts the requests that are served before a start tag.
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

// pop serves the request with the lowest start tag.
func (q *fairQueue) pop() *entry {
	e := heap.Pop(&q.heap).(*entry)
	q.virtual = max(q.virtual, e.start)
	f := q.flows[e.request.Customer]
	f.queued--
	q.forgetIdle()
	return e
}

// remove takes out a request that was not served.
func (q *fairQueue) remove(e *entry) {
	heap.Remove(&q.heap, e.index)
	f := q.flows[e.request.Customer]
	f.queued--
	f.finish--
	q.forgetIdle()
}

// forgetIdle drops the tags of idle customers once the queue is empty: tags
// matter only while there is competition.
func (q *fairQueue) forgetIdle() {
	if len(q.heap) > 0 || len(q.flows) == 0 {
		return
	}
	clear(q.flows)
	q.virtual = 0
}

// largest returns the newest request of the customer with the most queued
// requests (longest queue drop; Suter et al., INFOCOM 1998).
func (q *fairQueue) largest() *entry {
	var worst *entry
	for _, e := range q.heap {
		if worst == nil || q.worse(e, worst) {
			worst = e
		}
	}
	return worst
}

func (q *fairQueue) worse(a, b *entry) bool {
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
