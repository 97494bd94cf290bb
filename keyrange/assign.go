package keyrange

import (
	"math"
	"slices"
	"time"
)

// assignFree grants free keys to the server, up to its target utilization.
func (c *Coordinator) assignFree(now time.Duration, svc *service, s *server, f *fleet) {
	if !s.ready() || !svc.hasFree(now) || svc.byCall && !c.takesKeys(now, s) {
		return
	}
	if !svc.seeded {
		if !svc.joinsSettled(now) {
			return
		}
		svc.seed(now)
	}
	self := f.members[s.info.ID]
	if self.revoking > 0 {
		return
	}
	svc.segments.mergeFree(now)
	if f.idle() {
		c.assignSpread(now, svc, s, f, self)
	}
	for i := 0; i < len(svc.segments) && self.segments < maxGrantRanges; i++ {
		c.assignPrefix(now, svc, s, f, self, i, math.Inf(1))
	}
}

// assignSpread assigns keys of an idle service in several separate ranges. Busy keys are often
// adjacent, and their load is not known yet; separate ranges spread it over the servers.
func (c *Coordinator) assignSpread(now time.Duration, svc *service, s *server, f *fleet, self *member) {
	rangesPerServer := max(c.options.RangesPerServer, 1)
	maxRate := f.targetUtilization() * self.capacity / float64(rangesPerServer)
	for rangeIndex := range int64(rangesPerServer) {
		i := svc.segments.splitAt(rangeIndex * c.options.Keys / int64(rangesPerServer))
		for i < len(svc.segments) && !c.assignPrefix(now, svc, s, f, self, i, maxRate) {
			i++
		}
	}
}

// assignPrefix grants the longest prefix of a free segment that the server may receive,
// limited to maxRate requests per second. It returns false if the server may receive none of
// it.
func (c *Coordinator) assignPrefix(now time.Duration, svc *service, s *server, f *fleet, self *member, i int, maxRate float64) bool {
	seg := &svc.segments[i]
	if !seg.grantable(now) || self.segments > 0 && seg.reservedAt > 0 && now < seg.reservedAt+f.maxWait() {
		return false
	}
	last, fits := svc.fittingPrefix(seg, f, self, now-seg.freeAt, maxRate)
	if !fits {
		return false
	}
	svc.segments.splitAt(last + 1)
	seg = &svc.segments[i]
	c.grant(now, svc, seg, s)
	c.recordEvent(now, EventGranted, svc, seg)
	self.load += svc.load.rangeRate(seg.from, seg.to)
	self.segments++
	return true
}

// joinsSettled reports whether all servers of a new service are assumed to have started.
func (svc *service) joinsSettled(now time.Duration) bool {
	if now < svc.firstAt+minSettleTime {
		return false
	}
	return now >= svc.lastJoinAt+settlePause || now >= svc.firstAt+maxSettleTime
}

// seed starts the first assignment of the service's keys: waiting times of free keys begin
// now.
func (svc *service) seed(now time.Duration) {
	svc.seeded = true
	for i := range svc.segments {
		if seg := &svc.segments[i]; seg.grantable(now) {
			seg.freeAt = now
		}
	}
}

// fittingPrefix returns the last key of the longest prefix of a free segment that a member may
// receive. A hot key waits up to hotKeyWait for one of the fastest servers. Keys for which no
// server has spare capacity go to the least utilized server, or to any server after maxWait.
func (svc *service) fittingPrefix(seg *segment, f *fleet, self *member, waited time.Duration, maxRate float64) (last int64, fits bool) {
	if svc.load.lowerBound(svc.load.keyRate(seg.from)) > hotKeyFraction*self.capacity && waited < hotKeyWait && !f.isFastest(self) {
		return 0, false
	}
	allowance := (f.targetUtilization() - self.utilization()) * self.capacity
	forced := waited >= f.maxWait() || !f.idle() && f.isLeastUtilized(self)
	if forced {
		allowance = max(allowance, min(forcedFraction, f.average)*self.capacity)
	}
	if last = svc.prefixWithin(seg, min(allowance, maxRate)); last >= seg.from {
		return last, true
	}
	return seg.from, forced
}

// grant grants a free segment to a server under a new token.
func (c *Coordinator) grant(now time.Duration, svc *service, seg *segment, s *server) {
	*seg = segment{
		from: seg.from, to: seg.to, holder: s.info.ID, startMillis: s.info.StartMillis,
		token: c.nextToken(), sequence: s.sequence, handover: seg.handover, pendingSince: max(now, 1),
	}
	if svc.byCall {
		seg.leaseEnd, seg.sequence = now+unsentGrantTime, neverReported
	}
	c.granted = append(c.granted, Assignment{
		Service: svc.name, From: seg.from, To: seg.to, ServerID: seg.holder, StartMillis: seg.startMillis, Token: seg.token, Sequence: seg.sequence,
	})
}

func (svc *service) hasFree(now time.Duration) bool {
	return slices.ContainsFunc(svc.segments, func(seg segment) bool { return seg.grantable(now) })
}

// prefixWithin returns the last key of the longest prefix of the segment whose rate does not
// exceed maxRate, or seg.from-1 if the first key alone exceeds it.
func (svc *service) prefixWithin(seg *segment, maxRate float64) int64 {
	sum := 0.0
	for key := seg.from; key <= seg.to; key++ {
		if sum += svc.load.keyRate(key); sum > maxRate {
			return key - 1
		}
	}
	return seg.to
}
