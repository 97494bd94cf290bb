package keyrange

import (
	"math"
	"slices"
	"time"
)

// A server is barred from keys while its failure domain is evacuated, or in a region that its service does not allow. It
// receives no keys, and those that it holds are revoked.
//
// The keys of an evacuated failure domain are revoked in steps: their owners get requests until the bound of the
// evacuation, so that each key is without an owner only for the usual handover. Entry hosts refuse the requests for keys in
// other regions than the allowed ones, so that these are revoked at once.

const (
	// revokeSpread is the time over which the keys of an evacuated failure domain are revoked.
	revokeSpread = 2 * time.Second
	// revokeSteps is the number of steps in which servers that take grants by calls give up their keys. Others give up a
	// part at each heartbeat.
	revokeSteps = 4
	// defaultRevokeBy is Options.RevokeBy where it is not set.
	defaultRevokeBy = 2500 * time.Millisecond
	// barredForLong is the start of a bar whose keys are all due.
	barredForLong = math.MinInt64 / 2
)

// barred says whether and since when a server is barred.
type barred struct {
	set     bool
	since   time.Duration // or barredForLong
	revoked int64         // number of keys that were revoked because of it
}

// SetEvacuated sets the evacuated failure domains, with the time at which the evacuation of each started.
func (c *Coordinator) SetEvacuated(since map[string]time.Duration) { c.evacuated = since }

// updateBarred brings the servers up to date with the services and the evacuated failure domains. It revokes the keys
// whose time is over also from servers that send no heartbeat.
func (c *Coordinator) updateBarred(now time.Duration) {
	for _, s := range c.servers {
		c.updateBarredServer(now, s)
		if svc := c.services[s.info.Service]; svc != nil && s.revokesInSteps() && now-s.barred.since >= c.revokeBy() {
			c.revokeStep(now, svc, s)
		}
	}
}

// updateBarredServer does the work of updateBarred for one server, except that it revokes no keys.
func (c *Coordinator) updateBarredServer(now time.Duration, s *server) {
	since, evacuated := c.evacuated[s.info.Domain]
	b := barred{set: evacuated, since: min(since, now)}
	if !c.regionAllowed(s) {
		b = barred{set: true, since: barredForLong}
	}
	if b.set != s.barred.set {
		c.serverChanged(s)
	}
	if b.set != s.barred.set || b.since != s.barred.since {
		s.barred = b
	}
}

// regionAllowed reports whether the service allows keys in the region of a server. A failure domain without a known
// region is allowed only if all regions are.
func (c *Coordinator) regionAllowed(s *server) bool {
	svc := c.services[s.info.Service]
	return svc == nil || !svc.restricted || slices.Contains(svc.regions, c.options.Regions[s.info.Domain])
}

// revokesInSteps reports whether the keys of a server are revoked by revokeStep. Those of a server that leaves are
// revoked at once.
func (s *server) revokesInSteps() bool { return s.barred.set && !s.info.Draining && !s.leaving }

// revokeStep revokes the keys of a barred server that are due.
func (c *Coordinator) revokeStep(now time.Duration, svc *service, s *server) {
	held := int64(0)
	for i := range svc.segments {
		if seg := &svc.segments[i]; seg.revocableFrom(s) {
			held += seg.to - seg.from + 1
		}
	}
	due := int64(math.Ceil(c.dueShare(now, svc, s)*float64(held+s.barred.revoked))) - s.barred.revoked
	for i := 0; i < len(svc.segments) && due > 0; i++ {
		seg := &svc.segments[i]
		if !seg.revocableFrom(s) {
			continue
		}
		from, to := seg.from, seg.to
		if seg.reported && seg.callsSettled() { // only such keys are split off from others
			to = min(to, from+due-1)
		}
		due -= to - from + 1
		s.barred.revoked += to - from + 1
		c.revokeRange(now, svc, from, to, false)
	}
}

// revocableFrom reports whether keys can be revoked from a server.
func (seg *segment) revocableFrom(s *server) bool {
	return seg.holder == s.info.ID && !seg.revoking && !seg.unconfirmed
}

// dueShare returns the part of its keys that a barred server is to have given up, or to be giving up.
func (c *Coordinator) dueShare(now time.Duration, svc *service, s *server) float64 {
	spread := min(revokeSpread, c.revokeBy())
	elapsed := now - s.barred.since
	if svc.byCall {
		step := spread / revokeSteps
		elapsed = elapsed.Truncate(step) + step
	} else {
		elapsed += c.options.HeartbeatInterval // so that the last heartbeat within the spread revokes the rest
	}
	return min(1, float64(elapsed)/float64(spread))
}

// revokeBy returns the time after the start of a bar within which all keys are revoked.
func (c *Coordinator) revokeBy() time.Duration {
	if c.options.RevokeBy > 0 {
		return c.options.RevokeBy
	}
	return defaultRevokeBy
}

// KeysInDomain returns the number of keys that servers of a failure domain may hold.
func (c *Coordinator) KeysInDomain(domain string) int64 {
	count := int64(0)
	for _, svc := range c.services {
		for i := range svc.segments {
			seg := &svc.segments[i]
			if s := c.servers[seg.holder]; s != nil && s.info.Domain == domain {
				count += seg.to - seg.from + 1
			}
		}
	}
	return count
}
