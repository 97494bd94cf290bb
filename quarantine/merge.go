package quarantine

import "time"

// merge takes over what a gateway has seen and heard under earlier leaders. It returns the requests that are
// quarantined with the evidence of all gateways together.
func (t *Tracker) merge(now time.Duration, known *Update) (quarantined []string) {
	for _, e := range known.Entries {
		if e.Crashes <= 0 && validFingerprint(e.Request) {
			t.mergeCleared(now, e)
		}
	}
	for _, e := range known.Entries {
		if e.Crashes > 0 && validFingerprint(e.Request) {
			t.mergeSuspect(now, known, e)
		}
	}
	for _, c := range t.crashes {
		t.explain(now, c)
	}
	return t.quarantine(now)
}

// mergeCleared drops the crashes of a request from before it was cleared.
func (t *Tracker) mergeCleared(now time.Duration, e Entry) {
	t.cleared.add(e.Request, now-age(e.ClearedMillis))
	s := t.suspects[e.Request]
	if s == nil || s.releaseAt != 0 {
		return
	}
	for len(s.crashes) > 0 && t.cleared.covers(s.fingerprint, s.crashes[0].at) {
		s.answers = 0 // these outweighed the crashes that are dropped
		t.discount(s, s.crashes[0])
	}
}

// mergeSuspect adds the crashes and the quarantine of a request.
func (t *Tracker) mergeSuspect(now time.Duration, known *Update, e Entry) {
	for _, reported := range known.entryCrashes(e) {
		t.suspectOf(t.crash(reported.at(now), reported.incarnation()), e.Request)
	}
	s := t.suspects[e.Request]
	if e.QuarantineMillis > 0 {
		s = t.suspect(e.Request, nil)
	}
	if s == nil {
		return
	}
	if e.QuarantineMillis > 0 {
		left := min(time.Duration(e.QuarantineMillis)*time.Millisecond, quarantineTime)
		s.releaseAt = max(s.releaseAt, now+left)
	}
	s.answers = max(s.answers, min(int(e.Answers), crashPoints*len(s.crashes)-1))
	t.markChanged(s)
}
