package dispatch

import (
	"slices"
	"time"
)

// Ticket identifies a request in a WaitQueue.
type Ticket struct {
	rank     int64 // the priority, or what EnqueueAging derives from it
	number   int64 // in order of arrival
	priority int64
}

// agingPerPriority is how much earlier a request with a priority value that is lower by one arrives for EnqueueAging:
// a request that has waited for longer goes before a newer, more urgent one.
const agingPerPriority = 700 * time.Millisecond

// WaitQueue holds the requests of one gateway that wait for capacity at one server, ordered by
// priority and then by arrival.
type WaitQueue struct {
	tickets    []Ticket
	lastNumber int64
}

// Enqueue adds a request.
func (q *WaitQueue) Enqueue(priority int64) Ticket {
	return q.enqueue(priority, priority)
}

// EnqueueAging adds a request that goes, the longer it waits, also before more urgent ones. All requests of a queue
// must be added by the same method.
func (q *WaitQueue) EnqueueAging(now time.Duration, priority int64) Ticket {
	return q.enqueue(agingRank(now, priority), priority)
}

func agingRank(now time.Duration, priority int64) int64 {
	return int64(now) + priority*int64(agingPerPriority)
}

func (q *WaitQueue) enqueue(rank, priority int64) Ticket {
	q.lastNumber++
	t := Ticket{rank: rank, number: q.lastNumber, priority: priority}
	index, _ := slices.BinarySearchFunc(q.tickets, t, compareTickets)
	q.tickets = slices.Insert(q.tickets, index, t)
	return t
}

// Remove takes a request out of the queue. A ticket that is not in the queue is ignored.
func (q *WaitQueue) Remove(t Ticket) {
	if index, found := slices.BinarySearchFunc(q.tickets, t, compareTickets); found {
		q.tickets = slices.Delete(q.tickets, index, index+1)
	}
}

// Len returns the number of requests in the queue.
func (q *WaitQueue) Len() int { return len(q.tickets) }

// UrgentLen returns the number of urgent requests in the queue.
func (q *WaitQueue) UrgentLen() int {
	urgent := 0
	for _, t := range q.tickets {
		if t.priority <= maxUrgentPriority {
			urgent++
		}
	}
	return urgent
}

// Ahead returns the number of requests that are served before the one with the ticket.
func (q *WaitQueue) Ahead(t Ticket) int {
	index, _ := slices.BinarySearchFunc(q.tickets, t, compareTickets)
	return index
}

// AheadOfNew returns the number of requests that would be served before a new one of the priority.
func (q *WaitQueue) AheadOfNew(priority int64) int {
	return q.Ahead(Ticket{rank: priority, number: q.lastNumber + 1})
}

// AheadOfNewAging is AheadOfNew for EnqueueAging.
func (q *WaitQueue) AheadOfNewAging(now time.Duration, priority int64) int {
	return q.AheadOfNew(agingRank(now, priority))
}

func compareTickets(a, b Ticket) int {
	if a.rank != b.rank {
		return int(a.rank - b.rank)
	}
	return int(a.number - b.number)
}

// EstimatedQueueWait returns the expected time until the server has capacity for a request with the
// given number of others ahead of it. By Little's law this gateway's requests complete at a rate of
// the number in flight divided by the time that each takes.
func EstimatedQueueWait(now time.Duration, l *Load, slots, ahead int) time.Duration {
	each := l.ExpectedWait(now, slots) + l.ServiceTime()
	return time.Duration(float64(ahead+1) / float64(max(l.InFlight(), 1)) * float64(each))
}
