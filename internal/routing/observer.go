package routing

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/galenalug/galenalug/internal/entry"
	"github.com/galenalug/galenalug/internal/wire"
)

// Limits of the evidence in one renewal.
const (
	// maxEvidence is the maximum number of servers in one renewal. Servers with failures come first.
	maxEvidence = 32
	// answeredInterval is the time between reports of a server that only answered requests.
	answeredInterval = time.Second
)

// Observer collects evidence on the health of backend servers and the loads of slots and keys, for
// the reports in session renewals. It is safe for concurrent use.
type Observer struct {
	table *Table

	mu       sync.Mutex
	evidence map[sessionKey]*wire.Evidence
	reported map[sessionKey]lastReport
	loads    *slotLoads
	hot      *keyTracker
}

// lastReport describes the last report of a server.
type lastReport struct {
	at           time.Duration
	answeredOnly bool // whether it held no failures or probes
}

func newObserver(table *Table) *Observer {
	return &Observer{
		table:    table,
		evidence: map[sessionKey]*wire.Evidence{},
		reported: map[sessionKey]lastReport{},
		loads:    newSlotLoads(),
		hot:      newKeyTracker(),
	}
}

// Answered records an answered request.
func (o *Observer) Answered(server entry.Server, _ time.Duration) {
	o.update(server, func(e *wire.Evidence) { e.Answered++ })
}

// TimedOut records a request that was not answered within its deadline.
func (o *Observer) TimedOut(server entry.Server) {
	o.update(server, func(e *wire.Evidence) { e.TimedOut++ })
}

// ConnectionFailed records a connection that was refused or broke.
func (o *Observer) ConnectionFailed(server entry.Server) {
	o.update(server, func(e *wire.Evidence) { e.ConnectionErrors++ })
}

// Probed records the result of a probe.
func (o *Observer) Probed(server entry.Server, answered bool) {
	o.update(server, func(e *wire.Evidence) {
		if answered {
			e.ProbesAnswered++
		} else {
			e.ProbesFailed++
		}
	})
}

// Routed records one request for a key.
func (o *Observer) Routed(service string, slot int, key string) {
	group, _, err := o.table.Home(service, key)
	if err != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.loads.add(group, service, slot)
	o.hot.observe(group, service, key)
}

func (o *Observer) update(server entry.Server, add func(*wire.Evidence)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	key := sessionKey{server.Group, server.Session}
	evidence := o.evidence[key]
	if evidence == nil {
		evidence = &wire.Evidence{Session: server.Session}
		o.evidence[key] = evidence
	}
	add(evidence)
}

// takeKeys returns the hottest keys whose home is the group, at most once per keyReportInterval.
func (o *Observer) takeKeys(now time.Duration, group string) []wire.KeyLoad {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.hot.take(now, group)
}

// take returns the evidence and the loads to report for a group, and resets them.
func (o *Observer) take(now time.Duration, group string) ([]wire.Evidence, []wire.ServiceLoads) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.takeEvidence(now, group), o.loads.take(group)
}

// takeEvidence returns the evidence that is due. Failures, probes and the first responses after them are
// due at once, further responses once per answeredInterval. Evidence beyond maxEvidence servers is kept
// for later renewals. The caller holds mu.
func (o *Observer) takeEvidence(now time.Duration, group string) []wire.Evidence {
	var due []*wire.Evidence
	for key, seen := range o.evidence {
		last := o.reported[key]
		waits := answeredOnly(seen) && last.answeredOnly && now-last.at < answeredInterval
		if key.group == group && !waits {
			due = append(due, seen)
		}
	}
	slices.SortFunc(due, func(a, b *wire.Evidence) int {
		lastA, lastB := o.reported[sessionKey{group, a.Session}].at, o.reported[sessionKey{group, b.Session}].at
		return cmp.Or(cmp.Compare(reportOrder(a), reportOrder(b)), cmp.Compare(lastA, lastB), cmp.Compare(a.Session, b.Session))
	})
	var evidence []wire.Evidence
	for _, seen := range due[:min(len(due), maxEvidence)] {
		key := sessionKey{group, seen.Session}
		evidence = append(evidence, *seen)
		o.reported[key] = lastReport{at: now, answeredOnly: answeredOnly(seen)}
		delete(o.evidence, key)
	}
	o.expireReports(now, group)
	return evidence
}

// expireReports removes the last reports that no longer delay a new one. The caller holds mu.
func (o *Observer) expireReports(now time.Duration, group string) {
	for key, last := range o.reported {
		if key.group == group && now-last.at > 2*answeredInterval {
			delete(o.reported, key)
		}
	}
}

// answeredOnly reports whether the evidence has no failures and no probes.
func answeredOnly(e *wire.Evidence) bool {
	return e.TimedOut+e.ConnectionErrors+e.ProbesFailed+e.ProbesAnswered == 0
}

// reportOrder is a sort key that puts servers with failures or probes first.
func reportOrder(e *wire.Evidence) int {
	if answeredOnly(e) {
		return 1
	}
	return 0
}
