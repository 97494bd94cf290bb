package quarantine

import (
	"slices"
	"time"
)

const (
	// quarantineTime is how long a request is quarantined that alone explains its crashes.
	quarantineTime = 10 * time.Minute
	// ambiguousTime is how long a request is quarantined at first if another one has as many crashes. It
	// doubles each time.
	ambiguousTime = 30 * time.Second
	// crashMemory is how long a crash counts.
	crashMemory = 5 * time.Minute
	// permitTime is how long a permitted run counts as under way if its end is not reported.
	permitTime = 2 * time.Second
	// sweepInterval is the time between two searches for what may be forgotten.
	sweepInterval = 100 * time.Millisecond
	// maxRequests is the number of requests that are remembered.
	maxRequests = 4096
	// maxCrashes is the number of crashes that are remembered.
	maxCrashes = 256
	// maxRequestsPerCrash is the number of requests that are remembered of one crash.
	maxRequestsPerCrash = 256
)

// Tracker is the leader's record of crashes. It is not safe for concurrent use. Use NewTracker.
type Tracker struct {
	startedAt time.Duration
	crashes   []*crash // oldest first
	suspects  map[string]*suspect
	cleared   clearings
	changed   map[string]struct{} // requests that changed or were cleared since the last call of Changes
	sweptAt   time.Duration
}

// NewTracker returns the Tracker of a leader that was elected now. It knows of no crash.
func NewTracker(now time.Duration) *Tracker {
	return &Tracker{startedAt: now, suspects: map[string]*suspect{}, cleared: clearings{}, changed: map[string]struct{}{}}
}

// Observe records a gateway's report, and returns the requests that it has quarantined.
func (t *Tracker) Observe(now time.Duration, r Report) (quarantined []string) {
	t.forget(now)
	if r.Known != nil {
		quarantined = t.merge(now, r.Known)
	}
	for _, c := range r.Crashes {
		quarantined = append(quarantined, t.observeCrash(now, c)...)
	}
	for _, fingerprint := range r.Answered {
		t.observeAnswer(now, fingerprint)
	}
	for _, fingerprint := range r.Ended {
		if s := t.suspects[fingerprint]; s != nil {
			s.runsUntil = 0
		}
	}
	return quarantined
}

// observeAnswer weighs an answer against the crashes of a request.
func (t *Tracker) observeAnswer(now time.Duration, fingerprint string) {
	s := t.suspects[fingerprint]
	if s == nil {
		return
	}
	before := s.count()
	wasFree := s.free()
	s.answers++
	s.answeredAt, s.runsUntil = now, 0
	if s.quarantined(now) && s.points() < quarantinePoints {
		s.releaseAt = 0
		t.markChanged(s)
	}
	if s.count() != before || s.free() != wasFree {
		t.markChanged(s) // gateways need not hear of each answer
	}
	if s.points() <= 0 {
		t.clear(now, s)
	}
}

func validFingerprint(fingerprint string) bool { return len(fingerprint) == 2*fingerprintBytes }

// suspect returns the record of a request, or nil if there are too many. To make room it forgets crashes
// that are older than the given one.
func (t *Tracker) suspect(fingerprint string, keep *crash) *suspect {
	s := t.suspects[fingerprint]
	if s != nil {
		return s
	}
	for len(t.suspects) >= maxRequests && len(t.crashes) > 0 && t.crashes[0] != keep {
		t.dropCrash()
	}
	if len(t.suspects) >= maxRequests {
		return nil
	}
	s = &suspect{fingerprint: fingerprint}
	t.suspects[fingerprint] = s
	return s
}

func (t *Tracker) observeCrash(now time.Duration, reported Crash) (quarantined []string) {
	c := t.crash(reported.at(now), reported.incarnation())
	for _, fingerprint := range reported.Requests {
		t.suspectOf(c, fingerprint)
	}
	t.explain(now, c)
	return t.quarantine(now)
}

// suspectOf makes a crash count for a request that was there, unless the request was cleared later.
func (t *Tracker) suspectOf(c *crash, fingerprint string) {
	if !validFingerprint(fingerprint) || len(c.requests) >= maxRequestsPerCrash {
		return
	}
	if t.cleared.covers(fingerprint, c.at) {
		t.changed[fingerprint] = struct{}{} // the reporter has not heard of it
		return
	}
	if s := t.suspect(fingerprint, c); s != nil && !slices.Contains(c.requests, s) {
		c.requests = append(c.requests, s)
		s.addCrash(c)
		t.markChanged(s)
	}
}

// crash returns the record of a server's crash, which several gateways may report.
func (t *Tracker) crash(at time.Duration, server incarnation) *crash {
	for _, c := range t.crashes {
		if c.server == server {
			return c
		}
	}
	c := &crash{server: server, at: at}
	t.crashes = append(t.crashes, c)
	slices.SortStableFunc(t.crashes, func(a, b *crash) int { return int(a.at - b.at) })
	if len(t.crashes) > maxCrashes {
		t.dropCrash()
	}
	return c
}

// dropCrash forgets the oldest crash.
func (t *Tracker) dropCrash() {
	oldest := t.crashes[0]
	t.crashes = t.crashes[1:]
	for _, s := range oldest.requests {
		t.discount(s, oldest)
	}
}

// discount makes a crash not count for a request.
func (t *Tracker) discount(s *suspect, c *crash) {
	s.crashes = slices.DeleteFunc(s.crashes, func(other *crash) bool { return other == c })
	t.markChanged(s)
	if s.points() <= 0 && s.releaseAt == 0 {
		t.dropSuspect(s)
	}
}

// explain makes a crash count only for quarantined requests, if any of them was there.
func (t *Tracker) explain(now time.Duration, c *crash) {
	isQuarantined := func(s *suspect) bool { return s.quarantined(now) }
	if !slices.ContainsFunc(c.requests, isQuarantined) {
		return
	}
	for _, s := range slices.Clone(c.requests) {
		if !s.quarantined(now) {
			t.discount(s, c)
		}
	}
}

// quarantine quarantines the requests with enough evidence. It starts with those that have most, as their
// crashes don't count for others then.
func (t *Tracker) quarantine(now time.Duration) (quarantined []string) {
	for {
		candidates := t.mostPoints()
		if len(candidates) == 0 {
			return quarantined
		}
		for _, s := range candidates {
			t.hold(s, now, len(candidates) > 1)
			quarantined = append(quarantined, s.fingerprint)
		}
		for _, s := range candidates {
			for _, c := range slices.Clone(s.crashes) {
				t.explain(now, c)
			}
		}
	}
}

// mostPoints returns the requests with the most evidence, of those that are to be quarantined.
func (t *Tracker) mostPoints() []*suspect {
	most := quarantinePoints
	var candidates []*suspect
	for _, s := range t.suspects {
		points := s.points()
		switch {
		case s.releaseAt != 0 || points < most:
		case points > most:
			most, candidates = points, []*suspect{s}
		default:
			candidates = append(candidates, s)
		}
	}
	return candidates
}

// hold begins the quarantine of a request.
func (t *Tracker) hold(s *suspect, now time.Duration, ambiguous bool) {
	span := quarantineTime
	if ambiguous {
		s.ambiguousTime = min(max(ambiguousTime, 2*s.ambiguousTime), quarantineTime)
		span = s.ambiguousTime
	}
	s.releaseAt = now + span
	t.markChanged(s)
}

// clear ends the suspicion of a request that servers have answered often enough.
func (t *Tracker) clear(now time.Duration, s *suspect) {
	t.cleared.add(s.fingerprint, now)
	t.dropSuspect(s)
}

// dropSuspect forgets a request.
func (t *Tracker) dropSuspect(s *suspect) {
	delete(t.suspects, s.fingerprint)
	for _, c := range s.crashes {
		c.requests = slices.DeleteFunc(c.requests, func(other *suspect) bool { return other == s })
	}
	t.markChanged(s)
}

// markChanged makes the next call of Changes return the request.
func (t *Tracker) markChanged(s *suspect) { t.changed[s.fingerprint] = struct{}{} }

// forget drops crashes that no longer count, and ends quarantines. A request whose quarantine has ended
// needs one more crash to be quarantined again.
func (t *Tracker) forget(now time.Duration) {
	if now-t.sweptAt < sweepInterval {
		return
	}
	t.sweptAt = now
	t.cleared.forget(now)
	for len(t.crashes) > 0 && now-t.crashes[0].at >= crashMemory && !t.holdsQuarantine(now, t.crashes[0]) {
		t.dropCrash()
	}
	for _, s := range t.suspects {
		if s.releaseAt == 0 || s.quarantined(now) {
			continue
		}
		s.releaseAt = 0
		t.markChanged(s)
		for s.points() >= quarantinePoints {
			t.discount(s, s.crashes[0])
		}
		if s.points() <= 0 {
			t.dropSuspect(s)
		}
	}
}

func (t *Tracker) holdsQuarantine(now time.Duration, c *crash) bool {
	return slices.ContainsFunc(c.requests, func(s *suspect) bool { return s.quarantined(now) })
}

// Permit reports whether a request may be sent to a server now. A suspected request runs at one server at
// a time, so that it crashes no more servers than the evidence needs. From isolatedCrashes on it runs where
// no other such request runs, so that the next crash tells them apart. The end of a run must be reported.
func (t *Tracker) Permit(now time.Duration, r PermitRequest) PermitReply {
	s := t.suspects[r.Request]
	if s == nil || s.free() && !s.quarantined(now) {
		return PermitReply{Granted: true}
	}
	if s.quarantined(now) || s.runsUntil > now || s.count() >= isolatedCrashes && !t.mayIsolate(now, r.ServerID) {
		return PermitReply{}
	}
	s.runsUntil, s.runsAt = now+permitTime, r.ServerID
	return PermitReply{Granted: true}
}

// mayIsolate reports whether a request that must run isolated may run at a server. A permit of the leader's
// predecessor may still be out.
func (t *Tracker) mayIsolate(now time.Duration, serverID string) bool {
	return now-t.startedAt >= permitTime && !t.isolatedRunAt(now, serverID)
}

// isolatedRunAt reports whether a request that must run isolated runs at a server.
func (t *Tracker) isolatedRunAt(now time.Duration, serverID string) bool {
	for _, s := range t.suspects {
		if s.runsAt == serverID && s.runsUntil > now && s.count() >= isolatedCrashes {
			return true
		}
	}
	return false
}

// Changes returns what has changed since the last call.
func (t *Tracker) Changes(now time.Duration) Update {
	t.forget(now)
	b := newUpdateBuilder(now)
	for fingerprint := range t.changed {
		if s := t.suspects[fingerprint]; s != nil {
			b.add(s.entry(now, b))
		} else {
			b.addCleared(fingerprint, now)
		}
	}
	clear(t.changed)
	return b.update
}

// Snapshot returns all that is suspected.
func (t *Tracker) Snapshot(now time.Duration) Update {
	b := newUpdateBuilder(now)
	for _, s := range t.suspects {
		b.add(s.entry(now, b))
	}
	return b.update
}

// Counts returns the number of suspected requests, and how many of them are quarantined.
func (t *Tracker) Counts(now time.Duration) (suspected, quarantined int) {
	for _, s := range t.suspects {
		if s.quarantined(now) {
			quarantined++
		}
	}
	return len(t.suspects), quarantined
}
