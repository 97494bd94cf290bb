package ownership

import (
	"slices"
	"time"

	"github.com/galenalug/galenalug/lease"
)

// RevocationGracePeriod returns how long after the commit of a revocation an entry host may still
// have a request running at an owner that does not check tokens. It is the lease of the entry
// host's session, during which the host may start a request, plus the longest request deadline,
// both extended by the tolerated clock drift.
func (s Settings) RevocationGracePeriod() time.Duration {
	return lease.WithDrift(s.Lease) + lease.WithDrift(s.MaxDeadline)
}

// endExpiredSessions ends sessions whose lease has expired. A keyed server that does not check
// tokens is suspended first, and its session ended once no entry host can have a request running
// there.
func (c *Coordinator) endExpiredSessions(now time.Duration, state *State) []Command {
	var suspend, end []uint64
	for _, id := range c.tracker.Expired(now) {
		server, ok := state.servers[id]
		switch {
		case !ok:
			continue
		case server.Fencing || !server.Keyed:
			end = append(end, id)
		case !server.Suspended:
			suspend = append(suspend, id)
		case c.waitOver(now, state, waitKey{id, wholeSession}):
			end = append(end, id)
		}
	}
	for _, id := range c.unstartedWaits(state) {
		// The first call only starts the wait.
		c.waitOver(now, state, waitKey{id, wholeSession})
	}
	var commands []Command
	if len(suspend) > 0 {
		commands = append(commands, Command{Suspend: &Sessions{IDs: suspend}})
	}
	if len(end) > 0 {
		commands = append(commands, Command{EndSessions: &Sessions{IDs: end}})
	}
	return commands
}

// unstartedWaits returns the suspended sessions for which this leader has not started a wait. Waits
// are not replicated, so a new leader must start them again. It does so at once, although it still
// counts the leases of these sessions as live.
func (c *Coordinator) unstartedWaits(state *State) []uint64 {
	var ids []uint64
	for id, server := range state.servers {
		if _, started := c.waits[waitKey{id, wholeSession}]; server.Suspended && !started {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// waitOver reports whether all requests under a revoked grant or session have finished. The first
// call for a key starts the wait and raises minHostVersion: from then on, only entry hosts that
// have applied the revocation are renewed.
func (c *Coordinator) waitOver(now time.Duration, state *State, key waitKey) bool {
	version, ok := c.waits[key]
	if !ok {
		c.waits[key] = state.Version()
		c.minHostVersion = state.Version()
		return false
	}
	return c.requestsFinished(now, version)
}

// requestsFinished reports whether no entry host can still have a request running under a grant
// that was revoked at or before a table version. Either the host has confirmed this, or its lease
// and the longest request deadline have passed. Entry hosts renewed by an earlier leader are not
// known to this one, so the grace period must pass before the result can be true.
func (c *Coordinator) requestsFinished(now time.Duration, version uint64) bool {
	if now < c.unknownHostsUntil {
		return false
	}
	finished := true
	for name, host := range c.entryHosts {
		switch {
		case now >= host.expires+lease.WithDrift(c.settings.MaxDeadline):
			delete(c.entryHosts, name)
		case host.confirmed < version:
			finished = false
		}
	}
	return finished
}

// finishReleases vacates the Releasing slots of owners that do not check tokens, once their
// requests have finished. Owners that check tokens release slots in their heartbeats; the
// sessions of those that fail to do so in time are no longer renewed.
func (c *Coordinator) finishReleases(now time.Duration, state *State) []Command {
	var commands []Command
	seen := map[slotKey]bool{}
	for _, name := range state.ServiceNames() {
		service := state.services[name]
		if !c.scanSlots(state, service).hasReleasing {
			continue
		}
		body := SlotGrants{Service: name}
		for number := range service.Slots {
			slot := &service.Slots[number]
			if slot.Status != Releasing {
				continue
			}
			key := slotKey{name, number}
			seen[key] = true
			if c.mayVacate(now, state, key, slot) {
				body.Grants = append(body.Grants, SlotGrant{Slot: number, Session: slot.Owner, Token: slot.Token})
			}
		}
		if len(body.Grants) > 0 {
			commands = append(commands, Command{Released: &body})
		}
	}
	for key := range c.releaseStarts {
		if !seen[key] {
			delete(c.releaseStarts, key)
		}
	}
	return commands
}

// mayVacate reports whether a Releasing slot of an owner that does not check tokens may be
// vacated. For an owner that checks tokens it returns false, and stops renewing the session if the
// owner has kept the slot for longer than any request can run.
func (c *Coordinator) mayVacate(now time.Duration, state *State, key slotKey, slot *Slot) bool {
	start, ok := c.releaseStarts[key]
	if !ok {
		c.releaseStarts[key] = now
		start = now
	}
	owner, ok := state.servers[slot.Owner]
	if !ok {
		return false
	}
	if owner.Fencing {
		if now-start >= c.settings.RevocationGracePeriod() {
			c.StopRenewing(owner.Session)
		}
		return false
	}
	wait := waitKey{slot.Owner, key.slot}
	if !c.waitOver(now, state, wait) {
		return false
	}
	delete(c.waits, wait)
	return true
}
