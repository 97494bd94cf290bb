package gateway

import (
	"time"

	"github.com/galenalug/galenalug/keyrange"
)

// hasDrained reports whether a server gets no more requests at the given time, since it is draining.
func (v *view) hasDrained(at time.Duration, id string) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	s := v.servers[id]
	return s != nil && v.drained(at, s)
}

// drained does the work of hasDrained. The caller holds mu.
func (v *view) drained(at time.Duration, s *serverEntry) bool {
	if s.drainingSince == 0 {
		return false
	}
	if at-s.drainingSince >= v.drainTime-drainMargin {
		return true
	}
	return s.announcedAfter != 0 && at-s.announcedAfter >= v.drainTime-sendMargin
}

const (
	// drainMargin is how long before the end of its drain time a server stops getting requests. Up to
	// half of this margin may pass before the update that reports the draining reaches a gateway.
	drainMargin = 1200 * time.Millisecond
	// sendMargin is the time that a request needs to reach a server, besides the queueing on this host's own
	// link. The rest of drainMargin is not needed where the time of the announcement is known.
	sendMargin = 400 * time.Millisecond
)

// serversOf returns the servers of a service that may get new requests at the given time. Draining servers are
// included only if there are no others. Only servers in failure domains that admits accepts are returned; nil accepts all.
// WarmupMillis of the result is what is left of the stated time.
func (v *view) serversOf(at time.Duration, service string, admits func(domain string) bool) []keyrange.Server {
	v.mu.RLock()
	defer v.mu.RUnlock()
	listed := v.byService[service]
	active := make([]keyrange.Server, 0, len(listed))
	var draining []keyrange.Server
	for _, s := range listed {
		switch {
		case v.drained(at, s) || admits != nil && !admits(s.Domain):
		case v.evacuations.Blocked(at, s.Domain, false):
		case s.Draining:
			draining = append(draining, s.countedDown(at))
		default:
			active = append(active, s.countedDown(at))
		}
	}
	if len(active) == 0 {
		active = draining
	}
	return active
}

// countedDown returns the server with what is left of its warm-up at the given time.
func (s *serverEntry) countedDown(at time.Duration) keyrange.Server {
	server := s.Server
	if server.WarmupMillis > 0 {
		server.WarmupMillis = max(0, (s.warmUntil - at).Milliseconds())
	}
	return server
}

// warmup returns the requests a second that a cold server of a service takes, or 0 if there is no limit, and whether
// the table says that a server is cold. What the table says of a server that was heard of ends with its warm-up time,
// also without a leader that takes it back.
func (v *view) warmup(now time.Duration, id, service string) (perSecond float64, cold bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if v.routes == nil {
		return 0, false
	}
	svc := v.routes.Service(service)
	if svc == nil || svc.WarmupPerSecond == 0 {
		return 0, false
	}
	s := v.servers[id]
	if s == nil || s.WarmupMillis == 0 {
		return svc.WarmupPerSecond, false
	}
	age := now - max(v.updatedAt, v.tableConfirmedAt)
	ended := svc.WarmupMillis > 0 && age > time.Duration(svc.WarmupMillis)*time.Millisecond
	return svc.WarmupPerSecond, !ended || s.WarmupMillis == keyrange.SilentWarmupMillis
}
