package keyrange

import "time"

// A server holds its keys until its lease ends. Before that they may go to another server only if it has released
// them or if its process has ended. hasEnded alone decides the latter, from what was seen of another process.
//
// None of these proves it: refused or reset connections and missing heartbeats, since a server that is cut off goes
// on; a leave or an announced stop, since the server goes on until its requests have ended; a heartbeat of a service
// that the configuration does not have, which no server has sent.

// sighting is another process that was seen where a server's process should be: it sent a heartbeat, or answered a
// request at the server's address.
type sighting struct {
	id          string // ID that it stated
	address     string // at which it listens
	startMillis int64  // start time that it stated, Unix milliseconds; 0 if it stated none
	answered    bool   // whether it answered a request, which a late message can't do
}

// hasEnded reports whether a sighting proves that the server's process has ended.
func (s *server) hasEnded(seen sighting) bool {
	startedLater := seen.startMillis > s.info.StartMillis
	switch {
	case seen.id == s.info.ID:
		return startedLater // an ID belongs to one process at a time
	case seen.address != s.info.Address:
		return false
	case seen.answered:
		return true // two processes can't listen at one address
	default:
		return startedLater // the heartbeat of an earlier process may arrive late
	}
}

// endIfProved frees the keys of a server and forgets it if a sighting proves that its process has ended, and
// reports whether it does.
func (c *Coordinator) endIfProved(now time.Duration, s *server, seen sighting) bool {
	if !s.hasEnded(seen) {
		return false
	}
	svc := c.services[s.info.Service]
	if svc == nil {
		c.removeServer(s)
		return true
	}
	for i := range svc.segments {
		seg := &svc.segments[i]
		switch {
		case seg.holder != s.info.ID:
		case svc.byCall && seen.id == s.info.ID:
			c.recordEvent(now, EventEnded, svc, seg)
			seg.passToNextIncarnation()
		case seg.startMillis != s.info.StartMillis:
		case svc.byCall && !seg.neverSent():
			// The other process may have answered a call about the keys: they wait for the end of the lease.
		default:
			c.recordEvent(now, EventEnded, svc, seg)
			seg.free(now, "")
		}
	}
	c.removeServer(s)
	return true
}

// passToNextIncarnation leaves keys that servers take by calls with the server: a late call may already have reached
// its new process, which a grant with a higher token settles.
func (seg *segment) passToNextIncarnation() {
	seg.reported, seg.revoking = false, false
	seg.call.confirmedAt, seg.call.failures = 0, 0
}
