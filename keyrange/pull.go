package keyrange

import (
	"math"
	"slices"
	"time"
)

// pull gives the server keys that nobody holds, up to its part of the load.
func (c *Coordinator) pull(now time.Duration, svc *service, s *server, f *fleet) {
	if !s.ready() || !svc.hasFree(now) {
		return
	}
	if !svc.seeded {
		if !svc.settled(now) {
			return
		}
		svc.seed(now)
	}
	me := f.members[s.info.ID]
	if me.leaving > 0 {
		return
	}
	svc.rows.joinFree(now)
	if f.idle() {
		c.pullApart(now, svc, s, f, me)
	}
	for i := 0; i < len(svc.rows) && me.rows < maxGrantRows; i++ {
		c.take(now, svc, s, f, me, i, math.Inf(1))
	}
}

// pullApart gives a server keys of an unused service in several ranges that lie
// apart: busy keys stand close together, and their load does not show yet.
func (c *Coordinator) pullApart(now time.Duration, svc *service, s *server, f *fleet, me *member) {
	pieces := max(c.options.RangesPerServer, 1)
	most := f.level() * me.capacity / float64(pieces)
	for piece := range int64(pieces) {
		i := svc.rows.splitAt(piece * c.options.Keys / int64(pieces))
		for i < len(svc.rows) && !c.take(now, svc, s, f, me, i, most) {
			i++
		}
	}
}

// take gives a server the longest prefix of a free row that it may take, with at
// most the given requests a second. It returns false if it may take nothing.
func (c *Coordinator) take(now time.Duration, svc *service, s *server, f *fleet, me *member, i int, most float64) bool {
	w := &svc.rows[i]
	if !w.grantable(now) || me.rows > 0 && w.offered > 0 && now < w.offered+f.patience() {
		return false
	}
	last, fits := svc.fit(w, f, me, now-w.freeAt, most)
	if !fits {
		return false
	}
	svc.rows.splitAt(last + 1)
	w = &svc.rows[i]
	c.grant(now, svc, w, s)
	c.note(now, EventGranted, svc, w)
	me.load += svc.load.sum(w.from, w.to)
	me.rows++
	return true
}

// settled tells whether the servers of a new service have shown up: none came in
// some time.
func (svc *service) settled(now time.Duration) bool {
	if now < svc.firstAt+settleTime {
		return false
	}
	return now >= svc.newestAt+settlePause || now >= svc.firstAt+mostSettleTime
}

// seed lets the keys be divided for the first time.
func (svc *service) seed(now time.Duration) {
	svc.seeded = true
	for i := range svc.rows {
		if w := &svc.rows[i]; w.grantable(now) {
			w.freeAt = now
		}
	}
}

// fit returns the last key of the longest prefix of a free row that a member may
// take. A hot key waits some time for one of the fastest servers; a key for which
// no server has room goes to the one with the least load, or after some time to
// any.
func (svc *service) fit(w *row, f *fleet, me *member, waited time.Duration, most float64) (last int64, fits bool) {
	if svc.load.surely(svc.load.of(w.from)) > hotPart*me.capacity && waited < hotPatience && !f.isFastest(me) {
		return 0, false
	}
	allowance := (f.level() - me.utilization()) * me.capacity
	forced := waited >= f.patience() || !f.idle() && f.isLeast(me)
	if forced {
		allowance = max(allowance, min(forcedPart, f.average)*me.capacity)
	}
	if last = svc.cutPrefix(w, min(allowance, most)); last >= w.from {
		return last, true
	}
	return w.from, forced
}

// grant gives a free row to a server under a new token.
func (c *Coordinator) grant(now time.Duration, svc *service, w *row, s *server) {
	*w = row{
		from: w.from, to: w.to, holder: s.info.ID, born: s.info.StartMillis,
		token: c.nextToken(), handover: w.handover, pendingAt: max(now, 1),
	}
	c.granted = append(c.granted, Assignment{
		Service: svc.name, From: w.from, To: w.to, ServerID: w.holder, StartMillis: w.born, Token: w.token,
	})
}

func (svc *service) hasFree(now time.Duration) bool {
	return slices.ContainsFunc(svc.rows, func(w row) bool { return w.grantable(now) })
}

// cutPrefix returns the last key of the longest prefix of the row whose rate
// fits in room, or a key before the row if none does.
func (svc *service) cutPrefix(w *row, room float64) int64 {
	sum := 0.0
	for key := w.from; key <= w.to; key++ {
		if sum += svc.load.of(key); sum > room {
			return key - 1
		}
	}
	return w.to
}
