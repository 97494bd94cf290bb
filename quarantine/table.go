package quarantine

import "time"

// State is what a gateway knows of a request.
type State struct {
	Crashes     int           // servers that crashed while they had the request; 0 if it is not suspected
	Quarantined time.Duration // how much longer the request may not be sent; 0 if it may
}

// Table is a gateway's copy of what the leader knows. It is not safe for concurrent use. Use NewTable.
type Table struct {
	entries map[string]tableEntry // by fingerprint
}

type tableEntry struct {
	crashes   int
	learnedAt time.Duration
	releaseAt time.Duration // 0 if the request is not quarantined
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[string]tableEntry{}} }

// Empty reports whether no request is suspected, so that no fingerprints are needed.
func (t *Table) Empty() bool { return len(t.entries) == 0 }

// Apply applies an update from a leader. What another leader has said before stays until it ends or is
// taken back.
func (t *Table) Apply(now time.Duration, u Update) {
	t.forget(now)
	for _, e := range u.Entries {
		if e.Crashes <= 0 {
			delete(t.entries, e.Request)
			continue
		}
		if _, known := t.entries[e.Request]; !known && len(t.entries) >= maxRequests {
			continue
		}
		entry := tableEntry{crashes: int(e.Crashes), learnedAt: now}
		if e.QuarantineMillis > 0 {
			entry.releaseAt = now + min(time.Duration(e.QuarantineMillis)*time.Millisecond, quarantineTime)
		}
		t.entries[e.Request] = entry
	}
}

// forget drops entries that no longer count.
func (t *Table) forget(now time.Duration) {
	for fingerprint, e := range t.entries {
		if now-e.learnedAt >= crashMemory && now >= e.releaseAt {
			delete(t.entries, fingerprint)
		}
	}
}

// State returns what is known of a request.
func (t *Table) State(now time.Duration, fingerprint string) State {
	e := t.entries[fingerprint]
	return State{Crashes: e.crashes, Quarantined: max(0, e.releaseAt-now)}
}

// Quarantined returns the quarantined requests.
func (t *Table) Quarantined(now time.Duration) []Entry {
	var entries []Entry
	for fingerprint, e := range t.entries {
		if e.releaseAt > now {
			entries = append(entries, Entry{
				Request: fingerprint, Crashes: int64(e.crashes), QuarantineMillis: (e.releaseAt - now).Milliseconds(),
			})
		}
	}
	return entries
}
