package keyrange

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Holding is the leader's view of who may hold a range of keys.
type Holding struct {
	Service    string
	From, To   int64
	ServerID   string // empty for none
	Token      uint64
	LeaseLeft  time.Duration // for which the server may still hold the keys; 0 for none
	LastCall   string        // last call about the keys and what is known of it; empty for none
	WhyNotFree string        // empty if the keys have no holder, or are served as intended
}

// Holdings returns the holdings of the services whose servers take grants by calls, by service and key.
func (c *Coordinator) Holdings(now time.Duration) []Holding {
	var all []Holding
	for _, name := range slices.Sorted(maps.Keys(c.services)) {
		svc := c.services[name]
		if !svc.byCall {
			continue
		}
		for i := range svc.segments {
			all = append(all, c.holding(now, svc, &svc.segments[i]))
		}
	}
	return all
}

func (c *Coordinator) holding(now time.Duration, svc *service, seg *segment) Holding {
	h := Holding{Service: svc.name, From: seg.from, To: seg.to, ServerID: seg.holder, Token: seg.token}
	if seg.holder == "" {
		return h
	}
	h.LeaseLeft = max(0, seg.leaseEnd-now)
	h.LastCall, h.WhyNotFree = seg.lastCall(now), c.whyNotFree(now, seg)
	return h
}

// lastCall describes the last call about the keys.
func (seg *segment) lastCall(now time.Duration) string {
	s := &seg.call
	switch {
	case s.sentAt != 0:
		return fmt.Sprintf("under way for %v", (now - s.sentAt).Round(time.Millisecond))
	case s.unanswered:
		return fmt.Sprintf("no answer, sent %v ago", (now - s.lastSentAt).Round(time.Millisecond))
	case s.failures > 0:
		return fmt.Sprintf("not sent, %d times in a row", s.failures)
	case s.confirmedAt != 0:
		return fmt.Sprintf("granted %v ago", (now - s.confirmedAt).Round(time.Millisecond))
	}
	return ""
}

// whyNotFree describes what the keys wait for.
func (c *Coordinator) whyNotFree(now time.Duration, seg *segment) string {
	s := c.servers[seg.holder]
	switch {
	case seg.pendingSince != 0:
		return "the grant is being recorded"
	case s == nil:
		return "no heartbeat of the holder: until the lease ends"
	case seg.call.failures >= maxCallFailures:
		return "the holder answers no grants: until the lease ends"
	case !c.heard(now, s) && (seg.needsFence(s) || seg.revoking):
		return "the holder's heartbeats are late"
	case seg.needsFence(s):
		return "the holder must answer a grant with a higher token first"
	case seg.revoking:
		return "the holder must answer a release"
	case !seg.reported:
		return "the holder has not answered the grant"
	}
	return ""
}
