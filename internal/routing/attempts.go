package routing

import (
	"time"

	"github.com/galenalug/galenalug/ownership"
)

// attemptMargin is added to the deadline of an attempt. A server may finish that much later than its
// entry host gives up, because it counts the deadline from the time at which it read the request.
const attemptMargin = 200 * time.Millisecond

// attempt is one attempt to send a request under a grant. Attempts to owners that do not check
// fencing tokens are tracked for as long as they may run.
type attempt struct {
	group  string
	server ownership.Server
	slot   int
	token  uint64
}

// writable reports whether the attempt's grant is current in this host's table and, for an owner that
// does not check tokens, whether this host's session is still valid. If so, an attempt to such an
// owner counts as running until endAttempt. writable may be called again for the same attempt.
func (t *Table) writable(a *attempt) bool {
	if a.server.Fencing {
		t.mu.RLock()
		defer t.mu.RUnlock()
		return t.isCurrent(a)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isCurrent(a) || !t.leases[a.group].Valid(t.now()) {
		return false
	}
	t.running[a] = struct{}{}
	return true
}

// isCurrent reports whether the attempt's grant is still in force in the table and its server is not
// suspended. The caller holds mu.
func (t *Table) isCurrent(a *attempt) bool {
	state := t.views[a.group].State()
	service := state.Service(a.server.Service)
	if service == nil {
		return false
	}
	slot := service.Slots[a.slot]
	if slot.Status != ownership.Owned || slot.Token != a.token {
		return false
	}
	server, ok := state.Server(a.server.Session)
	return ok && !server.Suspended
}

// endAttempt stops tracking an attempt. If its outcome is unknown, it may run at the server until the
// given time and is tracked for that long. The zero time means that it has certainly finished.
func (t *Table) endAttempt(a *attempt, until time.Time) {
	if a.server.Fencing {
		return
	}
	if until.IsZero() {
		t.removeAttempt(a)
		return
	}
	time.AfterFunc(time.Until(until)+attemptMargin, func() { t.removeAttempt(a) })
}

func (t *Table) removeAttempt(a *attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, a)
}

// confirmVersion returns the version of a group's table up to which revocations are complete at this
// host: no attempt is still running under a grant that was revoked by then. Only grants of owners that
// do not check tokens matter here. While an attempt under a revoked grant runs, the previously
// confirmed version is returned.
func (t *Table) confirmVersion(group string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	for a := range t.running {
		if a.group == group && !t.isCurrent(a) {
			return t.confirmed[group]
		}
	}
	t.confirmed[group] = t.views[group].Version()
	return t.confirmed[group]
}
