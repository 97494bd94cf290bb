package dispatch

import "time"

const (
	// reportLifetime is the age at which a server's load report stops counting.
	reportLifetime = time.Second
	// hostLifetime is the age at which the load of a server's host, as reported, stops counting: it changes several
	// times a second.
	hostLifetime = 400 * time.Millisecond
	// maxHostFactor bounds the factor by which a report slows down or speeds up a server.
	maxHostFactor = 10
	// claimLifetime is how long a claim holds without a request that starts: a request is usually sent at once.
	claimLifetime = 100 * time.Millisecond
	// defaultServiceTime is assumed for a server while nothing is known of its speed.
	defaultServiceTime = 100 * time.Millisecond
	// minSampleWeight is the lowest weight of a new sample in a server's average service time.
	minSampleWeight = 0.1
	// expectedTimeSamples is the weight, in samples, of the expected service time in the average.
	expectedTimeSamples = 3
	// minMeanSampleWeight is the lowest weight of a new sample in the average of a service.
	minMeanSampleWeight = 0.02
)

// MeanServiceTime is the average time that a service's requests take, over all its servers and
// without the wait in a queue. It gives an expectation for servers to which a gateway sends only one
// request in many seconds. The zero value holds no samples.
type MeanServiceTime struct {
	average time.Duration
	samples int
}

// Observe adds the time of a request that did not wait.
func (t *MeanServiceTime) Observe(took time.Duration) {
	t.samples++
	weight := max(minMeanSampleWeight, 1/float64(t.samples))
	t.average += time.Duration(weight * float64(took-t.average))
}

// Value returns the average, or 0 if there are no samples.
func (t *MeanServiceTime) Value() time.Duration { return t.average }

// Report is the load that a server reports with a response.
type Report struct {
	Running int
	Waiting int
	Slots   int
	// HostPercent is the time that work currently takes on the server's host, in percent of the usual
	// time; 0 if not known.
	HostPercent int
}

// Load is one gateway's estimate of a server's load.
type Load struct {
	inFlight    int           // requests of this gateway
	others      float64       // requests of other gateways according to the latest report
	reportedAt  time.Duration // 0 if there was no report
	serviceTime time.Duration // average over requests that did not wait
	samples     int           // number of samples in serviceTime
	expected    time.Duration // service time assumed before the first response; 0 if not known
	shared      bool          // others is what another host knew
	known       bool          // see SetKnown
	claimedTo   time.Duration // until when a claim holds; see Claim
	ownOthers   float64       // requests of other gateways according to the latest report to this gateway
	ownReportAt time.Duration // time of that report; 0 if there was none
	hostPercent int           // of the latest report of the server itself; 0 if not known
	hostAt      time.Duration // time of that report
	ownWork     time.Duration // expected work of this gateway's requests; see AddWork
}

// Start counts a request as in flight.
func (l *Load) Start() { l.inFlight, l.claimedTo = l.inFlight+1, 0 }

// SetKnown records that something is known of the server: it has answered a request of this gateway, or another host
// has told of it.
func (l *Load) SetKnown() { l.known = true }

// Claim reserves a server of which nothing is known for one request, which is expected to start soon. It returns
// false if another request has it.
func (l *Load) Claim(now time.Duration) bool {
	if l.probed(now) {
		return false
	}
	if !l.known {
		l.claimedTo = now + claimLifetime
	}
	return true
}

// probed reports whether nothing is known of the server, and a request that will tell is in flight or about to start.
func (l *Load) probed(now time.Duration) bool {
	return !l.known && (l.inFlight > 0 || now < l.claimedTo)
}

// End removes a request from those in flight.
func (l *Load) End() { l.inFlight-- }

// AddWork adds the expected work of a request that has started, or subtracts that of one that has ended.
func (l *Load) AddWork(work time.Duration) { l.ownWork += work }

// OwnWork returns the expected work of this gateway's requests in flight.
func (l *Load) OwnWork() time.Duration { return l.ownWork }

// Untried reports whether this gateway has not sent the server any request yet.
func (l *Load) Untried() bool { return l.inFlight == 0 && l.samples == 0 && l.reportedAt == 0 }

// InFlight returns the number of this gateway's requests in flight.
func (l *Load) InFlight() int { return l.inFlight }

// ObserveReport updates the load of other gateways. It must be called before End for the request
// whose response carried the report: the report no longer counts that request.
func (l *Load) ObserveReport(now time.Duration, r Report) {
	l.others = float64(max(0, r.Running+r.Waiting-(l.inFlight-1)))
	l.reportedAt, l.hostPercent, l.hostAt, l.shared, l.known = now, r.HostPercent, now, false, true
	l.ownOthers, l.ownReportAt = l.others, now
}

// ObserveShared updates the load of other gateways from what another host knew at a time, unless this gateway has a
// newer report.
func (l *Load) ObserveShared(at time.Duration, requests float64) {
	if at <= l.reportedAt {
		return
	}
	l.others, l.reportedAt, l.shared, l.known = max(0, requests-float64(l.inFlight)), at, true, true
}

// HostFactor returns by what factor work currently takes longer than usual on the server's host, according to the
// latest report. The weight of the report decreases linearly with its age.
func (l *Load) HostFactor(now time.Duration) float64 {
	age := now - l.hostAt
	if l.hostPercent == 0 || age >= hostLifetime {
		return 1
	}
	reported := min(max(float64(l.hostPercent)/100, 1/maxHostFactor), maxHostFactor)
	return 1 + (reported-1)*(1-float64(age)/float64(hostLifetime))
}

// ObserveServiceTime adds the time of a request that did not wait.
func (l *Load) ObserveServiceTime(took time.Duration) {
	weight := max(minSampleWeight, 1/float64(l.samples+expectedTimeSamples+1))
	l.serviceTime = l.ServiceTime() + time.Duration(weight*float64(took-l.ServiceTime()))
	l.samples++
}

// SetExpectedServiceTime sets the service time to assume before the first response; 0 if not known.
func (l *Load) SetExpectedServiceTime(expected time.Duration) { l.expected = expected }

// ServiceTime returns the average time of a request that does not wait.
func (l *Load) ServiceTime() time.Duration {
	switch {
	case l.serviceTime > 0:
		return l.serviceTime
	case l.expected > 0:
		return l.expected
	}
	return defaultServiceTime
}

// HasServiceTime reports whether ServiceTime is based on responses, of this server or of others of its
// service, and not on the default.
func (l *Load) HasServiceTime() bool { return l.serviceTime > 0 || l.expected > 0 }

// Requests returns the estimated number of requests at the server. The weight of a report decreases
// linearly with its age. What another host knew does not count: it is older than what matters for a single server.
func (l *Load) Requests(now time.Duration) float64 {
	age := now - l.ownReportAt
	if l.ownReportAt == 0 || age >= reportLifetime {
		return float64(l.inFlight)
	}
	return float64(l.inFlight) + l.ownOthers*(1-float64(age)/float64(reportLifetime))
}

// LatestRequests returns the requests at the server according to the latest report, also one that another host got.
func (l *Load) LatestRequests() float64 { return float64(l.inFlight) + l.others }

// HasFreeSlot reports whether a recent load report shows a free slot, so that a request sent now
// would not wait. Without a recent report the result is false: with many gateways, one gateway's own
// requests say nothing about the server's queue.
func (l *Load) HasFreeSlot(now time.Duration, slots int) bool {
	return l.ownReportAt != 0 && now-l.ownReportAt < reportLifetime && l.Requests(now) < float64(slots)
}

// ExpectedWait returns the expected time that one more request would wait in the server's queue.
func (l *Load) ExpectedWait(now time.Duration, slots int) time.Duration {
	ahead := l.Requests(now) - float64(slots) + 1
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead / float64(slots) * float64(l.ServiceTime()))
}
