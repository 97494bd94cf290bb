package dispatch

import "time"

// noticeMemory is how long a limit or a leave counts for a server that is not listed any more, in case
// it is listed again.
const noticeMemory = 10 * time.Minute

// Notice is what a backend server says of itself with a response.
type Notice struct {
	// RateLimit is the number of requests a second that the server takes from all gateways together;
	// 0 for no limit. It holds as long as the server's responses name it.
	RateLimit float64
	// Leaving tells that the server is about to stop and wants no new requests.
	Leaving bool
	// RetryAfter is how long the server wants no requests from the gateway that it rejected; 0 if it
	// did not say so.
	RetryAfter time.Duration
	// Warmup is how long the server stays cold; 0 means that it is warm.
	Warmup time.Duration
	// WarmupKnown tells whether the response states Warmup.
	WarmupKnown bool
}

// Notices is what one gateway knows from the notices of one incarnation of a server. The zero value
// stands for none.
type Notices struct {
	rateLimit    float64
	limitNamedAt time.Duration // time of the latest notice with a limit
	leavingSince time.Duration // time of the first notice with Leaving; 0 for none
	pausedUntil  time.Duration
}

// Observe records a notice, and reports whether anything has changed but the times. An incarnation
// that was leaving once does not stay, so Leaving is never taken back.
func (n *Notices) Observe(now time.Duration, notice Notice) (changed bool) {
	before := *n
	n.rateLimit = notice.RateLimit
	if notice.RateLimit > 0 {
		n.limitNamedAt = now
	}
	if notice.Leaving && n.leavingSince == 0 {
		n.leavingSince = now
	}
	if notice.RetryAfter > 0 {
		n.pausedUntil = max(n.pausedUntil, now+notice.RetryAfter)
	}
	return n.rateLimit != before.rateLimit || n.leavingSince != before.leavingSince || n.pausedUntil != before.pausedUntil
}

// RateLimit returns the server's limit, requests a second over all gateways, and when it was last
// named; 0 if there is none.
func (n *Notices) RateLimit() (perSecond float64, namedAt time.Duration) {
	return n.rateLimit, n.limitNamedAt
}

// LeavingFor returns the time since the server first said that it leaves, or 0 if it has not.
func (n *Notices) LeavingFor(now time.Duration) time.Duration {
	if n.leavingSince == 0 {
		return 0
	}
	return now - n.leavingSince
}

// PausedFor returns how much longer the server wants no requests, or 0.
func (n *Notices) PausedFor(now time.Duration) time.Duration { return max(0, n.pausedUntil-now) }

// Outdated reports whether the notices of a server that is not listed any more may be forgotten, since
// none of them would count if it were listed again.
func (n *Notices) Outdated(now time.Duration) bool {
	leaves := n.leavingSince > 0 && now-n.leavingSince < noticeMemory
	limited := n.rateLimit > 0 && now-n.limitNamedAt < noticeMemory
	return !leaves && !limited && n.PausedFor(now) == 0
}
