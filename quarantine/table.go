package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// State is what a gateway knows of a request.
type State struct {
	Crashes     int           // crashes that count against it; 0 if it is not suspected
	Free        bool          // it needs no permit although it is suspected
	Quarantined time.Duration // how much longer the request may not be sent; 0 if it may
}

// table is a gateway's copy of what leaders know, and the crashes that the gateway has seen itself.
type table struct {
	entries map[string]tableEntry // by fingerprint
	cleared clearings
}

type tableEntry struct {
	crashes   int
	answers   int64
	free      bool
	learnedAt time.Duration
	releaseAt time.Duration // 0 if the request is not quarantined
	seen      []seenCrash
}

// seenCrash is a crash that counts against a request.
type seenCrash struct {
	server incarnation
	at     time.Duration
}

func newTable() *table { return &table{entries: map[string]tableEntry{}, cleared: clearings{}} }

// apply applies an update from a leader. What another leader has said before stays until it ends or is
// taken back.
func (t *table) apply(now time.Duration, u Update) {
	t.forget(now)
	for _, e := range u.Entries {
		if e.Crashes <= 0 {
			delete(t.entries, e.Request)
			t.cleared.add(e.Request, now-age(e.ClearedMillis))
			continue
		}
		if !t.hasRoomFor(e.Request) {
			continue
		}
		entry := tableEntry{crashes: int(e.Crashes), answers: e.Answers, free: e.Free, learnedAt: now}
		for _, c := range u.entryCrashes(e) {
			entry.seen = append(entry.seen, seenCrash{c.incarnation(), c.at(now)})
		}
		if e.QuarantineMillis > 0 {
			entry.releaseAt = now + min(time.Duration(e.QuarantineMillis)*time.Millisecond, quarantineTime)
		}
		t.entries[e.Request] = entry
	}
}

func (t *table) hasRoomFor(fingerprint string) bool {
	_, known := t.entries[fingerprint]
	return known || len(t.entries) < maxRequests
}

// observe records a crash that the gateway has seen, until a leader's next word on its requests.
func (t *table) observe(now time.Duration, c Crash) {
	for _, fingerprint := range c.Requests {
		if !t.hasRoomFor(fingerprint) {
			continue
		}
		t.entries[fingerprint] = t.entries[fingerprint].withCrash(now, c.incarnation())
	}
}

// withCrash returns the entry with a crash that was seen now.
func (e tableEntry) withCrash(now time.Duration, server incarnation) tableEntry {
	if len(e.seen) == 0 || now-e.seen[len(e.seen)-1].at >= crashSpacing {
		e.crashes++
	}
	e.free, e.learnedAt = false, now
	e.seen = append(slices.Clone(e.seen), seenCrash{server, now})
	return e
}

// forget drops what no longer counts.
func (t *table) forget(now time.Duration) {
	t.cleared.forget(now)
	for fingerprint, e := range t.entries {
		if now-e.learnedAt >= crashMemory && now >= e.releaseAt {
			delete(t.entries, fingerprint)
		}
	}
}

// state returns what is known of a request.
func (t *table) state(now time.Duration, fingerprint string) State {
	e := t.entries[fingerprint]
	return State{Crashes: e.crashes, Free: e.free, Quarantined: max(0, e.releaseAt-now)}
}

// maxKnown is the number of suspected requests that a new leader is told, so that the report takes little of a
// slow link.
const maxKnown = 256

// known returns what the table has, for a new leader. If it is much, it has the requests with most crashes.
func (t *table) known(now time.Duration) *Update {
	t.forget(now)
	fingerprints := slices.SortedFunc(maps.Keys(t.entries), func(a, b string) int {
		return cmp.Or(t.entries[b].crashes-t.entries[a].crashes, cmp.Compare(a, b))
	})
	b := newUpdateBuilder(now)
	for _, fingerprint := range fingerprints[:min(len(fingerprints), maxKnown)] {
		e := t.entries[fingerprint]
		entry := Entry{Request: fingerprint, Crashes: int64(e.crashes), Answers: e.answers}
		if e.releaseAt > now {
			entry.QuarantineMillis = (e.releaseAt - now).Milliseconds()
		}
		for _, c := range e.seen {
			entry.CrashIndexes = append(entry.CrashIndexes, b.crashIndex(c.server, c.at))
		}
		b.add(entry)
	}
	for fingerprint, at := range t.cleared {
		b.addCleared(fingerprint, at)
	}
	return &b.update
}
