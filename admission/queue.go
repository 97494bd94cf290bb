package admission

import (
	"cmp"
	"slices"
	"time"
)

// Queue controls the admission of requests to one backend server.
type Queue struct {
	config         Config
	limiter        limiter
	queues         [NumClasses]*fairQueue
	waiting        map[ID]*entry
	running        map[ID]Class
	runningByClass [NumClasses]int
	serviceTime    [NumClasses]time.Duration // moving average
}

// New returns an empty queue.
func New(config Config) *Queue {
	q := &Queue{
		config:  config,
		limiter: newLimiter(config),
		waiting: map[ID]*entry{},
		running: map[ID]Class{},
	}
	for class := range q.queues {
		q.queues[class] = newFairQueue()
	}
	return q
}

// Enqueue adds a request to the queue of its class or refuses it. It does not start requests; call
// Next afterwards.
func (q *Queue) Enqueue(now time.Duration, request Request) Decision {
	class := request.Class
	wait := q.estimateWait(class, request.Customer)
	if q.tooLate(now+wait, request) {
		return Decision{Reason: ReasonDeadline, Wait: wait}
	}
	decision := Decision{Accepted: true, Wait: wait}
	queue := q.queues[class]
	if len(queue.heap) >= q.config.QueueLength {
		victim := queue.evictionCandidate()
		if victim == nil || queue.queued(victim.request.Customer) <= queue.queued(request.Customer)+1 {
			return Decision{Reason: ReasonQueueFull, Wait: wait}
		}
		q.drop(victim)
		decision.Evicted = []ID{victim.request.ID}
	}
	q.waiting[request.ID] = queue.push(request)
	return decision
}

// Next returns the requests to start now. Finish must be called for each of them.
func (q *Queue) Next(_ time.Duration) []ID {
	var started []ID
	for len(q.running) < q.Limit() {
		class, found := q.nextClass()
		if !found {
			break
		}
		e := q.queues[class].pop()
		delete(q.waiting, e.request.ID)
		q.running[e.request.ID] = class
		q.runningByClass[class]++
		started = append(started, e.request.ID)
	}
	return started
}

// Finish releases the slot of a started request. latency is the time since its start.
func (q *Queue) Finish(now time.Duration, id ID, outcome Outcome, latency time.Duration) {
	class, found := q.running[id]
	if !found {
		return
	}
	full := len(q.running) >= q.Limit()
	delete(q.running, id)
	q.runningByClass[class]--
	if outcome == Succeeded {
		q.observeServiceTime(class, latency)
	}
	if class != Upload { // the duration of an upload depends on the client, not on the server
		q.limiter.observe(now, outcome, latency, full)
	}
}

// Cancel removes a request, whether it waits or has started.
func (q *Queue) Cancel(now time.Duration, id ID) {
	if e, found := q.waiting[id]; found {
		q.drop(e)
		return
	}
	q.Finish(now, id, Failed, 0)
}

// Expire removes and returns the waiting requests that can no longer finish before their deadlines,
// in ascending order of their IDs.
func (q *Queue) Expire(now time.Duration) []ID {
	var expired []ID
	for id, e := range q.waiting {
		if q.tooLate(now, e.request) {
			expired = append(expired, id)
		}
	}
	slices.SortFunc(expired, cmp.Compare[ID])
	for _, id := range expired {
		q.drop(q.waiting[id])
	}
	return expired
}

// Limit returns the number of requests that may run concurrently.
func (q *Queue) Limit() int { return int(q.limiter.limit) }

// Running returns the number of started requests of a class.
func (q *Queue) Running(class Class) int { return q.runningByClass[class] }

// Waiting returns the number of waiting requests of a class.
func (q *Queue) Waiting(class Class) int { return len(q.queues[class].heap) }

func (q *Queue) drop(e *entry) {
	q.queues[e.request.Class].remove(e)
	delete(q.waiting, e.request.ID)
}

// nextClass returns the class with waiting requests that uses the smallest part of its share. Each
// class thus gets its share on demand, and may borrow slots that other classes leave idle.
func (q *Queue) nextClass() (Class, bool) {
	best, found := Lookup, false
	for class := Lookup; class < NumClasses; class++ {
		if q.Waiting(class) == 0 || class == Upload && q.runningByClass[Upload] >= q.uploadLimit() {
			continue
		}
		if !found || q.shareUse(class) < q.shareUse(best) {
			best, found = class, true
		}
	}
	return best, found
}

// shareUse returns the part of its share that a class would use with one more request.
func (q *Queue) shareUse(class Class) float64 {
	return float64(q.runningByClass[class]+1) / q.config.Shares[class]
}

func (q *Queue) uploadLimit() int {
	return max(1, int(q.limiter.limit*q.config.Shares[Upload]))
}

// tooLate reports whether a request that starts at the given time would end after its deadline. For
// a class with no running requests only the start counts: its service time may be outdated, and is
// measured again only if a request is started.
func (q *Queue) tooLate(start time.Duration, request Request) bool {
	if request.Deadline == 0 {
		return false
	}
	end := start
	if q.runningByClass[request.Class] > 0 {
		end += q.serviceTime[request.Class]
	}
	return end >= request.Deadline
}

// estimateWait returns the expected time until a customer's next request would start.
func (q *Queue) estimateWait(class Class, customer string) time.Duration {
	if len(q.running) < q.Limit() && q.Waiting(class) == 0 {
		return 0
	}
	queue := q.queues[class]
	ahead := queue.ahead(queue.startTag(customer)) + 1
	return time.Duration(float64(ahead) * float64(q.serviceTime[class]) / q.concurrency(class))
}

// concurrency returns the estimated number of slots of a class, assuming that the classes that are
// busy now stay busy.
func (q *Queue) concurrency(class Class) float64 {
	total := q.config.Shares[class]
	for other := Lookup; other < NumClasses; other++ {
		if other != class && q.runningByClass[other]+q.Waiting(other) > 0 {
			total += q.config.Shares[other]
		}
	}
	slots := q.limiter.limit * q.config.Shares[class] / total
	if class == Upload {
		slots = min(slots, float64(q.uploadLimit()))
	}
	return max(1, slots)
}

func (q *Queue) observeServiceTime(class Class, latency time.Duration) {
	if q.serviceTime[class] == 0 {
		q.serviceTime[class] = latency
		return
	}
	q.serviceTime[class] += time.Duration(latencyWeight * float64(latency-q.serviceTime[class]))
}
