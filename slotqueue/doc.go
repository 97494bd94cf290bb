// Package slotqueue assigns the requests of a scarce service to slots of its servers in one queue, which the leader
// holds for all gateways.
//
// Gateways that choose servers by themselves know the servers' load only as it was some requests ago. Where little room
// is left, some servers then have free slots while requests wait at others. One queue has no such loss: a request waits
// only while all slots that it may use are taken, and one that can't get a slot in time is refused when it arrives. Each
// request costs the leader three messages, so that the queue is for services whose room is scarce, not for all.
//
// A gateway sends a Request, gets an Answer with a server, and sends a Release when the server has answered. All state is
// in the memory of the leader, and what is lost is made up for: a slot that is not given back expires, a request without
// an answer finds a server without the queue, and a new leader starts with an empty queue.
//
// The package has neither network nor clock; times are offsets from any fixed moment.
package slotqueue

// Outcome is what became of a request that had a slot.
type Outcome string

// Outcomes.
const (
	// Unsent requests were not sent to the server or still waited for a slot, or their clients left.
	Unsent Outcome = ""
	// Served requests were run by the server.
	Served Outcome = "served"
	// Refused requests were not run: the server refused them, or no connection opened.
	Refused Outcome = "refused"
	// Failed requests may have run, but the server gave no good response.
	Failed Outcome = "failed"
)
