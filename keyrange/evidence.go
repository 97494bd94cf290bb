package keyrange

import "time"

const (
	// refusalLife is how long an entry host's word that a server's host refused a
	// connection counts.
	refusalLife = 1500 * time.Millisecond
	// refusalWitnesses is the number of entry hosts whose word it takes.
	refusalWitnesses = 2
	// silentHeartbeats is the number of heartbeats that a server must have missed
	// for refused connections to prove that it ended.
	silentHeartbeats = 2
)

// takeEvidence judges whether a server's process has ended. Another incarnation
// that answers at its address proves it. Connections that its host refuses to
// several entry hosts prove it only if its heartbeats stopped, too: a server may
// refuse connections while it has too many. Silence alone proves nothing.
func (c *Coordinator) takeEvidence(now time.Duration, s *server, seen ServerLoad, witness string) {
	if seen.Misdirected > 0 {
		c.end(now, s)
		return
	}
	if seen.Refused == 0 {
		return
	}
	if s.refusals == nil {
		s.refusals = map[string]time.Duration{}
	}
	s.refusals[witness] = now
	fresh := 0
	for _, at := range s.refusals {
		if now-at < refusalLife {
			fresh++
		}
	}
	if fresh >= refusalWitnesses && s.interval > 0 && now-s.seen > silentHeartbeats*s.interval {
		c.end(now, s)
	}
}

// noteInterval takes in the time between two heartbeats.
func (s *server) noteInterval(interval time.Duration) { s.interval = max(s.interval, interval) }
