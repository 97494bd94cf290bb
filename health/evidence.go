package health

import "time"

// Host is an entry host.
type Host struct {
	Name   string
	Domain string // failure domain
	Region string
}

// Report is what an entry host saw of one session since its last report.
type Report struct {
	Session          uint64
	Answered         int // requests answered, and requests refused by the server
	TimedOut         int
	ConnectionErrors int
	ProbesAnswered   int
	ProbesFailed     int
}

// streak is a row of observations without one of the other kind between them.
type streak struct {
	count int
	first time.Duration
	last  time.Duration
}

func (s *streak) add(now time.Duration, count int) {
	if s.count == 0 {
		s.first = now
	}
	s.count += count
	s.last = now
}

// sight is what one host saw of one session.
type sight struct {
	host          Host
	reported      time.Duration
	answered      streak // requests, since the last report of failures alone
	failed        streak // requests, since the last answer
	probeAnswered streak // since the last failed probe
	probeFailed   streak // since the last answered probe
}

// take adds a report. A success ends a row of failures, whatever failed in the
// same report.
func (s *sight) take(now time.Duration, r Report) {
	s.reported = now
	failures := r.TimedOut + r.ConnectionErrors
	switch {
	case r.Answered > 0:
		s.answered.add(now, r.Answered)
		s.failed = streak{}
	case failures > 0:
		s.failed.add(now, failures)
	}
	switch {
	case r.ProbesAnswered > 0 && r.ProbesFailed == 0:
		s.probeAnswered.add(now, r.ProbesAnswered)
		s.probeFailed = streak{}
	case r.ProbesFailed > 0:
		s.probeFailed.add(now, r.ProbesFailed)
		s.probeAnswered = streak{}
	}
}

// expire ends a row that nothing was added to for long: a failure long ago says
// nothing about the next one.
func (s *sight) expire(now, fresh time.Duration) {
	for _, row := range []*streak{&s.answered, &s.failed, &s.probeAnswered, &s.probeFailed} {
		if row.count > 0 && now-row.last > fresh {
			*row = streak{}
		}
	}
}

// against reports whether the host saw the session fail over the time of silence.
// Failed requests count also where probes are answered; failed probes count only
// where no request was answered.
func (s *sight) against(settings Settings, silence time.Duration) bool {
	if s.answered.count > 0 && s.failed.count == 0 {
		return false
	}
	return s.failed.proves(settings, silence) || s.probeFailed.proves(settings, silence)
}

func (s *streak) proves(settings Settings, silence time.Duration) bool {
	return s.count >= settings.MinFailures && s.last-s.first >= silence
}

// supports reports whether the host lately had an answer to a request, and no
// failure since.
func (s *sight) supports() bool { return s.answered.count > 0 && s.failed.count == 0 }

// doubts reports whether the host saw any failure lately.
func (s *sight) doubts() bool { return s.failed.count > 0 || s.probeFailed.count > 0 }
