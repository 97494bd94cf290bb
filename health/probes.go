package health

import "time"

// asked is a request to a host to probe a session.
type asked struct {
	domain string
	at     time.Duration
}

// ProbeTargets returns the sessions that a host shall probe now, in ascending
// order: those that are suspected or in quarantine. For each, a few hosts in
// several failure domains are asked again and again, since a probation needs the
// same hosts throughout.
func (j *Detector) ProbeTargets(now time.Duration, host Host) []uint64 {
	var wanted []uint64
	for _, w := range j.suspects {
		if len(wanted) >= maxProbesWanted {
			break
		}
		if w.asks(now, host) {
			w.asked[host.Name] = asked{domain: host.Domain, at: now}
			wanted = append(wanted, w.server.Session)
		}
	}
	return wanted
}

// asks reports whether a host shall probe the session now.
func (w *watched) asks(now time.Duration, host Host) bool {
	if earlier, ok := w.asked[host.Name]; ok {
		return now-earlier.at >= probeInterval
	}
	if len(w.asked) >= probeHosts {
		return false
	}
	inDomain := 0
	for _, other := range w.asked {
		if other.domain == host.Domain {
			inDomain++
		}
	}
	return inDomain < probeHostsInDomain
}
