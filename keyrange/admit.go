package keyrange

import "time"

// acceptHeartbeat updates the server's entry and returns it, or nil if the heartbeat is out of date or no server of
// the configuration can have sent it. In the latter cases nothing changes.
func (c *Coordinator) acceptHeartbeat(now time.Duration, hb Heartbeat) *server {
	info := hb.Server
	known := c.servers[info.ID]
	earlier := known
	if known != nil && known.info.StartMillis == info.StartMillis {
		if !known.continuedBy(hb) {
			return nil
		}
	} else if known = c.admitProcess(now, known, info); known == nil {
		return nil
	}
	info.Draining = info.Draining || known.saysLeaving
	if info != known.info {
		known.info = info
		c.serverChanged(known)
	}
	known.sequence, known.lastSeen = hb.Sequence, now
	c.applyDeparture(known)
	c.updateBarredServer(now, known)
	c.heardOf(now, known, known != earlier, known != earlier && earlier != nil)
	return known
}

// isProcess reports whether a heartbeat can be of the same process. A process keeps its service and its address: one that
// names others is not from the server.
func (s *server) isProcess(info Server) bool {
	return info.StartMillis == s.info.StartMillis && info.Service == s.info.Service && info.Address == s.info.Address
}

// continuedBy reports whether a heartbeat is a newer one of the same process.
func (s *server) continuedBy(hb Heartbeat) bool {
	return s.isProcess(hb.Server) && hb.Sequence > s.sequence
}

// admitProcess adds the entry of a process whose first heartbeat has arrived, and ends the processes of whose end
// that is proof. It returns nil if the configuration does not have the service, or if the heartbeat is a delayed one
// of an earlier process. earlier is the entry of another process with the same ID, or nil.
func (c *Coordinator) admitProcess(now time.Duration, earlier *server, info Server) *server {
	if !c.configured[info.Service] {
		return nil
	}
	seen := sighting{id: info.ID, address: info.Address, startMillis: info.StartMillis}
	if earlier != nil && !c.endIfProved(now, earlier, seen) || !c.claimAddress(now, seen) {
		return nil
	}
	s := &server{firstAt: max(now, 1)}
	c.servers[info.ID] = s
	c.addresses[info.Address] = info.ID
	return s
}

// serverChanged must be called when what a server says of itself or may receive has changed, and when it is added
// or removed.
func (c *Coordinator) serverChanged(s *server) {
	if svc := c.services[s.info.Service]; svc != nil {
		svc.changes++
	}
}

// claimAddress returns false if another server that may still run has the address of a new process: the heartbeat
// is then a delayed one.
func (c *Coordinator) claimAddress(now time.Duration, seen sighting) bool {
	other := c.servers[c.addresses[seen.address]]
	return other == nil || other.info.ID == seen.id || c.endIfProved(now, other, seen)
}

func (c *Coordinator) removeServer(s *server) {
	delete(c.servers, s.info.ID)
	c.serverChanged(s)
	if c.addresses[s.info.Address] == s.info.ID {
		delete(c.addresses, s.info.Address)
	}
}
