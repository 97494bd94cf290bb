package dispatch

import (
	"slices"
	"time"
)

// Ticket is a request's place in a Line.
type Ticket struct {
	priority int64
	number   int64
}

// WaitQueue holds the requests of one gateway that wait for room at one server, the
// urgent ones first and in the order of their arrival.
type WaitQueue struct {
	tickets []Ticket
	last    int64
}

// Enqueue adds a request to the line.
func (l *WaitQueue) Enqueue(priority int64) Ticket {
	l.last++
	t := Ticket{priority: priority, number: l.last}
	place, _ := slices.BinarySearchFunc(l.tickets, t, compareTickets)
	l.tickets = slices.Insert(l.tickets, place, t)
	return t
}

// Remove removes a request from the line.
func (l *WaitQueue) Remove(t Ticket) {
	if place, found := slices.BinarySearchFunc(l.tickets, t, compareTickets); found {
		l.tickets = slices.Delete(l.tickets, place, place+1)
	}
}

// Ahead returns the number of requests that are served before the ticket's.
func (l *WaitQueue) Ahead(t Ticket) int {
	place, _ := slices.BinarySearchFunc(l.tickets, t, compareTickets)
	return place
}

// AheadOfNew returns the number of requests that would be served before a new one.
func (l *WaitQueue) AheadOfNew(priority int64) int {
	return l.Ahead(Ticket{priority: priority, number: l.last + 1})
}

func compareTickets(a, b Ticket) int {
	if a.priority != b.priority {
		return int(a.priority - b.priority)
	}
	return int(a.number - b.number)
}

// EstimatedQueueWait returns the expected time until a request with some others ahead of it
// gets room at the server. By Little's law this gateway's requests end at the
// rate of their number over the time that each takes.
func EstimatedQueueWait(now time.Duration, l *Load, slots, ahead int) time.Duration {
	each := l.ExpectedWait(now, slots) + l.ServiceTime()
	return time.Duration(float64(ahead+1) / float64(max(l.InFlight(), 1)) * float64(each))
}
