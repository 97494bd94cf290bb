package quarantine

import (
	"slices"
	"time"
)

const (
	// maxOwnCrashes is the number of crashes that a gateway keeps to tell the next leader.
	maxOwnCrashes = 64
	// repeatTime is how long a crash is told to the next leader again, since the present one may be gone before
	// it has told the others.
	repeatTime = 5 * time.Second
	// aloneCrashes is the number of crashes from which on a gateway sends a request only by permit of a leader.
	aloneCrashes = quarantinePoints/crashPoints - 1
)

// Gateway is a gateway's part: what it has seen, and what leaders have told it. It is not safe for concurrent
// use. Use NewGateway.
type Gateway struct {
	table    *table
	own      []ownCrash // oldest first
	unsent   int        // the last crashes of own that the leader was not told
	answered map[string]struct{}
	ended    map[string]struct{}      // runs that have ended without an answer or a crash
	alone    map[string]time.Duration // ends of the runs without a leader's permit
}

// ownCrash is a crash that this gateway has seen.
type ownCrash struct {
	Crash
	at time.Duration
}

// NewGateway returns a Gateway that knows of no crash.
func NewGateway() *Gateway {
	return &Gateway{table: newTable(), answered: map[string]struct{}{}, ended: map[string]struct{}{}, alone: map[string]time.Duration{}}
}

// Empty reports whether no request is suspected, so that no fingerprints are needed.
func (g *Gateway) Empty() bool { return len(g.table.entries) == 0 }

// State returns what is known of a request.
func (g *Gateway) State(now time.Duration, fingerprint string) State {
	return g.table.state(now, fingerprint)
}

// Apply applies an update from a leader.
func (g *Gateway) Apply(now time.Duration, u Update) { g.table.apply(now, u) }

// ObserveCrash records the end of a server's process and the requests that it ended here. They are suspected
// at once, and reported with the next report.
func (g *Gateway) ObserveCrash(now time.Duration, c Crash) {
	g.table.observe(now, c)
	for _, fingerprint := range c.Requests {
		delete(g.alone, fingerprint)
	}
	g.own = append(g.own, ownCrash{c, now})
	g.unsent++
	if len(g.own) > maxOwnCrashes {
		g.own = slices.Delete(g.own, 0, 1)
		g.unsent = min(g.unsent, len(g.own))
	}
}

// ObserveAnswer records a server's answer to a request. It returns false if the request is not suspected, so
// that there is nothing to report.
func (g *Gateway) ObserveAnswer(fingerprint string) bool {
	if _, suspected := g.table.entries[fingerprint]; !suspected {
		return false
	}
	delete(g.alone, fingerprint)
	g.answered[fingerprint] = struct{}{}
	return true
}

// ObserveEnd records that a run of a suspected request has ended without an answer or a crash.
func (g *Gateway) ObserveEnd(fingerprint string) {
	delete(g.alone, fingerprint)
	g.ended[fingerprint] = struct{}{}
}

// PermitAlone reports whether a suspected request may be sent while no leader can be asked: one copy of it at
// a time, and none that another crash would quarantine. The end of the run must be reported.
func (g *Gateway) PermitAlone(now time.Duration, fingerprint string) bool {
	state := g.table.state(now, fingerprint)
	if state.Quarantined > 0 || state.Crashes >= aloneCrashes {
		return false
	}
	if g.alone[fingerprint] > now {
		return false
	}
	for other, until := range g.alone {
		if until <= now {
			delete(g.alone, other)
		}
	}
	g.alone[fingerprint] = now + permitTime
	return true
}

// TakeReport returns what the leader was not told yet, and whether there is anything.
func (g *Gateway) TakeReport(now time.Duration) (report Report, any bool) {
	report.Crashes = g.crashes(now, g.own[len(g.own)-g.unsent:], crashMemory)
	g.unsent = 0
	for fingerprint := range g.answered {
		report.Answered = append(report.Answered, fingerprint)
	}
	for fingerprint := range g.ended {
		report.Ended = append(report.Ended, fingerprint)
	}
	clear(g.answered)
	clear(g.ended)
	return report, len(report.Crashes)+len(report.Answered)+len(report.Ended) > 0
}

// FirstReport returns the first report to a new leader: all that this gateway has seen and heard, as earlier
// leaders may have taken it with them. The leader counts nothing twice.
func (g *Gateway) FirstReport(now time.Duration) Report {
	repeated := g.own[:len(g.own)-g.unsent]
	unsent := g.own[len(g.own)-g.unsent:]
	g.unsent = 0
	crashes := append(g.crashes(now, repeated, repeatTime), g.crashes(now, unsent, crashMemory)...)
	return Report{Known: g.table.known(now), Crashes: crashes}
}

// crashes returns crashes that are younger than maxAge as they are reported.
func (g *Gateway) crashes(now time.Duration, own []ownCrash, maxAge time.Duration) []Crash {
	var crashes []Crash
	for _, c := range own {
		if now-c.at >= maxAge {
			continue
		}
		c.AgeMillis = (now - c.at).Milliseconds()
		crashes = append(crashes, c.Crash)
	}
	return crashes
}
