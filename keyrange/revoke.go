package keyrange

import "time"

// revokeExcess revokes keys from the server: all of them if it is draining, or some if its load
// exceeds its target or another server has no keys.
func (c *Coordinator) revokeExcess(now time.Duration, svc *service, s *server, f *fleet) {
	if s.revokesInSteps() {
		c.revokeStep(now, svc, s)
		return
	}
	if !s.ready() {
		for i := range svc.segments {
			if seg := &svc.segments[i]; seg.holder == s.info.ID && !seg.revoking && !seg.unconfirmed {
				seg.revoking = true
				c.recordEvent(now, EventRevoking, svc, seg)
			}
		}
		return
	}
	if !svc.seeded {
		return
	}
	self := f.members[s.info.ID]
	if self == nil || self.revoking > 0 || float64(f.moving) >= max(1, maxMovingFraction*float64(len(f.members))) {
		return
	}
	excess, forEmptyServer := f.excess(now, self, svc.load)
	if key, hot := svc.hotKey(s.info.ID, hotKeyFraction*self.capacity); hot && f.hasFaster(self) {
		excess -= c.revokeRange(now, svc, key, key, false)
		self.segments += 2 // the hot key is split off from the keys below and above it
		self.revoking++
	}
	for range maxRevocations {
		if excess < minMoveFraction*f.average*self.capacity {
			return
		}
		moved := c.revokeLoad(now, svc, s.info.ID, excess, self.segments < maxSplitRanges, forEmptyServer)
		if moved == 0 {
			return
		}
		excess -= moved
		self.segments++
		self.revoking++
	}
}

// excess returns the load to revoke from a member: its load above the target utilization if it
// is busy, or else a share for a server without keys. Each member gives to one such server
// only, which keeps the number of ranges low.
func (f *fleet) excess(now time.Duration, self *member, l *load) (amount float64, forEmptyServer bool) {
	busy := max(busyUtilization, f.average*moveThreshold)
	if f.idle() {
		busy = f.average * moveThreshold // without load the keys are divided evenly
	}
	if f.idle() && self.unconfirmed == 0 && self.utilization() >= busy || self.utilizationLowerBound(l) >= busy {
		return (self.utilization() - f.targetUtilization()) * self.capacity, false
	}
	if self.unconfirmed > 0 || self.utilization() < f.average*donorMinFactor {
		return 0, false
	}
	if f.emptyServers(now) <= f.moving+f.reservedSegments {
		return 0, false
	}
	return emptyServerShare * self.load, true
}

// revokeLoad revokes one range of the server's keys: the one with the highest load that does not
// exceed amount requests per second. The candidates are whole segments and, if split is set, also
// prefixes and suffixes of segments. It returns the load revoked, or 0 if no range qualifies.
func (c *Coordinator) revokeLoad(now time.Duration, svc *service, id string, amount float64, split, forEmptyServer bool) float64 {
	bestRate, bestFrom, bestTo := 0.0, int64(0), int64(-1)
	consider := func(from, to int64, rate float64) {
		if from <= to && rate <= amount && rate > bestRate {
			bestRate, bestFrom, bestTo = rate, from, to
		}
	}
	for i := range svc.segments {
		seg := &svc.segments[i]
		if seg.holder != id || seg.revoking || !seg.reported || !seg.callsSettled() {
			continue
		}
		consider(seg.from, seg.to, svc.rate(seg))
		if !split {
			continue
		}
		prefix := svc.prefixWithin(seg, amount)
		consider(seg.from, prefix, svc.load.rangeRate(seg.from, max(prefix, seg.from)))
		suffix := svc.suffixWithin(seg, amount)
		consider(suffix, seg.to, svc.load.rangeRate(min(suffix, seg.to), seg.to))
	}
	if bestTo < 0 {
		return 0
	}
	return c.revokeRange(now, svc, bestFrom, bestTo, forEmptyServer)
}

// revokeRange revokes a range of keys and returns its load.
func (c *Coordinator) revokeRange(now time.Duration, svc *service, from, to int64, forEmptyServer bool) float64 {
	svc.segments.forEach(from, to, func(seg *segment) {
		seg.revoking, seg.forEmptyServer = true, forEmptyServer
		c.recordEvent(now, EventRevoking, svc, seg)
	})
	return svc.load.rangeRate(from, to)
}

// hotKey returns a key of the server whose rate is above bound with confidence.
func (svc *service) hotKey(id string, bound float64) (int64, bool) {
	for i := range svc.segments {
		seg := &svc.segments[i]
		if seg.holder != id || seg.revoking || !seg.reported || !seg.callsSettled() {
			continue
		}
		for key := seg.from; key <= seg.to; key++ {
			if rate := svc.load.keyRate(key); rate > bound && svc.load.lowerBound(rate) > bound {
				return key, true
			}
		}
	}
	return 0, false
}

// suffixWithin returns the first key of the longest suffix of the segment whose rate does not
// exceed maxRate, or seg.to+1 if the last key alone exceeds it.
func (svc *service) suffixWithin(seg *segment, maxRate float64) int64 {
	sum := 0.0
	for key := seg.to; key >= seg.from; key-- {
		if sum += svc.load.keyRate(key); sum > maxRate {
			return key + 1
		}
	}
	return seg.from
}
