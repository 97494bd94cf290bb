package keyrange

import (
	"slices"
	"sort"
	"time"
)

// segment is a range of keys with the same state.
type segment struct {
	from, to    int64
	holder      string        // ID of the server that may hold the keys; empty for none
	startMillis int64         // start time of the holder's incarnation
	token       uint64        // of the newest grant
	sequence    int64         // number of the holder's heartbeat that was answered with the grant
	leaseEnd    time.Duration // latest time at which the holder's lease expires
	revoking    bool          // the holder is told to release the keys
	reported    bool          // the holder's newest heartbeat reports the keys as held
	// pendingSince is the time of a grant that is still being recorded; 0 otherwise.
	pendingSince time.Duration
	unconfirmed  bool          // granted in an earlier term and not reported by the holder yet
	freeAt       time.Duration // time from which keys without a holder may be granted
	// forEmptyServer is set while keys are revoked for a server without keys. Once free,
	// these keys are reserved for such a server; reservedAt is the time at which they became free,
	// 0 for other keys.
	forEmptyServer bool
	reservedAt     time.Duration
	handover       string // reference from the previous holder

	call callState // if servers take grants by calls

	rate        float64 // requests per second; see service.rate
	rateVersion uint64  // load.version at which rate was computed; 0 for none
}

// segments cover all keys of a service without gaps, in ascending order.
type segments []segment

// index returns the index of the segment that contains key.
func (r segments) index(key int64) int {
	return sort.Search(len(r), func(i int) bool { return r[i].to >= key })
}

// splitAt splits the segment that contains key, so that one starts at key, and returns the
// index of that segment. key may be one past the last key.
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

// forEach calls visit for the segments that cover exactly [from, to]. It splits segments at
// both ends.
func (r *segments) forEach(from, to int64, visit func(*segment)) {
	first := r.splitAt(from)
	end := r.splitAt(to + 1)
	for i := first; i < end; i++ {
		visit(&(*r)[i])
	}
}

// mergeFree merges adjacent grantable segments with the same handover and reservedAt.
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
	return a.grantable(now) && b.grantable(now) && a.handover == b.handover && a.reservedAt == b.reservedAt
}

// grantable reports whether the keys are free and may be granted.
func (seg *segment) grantable(now time.Duration) bool {
	return seg.holder == "" && now >= seg.freeAt
}

// free resets the segment to one without a holder.
func (seg *segment) free(now time.Duration, handover string) {
	reservedAt := time.Duration(0)
	if seg.forEmptyServer {
		reservedAt = max(now, 1)
	}
	*seg = segment{from: seg.from, to: seg.to, token: seg.token, freeAt: now, handover: handover, reservedAt: reservedAt}
}
