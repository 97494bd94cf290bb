package quarantine

import (
	"slices"
	"time"
)

const (
	// quarantineCrashes is the number of crashes without an answer at which a request is quarantined.
	quarantineCrashes = 3
	// quarantineTime is how long a request is quarantined that alone explains its crashes.
	quarantineTime = 10 * time.Minute
	// ambiguousTime is how long a request is quarantined at first if another one has as many crashes. It
	// doubles each time.
	ambiguousTime = 30 * time.Second
	// crashSpacing is the time within which several crashes count as one for a request: servers that end at
	// the same moment have a common cause, and a popular request is at many of them.
	crashSpacing = 250 * time.Millisecond
	// crashMemory is how long a crash counts.
	crashMemory = 5 * time.Minute
	// permitTime is how long a permitted run counts as under way if its end is not reported.
	permitTime = 2 * time.Second
	// isolatedCrashes is the number of crashes from which on a request shares a server with no other
	// request that has as many.
	isolatedCrashes = 2
	// sweepInterval is the time between two searches for what may be forgotten.
	sweepInterval = 100 * time.Millisecond
	// maxRequests is the number of requests that are remembered.
	maxRequests = 4096
	// maxCrashes is the number of crashes that are remembered.
	maxCrashes = 256
	// maxRequestsPerCrash is the number of requests that are remembered of one crash.
	maxRequestsPerCrash = 256
)

// incarnation identifies a backend server's process.
type incarnation struct {
	id          string
	startMillis int64
}

// crash is what is known of the end of one process.
type crash struct {
	server   incarnation
	at       time.Duration
	requests []*suspect
}

// suspect is a request that was at a server when it crashed.
type suspect struct {
	fingerprint   string
	crashes       []*crash      // that count for it, oldest first
	releaseAt     time.Duration // end of the quarantine; 0 if it is not quarantined
	ambiguousTime time.Duration // of the latest short quarantine; 0 if there was none
	runsUntil     time.Duration // end of the permit for a run
	runsAt        string        // ID of the server that the permit is for
}

// count returns the number of crashes that count for the request.
func (s *suspect) count() int {
	count := 0
	var last time.Duration
	for _, c := range s.crashes {
		if count == 0 || c.at-last >= crashSpacing {
			count, last = count+1, c.at
		}
	}
	return count
}

func (s *suspect) quarantined(now time.Duration) bool { return s.releaseAt > now }

// Tracker is the leader's record of crashes. It is not safe for concurrent use. Use NewTracker.
type Tracker struct {
	crashes  []*crash // oldest first
	suspects map[string]*suspect
	changed  map[string]struct{} // requests that changed or were cleared since the last call of Changes
	sweptAt  time.Duration
}

// NewTracker returns a Tracker that knows of no crash.
func NewTracker() *Tracker {
	return &Tracker{suspects: map[string]*suspect{}, changed: map[string]struct{}{}}
}

// Observe records a gateway's report, and returns the requests that it has quarantined.
func (t *Tracker) Observe(now time.Duration, r Report) (quarantined []string) {
	t.forget(now)
	for _, entry := range r.Known {
		t.restore(now, entry)
	}
	for _, c := range r.Crashes {
		quarantined = append(quarantined, t.observeCrash(now, c)...)
	}
	for _, fingerprint := range r.Answered {
		t.dropSuspect(fingerprint)
	}
	for _, fingerprint := range r.Ended {
		if s := t.suspects[fingerprint]; s != nil {
			s.runsUntil = 0
		}
	}
	return quarantined
}

// restore takes over the quarantine of an earlier leader.
func (t *Tracker) restore(now time.Duration, e Entry) {
	if e.QuarantineMillis <= 0 || !validFingerprint(e.Request) {
		return
	}
	s := t.suspect(e.Request, nil)
	if s == nil {
		return
	}
	left := min(time.Duration(e.QuarantineMillis)*time.Millisecond, quarantineTime)
	s.releaseAt = max(s.releaseAt, now+left)
	t.markChanged(s)
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
	c := t.crash(now, incarnation{reported.ServerID, reported.StartMillis})
	for _, fingerprint := range reported.Requests {
		if !validFingerprint(fingerprint) || len(c.requests) >= maxRequestsPerCrash {
			continue
		}
		if s := t.suspect(fingerprint, c); s != nil && !slices.Contains(c.requests, s) {
			c.requests = append(c.requests, s)
			s.crashes = append(s.crashes, c)
			s.runsUntil = 0
			t.markChanged(s)
		}
	}
	t.explain(now, c)
	return t.quarantine(now)
}

// crash returns the record of a server's crash, which several gateways may report.
func (t *Tracker) crash(now time.Duration, server incarnation) *crash {
	for _, c := range t.crashes {
		if c.server == server {
			return c
		}
	}
	c := &crash{server: server, at: now}
	t.crashes = append(t.crashes, c)
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
	if len(s.crashes) == 0 && s.releaseAt == 0 {
		t.dropSuspect(s.fingerprint)
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

// quarantine quarantines the requests with enough crashes. It starts with those that have most, as their
// crashes don't count for others then.
func (t *Tracker) quarantine(now time.Duration) (quarantined []string) {
	for {
		candidates := t.mostCrashes()
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

// mostCrashes returns the requests with the highest number of crashes, of those that are to be quarantined.
func (t *Tracker) mostCrashes() []*suspect {
	most := quarantineCrashes
	var candidates []*suspect
	for _, s := range t.suspects {
		count := s.count()
		switch {
		case s.releaseAt != 0 || count < most:
		case count > most:
			most, candidates = count, []*suspect{s}
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

// dropSuspect forgets a request: a server has answered it, or nothing is held against it any more.
func (t *Tracker) dropSuspect(fingerprint string) {
	s := t.suspects[fingerprint]
	if s == nil {
		return
	}
	delete(t.suspects, fingerprint)
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
	for len(t.crashes) > 0 && now-t.crashes[0].at >= crashMemory && !t.holdsQuarantine(now, t.crashes[0]) {
		t.dropCrash()
	}
	for _, s := range t.suspects {
		if s.releaseAt == 0 || s.quarantined(now) {
			continue
		}
		s.releaseAt = 0
		t.markChanged(s)
		for s.count() >= quarantineCrashes {
			t.discount(s, s.crashes[0])
		}
		if len(s.crashes) == 0 {
			t.dropSuspect(s.fingerprint)
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
	if s == nil {
		return PermitReply{Granted: true}
	}
	if s.quarantined(now) || s.runsUntil > now || s.count() >= isolatedCrashes && t.isolatedRunAt(now, r.ServerID) {
		return PermitReply{}
	}
	s.runsUntil, s.runsAt = now+permitTime, r.ServerID
	return PermitReply{Granted: true}
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
	var u Update
	for fingerprint := range t.changed {
		entry := Entry{Request: fingerprint}
		if s := t.suspects[fingerprint]; s != nil {
			entry = s.entry(now)
		}
		u.Entries = append(u.Entries, entry)
	}
	clear(t.changed)
	return u
}

// Snapshot returns all that is known.
func (t *Tracker) Snapshot(now time.Duration) Update {
	var u Update
	for _, s := range t.suspects {
		u.Entries = append(u.Entries, s.entry(now))
	}
	return u
}

func (s *suspect) entry(now time.Duration) Entry {
	e := Entry{Request: s.fingerprint, Crashes: int64(max(1, s.count()))}
	if s.quarantined(now) {
		e.QuarantineMillis = (s.releaseAt - now).Milliseconds() + 1
	}
	return e
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
