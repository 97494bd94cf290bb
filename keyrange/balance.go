package keyrange

import (
	"slices"
	"time"
)

const (
	// defaultWorkTime is taken for a request while none was measured, seconds.
	defaultWorkTime = 0.1
	// warmupFactor is the part of its capacity that a server counts with while
	// it is slow after its start.
	warmupFactor = 0.5
	// busyUtilization is the part of its slots from which requests begin to wait
	// at a server. Below it no keys are moved for load.
	busyUtilization = 0.6
	// idleUtilization is the average below which a service counts as unused.
	idleUtilization = 0.05
	// calmUtilization is the part of its slots up to which a server takes keys
	// whatever the others have.
	calmUtilization = 0.45
	// moveThreshold is how far, relative to the average, a server's utilization
	// may exceed the average before it gives keys away.
	moveThreshold = 1.2
	// movedTo is the utilization, relative to the average, that a server which
	// gives keys away keeps, and up to which others take them.
	movedTo = 1.1
	// movesInFlight is the part of a service's servers that may be giving keys
	// away for load at the same time.
	movesInFlight = 0.34
	// maxPieces is the number of ranges that a server gives away at once.
	maxPieces = 6
	// pullPatience is how long keys wait for a server with room before any server
	// takes them.
	pullPatience = 200 * time.Millisecond
	// forcedPart is the part of its capacity that a server takes of keys for which
	// no server has room.
	forcedPart = 0.15
	// hotPart is the part of a server's capacity from which a single key counts as
	// hot. A hot key goes to one of the fastest servers.
	hotPart = 0.5
	// hotPatience is how long a hot key waits for one of the fastest servers.
	hotPatience = time.Second
	// fasterFactor is how much faster a server must be for a hot key to move there.
	fasterFactor = 1.3
	// newcomerPart is the part of its fair load that a server without keys gets at
	// once; the rest follows when servers are busy.
	newcomerPart = 0.5
	// giverPart is the utilization, relative to the average, from which a server
	// gives keys to servers without any.
	giverPart = 0.7
	// leastMoved is the load, as a part of a server's average load, below which a
	// move is not worth the keys' unavailability.
	leastMoved = 0.1
)

// member is a server's share of a service's load.
type member struct {
	server   *server
	capacity float64 // requests a second at full use of its slots
	load     float64 // requests a second
	rows     int
	leaving  int
}

func (m *member) utilization() float64 { return m.load / m.capacity }

// fleet is the load of a service's servers at one moment.
type fleet struct {
	members map[string]*member
	average float64 // utilization if the load were spread by capacity
	moving  int     // servers that are giving keys away
}

// survey returns the load of the servers that may be given keys.
func (c *Coordinator) survey(svc *service) fleet {
	f := fleet{members: map[string]*member{}}
	workTime := c.averageWorkTime(svc.name)
	capacity := 0.0
	for id, s := range c.servers {
		if s.info.Service == svc.name && s.ready() {
			m := &member{server: s, capacity: s.capacity(workTime)}
			f.members[id] = m
			capacity += m.capacity
		}
	}
	total := 0.0
	for i := range svc.rows {
		w := &svc.rows[i]
		rate := svc.load.sum(w.from, w.to)
		total += rate
		m := f.members[w.holder]
		if m == nil {
			continue
		}
		m.rows++
		if w.leaving {
			m.leaving++
		} else {
			m.load += rate
		}
	}
	for _, m := range f.members {
		if m.leaving > 0 {
			f.moving++
		}
	}
	if capacity > 0 {
		f.average = total / capacity
	}
	return f
}

// averageWorkTime returns the time of a request over all servers of a service.
func (c *Coordinator) averageWorkTime(name string) float64 {
	var all workTimes
	for _, s := range c.servers {
		if s.info.Service == name {
			all.seconds += s.work.seconds
			all.count += s.work.count
		}
	}
	return all.average(defaultWorkTime)
}

// capacity returns the requests a second that fill the server's slots.
func (s *server) capacity(average float64) float64 {
	workTime := s.work.average(average)
	capacity := float64(max(s.info.Slots, 1)) / workTime
	if s.info.WarmupMillis > 0 {
		capacity *= warmupFactor
	}
	return capacity
}

// pull gives the server keys that nobody holds, up to its part of the load.
func (c *Coordinator) pull(now time.Duration, svc *service, s *server) {
	if !s.ready() || !svc.hasFree(now) {
		return
	}
	if !svc.seeded {
		if now < svc.firstAt+settleTime {
			return
		}
		svc.seed(now)
	}
	f := c.survey(svc)
	me := f.members[s.info.ID]
	if me.leaving > 0 {
		return
	}
	svc.rows.joinFree(now)
	for i := 0; i < len(svc.rows) && me.rows < maxGrantRows; i++ {
		w := &svc.rows[i]
		if !w.grantable(now) {
			continue
		}
		last, fits := svc.fit(w, &f, me, now-w.freeAt)
		if !fits {
			continue
		}
		svc.rows.splitAt(last + 1)
		w = &svc.rows[i]
		c.grant(now, svc, w, s)
		c.note(now, EventGranted, svc, w)
		me.load += svc.load.sum(w.from, w.to)
		me.rows++
	}
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
func (svc *service) fit(w *row, f *fleet, me *member, waited time.Duration) (last int64, fits bool) {
	if svc.load.of(w.from) > hotPart*me.capacity && waited < hotPatience && !f.isFastest(me) {
		return 0, false
	}
	allowance := (f.level() - me.utilization()) * me.capacity
	forced := waited >= pullPatience || f.isLeast(me)
	if forced {
		allowance = max(allowance, min(forcedPart, f.average)*me.capacity)
	}
	if last = svc.cutPrefix(w, allowance); last >= w.from {
		return last, true
	}
	return w.from, forced
}

// grant gives a free row to a server under a new token.
func (c *Coordinator) grant(now time.Duration, svc *service, w *row, s *server) {
	*w = row{
		from: w.from, to: w.to, holder: s.info.ID, born: s.info.BornMillis,
		token: c.nextToken(), handover: w.handover, pendingAt: max(now, 1),
	}
	c.granted = append(c.granted, Assignment{
		Service: svc.name, From: w.from, To: w.to, ServerID: w.holder, BornMillis: w.born, Token: w.token,
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

// isLeast tells whether no server has a lower utilization.
func (f *fleet) isLeast(me *member) bool {
	for _, m := range f.members {
		if m.utilization() < me.utilization() {
			return false
		}
	}
	return true
}

// shed marks keys that the server is to give back: all of them when it drains,
// some when it has more load than its part.
func (c *Coordinator) shed(now time.Duration, svc *service, s *server) {
	if !s.ready() {
		for i := range svc.rows {
			if w := &svc.rows[i]; w.holder == s.info.ID && !w.leaving && !w.unproven {
				w.leaving = true
				c.note(now, EventLeaving, svc, w)
			}
		}
		return
	}
	if !svc.seeded {
		return
	}
	f := c.survey(svc)
	me := f.members[s.info.ID]
	if me == nil || me.leaving > 0 || float64(f.moving) >= max(1, movesInFlight*float64(len(f.members))) {
		return
	}
	excess := f.excess(me)
	if key, hot := svc.hotKey(s.info.ID, hotPart*me.capacity); hot && f.hasFaster(me) {
		excess -= c.markRun(now, svc, key, key)
		me.rows += 2
	}
	for range maxPieces {
		if excess < leastMoved*f.average*me.capacity {
			return
		}
		moved := c.markLeaving(now, svc, s.info.ID, excess, me.rows < maxHolderRows)
		if moved == 0 {
			return
		}
		excess -= moved
		me.rows++
	}
}

// excess returns the load that a member gives away: what is above the level if it
// is busy, or else some for servers that have no keys yet.
func (f *fleet) excess(me *member) float64 {
	if me.utilization() >= max(busyUtilization, f.average*moveThreshold) {
		return (me.utilization() - f.level()) * me.capacity
	}
	if me.utilization() < f.average*giverPart {
		return 0
	}
	newcomers := 0
	for _, m := range f.members {
		if m.rows == 0 && m.server.info.WarmupMillis == 0 {
			newcomers++
		}
	}
	return newcomerPart * me.load * float64(newcomers) / float64(len(f.members))
}

// hasFaster tells whether another member is so much faster that a key which fills
// this one is better off there.
func (f *fleet) hasFaster(me *member) bool {
	for _, m := range f.members {
		if m.capacity > fasterFactor*me.capacity {
			return true
		}
	}
	return false
}

// isFastest tells whether no other member is much faster.
func (f *fleet) isFastest(me *member) bool { return !f.hasFaster(me) }

// level is the utilization up to which servers take keys. As long as there is
// hardly any load it follows the average, so that keys are divided evenly before
// their load shows.
func (f *fleet) level() float64 {
	if f.average < idleUtilization {
		return f.average * movedTo
	}
	return max(calmUtilization, f.average*movedTo)
}

// markLeaving marks about amount requests a second of the server's keys: the
// whole row or, if rows may be split, the prefix or suffix that comes closest
// without exceeding it. It returns the load of the keys marked.
func (c *Coordinator) markLeaving(now time.Duration, svc *service, id string, amount float64, split bool) float64 {
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
		consider(w.from, w.to, svc.load.sum(w.from, w.to))
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
	return c.markRun(now, svc, bestFrom, bestTo)
}

// markRun marks a run of keys, and returns their load.
func (c *Coordinator) markRun(now time.Duration, svc *service, from, to int64) float64 {
	svc.rows.each(from, to, func(w *row) {
		w.leaving = true
		c.note(now, EventLeaving, svc, w)
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
			if svc.load.of(key) > bound {
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
