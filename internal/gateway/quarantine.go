package gateway

import (
	"slices"
	"strconv"
	"sync"

	"github.com/galenalug/galenalug/quarantine"
)

// maxPendingCrashes is the number of crashes that wait to be reported while there is no leader.
const maxPendingCrashes = 64

// quarantined is the gateway's part in finding requests that crash backend servers.
type quarantined struct {
	wake chan struct{} // signals that there is something to report

	mu       sync.Mutex // guards the fields below; no other lock is acquired while it is held
	table    *quarantine.Table
	crashes  []quarantine.Crash  // not reported yet
	answered map[string]struct{} // not reported yet
	ended    map[string]struct{} // permitted runs that have ended otherwise; not reported yet
}

func newQuarantined() *quarantined {
	return &quarantined{wake: make(chan struct{}, 1), table: quarantine.NewTable(), answered: map[string]struct{}{}, ended: map[string]struct{}{}}
}

// empty reports whether no request is suspected.
func (q *quarantined) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Empty()
}

// state returns what is known of a request.
func (q *quarantined) state(fingerprint string) quarantine.State {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.State(clockNow(), fingerprint)
}

// apply applies an update from the leader.
func (q *quarantined) apply(u quarantine.Update) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.Apply(clockNow(), u)
}

// reportCrash queues the report of a crash.
func (q *quarantined) reportCrash(c quarantine.Crash) {
	q.mu.Lock()
	q.crashes = append(q.crashes, c)
	if len(q.crashes) > maxPendingCrashes {
		q.crashes = slices.Delete(q.crashes, 0, 1)
	}
	q.mu.Unlock()
	signal(q.wake)
}

// reportAnswered queues the report that a server has answered a suspected request.
func (q *quarantined) reportAnswered(fingerprint string) {
	q.mu.Lock()
	known := q.table.State(clockNow(), fingerprint).Crashes > 0
	if known {
		q.answered[fingerprint] = struct{}{}
	}
	q.mu.Unlock()
	if known {
		signal(q.wake)
	}
}

// reportEnded queues the report that a permitted run has ended.
func (q *quarantined) reportEnded(fingerprint string) {
	q.mu.Lock()
	q.ended[fingerprint] = struct{}{}
	q.mu.Unlock()
	signal(q.wake)
}

// takeReport returns what is not reported yet, and whether there is anything.
func (q *quarantined) takeReport() (report quarantine.Report, any bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	report.Crashes, q.crashes = q.crashes, nil
	for fingerprint := range q.answered {
		report.Answered = append(report.Answered, fingerprint)
	}
	for fingerprint := range q.ended {
		report.Ended = append(report.Ended, fingerprint)
	}
	q.answered, q.ended = map[string]struct{}{}, map[string]struct{}{}
	return report, len(report.Crashes)+len(report.Answered)+len(report.Ended) > 0
}

// known returns the quarantined requests.
func (q *quarantined) known() []quarantine.Entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Quarantined(clockNow())
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
	if c.stream != nil || c.host.quarantined.empty() {
		return quarantine.State{}
	}
	return c.host.quarantined.state(c.fingerprint())
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
	if c.stream == nil && !c.host.quarantined.empty() {
		c.host.quarantined.reportAnswered(c.fingerprint())
	}
}
