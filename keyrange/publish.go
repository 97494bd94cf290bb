package keyrange

import (
	"maps"
	"math"
	"slices"
	"time"
)

// publishedWarmupMillis is the value of WarmupMillis in the table for each cold server of a service that limits the
// requests to these.
const publishedWarmupMillis = 1000

// SilentWarmupMillis is the value of WarmupMillis in the table for a server whose heartbeats have stopped: it is cold
// when it returns, which may be at any time.
const SilentWarmupMillis = math.MaxInt32

// published is the table as last returned by Changes.
type published struct {
	version uint64
	partial bool
	servers map[string]Server
	owners  map[string][]Owner
	// departed holds servers that are leaving and are not in servers. Entry hosts may still
	// know them from an earlier leader.
	departed map[string]bool
}

// Changes returns the changes of the table since the last call, and whether there are any.
func (c *Coordinator) Changes(now time.Duration) (TableUpdate, bool) {
	update := TableUpdate{Term: c.options.Term, Partial: c.Partial(now)}
	servers := c.visibleServers(now)
	for id, s := range servers {
		if !c.sameEntry(c.published.servers[id], s) {
			update.Servers = append(update.Servers, s)
		}
	}
	for id := range c.published.servers {
		if _, known := servers[id]; !known {
			update.RemovedServers = append(update.RemovedServers, id)
		}
	}
	update.RemovedServers = append(update.RemovedServers, c.newlyDeparted(servers)...)
	owners := map[string][]Owner{}
	for name, svc := range c.services {
		if !svc.active {
			continue
		}
		owners[name] = c.visibleOwners(now, svc)
		update.Owners = append(update.Owners, changedOwners(c.published.owners[name], owners[name])...)
	}
	changed := len(update.Servers)+len(update.RemovedServers)+len(update.Owners) > 0 || c.published.partial != update.Partial
	if changed {
		c.published.version++
	}
	c.published.servers, c.published.owners, c.published.partial = servers, owners, update.Partial
	update.Version = c.published.version
	return update, changed
}

// KeysWithoutOwner returns the number of keys to which entry hosts send no requests, as of the last call of
// Changes. Keys whose owner is known to entry hosts from an earlier term are not counted.
func (c *Coordinator) KeysWithoutOwner() int64 {
	count := int64(0)
	for _, owners := range c.published.owners {
		for _, o := range owners {
			if o.ServerID == "" {
				count += o.To - o.From + 1
			}
		}
	}
	return count
}

// TableVersion returns the version of the table as of the last call of Changes.
func (c *Coordinator) TableVersion() uint64 { return c.published.version }

// PublishedServers returns the servers of the table as of the last call of Changes, in no particular order.
func (c *Coordinator) PublishedServers() []Server {
	return slices.AppendSeq(slices.Grow([]Server(nil), len(c.published.servers)), maps.Values(c.published.servers))
}

// CountsDown reports whether the table as of the last call of Changes states times that are left of a warm-up, so that
// it is soon out of date although its version does not change.
func (c *Coordinator) CountsDown() bool {
	for _, s := range c.published.servers {
		if s.WarmupMillis > 0 && !c.limitsCold(s.Service) {
			return true
		}
	}
	return false
}

// Snapshot returns the full table as of the last call of Changes.
func (c *Coordinator) Snapshot() TableUpdate {
	update := TableUpdate{Term: c.options.Term, Version: c.published.version, Full: true, Partial: c.published.partial}
	update.Servers = c.PublishedServers()
	for id := range c.published.departed {
		update.RemovedServers = append(update.RemovedServers, id)
	}
	for _, owners := range c.published.owners {
		update.Owners = append(update.Owners, owners...)
	}
	return update
}

// newlyDeparted returns the IDs of departed servers that have not been published as such, and adds
// them to published.departed.
func (c *Coordinator) newlyDeparted(visible map[string]Server) []string {
	var ids []string
	for id := range c.departures {
		_, known := visible[id]
		switch {
		case known:
			delete(c.published.departed, id)
		case !c.published.departed[id]:
			c.published.departed[id] = true
			ids = append(ids, id)
		}
	}
	return ids
}

func (c *Coordinator) visibleServers(now time.Duration) map[string]Server {
	visible := make(map[string]Server, len(c.servers))
	c.updateOverload(now)
	for id, s := range c.servers {
		if c.drained(now, id) {
			continue
		}
		info := s.info
		info.WarmupMillis = c.warmupMillis(now, s)
		info.AdmitPermille = c.overload[id]
		visible[id] = info
	}
	return visible
}

const (
	// overloadInterval is the least time between two searches for overloaded servers.
	overloadInterval = 300 * time.Millisecond
	// overloadThreshold is the utilization from which a server counts as overloaded. It is
	// well above 1, since clients retry refused requests, which are then counted twice.
	overloadThreshold = 2.0
	// overloadTarget is the load admitted to an overloaded server, relative to its capacity.
	// It is above 1, so that the server's queue does not run empty.
	overloadTarget = 1.25
	// admitStep is the granularity of AdmitPermille. It avoids updates for small changes.
	admitStep = 50
)

// updateOverload computes AdmitPermille of the overloaded servers. The leader does this
// because entry hosts can't detect the overload on their own: with many of them, one request
// from each may already exceed a server's capacity.
func (c *Coordinator) updateOverload(now time.Duration) {
	if c.overloadUpdated != 0 && now-c.overloadUpdated < overloadInterval {
		return
	}
	c.overloadUpdated = max(now, 1)
	c.overload = map[string]int64{}
	for _, svc := range c.services {
		for id, m := range c.measureFleet(now, svc).members {
			if m.utilization() > overloadThreshold {
				permille := int64(1000 * overloadTarget / m.utilization())
				c.overload[id] = max(permille/admitStep, 1) * admitStep
			}
		}
	}
}

// visibleOwners returns the owners to which entry hosts route requests. Keys that a server may
// hold under an unconfirmed grant of an earlier term are left out.
func (c *Coordinator) visibleOwners(now time.Duration, svc *service) []Owner {
	var owners []Owner
	for i := range svc.segments {
		seg := &svc.segments[i]
		if seg.unconfirmed {
			continue
		}
		id := ""
		serves := !svc.byCall || seg.reported // a call that grants keys may take long
		if seg.holder != "" && !seg.revoking && serves && !c.drained(now, seg.holder) {
			id = seg.holder
		}
		if last := len(owners) - 1; last >= 0 && owners[last].ServerID == id && owners[last].To+1 == seg.from {
			owners[last].To = seg.to
			continue
		}
		owners = append(owners, Owner{Service: svc.name, From: seg.from, To: seg.to, ServerID: id})
	}
	return owners
}

// drainReserve is how long before the end of its drain period a leaving server stops receiving
// requests. It leaves time for requests already on their way.
const drainReserve = 700 * time.Millisecond

// drained reports whether a server is unknown or is leaving and receives no more requests.
func (c *Coordinator) drained(now time.Duration, id string) bool {
	s := c.servers[id]
	return s == nil || s.leaving && now >= s.leaveAt+c.options.DrainPeriod-drainReserve
}

// changedOwners returns the entries of next that previous does not contain.
func changedOwners(previous, next []Owner) []Owner {
	known := make(map[Owner]struct{}, len(previous))
	for _, o := range previous {
		known[o] = struct{}{}
	}
	var changed []Owner
	for _, o := range next {
		if _, same := known[o]; !same {
			changed = append(changed, o)
		}
	}
	return changed
}
