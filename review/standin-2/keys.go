package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// keyRow is a range of keys that an upstream holds.
type keyRow struct{ from, to, fence int64 }

// keyHolder is what an upstream holds of the keys of its service. It is guarded by upstream.mu.
type keyHolder struct {
	rows       []keyRow
	leaseUntil time.Time
	leaving    []keyRow      // left out of a reply, and still worked on
	freed      [][]any       // released, and not acknowledged yet
	working    map[int64]int // requests by key
}

// held returns the ranges that the upstream holds at a time.
func (u *upstream) held(now time.Time) []keyRow {
	u.mu.Lock()
	defer u.mu.Unlock()
	if now.After(u.keys.leaseUntil) {
		return nil
	}
	return append(append([]keyRow(nil), u.keys.rows...), u.keys.leaving...)
}

// startWork reports whether the upstream holds a key, and counts a request for it.
func (u *upstream) startWork(key int64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if time.Now().After(u.keys.leaseUntil) {
		return false
	}
	for _, row := range u.keys.rows {
		if key >= row.from && key <= row.to {
			if u.keys.working == nil {
				u.keys.working = map[int64]int{}
			}
			u.keys.working[key]++
			return true
		}
	}
	return false
}

func (u *upstream) endWork(key int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.keys.working[key]--; u.keys.working[key] == 0 {
		delete(u.keys.working, key)
	}
}

// release moves the ranges that are no longer worked on from leaving to freed. The caller holds mu.
func (u *upstream) release() {
	var still []keyRow
	for _, row := range u.keys.leaving {
		worked := false
		for key := range u.keys.working {
			worked = worked || key >= row.from && key <= row.to
		}
		if worked {
			still = append(still, row)
			continue
		}
		u.keys.freed = append(u.keys.freed, []any{row.from, row.to, fmt.Sprintf("%016x", rand.Uint64())})
	}
	u.keys.leaving = still
}

// reportKeys returns the lists of a heartbeat, and the number of released ranges in it.
func (u *upstream) reportKeys(now time.Time) (holds, freed [][]any, count int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if now.After(u.keys.leaseUntil) {
		u.keys.rows, u.keys.leaving = nil, nil // an expired lease is not reported as released
	}
	u.release()
	holds, freed = [][]any{}, [][]any{}
	for _, row := range append(append([]keyRow(nil), u.keys.rows...), u.keys.leaving...) {
		holds = append(holds, []any{row.from, row.to, row.fence})
	}
	freed = append(freed, u.keys.freed...)
	return holds, freed, len(freed)
}

// acknowledged drops the released ranges that an acknowledged heartbeat listed.
func (u *upstream) acknowledged(freed int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.keys.freed = u.keys.freed[freed:]
}

// hasFreed reports whether the upstream has to send a heartbeat soon.
func (u *upstream) hasFreed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.keys.freed)+len(u.keys.leaving) > 0
}

// takeKeys makes the ranges of a reply everything that the upstream holds, from when its heartbeat was sent.
func (u *upstream) takeKeys(rows [][]any, sentAt time.Time, hold time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	var taken []keyRow
	for _, row := range rows {
		from, _ := row[0].(float64)
		to, _ := row[1].(float64)
		fence, _ := row[2].(float64)
		taken = append(taken, keyRow{int64(from), int64(to), int64(fence)})
	}
	for _, old := range u.keys.rows {
		u.keys.leaving = append(u.keys.leaving, without(old, taken)...)
	}
	u.keys.rows, u.keys.leaseUntil = taken, sentAt.Add(hold)
	u.release()
}

// without returns the parts of a range that no other range covers.
func without(row keyRow, others []keyRow) []keyRow {
	rest := []keyRow{row}
	for _, o := range others {
		var next []keyRow
		for _, r := range rest {
			if o.to < r.from || o.from > r.to {
				next = append(next, r)
				continue
			}
			if r.from < o.from {
				next = append(next, keyRow{r.from, o.from - 1, r.fence})
			}
			if r.to > o.to {
				next = append(next, keyRow{o.to + 1, r.to, r.fence})
			}
		}
		rest = next
	}
	return rest
}

// doubleHold is the longest time for which two upstreams may hold the same keys.
const doubleHold = 500 * time.Millisecond

// watchHolders records a broken rule when two upstreams hold the same keys for longer than doubleHold, until stop is closed.
func (f *upstreams) watchHolders(stop <-chan struct{}) {
	type pair struct{ a, b string }
	since := map[pair]time.Time{}
	reported := map[pair]bool{}
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		now := time.Now()
		f.mu.Lock()
		all := append([]*upstream(nil), f.all...)
		f.mu.Unlock()
		held := make([][]keyRow, len(all))
		for i, u := range all {
			held[i] = u.held(now)
		}
		for i := range all {
			for j := i + 1; j < len(all); j++ {
				p := pair{all[i].id, all[j].id}
				from, to, both := overlap(held[i], held[j])
				switch {
				case !both:
					delete(since, p)
				case since[p].IsZero():
					since[p] = now
					f.record.add("%s and %s both hold keys %d to %d", p.a, p.b, from, to)
				case now.Sub(since[p]) > doubleHold && !reported[p]:
					reported[p] = true
					f.record.rule("OWNER", "%s and %s, which are up, hold keys %d to %d for over half a second", p.a, p.b, from, to)
				}
			}
		}
	}
}

// overlap returns the first keys that two upstreams hold.
func overlap(a, b []keyRow) (from, to int64, both bool) {
	for _, x := range a {
		for _, y := range b {
			if from, to = max(x.from, y.from), min(x.to, y.to); from <= to {
				return from, to, true
			}
		}
	}
	return 0, 0, false
}
