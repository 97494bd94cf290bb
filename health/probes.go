package health

import "time"

// probeRequest is the latest request to a host to probe a session.
type probeRequest struct {
	domain string
	at     time.Duration
}

// ProbeTargets returns the sessions that a host should probe now, in ascending order: those that
// are suspected or in quarantine. For each session, the same few hosts in several failure domains
// are asked repeatedly, since they must observe the session throughout its probation.
func (d *Detector) ProbeTargets(now time.Duration, host Host) []uint64 {
	var targets []uint64
	for _, s := range d.toProbe {
		if len(targets) >= maxProbeTargets {
			break
		}
		if s.shouldProbe(now, host) {
			s.probeRequests[host.Name] = probeRequest{domain: host.Domain, at: now}
			targets = append(targets, s.server.Session)
		}
	}
	return targets
}

// shouldProbe reports whether a host should probe the session now.
func (s *session) shouldProbe(now time.Duration, host Host) bool {
	if previous, ok := s.probeRequests[host.Name]; ok {
		return now-previous.at >= probeInterval
	}
	if len(s.probeRequests) >= maxProbingHosts {
		return false
	}
	inDomain := 0
	for _, other := range s.probeRequests {
		if other.domain == host.Domain {
			inDomain++
		}
	}
	return inDomain < maxProbingHostsPerDomain
}
