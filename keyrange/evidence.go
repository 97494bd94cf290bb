package keyrange

import "time"

const (
	// refusalWindow is how long a connection refusal that an entry host observed counts.
	refusalWindow = 1500 * time.Millisecond
	// minRefusalReporters is the number of entry hosts that must have observed refusals.
	minRefusalReporters = 2
	// missedHeartbeats is the number of heartbeat intervals without a heartbeat after which
	// refused connections prove that the server has ended.
	missedHeartbeats = 2
)

// applyEvidence checks an entry host's observations for proof that a server's process has
// ended. A response from another incarnation at the server's address is proof. Refused
// connections are proof only if several entry hosts observed them and the heartbeats stopped
// as well, since a server may refuse connections under overload. Missing heartbeats alone are
// no proof.
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
	recent, first := 0, now
	for _, at := range s.refusals {
		if now-at < refusalWindow {
			recent++
			first = min(first, at)
		}
	}
	if recent >= minRefusalReporters && s.maxInterval > 0 && now-s.lastSeen > missedHeartbeats*s.maxInterval {
		c.freeEnded(now, s, func(seg *segment) bool { return seg.noCallSince(first - maxReportDelay) })
	}
}

// maxReportDelay is the longest time from an observation of an entry host to its report.
const maxReportDelay = 500 * time.Millisecond

// observeInterval updates the longest time between two heartbeats.
func (s *server) observeInterval(interval time.Duration) {
	s.maxInterval = max(s.maxInterval, interval)
}
