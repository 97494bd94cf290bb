package gateway

import (
	"strconv"
	"sync"

	"github.com/galenalug/galenalug/quarantine"
)

// crashEvidence is the gateway's part in finding requests that crash backend servers.
type crashEvidence struct {
	wake chan struct{} // signals that there is something to report

	mu    sync.Mutex // guards known; no other lock is acquired while it is held
	known *quarantine.Gateway
}

func newCrashEvidence() *crashEvidence {
	return &crashEvidence{wake: make(chan struct{}, 1), known: quarantine.NewGateway()}
}

// empty reports whether no request is suspected.
func (e *crashEvidence) empty() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known.Empty()
}

// state returns what is known of a request.
func (e *crashEvidence) state(fingerprint string) quarantine.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known.State(clockNow(), fingerprint)
}

// apply applies an update from the leader.
func (e *crashEvidence) apply(u quarantine.Update) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.known.Apply(clockNow(), u)
}

// reportCrash queues the report of a crash.
func (e *crashEvidence) reportCrash(c quarantine.Crash) {
	e.mu.Lock()
	e.known.ObserveCrash(clockNow(), c)
	e.mu.Unlock()
	signal(e.wake)
}

// reportAnswered queues the report that a server has answered a request, if it is suspected.
func (e *crashEvidence) reportAnswered(fingerprint string) {
	e.mu.Lock()
	suspected := e.known.ObserveAnswer(fingerprint)
	e.mu.Unlock()
	if suspected {
		signal(e.wake)
	}
}

// reportEnded queues the report that a permitted run has ended.
func (e *crashEvidence) reportEnded(fingerprint string) {
	e.mu.Lock()
	e.known.ObserveEnd(fingerprint)
	e.mu.Unlock()
	signal(e.wake)
}

// permitAlone reports whether a suspected request may be sent while no leader can be asked.
func (e *crashEvidence) permitAlone(fingerprint string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known.PermitAlone(clockNow(), fingerprint)
}

// takeReport returns what is not reported yet, and whether there is anything.
func (e *crashEvidence) takeReport() (report quarantine.Report, any bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known.TakeReport(clockNow())
}

// firstReport returns the first report to a new leader.
func (e *crashEvidence) firstReport() quarantine.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known.FirstReport(clockNow())
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
