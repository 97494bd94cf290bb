package keyrange

import (
	"slices"
	"sort"
	"time"
)

// row is a run of keys in one state.
type segment struct {
	from, to    int64
	holder      string        // ID of the server that may hold the keys; empty for none
	startMillis int64         // incarnation of the holder
	token       uint64        // of the newest grant
	leaseEnd    time.Duration // when the holder's lease is over at the latest
	revoking    bool          // the holder is told to give the keys back
	reported    bool          // the holder's newest heartbeat names the keys
	// pendingAt is when the keys were granted, until the grant is recorded; 0 then.
	pendingSince time.Duration
	unconfirmed  bool          // granted in an earlier term; the holder did not report it yet
	freeAt       time.Duration // when keys without a holder may be granted
	// forNewcomer says that the holder gives the keys to a server without any, and
	// offered when it had given them up; 0 for other keys.
	forEmptyServer bool
	offeredAt      time.Duration
	handover       string // reference from the last holder

	rate        float64 // requests a second of the keys; see service.rate
	rateVersion uint64  // version of the load that rate was taken from; 0 for none
}

// rows cover all keys of a service without gaps, in ascending order.
type segments []segment

// index returns the place of the row that holds key.
func (r segments) index(key int64) int {
	return sort.Search(len(r), func(i int) bool { return r[i].to >= key })
}

// splitAt makes a row begin at key and returns its place; key may be one past
// the last key.
func (r *segments) splitAt(key int64) int {
	if key <= 0 {
		return 0
	}
	i := r.index(key)
	if i >= len(*r) || (*r)[i].from == key {
		return i
	}
	left := (*r)[i]
	left.to = key - 1
	left.rateVersion = 0
	(*r)[i].from, (*r)[i].rateVersion = key, 0
	*r = slices.Insert(*r, i, left)
	return i + 1
}

// each calls visit for rows that cover exactly from to to, after splitting at
// both ends.
func (r *segments) forEach(from, to int64, visit func(*segment)) {
	first := r.splitAt(from)
	end := r.splitAt(to + 1)
	for i := first; i < end; i++ {
		visit(&(*r)[i])
	}
}

// joinFree joins neighbours that nobody holds and that may be granted alike.
func (r *segments) mergeFree(now time.Duration) {
	out := (*r)[:0]
	for _, next := range *r {
		if last := len(out) - 1; last >= 0 && mergeable(now, &out[last], &next) {
			out[last].to, out[last].rateVersion = next.to, 0
			out[last].freeAt = min(out[last].freeAt, next.freeAt)
			continue
		}
		out = append(out, next)
	}
	*r = out
}

func mergeable(now time.Duration, a, b *segment) bool {
	return a.grantable(now) && b.grantable(now) && a.handover == b.handover && a.offeredAt == b.offeredAt
}

// grantable tells whether the keys may be granted.
func (seg *segment) grantable(now time.Duration) bool {
	return seg.holder == "" && now >= seg.freeAt
}

// free marks the row as held by nobody.
func (seg *segment) free(now time.Duration, handover string) {
	offeredAt := time.Duration(0)
	if seg.forEmptyServer {
		offeredAt = max(now, 1)
	}
	*seg = segment{from: seg.from, to: seg.to, token: seg.token, freeAt: now, handover: handover, offeredAt: offeredAt}
}
