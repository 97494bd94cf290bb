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
	// moveThreshold is how far, relative to the average, a server's utilization
	// may exceed the average before it gives keys away.
	moveThreshold = 1.2
	// moveFloor is the utilization below which no keys are moved for load.
	moveFloor = 0.35
	// movesInFlight is the part of a service's servers that may be giving keys
	// away for load at the same time.
	movesInFlight = 0.25
	// pullThreshold is how far, relative to the average, a server may be filled
	// with keys that nobody holds.
	pullThreshold = 1.1
	// pullPatience is how long keys wait for a server below the average before
	// any server takes them.
	pullPatience = 200 * time.Millisecond
	// leastMoved is the part of the average load of a server below which a move
	// is not worth the keys' unavailability.
	leastMoved = 0.03
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

func (c *Coordinator) averageWorkTime(name string) float64 {
	total, count := 0.0, 0
	for _, s := range c.servers {
		if s.info.Service == name && s.workTime > 0 {
			total += s.workTime
			count++
		}
	}
	if count == 0 {
		return defaultWorkTime
	}
	return total / float64(count)
}

// capacity returns the requests a second that fill the server's slots.
func (s *server) capacity(average float64) float64 {
	workTime := s.workTime
	if workTime == 0 {
		workTime = average
	}
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
		svc.seeded = true
	}
	f := c.survey(svc)
	me := f.members[s.info.ID]
	limit := f.average * pullThreshold
	svc.rows.joinFree()
	for i := 0; i < len(svc.rows) && me.rows < maxGrantRows; i++ {
		w := &svc.rows[i]
		if w.holder != "" || w.unknown || now < w.freeAt {
			continue
		}
		room := (limit - me.utilization()) * me.capacity
		rate := svc.load.sum(w.from, w.to)
		patient := now-w.freeAt < pullPatience
		if rate > room && patient && !f.isLeast(me) {
			if room <= 0 || w.to-w.from+1 < 2 {
				continue
			}
		}
		if rate > room && w.to > w.from {
			cut := svc.cutPrefix(w, room)
			if cut < w.from {
				if patient && !f.isLeast(me) {
					continue
				}
				cut = w.from
			}
			svc.rows.splitAt(cut + 1)
			w = &svc.rows[i]
			rate = svc.load.sum(w.from, w.to)
		}
		c.grant(w, s)
		me.load += rate
		me.rows++
	}
}

// grant gives a free row to a server under a new token.
func (c *Coordinator) grant(w *row, s *server) {
	*w = row{
		from: w.from, to: w.to, holder: s.info.ID, born: s.info.BornMillis,
		token: c.nextToken(), handover: w.handover,
	}
}

func (svc *service) hasFree(now time.Duration) bool {
	return slices.ContainsFunc(svc.rows, func(w row) bool {
		return w.holder == "" && !w.unknown && now >= w.freeAt
	})
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
func (c *Coordinator) shed(svc *service, s *server) {
	if !s.ready() {
		for i := range svc.rows {
			if w := &svc.rows[i]; w.holder == s.info.ID {
				w.leaving = true
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
	least := f.least()
	if least == me || me.utilization() < moveFloor && least.rows > 0 || me.utilization() < f.average*moveThreshold {
		return
	}
	excess := (me.utilization() - f.average) * me.capacity
	room := (f.average - least.utilization()) * least.capacity
	amount := min(excess, room)
	if amount < leastMoved*f.average*me.capacity {
		return
	}
	svc.markLeaving(s.info.ID, amount, me.rows < maxHolderRows)
}

// least returns the member with the lowest utilization.
func (f *fleet) least() *member {
	var least *member
	for _, m := range f.members {
		if least == nil || m.utilization() < least.utilization() {
			least = m
		}
	}
	return least
}

// markLeaving marks about amount requests a second of the server's keys: the
// whole row or, if rows may be split, the prefix or suffix that comes closest
// without exceeding it.
func (svc *service) markLeaving(id string, amount float64, split bool) {
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
		return
	}
	svc.rows.each(bestFrom, bestTo, func(w *row) { w.leaving = true })
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
