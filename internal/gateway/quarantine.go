package gateway

import (
	"slices"
	"strconv"
	"sync"

	"github.com/galenalug/galenalug/quarantine"
)

// maxPendingCrashes is the number of crashes that wait to be reported while there is no leader.
const maxPendingCrashes = 64

// crashEvidence is the gateway's part in finding requests that crash backend servers.
type crashEvidence struct {
	wake chan struct{} // signals that there is something to report

	mu       sync.Mutex // guards the fields below; no other lock is acquired while it is held
	table    *quarantine.Table
	crashes  []quarantine.Crash  // not reported yet
	answered map[string]struct{} // not reported yet
	ended    map[string]struct{} // permitted runs that have ended otherwise; not reported yet
}

func newCrashEvidence() *crashEvidence {
	return &crashEvidence{wake: make(chan struct{}, 1), table: quarantine.NewTable(), answered: map[string]struct{}{}, ended: map[string]struct{}{}}
}

// empty reports whether no request is suspected.
func (e *crashEvidence) empty() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table.Empty()
}

// state returns what is known of a request.
func (e *crashEvidence) state(fingerprint string) quarantine.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table.State(clockNow(), fingerprint)
}

// apply applies an update from the leader.
func (e *crashEvidence) apply(u quarantine.Update) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.table.Apply(clockNow(), u)
}

// reportCrash queues the report of a crash.
func (e *crashEvidence) reportCrash(c quarantine.Crash) {
	e.mu.Lock()
	e.crashes = append(e.crashes, c)
	if len(e.crashes) > maxPendingCrashes {
		e.crashes = slices.Delete(e.crashes, 0, 1)
	}
	e.mu.Unlock()
	signal(e.wake)
}

// reportAnswered queues the report that a server has answered a suspected request.
func (e *crashEvidence) reportAnswered(fingerprint string) {
	e.mu.Lock()
	known := e.table.State(clockNow(), fingerprint).Crashes > 0
	if known {
		e.answered[fingerprint] = struct{}{}
	}
	e.mu.Unlock()
	if known {
		signal(e.wake)
	}
}

// reportEnded queues the report that a permitted run has ended.
func (e *crashEvidence) reportEnded(fingerprint string) {
	e.mu.Lock()
	e.ended[fingerprint] = struct{}{}
	e.mu.Unlock()
	signal(e.wake)
}

// takeReport returns what is not reported yet, and whether there is anything.
func (e *crashEvidence) takeReport() (report quarantine.Report, any bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	report.Crashes, e.crashes = e.crashes, nil
	for fingerprint := range e.answered {
		report.Answered = append(report.Answered, fingerprint)
	}
	for fingerprint := range e.ended {
		report.Ended = append(report.Ended, fingerprint)
	}
	e.answered, e.ended = map[string]struct{}{}, map[string]struct{}{}
	return report, len(report.Crashes)+len(report.Answered)+len(report.Ended) > 0
}

// known returns the quarantined requests.
func (e *crashEvidence) known() []quarantine.Entry {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table.Quarantined(clockNow())
}

// fingerprint returns the fingerprint of the request, or an empty text if its body is streamed, so that a
// part of it is not known.
func (c *call) fingerprint() string {
	if c.stream != nil {
		return ""
	}
	c.fingerprintOnce.Do(func() {
		key := strconv.FormatInt(c.info.Key, 10)
		c.fingerprintValue = quarantine.Fingerprint(
			[]byte(c.request.Method), []byte(c.request.Host), []byte(c.request.RequestURI), []byte(key), []byte(c.info.Caller), c.body)
	})
	return c.fingerprintValue
}

// suspicion returns what is known of the request. It computes no fingerprint while nothing is suspected.
func (c *call) suspicion() quarantine.State {
	if c.stream != nil || c.host.evidence.empty() {
		return quarantine.State{}
	}
	return c.host.evidence.state(c.fingerprint())
}

// refuseQuarantined refuses the request if it is quarantined.
func (c *call) refuseQuarantined() (refused bool) {
	c.quarantinedFor = c.suspicion().Quarantined
	if c.quarantinedFor == 0 {
		return false
	}
	c.refuse(reasonQuarantined)
	return true
}

// recordAnswer clears the request of suspicion: a server has run it and goes on.
func (c *call) recordAnswer() {
	if c.stream == nil && !c.host.evidence.empty() {
		c.host.evidence.reportAnswered(c.fingerprint())
	}
}
