package routing

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/galenalug/galenalug/internal/entry"
	"github.com/galenalug/galenalug/internal/wire"
)

// Bounds of what one renewal reports.
const (
	// maxEvidence bounds the servers in one renewal; failures come first.
	maxEvidence = 32
	// answersInterval is the time between reports of a server of which nothing but
	// answers was seen.
	answersInterval = time.Second
)

// Observer collects what this host sees of backend servers, between two renewals.
type Observer struct {
	table *Table

	mu       sync.Mutex
	evidence map[sessionKey]*wire.Evidence
	reported map[sessionKey]lastReport
	loads    *slotLoads
	hot      *keyTracker
}

// lastReport is the last report of a server.
type lastReport struct {
	at      time.Duration
	answers bool // whether it was of answers alone
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

// Answered reports an answer.
func (o *Observer) Answered(server entry.Server, _ time.Duration) {
	o.count(server, func(e *wire.Evidence) { e.Answered++ })
}

// TimedOut reports a request without an answer within its deadline.
func (o *Observer) TimedOut(server entry.Server) {
	o.count(server, func(e *wire.Evidence) { e.TimedOut++ })
}

// ConnectionFailed reports a connection that was refused or broke.
func (o *Observer) ConnectionFailed(server entry.Server) {
	o.count(server, func(e *wire.Evidence) { e.ConnectionErrors++ })
}

// Probed reports whether a server answered a probe.
func (o *Observer) Probed(server entry.Server, answered bool) {
	o.count(server, func(e *wire.Evidence) {
		if answered {
			e.ProbesAnswered++
		} else {
			e.ProbesFailed++
		}
	})
}

// Routed reports one request for a key.
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

func (o *Observer) count(server entry.Server, add func(*wire.Evidence)) {
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

// takeKeys returns the hottest keys whose home a group is, now and then.
func (o *Observer) takeKeys(now time.Duration, group string) []wire.KeyLoad {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.hot.take(now, group)
}

// take returns and forgets what there is to report of a group's servers.
func (o *Observer) take(now time.Duration, group string) ([]wire.Evidence, []wire.ServiceLoads) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.takeEvidence(now, group), o.loads.take(group)
}

// takeEvidence returns servers with news: failures, probes and the first answers
// after them at once, further answers now and then. What does not fit stays for the next renewal. The caller
// holds mu.
func (o *Observer) takeEvidence(now time.Duration, group string) []wire.Evidence {
	var news []*wire.Evidence
	for key, seen := range o.evidence {
		last := o.reported[key]
		waits := onlyAnswers(seen) && last.answers && now-last.at < answersInterval
		if key.group == group && !waits {
			news = append(news, seen)
		}
	}
	slices.SortFunc(news, func(a, b *wire.Evidence) int {
		lastA, lastB := o.reported[sessionKey{group, a.Session}].at, o.reported[sessionKey{group, b.Session}].at
		return cmp.Or(cmp.Compare(order(a), order(b)), cmp.Compare(lastA, lastB), cmp.Compare(a.Session, b.Session))
	})
	var evidence []wire.Evidence
	for _, seen := range news[:min(len(news), maxEvidence)] {
		key := sessionKey{group, seen.Session}
		evidence = append(evidence, *seen)
		o.reported[key] = lastReport{at: now, answers: onlyAnswers(seen)}
		delete(o.evidence, key)
	}
	o.forgetReports(now, group)
	return evidence
}

// forgetReports drops servers that were not heard of for long. The caller holds mu.
func (o *Observer) forgetReports(now time.Duration, group string) {
	for key, last := range o.reported {
		if key.group == group && now-last.at > 2*answersInterval {
			delete(o.reported, key)
		}
	}
}

func onlyAnswers(e *wire.Evidence) bool {
	return e.TimedOut+e.ConnectionErrors+e.ProbesFailed+e.ProbesAnswered == 0
}

// order puts servers with failures first.
func order(e *wire.Evidence) int {
	if onlyAnswers(e) {
		return 1
	}
	return 0
}
