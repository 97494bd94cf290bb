package ownership

import (
	"slices"
	"time"

	"github.com/galenalug/galenalug/lease"
)

// RevocationGracePeriod returns how long after a revocation is committed an entry host may
// still have a request running at an owner that does not check tokens: the lease
// of its session, in which it may start one, and the longest deadline of that
// request, with drift.
func (s Settings) RevocationGracePeriod() time.Duration {
	return lease.WithDrift(s.Lease) + lease.WithDrift(s.MaxDeadline)
}

// endLost ends the sessions that are over.
func (c *Coordinator) endLost(now time.Duration, state *State) []Command {
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
		case c.waited(now, state, waitKey{id, wholeSession}):
			end = append(end, id)
		}
	}
	for _, id := range c.unstartedWaits(state) {
		c.waited(now, state, waitKey{id, wholeSession})
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

// unstartedWaits returns suspended sessions whose wait has not begun, whatever
// their lease says: a new leader must start the wait anew.
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

// waited reports whether the wait for entry hosts is over. The first call starts
// the wait and raises the barrier: from then on only entry hosts that know of the
// revocation are renewed.
func (c *Coordinator) waited(now time.Duration, state *State, key waitKey) bool {
	version, ok := c.waits[key]
	if !ok {
		c.waits[key] = state.Version()
		c.barrier = state.Version()
		return false
	}
	return c.hostsFollowed(now, version)
}

// hostsFollowed reports whether no entry host may still have a request running
// under a grant that was revoked up to a table version. A host confirms that it has
// none. One that does not has none either once its lease and the longest deadline
// of a request are over. Hosts that an earlier leader renewed are not known by
// name, so their time must pass first.
func (c *Coordinator) hostsFollowed(now time.Duration, version uint64) bool {
	if now < c.unknownHostsUntil {
		return false
	}
	followed := true
	for name, host := range c.hosts {
		switch {
		case now >= host.expires+lease.WithDrift(c.settings.MaxDeadline):
			delete(c.hosts, name)
		case host.confirmed < version:
			followed = false
		}
	}
	return followed
}

// finishReleases vacates released slots of owners that cannot give them back, and
// gives up on owners that could and do not.
func (c *Coordinator) finishReleases(now time.Duration, state *State) []Command {
	var commands []Command
	seen := map[slotKey]bool{}
	for _, name := range state.ServiceNames() {
		service := state.services[name]
		if !c.scanOf(state, service).releasing {
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
			if c.releaseOver(now, state, key, slot) {
				body.Grants = append(body.Grants, SlotGrant{Slot: number, Session: slot.Owner, Token: slot.Token})
			}
		}
		if len(body.Grants) > 0 {
			commands = append(commands, Command{Released: &body})
		}
	}
	for key := range c.releases {
		if !seen[key] {
			delete(c.releases, key)
		}
	}
	return commands
}

// releaseOver reports whether a slot may be taken from an owner that does not
// check tokens. An owner that does is asked to give it back; if it does not for
// longer than any request may run, its session is left to end.
func (c *Coordinator) releaseOver(now time.Duration, state *State, key slotKey, slot *Slot) bool {
	start, ok := c.releases[key]
	if !ok {
		c.releases[key] = now
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
	if !c.waited(now, state, wait) {
		return false
	}
	delete(c.waits, wait)
	return true
}
