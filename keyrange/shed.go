package keyrange

import "time"

// shed marks keys that the server is to give back: all of them when it drains,
// some when it has more load than its part.
func (c *Coordinator) revokeExcess(now time.Duration, svc *service, s *server, f *fleet) {
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
		self.segments += 2
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

// excess returns the load that a member gives away: what is above the level if it
// is busy, or else a part for a server that has no keys yet. One member gives to
// one such server, so that keys stay in few ranges.
func (f *fleet) excess(now time.Duration, self *member, l *load) (amount float64, forEmptyServer bool) {
	busy := max(busyUtilization, f.average*moveThreshold)
	if f.idle() {
		busy = f.average * moveThreshold // nobody asks: the keys are divided evenly
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

// revokeLoad marks about amount requests a second of the server's keys: the
// whole row or, if rows may be split, the prefix or suffix that comes closest
// without exceeding it. It returns the load of the keys marked.
func (c *Coordinator) revokeLoad(now time.Duration, svc *service, id string, amount float64, split, forEmptyServer bool) float64 {
	bestRate, bestFrom, bestTo := 0.0, int64(0), int64(-1)
	consider := func(from, to int64, rate float64) {
		if from <= to && rate <= amount && rate > bestRate {
			bestRate, bestFrom, bestTo = rate, from, to
		}
	}
	for i := range svc.segments {
		seg := &svc.segments[i]
		if seg.holder != id || seg.revoking || !seg.reported {
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

// revokeRange marks a run of keys, and returns their load.
func (c *Coordinator) revokeRange(now time.Duration, svc *service, from, to int64, forEmptyServer bool) float64 {
	svc.segments.forEach(from, to, func(seg *segment) {
		seg.revoking, seg.forEmptyServer = true, forEmptyServer
		c.recordEvent(now, EventRevoking, svc, seg)
	})
	return svc.load.rangeRate(from, to)
}

// hotKey returns a key of the server that has more load than a bound.
func (svc *service) hotKey(id string, bound float64) (int64, bool) {
	for i := range svc.segments {
		seg := &svc.segments[i]
		if seg.holder != id || seg.revoking || !seg.reported {
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

// cutSuffix returns the first key of the longest suffix of the row whose rate
// fits in room, or a key after the row if none does.
func (svc *service) suffixWithin(seg *segment, maxRate float64) int64 {
	sum := 0.0
	for key := seg.to; key >= seg.from; key-- {
		if sum += svc.load.keyRate(key); sum > maxRate {
			return key + 1
		}
	}
	return seg.from
}
