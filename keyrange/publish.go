package keyrange

import "time"

// warmupTold is the warm-up time that the table shows for every server that is
// slow after its start: the rest is not worth an update.
const publishedWarmup = 1000

// published is the table as it was last told.
type published struct {
	version uint64
	partial bool
	servers map[string]Server
	owners  map[string][]Owner
	// departed are servers that left and are not in servers. Gateways may know them
	// from an earlier leader.
	departed map[string]bool
}

// Changes returns what changed in the table since the last call, and whether
// anything did.
func (c *Coordinator) Changes(now time.Duration) (TableUpdate, bool) {
	update := TableUpdate{Term: c.options.Term, Partial: c.Partial(now)}
	servers := c.visibleServers(now)
	for id, s := range servers {
		if c.published.servers[id] != s {
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

// Snapshot returns the table as it was last told by Changes.
func (c *Coordinator) Snapshot() TableUpdate {
	update := TableUpdate{Term: c.options.Term, Version: c.published.version, Full: true, Partial: c.published.partial}
	for _, s := range c.published.servers {
		update.Servers = append(update.Servers, s)
	}
	for id := range c.published.departed {
		update.RemovedServers = append(update.RemovedServers, id)
	}
	for _, owners := range c.published.owners {
		update.Owners = append(update.Owners, owners...)
	}
	return update
}

// newlyDeparted returns servers that left and that were not told to be gone yet.
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
		if info.WarmupMillis > 0 {
			info.WarmupMillis = publishedWarmup
		}
		info.AdmitPermille = c.overload[id]
		visible[id] = info
	}
	return visible
}

const (
	// overloadInterval is the time between two looks for overloaded servers.
	overloadInterval = 300 * time.Millisecond
	// overloadFrom is the utilization from which a server counts as overloaded. It is
	// well above 1, since clients that were refused come back and count twice.
	overloadThreshold = 2.0
	// overloadPart is the part of its capacity that an overloaded server is asked
	// for: its queue should not run dry.
	overloadTarget = 1.25
	// admitStep is the step of AdmitPermille, so that small changes are not told.
	admitStep = 50
)

// rateOverload finds servers that are asked for more than they can do, and the
// part that they can. Many gateways can't tell that each by itself: one request
// from each of them is too much already.
func (c *Coordinator) updateOverload(now time.Duration) {
	if c.overloadUpdated != 0 && now-c.overloadUpdated < overloadInterval {
		return
	}
	c.overloadUpdated = max(now, 1)
	c.overload = map[string]int64{}
	for _, svc := range c.services {
		for id, m := range c.measureFleet(svc).members {
			if m.utilization() > overloadThreshold {
				permille := int64(1000 * overloadTarget / m.utilization())
				c.overload[id] = max(permille/admitStep, 1) * admitStep
			}
		}
	}
}

// visibleOwners returns the owners to send requests to. Keys that a
// server of an earlier term may hold are left out.
func (c *Coordinator) visibleOwners(now time.Duration, svc *service) []Owner {
	var owners []Owner
	for i := range svc.segments {
		seg := &svc.segments[i]
		if seg.unconfirmed {
			continue
		}
		id := ""
		if seg.holder != "" && !seg.revoking && !c.drained(now, seg.holder) {
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

// drainReserve is how long before the end of its drain time a server gets no
// more requests, so that those under way arrive in time.
const drainReserve = 700 * time.Millisecond

// drained tells whether a server that left gets no more requests.
func (c *Coordinator) drained(now time.Duration, id string) bool {
	s := c.servers[id]
	return s == nil || s.leaving && now >= s.leaveAt+c.options.DrainPeriod-drainReserve
}

// changedOwners returns the entries of next that are not in previous alike.
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
