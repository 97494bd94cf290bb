package quarantine

import (
	"slices"
	"time"
)

// The evidence against a request is a cumulative sum (E. S. Page, "Continuous Inspection Schemes", Biometrika
// 1954): each crash adds crashPoints, each answer takes one point away, and at zero the request is cleared. A
// request that crashes more than one in crashPoints+1 of its servers gathers points, others lose them.
const (
	crashPoints      = 4
	quarantinePoints = 3 * crashPoints
)

const (
	// crashSpacing is the time within which several crashes count as one for a request: servers that end at
	// the same moment have a common cause, and a popular request is at many of them.
	crashSpacing = 250 * time.Millisecond
	// isolatedCrashes is the number of crashes from which on a request shares a server with no other
	// request that has as many.
	isolatedCrashes = 2
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
	answers       int           // of servers, since the first of its crashes
	answeredAt    time.Duration // latest answer; 0 for none
	releaseAt     time.Duration // end of the quarantine; 0 if it is not quarantined
	ambiguousTime time.Duration // of the latest short quarantine; 0 if there was none
	runsUntil     time.Duration // end of the permit for a run
	runsAt        string        // ID of the server that the permit is for
}

// addCrash makes a crash count for the request.
func (s *suspect) addCrash(c *crash) {
	s.crashes = append(s.crashes, c)
	slices.SortStableFunc(s.crashes, func(a, b *crash) int { return int(a.at - b.at) })
	s.runsUntil = 0
}

// points returns the evidence against the request.
func (s *suspect) points() int { return crashPoints*s.spacedCrashes() - s.answers }

// spacedCrashes returns the number of crashes at different times.
func (s *suspect) spacedCrashes() int {
	spaced := 0
	var last time.Duration
	for _, c := range s.crashes {
		if spaced == 0 || c.at-last >= crashSpacing {
			spaced, last = spaced+1, c.at
		}
	}
	return spaced
}

// count returns the number of crashes that the answers don't outweigh.
func (s *suspect) count() int { return (max(0, s.points()) + crashPoints - 1) / crashPoints }

func (s *suspect) quarantined(now time.Duration) bool { return s.releaseAt > now }

// free reports whether the request needs no permit: a server has answered it since its only crash.
func (s *suspect) free() bool {
	return s.spacedCrashes() == 1 && s.answeredAt > s.crashes[len(s.crashes)-1].at
}

// entry describes the request to gateways and later leaders.
func (s *suspect) entry(now time.Duration, b *updateBuilder) Entry {
	e := Entry{Request: s.fingerprint, Crashes: int64(max(1, s.count())), Answers: int64(s.answers), Free: s.free()}
	if s.quarantined(now) {
		e.QuarantineMillis = (s.releaseAt - now).Milliseconds() + 1
	}
	for _, c := range s.crashes {
		e.CrashIndexes = append(e.CrashIndexes, b.crashIndex(c.server, c.at))
	}
	return e
}

// updateBuilder collects entries and the crashes that they name.
type updateBuilder struct {
	now       time.Duration
	update    Update
	positions map[incarnation]int // in update.Crashes
}

func newUpdateBuilder(now time.Duration) *updateBuilder {
	return &updateBuilder{now: now, positions: map[incarnation]int{}}
}

// crashIndex returns the position of a crash in the update, and adds it if it is new.
func (b *updateBuilder) crashIndex(server incarnation, at time.Duration) int {
	position, known := b.positions[server]
	if !known {
		position = len(b.update.Crashes)
		b.positions[server] = position
		b.update.Crashes = append(b.update.Crashes, Crash{
			ServerID: server.id, StartMillis: server.startMillis, AgeMillis: (b.now - at).Milliseconds(),
		})
	}
	return position
}

// add adds an entry.
func (b *updateBuilder) add(e Entry) { b.update.Entries = append(b.update.Entries, e) }

// addCleared adds the entry of a request that is no longer suspected.
func (b *updateBuilder) addCleared(fingerprint string, at time.Duration) {
	b.add(Entry{Request: fingerprint, ClearedMillis: (b.now - at).Milliseconds()})
}

// entryCrashes returns the crashes that an entry of the update names. Positions outside of the update are
// passed over.
func (u *Update) entryCrashes(e Entry) []Crash {
	var crashes []Crash
	for _, position := range e.CrashIndexes {
		if position >= 0 && position < len(u.Crashes) {
			crashes = append(crashes, u.Crashes[position])
		}
	}
	return crashes
}

// incarnation returns the process that ended.
func (c Crash) incarnation() incarnation { return incarnation{c.ServerID, c.StartMillis} }

// at returns when the crash happened, given when the message arrived.
func (c Crash) at(now time.Duration) time.Duration { return now - age(c.AgeMillis) }

// age returns a time span of a message, within what is remembered at all.
func age(millis int64) time.Duration {
	limit := crashMemory.Milliseconds()
	return time.Duration(min(max(0, millis), limit)) * time.Millisecond
}

const (
	// clearingMemory is how long it is remembered that a request was cleared: longer than gateways mostly take
	// to reach a new leader.
	clearingMemory = 10 * time.Second
	// maxClearings is the number of cleared requests that are remembered.
	maxClearings = 256
)

// clearings remembers when requests were cleared of suspicion, so that older evidence against them, from
// those who have not heard of it, doesn't count.
type clearings map[string]time.Duration // by fingerprint

// add records that a request was cleared.
func (c clearings) add(fingerprint string, at time.Duration) {
	if len(c) >= maxClearings {
		for other := range c {
			delete(c, other)
			break
		}
	}
	c[fingerprint] = max(at, c[fingerprint])
}

// covers reports whether a request was cleared after the given time.
func (c clearings) covers(fingerprint string, at time.Duration) bool {
	clearedAt, known := c[fingerprint]
	return known && at <= clearedAt
}

// forget drops what is too old.
func (c clearings) forget(now time.Duration) {
	for fingerprint, at := range c {
		if now-at >= clearingMemory {
			delete(c, fingerprint)
		}
	}
}
