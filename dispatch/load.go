package dispatch

import "time"

const (
	// reportLife is how long a server's report of its load counts.
	reportLife = time.Second
	// initialWorkTime is taken for a request before the first answer.
	initialWorkTime = 100 * time.Millisecond
	// workTimeWeight is the least part of a new answer in the average work time.
	workTimeWeight = 0.1
	// workTimePrior is the number of answers that the time expected before the first
	// one counts for.
	workTimePrior = 3
	// typicalWeight is the least part of a new answer in the average of a service.
	typicalWeight = 0.02
)

// MeanServiceTime is the average time of a service's requests that did not wait, over all
// its servers. A gateway that sends a server one request in many seconds knows by
// it what to expect. Its zero value knows nothing.
type MeanServiceTime struct {
	average time.Duration
	samples int
}

// Observe takes in the time of a request.
func (t *MeanServiceTime) Observe(took time.Duration) {
	t.samples++
	weight := max(typicalWeight, 1/float64(t.samples))
	t.average += time.Duration(weight * float64(took-t.average))
}

// Value returns the average, or 0 if nothing is known.
func (t *MeanServiceTime) Value() time.Duration { return t.average }

// Report is what a server says of its load in an answer.
type Report struct {
	Running int
	Waiting int
	Slots   int
}

// Load is one gateway's view of a server's load.
type Load struct {
	own      int // requests of this gateway under way
	others   int // requests of others by the newest report
	reported time.Duration
	workTime time.Duration // of a request that did not wait
	samples  int           // answers in workTime
	prior    time.Duration // expected before the first answer; 0 if not known
}

// Start counts a request that is sent.
func (l *Load) Start() { l.own++ }

// End counts a request that is no longer under way.
func (l *Load) End() { l.own-- }

// Untried tells whether no request was sent yet.
func (l *Load) Untried() bool { return l.own == 0 && l.samples == 0 && l.reported == 0 }

// InFlight returns the number of this gateway's requests under way.
func (l *Load) InFlight() int { return l.own }

// ObserveReport takes in a report. It is called before End of the request whose
// answer carried it; the server does not count that request any more.
func (l *Load) ObserveReport(now time.Duration, r Report) {
	l.others = max(0, r.Running+r.Waiting-(l.own-1))
	l.reported = now
}

// ObserveServiceTime takes in the time of a request that did not wait.
func (l *Load) ObserveServiceTime(took time.Duration) {
	weight := max(workTimeWeight, 1/float64(l.samples+workTimePrior+1))
	l.workTime = l.ServiceTime() + time.Duration(weight*float64(took-l.ServiceTime()))
	l.samples++
}

// SetExpectedServiceTime sets the time that a request is expected to take before the first answer;
// 0 if it is not known.
func (l *Load) SetExpectedServiceTime(workTime time.Duration) { l.prior = workTime }

// ServiceTime returns the average time of a request that does not wait.
func (l *Load) ServiceTime() time.Duration {
	switch {
	case l.workTime > 0:
		return l.workTime
	case l.prior > 0:
		return l.prior
	}
	return initialWorkTime
}

// HasServiceTime tells whether WorkTime rests on any answer.
func (l *Load) HasServiceTime() bool { return l.workTime > 0 || l.prior > 0 }

// Requests returns the estimated number of requests at the server. A report
// loses weight as it ages.
func (l *Load) Requests(now time.Duration) float64 {
	age := now - l.reported
	if l.reported == 0 || age >= reportLife {
		return float64(l.own)
	}
	return float64(l.own) + float64(l.others)*(1-float64(age)/float64(reportLife))
}

// HasFreeSlot tells whether a request that is sent now surely does not wait: a
// report that is new shows a slot for it. Among many gateways, one that has heard
// nothing in a while knows nothing of the queue.
func (l *Load) HasFreeSlot(now time.Duration, slots int) bool {
	return l.reported != 0 && now-l.reported < reportLife && l.Requests(now) < float64(slots)
}

// ExpectedWait returns the expected time in the server's queue of one more request.
func (l *Load) ExpectedWait(now time.Duration, slots int) time.Duration {
	ahead := l.Requests(now) - float64(slots) + 1
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead / float64(slots) * float64(l.ServiceTime()))
}
