package backend

import (
	"time"

	"github.com/galenalug/galenalug/internal/wire"
)

// ownership is the server's view of its session, lease and grants. It is pure:
// times are durations on the server's monotonic clock, and the caller locks.
type ownership struct {
	incarnation string
	session     uint64
	leaseEnd    time.Duration
	version     uint64 // of the grants held
	held        map[int]uint64
	releasing   map[wire.Grant]bool
	running     map[wire.Grant]int
}

func newOwnership(incarnation string) *ownership {
	return &ownership{
		incarnation: incarnation,
		held:        map[int]uint64{},
		releasing:   map[wire.Grant]bool{},
		running:     map[wire.Grant]int{},
	}
}

// renewed takes the reply to an announcement of the given incarnation, sent at
// sentAt. The lease counts from the sending. It reports whether the session
// ended, after which the server must register with a new incarnation.
func (o *ownership) renewed(incarnation string, sentAt time.Duration, reply wire.AnnouncementReply) (ended bool) {
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

// restart gives up the session and all grants under a new incarnation.
func (o *ownership) restart(incarnation string) {
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

// apply takes a later version of the session's grants and reports whether it
// was later. A grant once listed as releasing is never used again.
func (o *ownership) apply(grants wire.Grants) bool {
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

// begin admits a request to a slot under a token, or returns the reason of the
// refusal. An admitted request must be ended.
func (o *ownership) begin(grant wire.Grant, now time.Duration) string {
	if reason := o.check(grant, now); reason != "" {
		return reason
	}
	o.running[grant]++
	return ""
}

// check returns the reason why a request may not run now, or nothing.
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

// recheck returns the reason why an admitted request may not take effect now.
// Its grant may stand among those to release, which wait for running requests.
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

// released lists the grants to release whose requests have all ended.
func (o *ownership) released() []wire.Grant {
	list := []wire.Grant{}
	for grant := range o.releasing {
		if o.running[grant] == 0 {
			list = append(list, grant)
		}
	}
	return list
}

// empty reports whether no grant is left.
func (o *ownership) empty() bool { return len(o.held) == 0 && len(o.releasing) == 0 }
