package admission

import "time"

// Class is the class of a request. Each class has its own queue and share of the slots.
type Class int

// Request classes.
const (
	Lookup Class = iota
	Order
	Upload
)

// NumClasses is the number of request classes.
const NumClasses = 3

// String returns the name of the class as used in headers.
func (c Class) String() string {
	switch c {
	case Lookup:
		return "lookup"
	case Order:
		return "order"
	default:
		return "upload"
	}
}

// ID identifies a request within one Queue.
type ID uint64

// Request is a request for a slot of the server.
type Request struct {
	ID       ID
	Class    Class
	Customer string
	Deadline time.Duration // 0 for none
}

// Reason states why a request was refused.
type Reason string

// Reasons for a refusal.
const (
	ReasonDeadline  Reason = "deadline"   // the request cannot finish before its deadline
	ReasonQueueFull Reason = "queue-full" // the queue of the class is full
)

// Decision is the result of Enqueue.
type Decision struct {
	Accepted bool
	Reason   Reason        // set if not accepted
	Wait     time.Duration // estimated time in the queue
	Evicted  []ID          // requests evicted for this one, refused with ReasonQueueFull
}

// Outcome is the result of a started request.
type Outcome int

// Outcomes passed to Finish.
const (
	Succeeded Outcome = iota + 1 // a complete response arrived
	Shed                         // the server refused the request because of overload
	TimedOut                     // no response before the deadline
	Failed                       // any other failure; not a sign of overload
)

// Config holds the limits of a Queue.
type Config struct {
	Slots       int                 // requests that the server runs concurrently
	MaxLimit    int                 // upper bound of the limit, e.g. the connection limit; at least 2
	QueueLength int                 // maximum length of the queue of one class
	Shares      [NumClasses]float64 // weights of the classes; for uploads also the maximum fraction
}

// DefaultShares gives orders a larger share than lookups because a late order delays a delivery.
// While requests of all classes wait, orders get about 42% of the limit.
func DefaultShares() [NumClasses]float64 {
	return [NumClasses]float64{Lookup: 0.34, Order: 0.5, Upload: 0.34}
}
