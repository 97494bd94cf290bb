package health

import "time"

// Host is an entry host.
type Host struct {
	Name   string
	Domain string // failure domain
	Region string
}

// Report holds what an entry host observed of one session since its previous report.
type Report struct {
	Session          uint64
	Answered         int // requests answered, and requests refused by the server
	TimedOut         int
	ConnectionErrors int
	ProbesAnswered   int
	ProbesFailed     int
}

// streak is a sequence of observations of one kind.
type streak struct {
	count int
	first time.Duration // time of the first observation
	last  time.Duration
}

func (s *streak) add(now time.Duration, count int) {
	if s.count == 0 {
		s.first = now
	}
	s.count += count
	s.last = now
}

// observations holds what one host observed of one session.
type observations struct {
	host          Host
	reportedAt    time.Duration
	answered      streak // requests; reset only by expire
	failed        streak // requests, since the last response
	probeAnswered streak // since the last failed probe
	probeFailed   streak // since the last answered probe
}

// add records a report. An answered request resets the streak of failed ones, even if other
// requests of the same report failed.
func (o *observations) add(now time.Duration, r Report) {
	o.reportedAt = now
	failures := r.TimedOut + r.ConnectionErrors
	switch {
	case r.Answered > 0:
		o.answered.add(now, r.Answered)
		o.failed = streak{}
	case failures > 0:
		o.failed.add(now, failures)
	}
	switch {
	case r.ProbesAnswered > 0 && r.ProbesFailed == 0:
		o.probeAnswered.add(now, r.ProbesAnswered)
		o.probeFailed = streak{}
	case r.ProbesFailed > 0:
		o.probeFailed.add(now, r.ProbesFailed)
		o.probeAnswered = streak{}
	}
}

// expire resets streaks whose latest observation is older than maxAge, so that an old failure and a
// new one do not count as one streak.
func (o *observations) expire(now, maxAge time.Duration) {
	for _, s := range []*streak{&o.answered, &o.failed, &o.probeAnswered, &o.probeFailed} {
		if s.count > 0 && now-s.last > maxAge {
			*s = streak{}
		}
	}
}

// showsFailure reports whether the host saw the session fail for at least minSpan. Failed requests
// count even if probes are answered; failed probes do not count while requests are answered.
func (o *observations) showsFailure(settings Settings, minSpan time.Duration) bool {
	if o.answered.count > 0 && o.failed.count == 0 {
		return false
	}
	return o.failed.meets(settings, minSpan) || o.probeFailed.meets(settings, minSpan)
}

// meets reports whether the streak has enough failures over a long enough time.
func (s *streak) meets(settings Settings, minSpan time.Duration) bool {
	return s.count >= settings.MinFailures && s.last-s.first >= minSpan
}

// showsSuccess reports whether a request of the host was answered recently and none failed since.
func (o *observations) showsSuccess() bool { return o.answered.count > 0 && o.failed.count == 0 }

// hasFailures reports whether the host saw any failure recently.
func (o *observations) hasFailures() bool { return o.failed.count > 0 || o.probeFailed.count > 0 }
