package dispatch

import (
	"slices"
	"time"
)

const (
	// urgentFill is the number of requests for each slot up to which a server
	// gets urgent requests. More would wait longer at the server than in the
	// gateway, from where they can still go to another owner.
	urgentFill = 2.5
	// ordinaryFill is the same for less urgent requests: the rest is kept for
	// urgent ones.
	ordinaryFill = 2.0
	// urgentPriority is the last rank that counts as urgent.
	urgentPriority = 1
)

// Request is what decides about a request.
type Request struct {
	Priority      int64
	UntilDeadline time.Duration // time until its deadline
	UntilTarget   time.Duration // time left of its latency objective; may be negative
	Bulk          bool          // whether it has a large body
}

// fill returns the number of requests for each slot up to which a server gets
// requests of the rank.
func (r Request) fill() float64 {
	if r.Priority <= urgentPriority {
		return urgentFill
	}
	return ordinaryFill
}

// Reason says why a request is not sent.
type Reason string

// Reasons of Admit.
const (
	Admitted     Reason = ""
	QueueFull    Reason = "queue-full"    // the server's queue has no room for its rank
	TooLate      Reason = "too-late"      // it would not be answered before its deadline
	NoConnection Reason = "no-connection" // all connections allowed are in use
)

// Admit tells whether a server can answer the request in time.
func Admit(now time.Duration, c *Candidate, r Request) Reason {
	switch {
	case c.Load.ExpectedWait(now, c.Slots)+c.Load.ServiceTime()/2 > r.UntilDeadline:
		return TooLate
	case c.Load.InFlight()+c.Ahead >= c.ConnectionLimit:
		return NoConnection
	case c.Load.Requests(now)+float64(c.Ahead) >= r.fill()*float64(c.Slots):
		return QueueFull
	}
	return Admitted
}

// Distance is how far a server stands from a gateway.
type Distance int

// Distances.
const (
	SameDomain Distance = iota
	SameRegion
	OtherRegion
)

// Candidate is a server that may take a request.
type Candidate struct {
	ID              string
	Load            *Load
	Slots           int // requests that it runs at once
	ConnectionLimit int // connections that this gateway may open to it
	Ahead           int // requests of this gateway that wait for room there and go first
	Distance        Distance
	Suspect         bool // it failed requests a short time ago
}

// Choose returns the place of the server that takes the request, or -1 and the
// reason why none does. Among servers that answer within the latency objective
// it takes the nearest. A large body leaves the region only if no server is in
// it: the link between regions is slow, and full when servers are.
func Choose(now time.Duration, candidates []Candidate, r Request) (int, Reason) {
	best, reason := -1, QueueFull
	var bestRank rank
	stay := r.Bulk && slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Distance != OtherRegion })
	for i, c := range candidates {
		if stay && c.Distance == OtherRegion {
			continue
		}
		verdict := Admit(now, &c, r)
		if verdict != Admitted {
			reason = verdict
			continue
		}
		if next := rankOf(now, c, r); best < 0 || next.below(bestRank) {
			best, bestRank = i, next
		}
	}
	if best < 0 {
		return best, reason
	}
	return best, Admitted
}

// rank orders candidates; the lowest takes the request.
type rank struct {
	suspect bool
	late    bool
	near    Distance
	finish  time.Duration
}

// rankOf returns a candidate's rank. A server of the region that this gateway does
// not know yet goes first: its speed shows only with a request.
func rankOf(now time.Duration, c Candidate, r Request) rank {
	if c.Load.Untried() && c.Distance != OtherRegion {
		return rank{suspect: c.Suspect}
	}
	finish := c.Load.ExpectedWait(now, c.Slots) + c.Load.ServiceTime()
	return rank{
		suspect: c.Suspect,
		late:    finish > r.UntilTarget,
		near:    c.Distance,
		finish:  finish,
	}
}

func (a rank) below(b rank) bool {
	switch {
	case a.suspect != b.suspect:
		return b.suspect
	case a.late != b.late:
		return b.late
	case a.near != b.near && !a.late:
		return a.near < b.near
	}
	return a.finish < b.finish
}
