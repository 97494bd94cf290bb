package keyrange

import "time"

// CallEnded processes the result of a call.
func (c *Coordinator) CallEnded(now time.Duration, call Call, result CallResult) {
	s := c.servers[call.ServerID]
	if s != nil && s.info.StartMillis == call.StartMillis {
		s.observeCall(now, call, result)
	} else if s != nil && call.Kind == CallGrant && result.Outcome == CallDone {
		result.Outcome = CallUnknown // the server's new process may have answered
	}
	svc := c.services[call.Service]
	if svc == nil || !valid(call.From, call.To, svc.keys()) {
		return
	}
	svc.segments.forEach(call.From, call.To, func(seg *segment) {
		if seg.holder != call.ServerID || seg.token != call.Token || seg.call.sentAt == 0 {
			return // it was freed, or granted again, meanwhile
		}
		if call.Kind == CallRelease {
			c.applyReleaseCall(now, svc, seg, result)
		} else {
			c.applyGrantCall(now, svc, seg, result)
		}
	})
}

// observeCall records how the server takes calls.
func (s *server) observeCall(now time.Duration, call Call, result CallResult) {
	// The server may have been forgotten and come back during the call, which then isn't counted.
	if call.Kind == CallRelease {
		s.calls.releases = max(0, s.calls.releases-1)
	} else {
		s.calls.grants = max(0, s.calls.grants-1)
	}
	switch result.Outcome {
	case CallDone, CallStale:
		s.calls.failures = 0
	case CallNoConn:
	case CallInvalid:
		s.calls.failures = 0
		s.calls.pausedUntil = now + rejectedPause
	default:
		if call.Kind == CallGrant { // a release waits for requests, however long they take
			s.calls.keylessUntil = now + min(keylessPause<<min(s.calls.failures, 8), maxKeylessPause)
			s.calls.failures++
		}
	}
}

// applyGrantCall processes the result of a grant for one segment.
func (c *Coordinator) applyGrantCall(now time.Duration, svc *service, seg *segment, result CallResult) {
	sentAt := seg.call.sentAt
	seg.call.sentAt = 0
	switch result.Outcome {
	case CallDone:
		if !seg.reported {
			c.recordEvent(now, EventAccepted, svc, seg)
		}
		seg.reported, seg.unconfirmed, seg.handover = true, false, ""
		seg.call = callState{confirmedAt: sentAt, lastSentAt: sentAt, connection: result.Connection}
		seg.leaseEnd = now + LeaseBound(c.options.Lease)
	case CallNotSent, CallRefused:
		seg.leaseEnd = seg.call.leaseBefore
		if seg.neverSent() {
			seg.free(now, seg.handover)
			svc.changes++
			return
		}
		seg.call.backOff(now)
	case CallNoConn:
		seg.leaseEnd = seg.call.leaseBefore
		seg.call.unanswered = true // the next grant has a new token
	default: // after CallStale and CallInvalid, too, the next grant needs a new token
		seg.call.unanswered, seg.call.lastSentAt = true, sentAt
		seg.call.backOff(now)
	}
}

// applyReleaseCall processes the result of a release for one segment. A release that got no answer is sent
// again until the lease ends.
func (c *Coordinator) applyReleaseCall(now time.Duration, svc *service, seg *segment, result CallResult) {
	seg.call.sentAt = 0
	if result.Outcome == CallDone {
		c.recordEvent(now, EventReleased, svc, seg)
		seg.free(now, result.Handover)
		return
	}
	seg.call.backOff(now)
}

// backOff delays the next call.
func (s *callState) backOff(now time.Duration) {
	s.retryAt = now + callBackoff<<min(s.failures, maxCallFailures)
	s.failures++
}

// callsSettled reports whether no call about the keys is under way or without an answer.
func (seg *segment) callsSettled() bool { return seg.call.sentAt == 0 && !seg.call.unanswered }
