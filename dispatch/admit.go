package dispatch

import (
	"slices"
	"time"
)

const (
	// urgentRequestsPerSlot is the number of requests per slot at which a server gets no more urgent
	// requests. Further requests would wait longer at the server than in the gateway, and from the
	// gateway they can still go to another owner.
	urgentRequestsPerSlot = 2.5
	// ordinaryRequestsPerSlot is the same limit for requests that are not urgent. It is lower, so
	// that the difference is reserved for urgent requests.
	ordinaryRequestsPerSlot = 2.0
	// maxUrgentPriority is the highest priority value that counts as urgent; lower values are more
	// urgent.
	maxUrgentPriority = 1
)

// Request holds the properties of a request that decide on its admission.
type Request struct {
	Priority      int64
	UntilDeadline time.Duration // time remaining until the deadline
	UntilTarget   time.Duration // time remaining until the latency target; negative if it has passed
	Bulk          bool          // has a large body, or a large response

	// The fields below count for ChooseByWork only.

	Work     time.Duration // expected time that the request takes on a server of speed 1
	HighWork time.Duration // time that only a few of such requests exceed; 0 if not known
	Usable   float64       // part of each server's slots and queue that the request may use; 0 counts as 1
	Ahead    int           // requests of this gateway for the service that wait and are served before this one
	Gateways int64         // gateways that may send at the same time
	// WarmupSpeed is the fraction of their speed that the servers of the service have while they warm up; 0 counts as 1.
	WarmupSpeed float64
	// MayBeSilent tells that full servers of the service may not answer: none has refused a request so far. To wait for
	// the first time-outs would cost many requests at the first overload.
	MayBeSilent bool
}

// maxRequestsPerSlot returns the number of requests per slot at which a server is full for a
// request of r's priority.
func (r Request) maxRequestsPerSlot() float64 {
	if r.Priority <= maxUrgentPriority {
		return urgentRequestsPerSlot
	}
	return ordinaryRequestsPerSlot
}

// Reason states why a request is not sent.
type Reason string

// Results of Admit.
const (
	Admitted     Reason = ""
	QueueFull    Reason = "queue-full"    // the server is full for requests of this priority
	TooLate      Reason = "too-late"      // the request would miss its deadline
	NoConnection Reason = "no-connection" // all permitted connections are in use
	RateLimited  Reason = "rate-limited"  // no token is there for the server's rate limit
	Paused       Reason = "paused"        // the server wants no requests for a while
)

// Admit returns Admitted if the server can take the request, or else the reason why not. A request
// is too late if even half of the average service time would not fit before its deadline.
func Admit(now time.Duration, c *Candidate, r Request) Reason {
	switch {
	case c.PausedFor > 0:
		return Paused
	case c.Load.ExpectedWait(now, c.Slots)+c.Load.ServiceTime()/2 > r.UntilDeadline:
		return TooLate
	case c.Load.InFlight()+c.Ahead >= c.ConnectionLimit:
		return NoConnection
	case c.Load.Requests(now)+float64(c.Ahead) >= r.maxRequestsPerSlot()*float64(c.Slots):
		return QueueFull
	case c.Limited && c.Ahead >= c.Tokens:
		return RateLimited
	}
	return Admitted
}

// Distance is the network distance between a gateway and a server.
type Distance int

// Distances, nearest first. Domain is short for failure domain.
const (
	SameDomain Distance = iota
	SameRegion
	OtherRegion
)

// Candidate is a server that may run a request.
type Candidate struct {
	ID              string
	Load            *Load
	Slots           int // requests that the server runs concurrently
	ConnectionLimit int // connections that this gateway may open to the server
	Ahead           int // requests of this gateway that wait and are served before this one
	Distance        Distance
	Suspect         bool          // requests to the server failed recently
	PausedFor       time.Duration // how much longer the server wants no requests
	Limited         bool          // the server takes only requests with a token (package ratelimit)
	Tokens          int           // tokens that this gateway has for the server
	Cold            bool          // the server has just started, and is Limited for that (package warmup)

	// The fields below count for ChooseByWork only.

	Speed     float64       // relative to the mean of the service; 0 counts as 1
	WorkLeft  time.Duration // expected work of this gateway's own requests at the server, at speed 1
	MeanWork  time.Duration // expected work of a request of another gateway, at speed 1
	RoundTrip time.Duration // of the network to the server; 0 if not known
	Avoid     bool          // gets no request while there is a candidate that need not be avoided
	Open      bool          // an idle connection to the server is open
	WarmingUp bool          // the server is slower than Speed for now; see Request.WarmupSpeed

	estimate workEstimate // set by ChooseByWork
}

// Choose returns the index of the candidate that runs the request, or -1 and the reason if there is
// none. The reason is RateLimited if at least one candidate lacks only a token, and Paused only if all
// are paused. Among candidates that meet the latency target it prefers cold ones of the own region, whose
// tokens are few and expire, and then the nearest. A bulk
// request is sent to another region only if the own region has no server: the link between regions is
// slow, and is saturated at the times when the servers are.
func Choose(now time.Duration, candidates []Candidate, r Request) (int, Reason) {
	best, reason := -1, Paused
	var bestRank rank
	localOnly := r.Bulk && slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Distance != OtherRegion })
	for i, c := range candidates {
		if localOnly && c.Distance == OtherRegion {
			continue
		}
		admitted := Admit(now, &c, r)
		if admitted != Admitted {
			if admitted != Paused && reason != RateLimited {
				reason = admitted
			}
			continue
		}
		if next := rankOf(now, c, r); best < 0 || next.less(bestRank) {
			best, bestRank = i, next
		}
	}
	switch {
	case best >= 0:
		return best, Admitted
	case len(candidates) == 0:
		return best, QueueFull
	}
	return best, reason
}

// rank orders candidates; the lowest runs the request.
type rank struct {
	suspect      bool
	missesTarget bool
	withoutToken bool // not cold; a cold candidate is ranked only if there is a token
	distance     Distance
	finish       time.Duration // expected time until the response
}

// rankOf returns a candidate's rank. A server of the own region to which this gateway has not sent
// a request yet ranks first, since its speed can be learned only from a request.
func rankOf(now time.Duration, c Candidate, r Request) rank {
	if c.Load.Untried() && c.Distance != OtherRegion && !c.Cold {
		return rank{suspect: c.Suspect, withoutToken: true}
	}
	finish := c.Load.ExpectedWait(now, c.Slots) + c.Load.ServiceTime()
	return rank{
		suspect:      c.Suspect,
		missesTarget: finish > r.UntilTarget,
		withoutToken: !c.Cold || c.Distance == OtherRegion,
		distance:     c.Distance,
		finish:       finish,
	}
}

func (a rank) less(b rank) bool {
	switch {
	case a.suspect != b.suspect:
		return b.suspect
	case a.missesTarget != b.missesTarget:
		return b.missesTarget
	case a.withoutToken != b.withoutToken:
		return b.withoutToken
	case a.distance != b.distance && !a.missesTarget:
		return a.distance < b.distance
	}
	return a.finish < b.finish
}

// FewestAhead returns the index of the rate-limited candidate that has the fewest requests waiting for
// a token, or -1 if none is limited.
func FewestAhead(candidates []Candidate) int {
	best := -1
	for i, c := range candidates {
		if c.Limited && (best < 0 || c.Ahead-c.Tokens < candidates[best].Ahead-candidates[best].Tokens) {
			best = i
		}
	}
	return best
}

// ShortestPause returns the index of the candidate whose pause ends first, or -1 if there are none.
func ShortestPause(candidates []Candidate) int {
	best := -1
	for i, c := range candidates {
		if best < 0 || c.PausedFor < candidates[best].PausedFor {
			best = i
		}
	}
	return best
}
