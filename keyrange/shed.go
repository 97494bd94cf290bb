package keyrange

import "time"

// shed marks keys that the server is to give back: all of them when it drains,
// some when it has more load than its part.
func (c *Coordinator) shed(now time.Duration, svc *service, s *server, f *fleet) {
	if !s.ready() {
		for i := range svc.rows {
			if w := &svc.rows[i]; w.holder == s.info.ID && !w.leaving && !w.unproven {
				w.leaving = true
				c.note(now, EventRevoking, svc, w)
			}
		}
		return
	}
	if !svc.seeded {
		return
	}
	me := f.members[s.info.ID]
	if me == nil || me.leaving > 0 || float64(f.moving) >= max(1, movesInFlight*float64(len(f.members))) {
		return
	}
	excess, forNewcomer := f.excess(now, me, svc.load)
	if key, hot := svc.hotKey(s.info.ID, hotPart*me.capacity); hot && f.hasFaster(me) {
		excess -= c.markRun(now, svc, key, key, false)
		me.rows += 2
		me.leaving++
	}
	for range maxPieces {
		if excess < leastMoved*f.average*me.capacity {
			return
		}
		moved := c.markLeaving(now, svc, s.info.ID, excess, me.rows < maxHolderRows, forNewcomer)
		if moved == 0 {
			return
		}
		excess -= moved
		me.rows++
		me.leaving++
	}
}

// excess returns the load that a member gives away: what is above the level if it
// is busy, or else a part for a server that has no keys yet. One member gives to
// one such server, so that keys stay in few ranges.
func (f *fleet) excess(now time.Duration, me *member, l *load) (amount float64, forNewcomer bool) {
	busy := max(busyUtilization, f.average*moveThreshold)
	if f.idle() {
		busy = f.average * moveThreshold // nobody asks: the keys are divided evenly
	}
	if f.idle() && me.unproven == 0 && me.utilization() >= busy || me.sureUtilization(l) >= busy {
		return (me.utilization() - f.level()) * me.capacity, false
	}
	if me.unproven > 0 || me.utilization() < f.average*giverPart {
		return 0, false
	}
	if f.newcomers(now) <= f.moving+f.offered {
		return 0, false
	}
	return newcomerPart * me.load, true
}

// markLeaving marks about amount requests a second of the server's keys: the
// whole row or, if rows may be split, the prefix or suffix that comes closest
// without exceeding it. It returns the load of the keys marked.
func (c *Coordinator) markLeaving(now time.Duration, svc *service, id string, amount float64, split, forNewcomer bool) float64 {
	bestRate, bestFrom, bestTo := 0.0, int64(0), int64(-1)
	consider := func(from, to int64, rate float64) {
		if from <= to && rate <= amount && rate > bestRate {
			bestRate, bestFrom, bestTo = rate, from, to
		}
	}
	for i := range svc.rows {
		w := &svc.rows[i]
		if w.holder != id || w.leaving || !w.reported {
			continue
		}
		consider(w.from, w.to, svc.rate(w))
		if !split {
			continue
		}
		prefix := svc.cutPrefix(w, amount)
		consider(w.from, prefix, svc.load.sum(w.from, max(prefix, w.from)))
		suffix := svc.cutSuffix(w, amount)
		consider(suffix, w.to, svc.load.sum(min(suffix, w.to), w.to))
	}
	if bestTo < 0 {
		return 0
	}
	return c.markRun(now, svc, bestFrom, bestTo, forNewcomer)
}

// markRun marks a run of keys, and returns their load.
func (c *Coordinator) markRun(now time.Duration, svc *service, from, to int64, forNewcomer bool) float64 {
	svc.rows.each(from, to, func(w *row) {
		w.leaving, w.forNewcomer = true, forNewcomer
		c.note(now, EventRevoking, svc, w)
	})
	return svc.load.sum(from, to)
}

// hotKey returns a key of the server that has more load than a bound.
func (svc *service) hotKey(id string, bound float64) (int64, bool) {
	for i := range svc.rows {
		w := &svc.rows[i]
		if w.holder != id || w.leaving || !w.reported {
			continue
		}
		for key := w.from; key <= w.to; key++ {
			if rate := svc.load.of(key); rate > bound && svc.load.surely(rate) > bound {
				return key, true
			}
		}
	}
	return 0, false
}

// cutSuffix returns the first key of the longest suffix of the row whose rate
// fits in room, or a key after the row if none does.
func (svc *service) cutSuffix(w *row, room float64) int64 {
	sum := 0.0
	for key := w.to; key >= w.from; key-- {
		if sum += svc.load.of(key); sum > room {
			return key + 1
		}
	}
	return w.from
}
