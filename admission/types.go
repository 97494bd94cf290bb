package admission

import "time"

// Class is the kind of a request.
type Class int

// Classes.
const (
	Lookup Class = iota
	Order
	Upload
)

// NumClasses is the number of classes.
const NumClasses = 3

// String returns the class as it stands in headers.
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

// Request is one request that wants a slot of the server.
type Request struct {
	ID       ID
	Class    Class
	Customer string
	Deadline time.Duration // 0 for none
}

// Reason says why a request was refused.
type Reason string

// Reasons of Verdict.
const (
	ReasonDeadline  Reason = "deadline"   // it could not finish in time
	ReasonQueueFull Reason = "queue-full" // the class's queue is full
)

// Decision is the answer to Enqueue.
type Decision struct {
	Accepted bool
	Reason   Reason        // why not
	Wait     time.Duration // estimated time in the queue
	Evicted  []ID          // requests dropped for this one, refused as ReasonQueueFull
}

// Outcome is how a started request ended.
type Outcome int

// Outcomes of Finish.
const (
	Succeeded Outcome = iota + 1 // a whole answer arrived
	Shed                         // the server refused it for overload
	TimedOut                     // no answer within the deadline
	Failed                       // anything else; says nothing of the server's load
)

// Config is what a Queue keeps to.
type Config struct {
	Slots       int                 // requests the server runs at the same time
	MaxLimit    int                 // most requests started at the same time, e.g. connections; 2 at least
	QueueLength int                 // longest queue of one class
	Shares      [NumClasses]float64 // shares of the limit; the upload share is also a bound
}

// DefaultShares reserves half of a server for orders. Orders weigh more than
// lookups, because a late order delays a delivery.
func DefaultShares() [NumClasses]float64 {
	return [NumClasses]float64{Lookup: 0.34, Order: 0.5, Upload: 0.34}
}
