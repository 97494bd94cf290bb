package backend

import (
	"time"

	"github.com/galenalug/galenalug/internal/wire"
)

// ownership is the server's view of its session, lease and grants. It reads no clock and takes no
// lock: times are passed in as durations on the server's monotonic clock, and the caller serializes
// the calls.
type ownership struct {
	incarnation string
	session     uint64
	leaseEnd    time.Duration
	version     uint64         // of the grants
	held        map[int]uint64 // fencing tokens by slot
	releasing   map[wire.Grant]bool
	running     map[wire.Grant]int // admitted requests that have not ended
}

func newOwnership(incarnation string) *ownership {
	return &ownership{
		incarnation: incarnation,
		held:        map[int]uint64{},
		releasing:   map[wire.Grant]bool{},
		running:     map[wire.Grant]int{},
	}
}

// handleReply applies the reply to an announcement that was sent at sentAt by the given incarnation.
// The lease starts at sentAt. handleReply reports whether the session ended; the server must then
// register with a new incarnation.
func (o *ownership) handleReply(incarnation string, sentAt time.Duration, reply wire.AnnouncementReply) (ended bool) {
	if incarnation != o.incarnation {
		return false
	}
	if reply.Session == 0 {
		return true
	}
	if reply.Session != o.session {
		o.dropGrants()
		o.session = reply.Session
		o.leaseEnd = 0
	}
	o.leaseEnd = max(o.leaseEnd, sentAt+time.Duration(reply.LeaseMillis)*time.Millisecond)
	return false
}

// reset drops the session and all grants, and sets a new incarnation.
func (o *ownership) reset(incarnation string) {
	o.incarnation = incarnation
	o.session = 0
	o.leaseEnd = 0
	o.dropGrants()
}

func (o *ownership) dropGrants() {
	o.version = 0
	o.held = map[int]uint64{}
	o.releasing = map[wire.Grant]bool{}
}

// applyGrants applies a later version of the session's grants and reports whether it was later than
// the current one. A grant that was listed as releasing is not used again, even if it is listed as
// held.
func (o *ownership) applyGrants(grants wire.Grants) bool {
	if grants.Session != o.session || grants.Version <= o.version {
		return false
	}
	releasing := map[wire.Grant]bool{}
	for _, grant := range grants.Releasing {
		releasing[grant] = true
	}
	held := map[int]uint64{}
	for _, grant := range grants.Held {
		if o.releasing[grant] {
			releasing[grant] = true
			continue
		}
		held[grant.Slot] = grant.Token
	}
	o.version = grants.Version
	o.held = held
	o.releasing = releasing
	return true
}

// begin admits a request under a grant, or returns the refusal reason. The caller must call end for
// an admitted request.
func (o *ownership) begin(grant wire.Grant, now time.Duration) string {
	if reason := o.check(grant, now); reason != "" {
		return reason
	}
	o.running[grant]++
	return ""
}

// check returns the reason to refuse a request, or "" if it may run.
func (o *ownership) check(grant wire.Grant, now time.Duration) string {
	if now >= o.leaseEnd {
		return wire.RefusedNotOwner
	}
	token, ok := o.held[grant.Slot]
	switch {
	case !ok:
		return wire.RefusedNotOwner
	case grant.Token < token:
		return wire.RefusedStaleToken
	case grant.Token > token:
		return wire.RefusedNotOwner
	default:
		return ""
	}
}

// recheck returns the reason to refuse an admitted request before it takes effect, or "". The grant
// may be releasing by then, since it is released only after its admitted requests have ended.
func (o *ownership) recheck(grant wire.Grant, now time.Duration) string {
	if o.releasing[grant] && now < o.leaseEnd {
		return ""
	}
	return o.check(grant, now)
}

func (o *ownership) end(grant wire.Grant) {
	o.running[grant]--
	if o.running[grant] <= 0 {
		delete(o.running, grant)
	}
}

// released returns the releasing grants that have no admitted requests left.
func (o *ownership) released() []wire.Grant {
	list := []wire.Grant{}
	for grant := range o.releasing {
		if o.running[grant] == 0 {
			list = append(list, grant)
		}
	}
	return list
}

// empty reports whether there are no grants, neither held nor releasing.
func (o *ownership) empty() bool { return len(o.held) == 0 && len(o.releasing) == 0 }
