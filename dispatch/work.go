package dispatch

import "time"

const (
	// spillServicePart and spillSlackPart bound the wait expected at near servers, as parts of the request's own
	// work and of its slack until the latency target. Beyond either, farther servers are used as well. The bound
	// is low because the estimates are uncertain: at a bound near the target, requests miss it.
	spillServicePart = 0.25
	spillSlackPart   = 0.125
	// secondBoundFactor is the factor between the bound and the second bound, which counts if no distance is within the
	// first.
	secondBoundFactor = 4
	// enoughCapacity is the part of all capacity at a distance that must be within the bound. With less, all
	// gateways there would choose the same few servers.
	enoughCapacity = 0.25
	// loadWeight is the weight of a server's load in the comparison of two servers that both have free slots.
	loadWeight = 0.25
	// equalPart is the difference of expected finish, as a part of the request's work, up to which two servers count
	// as equal, so that distance and open connections decide.
	equalPart = 0.1
	// reportWorks is the age at which a load report says nothing of one server any more, as a multiple of the mean
	// work: by then other requests run there.
	reportWorks = 3
	// sharedWeight is the weight of a load that another host reported, relative to one that this gateway got itself:
	// all gateways learn it at the same time, and would all choose the servers that it shows as idle.
	sharedWeight = 0.5
	// ownFactor and ownOffset bound the load that this gateway's own requests show, if the other gateways have as many,
	// in terms of the reported load: it counts at once, but gateways may have more or fewer clients than others.
	// knownPart is the part of the slots that reports must cover for that.
	ownFactor = 1.25
	ownOffset = 0.2
	knownPart = 0.125
	// silentRequestsPerSlot limits the requests at a server that does not answer when it is full, if its load is
	// known. Where nothing is known, up to unknownPart of it is left to requests of other gateways.
	silentRequestsPerSlot = 2.0
	unknownPart           = 0.35
	// gatewaysPerSlot is the number of gateways per slot from which unknownPart counts in full.
	gatewaysPerSlot = 4.0
)

// Basis states why ChooseByWork chose a server.
type Basis string

// Reasons of choices.
const (
	BasisNear    Basis = "near"    // within the latency target, at the nearest distance
	BasisSpill   Basis = "spill"   // like BasisNear, but at a farther one, since the wait at near ones is long
	BasisLate    Basis = "late"    // no server is expected to respond within the latency target
	BasisSuspect Basis = "suspect" // requests to all servers failed recently
	BasisAvoided Basis = "avoided" // all servers are to be avoided
)

// Choice is the result of ChooseByWork.
type Choice struct {
	Index  int    // of the candidate; -1 if there is none
	Reason Reason // why there is none
	Basis  Basis  // why it was chosen
	// Probe tells that nothing is known of the server, and that there is another candidate. The request is to be sent
	// only if Load.Claim permits it.
	Probe bool
}

// workEstimate is what ChooseByWork expects of a candidate. Times are in nanoseconds.
type workEstimate struct {
	wait     float64 // until a slot is free
	finish   float64 // until the response, with the load counted also while slots are free
	capacity float64 // slots times speed
	class    uint8   // classNone, or the lower the better
	level    uint8   // of the wait: 0 within the bound, 1 within the second bound, 2 beyond
}

// Classes of candidates: a sum of the bits below.
const (
	classNoToken uint8 = 1 // not a cold server of the own region for which there is a token
	classLate    uint8 = 2
	classSuspect uint8 = 4
	classNone    uint8 = 255 // gets no request
)

const (
	levels    = 3
	distances = int(OtherRegion) + 1
)

// workChoice is the state of one call of ChooseByWork.
type workChoice struct {
	now           time.Duration
	request       Request
	avoid         bool          // candidates to avoid are left out
	localOnly     bool          // candidates in other regions are left out
	free          int           // candidates that may get the request, up to limits of their load; see mayGet
	leftOut       bool          // a candidate is left out since a request is probing it
	othersPerSlot float64       // mean number of other gateways' requests per slot, according to recent reports
	bound         float64       // of the wait, ns; see spillServicePart
	reason        Reason        // of the candidates left out
	best          uint8         // the lowest class
	room          float64       // requests that all candidates can still take
	meanWork      time.Duration // of the candidate estimated last
	fading        float64       // of a report's weight per nanosecond, at that meanWork
	highRatio     float64       // of the request's HighWork to its Work
	// capacity sums up the candidates of the best class by distance and level of the wait.
	capacity [distances][levels]float64
	total    [distances]float64 // of all candidates at a distance, also those that are full
}

// ChooseByWork returns the candidate that runs the request. Like Choose it leaves out candidates that can't take the
// request, and prefers those expected to meet the latency target. Among these it takes the nearest distance at which
// enough servers have a short wait, draws two candidates at random, weighted by capacity, and returns the one that is
// expected to finish first (M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", IEEE TPDS 2001).
// A server of which nothing is known counts as one of mean speed and load, so that gateways that have all just
// started spread their requests evenly. It gets one request until its first response, while there is another
// candidate: many gateways learn of a new server at the same time. random returns numbers in [0, 1).
func ChooseByWork(now time.Duration, candidates []Candidate, r Request, random func() float64) Choice {
	if len(candidates) == 0 {
		return Choice{Index: -1, Reason: QueueFull}
	}
	if r.Usable <= 0 {
		r.Usable = 1
	}
	if r.WarmupSpeed <= 0 {
		r.WarmupSpeed = 1
	}
	w := workChoice{now: now, request: r, reason: Paused, best: classNone}
	w.prepare(candidates)
	for i := range candidates {
		w.estimate(&candidates[i])
	}
	if w.best == classNone || w.request.Ahead > 0 && w.room < float64(w.request.Ahead+1) {
		return Choice{Index: -1, Reason: w.noneReason()}
	}
	farthest, level := w.set()
	first := w.draw(candidates, farthest, level, random, -1)
	second := w.draw(candidates, farthest, level, random, first)
	if second >= 0 && !probes(candidates, first, second) && w.better(&candidates[second], &candidates[first]) {
		first = second
	}
	return Choice{Index: first, Basis: w.basis(candidates, first), Probe: w.free > 1 && !candidates[first].Load.known}
}

// probes reports whether the first server drawn gets the request whatever the second one's finish is: nothing is known
// of it, and something of the other. Compared by finish, servers that are known to warm up would be tried too rarely.
func probes(candidates []Candidate, first, second int) bool {
	return !candidates[first].Load.known && candidates[second].Load.known
}

// noneReason returns why no candidate is chosen.
func (w *workChoice) noneReason() Reason {
	if w.best != classNone || w.leftOut && w.reason != RateLimited {
		return QueueFull // of requests that are served before this one, or that probe a server
	}
	return w.reason
}

// prepare determines what depends on all candidates.
func (w *workChoice) prepare(candidates []Candidate) {
	var others, slots, own, allSlots float64
	var free, freeFar int
	for i := range candidates {
		c := &candidates[i]
		w.avoid = w.avoid || !c.Avoid
		w.localOnly = w.localOnly || c.Distance != OtherRegion
		if free < 2 && w.mayGet(c) {
			if c.Distance != OtherRegion {
				free++
			} else {
				freeFar++
			}
		}
		own += float64(c.Load.inFlight)
		allSlots += float64(c.Slots)
		if age := w.now - c.Load.reportedAt; age < reportLifetime && c.Load.reportedAt != 0 {
			weight := 1 - float64(age)*(1/float64(reportLifetime))
			others += weight * c.Load.others
			slots += weight * float64(c.Slots)
		}
	}
	w.localOnly = w.localOnly && w.request.Bulk
	if w.free = free; !w.localOnly {
		w.free += freeFar
	}
	w.othersPerSlot = others / max(slots+float64(candidates[0].Slots), 1) // one server without load is added
	if w.request.MayBeSilent && len(candidates) > 1 {
		shown := own * float64(w.request.Gateways-1) / max(allSlots, 1)
		if slots > knownPart*allSlots {
			shown = min(shown, ownFactor*w.othersPerSlot+ownOffset)
		}
		w.othersPerSlot = max(w.othersPerSlot, shown)
	}
	w.highRatio = max(float64(w.request.HighWork)/max(float64(w.request.Work), 1), 1)
	slack := max(float64(w.request.UntilTarget-w.request.Work), 0)
	w.bound = min(spillServicePart*float64(w.request.Work), spillSlackPart*slack)
}

// mayGet reports whether a candidate may get the request, now or when it is less loaded.
func (w *workChoice) mayGet(c *Candidate) bool {
	return !c.Load.probed(w.now) && !c.Avoid && !c.Suspect && c.PausedFor <= 0 && (!c.Limited || c.Ahead < c.Tokens)
}

// estimate sets the estimate of a candidate and counts its capacity.
func (w *workChoice) estimate(c *Candidate) {
	e := &c.estimate
	e.class = classNone
	if w.avoid && c.Avoid || w.localOnly && c.Distance == OtherRegion {
		return
	}
	if w.free > 0 && c.Load.probed(w.now) {
		w.leftOut = true
		return
	}
	speed := c.Speed
	if speed <= 0 {
		speed = 1
	}
	slots := float64(max(c.Slots, 1))
	if c.WarmingUp {
		speed *= w.request.WarmupSpeed
	}
	e.capacity = slots * speed
	w.total[c.Distance] += e.capacity
	others := w.othersPerSlot * slots
	weight := w.reportWeight(c)
	if c.Load.shared {
		others += sharedWeight * weight * (c.Load.others - others)
		weight = 0 // all gateways know it at the same time
	} else {
		others += weight * (c.Load.others - others)
	}
	if w.request.MayBeSilent && c.Load.shared {
		others = max(others, w.othersPerSlot*slots) // all gateways learn at the same time that it has room
	}
	requests := float64(c.Load.inFlight) + others + float64(c.Ahead)
	work := float64(c.WorkLeft) + (others+float64(c.Ahead))*float64(c.MeanWork)
	drain := work / e.capacity // time in which the server would do all of it
	e.wait = 0
	if ahead := requests - slots + 1; ahead > 0 {
		e.wait = drain * ahead / requests
	}
	own := float64(w.request.Work)/speed + float64(c.RoundTrip)
	limit := w.requestsPerSlot(slots, weight) * slots
	if limit > requests {
		w.room += limit - requests
	}
	if reason := w.admit(c, requests, limit, own); reason != Admitted {
		if reason != Paused && w.reason != RateLimited {
			w.reason = reason
		}
		return
	}
	w.rank(c, own, drain)
}

// rank sets the class and the level of a candidate that can take the request.
func (w *workChoice) rank(c *Candidate, own, drain float64) {
	e := &c.estimate
	e.class = classNoToken
	if c.Cold && c.Distance != OtherRegion {
		e.class = 0 // a token that is not used soon expires
	}
	if e.wait+own > float64(w.request.UntilTarget) || e.wait+own*w.highRatio > float64(w.request.UntilDeadline) {
		e.class |= classLate
	}
	if c.Suspect {
		e.class |= classSuspect
	}
	e.finish = e.wait + own + loadWeight*drain
	e.level = 0
	if e.wait > w.bound {
		e.level = 1
		if e.wait > secondBoundFactor*w.bound {
			e.level = 2
		}
	}
	if e.class < w.best {
		w.best, w.capacity = e.class, [distances][levels]float64{}
	}
	if e.class == w.best {
		w.capacity[c.Distance][e.level] += e.capacity
	}
}

// admit is like Admit, with the estimates of ChooseByWork.
func (w *workChoice) admit(c *Candidate, requests, limit, own float64) Reason {
	switch {
	case c.PausedFor > 0:
		return Paused
	case c.estimate.wait+own/2 > float64(w.request.UntilDeadline):
		return TooLate
	case c.Load.inFlight+c.Ahead >= c.ConnectionLimit:
		return NoConnection
	case requests >= limit:
		return QueueFull
	case c.Limited && c.Ahead >= c.Tokens:
		return RateLimited
	}
	return Admitted
}

// requestsPerSlot returns the number of requests per slot at which a candidate is full for the request, if it is one
// whose load is known with a weight.
func (w *workChoice) requestsPerSlot(slots, weight float64) float64 {
	limit := w.request.maxRequestsPerSlot()
	if w.request.MayBeSilent {
		unknown := unknownPart * (1 - weight)
		if few := gatewaysPerSlot * slots; float64(w.request.Gateways) < few {
			unknown *= float64(w.request.Gateways) / few
		}
		limit = min(limit, silentRequestsPerSlot*(1-unknown))
	}
	return limit * w.request.Usable
}

// reportWeight returns the weight of a server's latest load report, which decreases linearly with its age.
func (w *workChoice) reportWeight(c *Candidate) float64 {
	age := w.now - c.Load.reportedAt
	if c.Load.reportedAt == 0 || age >= reportWorks*c.MeanWork {
		return 0
	}
	if c.MeanWork != w.meanWork {
		w.meanWork, w.fading = c.MeanWork, 1/float64(reportWorks*c.MeanWork)
	}
	return 1 - float64(age)*w.fading
}
