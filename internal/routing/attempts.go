package routing

import (
	"time"

	"github.com/galenalug/galenalug/ownership"
)

// attemptMargin is the time by which a server may end a request later than its
// entry host gives up: it counts the deadline from when it read the request.
const attemptMargin = 200 * time.Millisecond

// attempt is one attempt to send a request under a grant. Attempts at owners that
// do not check tokens are kept while they may run.
type attempt struct {
	group  string
	server ownership.Server
	slot   int
	token  uint64
}

// writable reports whether the attempt's grant still stands in this host's table,
// and, for an owner that does not check tokens, whether the table may still be
// trusted. If so, the attempt counts as running until ended.
func (t *Table) writable(a *attempt) bool {
	if a.server.Fencing {
		t.mu.RLock()
		defer t.mu.RUnlock()
		return t.stands(a)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stands(a) || !t.holders[a.group].Valid(t.now()) {
		return false
	}
	t.running[a] = struct{}{}
	return true
}

// stands reports whether a grant is still that of the table. The caller holds mu.
func (t *Table) stands(a *attempt) bool {
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

// ended forgets an attempt. One whose outcome is unknown may run at the server
// until its deadline; the zero time is for one that surely does not run any more.
func (t *Table) ended(a *attempt, until time.Time) {
	if a.server.Fencing {
		return
	}
	if until.IsZero() {
		t.forget(a)
		return
	}
	time.AfterFunc(time.Until(until)+attemptMargin, func() { t.forget(a) })
}

func (t *Table) forget(a *attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, a)
}

// confirm returns a version of a group's table. No attempt runs any more under a
// grant, of an owner that does not check tokens, that was revoked up to it.
func (t *Table) confirm(group string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	for a := range t.running {
		if a.group == group && !t.stands(a) {
			return t.confirmed[group]
		}
	}
	t.confirmed[group] = t.views[group].Version()
	return t.confirmed[group]
}
