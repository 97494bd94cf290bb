package keyrange

import "time"

const (
	// refusalLife is how long an entry host's word that a server's host refused a
	// connection counts.
	refusalWindow = 1500 * time.Millisecond
	// refusalWitnesses is the number of entry hosts whose word it takes.
	minRefusalReporters = 2
	// silentHeartbeats is the number of heartbeats that a server must have missed
	// for refused connections to prove that it ended.
	missedHeartbeats = 2
)

// takeEvidence judges whether a server's process has ended. Another incarnation
// that answers at its address proves it. Connections that its host refuses to
// several entry hosts prove it only if its heartbeats stopped, too: a server may
// refuse connections while it has too many. Silence alone proves nothing.
func (c *Coordinator) applyEvidence(now time.Duration, s *server, observed ServerLoad, reporter string) {
	if observed.Misdirected > 0 {
		c.removeEnded(now, s)
		return
	}
	if observed.Refused == 0 {
		return
	}
	if s.refusals == nil {
		s.refusals = map[string]time.Duration{}
	}
	s.refusals[reporter] = now
	recent := 0
	for _, at := range s.refusals {
		if now-at < refusalWindow {
			recent++
		}
	}
	if recent >= minRefusalReporters && s.interval > 0 && now-s.lastSeen > missedHeartbeats*s.interval {
		c.removeEnded(now, s)
	}
}

// noteInterval takes in the time between two heartbeats.
func (s *server) observeInterval(interval time.Duration) { s.interval = max(s.interval, interval) }
