package dispatch

import (
	"math"
	"time"
)

const (
	// urgencyMemory is how long after a request its class counts as present.
	urgencyMemory = 3 * time.Second
	// forgetting is the number of longer requests after which the work of a shorter one is nearly forgotten.
	forgetting = 20
	// priorities is the number of priorities told apart; larger values count like the largest.
	priorities = 4
	// usableExponent and minUsable determine the part of a server that less urgent requests may use. Requests that
	// run six times as long as the urgent ones may use a third, which on a server with six slots leaves two free.
	usableExponent = -0.6
	minUsable      = 0.3
	// maxAgedUsable bounds the part that requests may use which have waited. In overload, all less urgent ones wait long.
	maxAgedUsable = 0.4
	// agingSlackPart is the part of a request's slack until its target after which it may use that part.
	agingSlackPart = 0.5
)

// Urgency knows which classes of a service's requests were seen recently at one gateway, so that less urgent requests
// leave room for them. The zero value knows of none.
type Urgency struct {
	classes [priorities]struct {
		seenAt time.Duration // 0 if not seen
		work   time.Duration // expected, of the shortest requests lately; see forgetting
	}
}

func priorityIndex(priority int64) int { return int(min(max(priority, 0), priorities-1)) }

// Seen records a request.
func (u *Urgency) Seen(now time.Duration, priority int64, work time.Duration) {
	c := &u.classes[priorityIndex(priority)]
	if c.seenAt == 0 || now-c.seenAt > urgencyMemory || work <= c.work {
		c.work = work
	} else {
		c.work += (work - c.work) / forgetting
	}
	c.seenAt = now
}

// Usable returns the part of each server's slots and queue that a request may use: less than 1 if more urgent
// requests were seen recently that run for a shorter time, so that these don't wait behind it. waited is how long the
// request has waited in the gateway, and slack how long it could wait to meet its target: requests that have waited
// may use more.
func (u *Urgency) Usable(now time.Duration, priority int64, work, waited, slack time.Duration) float64 {
	usable := 1.0
	for _, c := range u.classes[:priorityIndex(priority)] {
		if c.seenAt != 0 && now-c.seenAt <= urgencyMemory && c.work > 0 && c.work < work {
			usable = min(usable, math.Pow(float64(work)/float64(c.work), usableExponent))
		}
	}
	usable = max(usable, minUsable)
	if usable >= maxAgedUsable {
		return usable
	}
	agingTime := agingSlackPart * float64(slack)
	if agingTime <= 0 || float64(waited) >= agingTime {
		return maxAgedUsable
	}
	return usable + (maxAgedUsable-usable)*float64(waited)/agingTime
}
