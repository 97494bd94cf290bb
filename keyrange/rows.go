package keyrange

import (
	"slices"
	"sort"
	"time"
)

// row is a run of keys in one state.
type row struct {
	from, to int64
	holder   string        // ID of the server that may hold the keys; empty for none
	born     int64         // incarnation of the holder
	token    uint64        // of the newest grant
	until    time.Duration // when the holder's lease is over at the latest
	leaving  bool          // the holder is told to give the keys back
	reported bool          // the holder's newest heartbeat names the keys
	// pendingAt is when the keys were granted, until the grant is recorded; 0 then.
	pendingAt time.Duration
	unproven  bool          // granted in an earlier term; the holder did not report it yet
	freeAt    time.Duration // when keys without a holder may be granted
	// forNewcomer says that the holder gives the keys to a server without any, and
	// offered when it had given them up; 0 for other keys.
	forNewcomer bool
	offered     time.Duration
	handover    string // reference from the last holder

	rate  float64 // requests a second of the keys; see service.rate
	rated uint64  // version of the load that rate was taken from; 0 for none
}

// rows cover all keys of a service without gaps, in ascending order.
type rows []row

// index returns the place of the row that holds key.
func (r rows) index(key int64) int {
	return sort.Search(len(r), func(i int) bool { return r[i].to >= key })
}

// splitAt makes a row begin at key and returns its place; key may be one past
// the last key.
func (r *rows) splitAt(key int64) int {
	if key <= 0 {
		return 0
	}
	i := r.index(key)
	if i >= len(*r) || (*r)[i].from == key {
		return i
	}
	left := (*r)[i]
	left.to = key - 1
	left.rated = 0
	(*r)[i].from, (*r)[i].rated = key, 0
	*r = slices.Insert(*r, i, left)
	return i + 1
}

// each calls visit for rows that cover exactly from to to, after splitting at
// both ends.
func (r *rows) each(from, to int64, visit func(*row)) {
	first := r.splitAt(from)
	end := r.splitAt(to + 1)
	for i := first; i < end; i++ {
		visit(&(*r)[i])
	}
}

// joinFree joins neighbours that nobody holds and that may be granted alike.
func (r *rows) joinFree(now time.Duration) {
	out := (*r)[:0]
	for _, next := range *r {
		if last := len(out) - 1; last >= 0 && alikeFree(now, &out[last], &next) {
			out[last].to, out[last].rated = next.to, 0
			out[last].freeAt = min(out[last].freeAt, next.freeAt)
			continue
		}
		out = append(out, next)
	}
	*r = out
}

func alikeFree(now time.Duration, a, b *row) bool {
	return a.grantable(now) && b.grantable(now) && a.handover == b.handover && a.offered == b.offered
}

// grantable tells whether the keys may be granted.
func (w *row) grantable(now time.Duration) bool {
	return w.holder == "" && now >= w.freeAt
}

// free marks the row as held by nobody.
func (w *row) free(now time.Duration, handover string) {
	offered := time.Duration(0)
	if w.forNewcomer {
		offered = max(now, 1)
	}
	*w = row{from: w.from, to: w.to, token: w.token, freeAt: now, handover: handover, offered: offered}
}
