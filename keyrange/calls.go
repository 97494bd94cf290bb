package keyrange

import (
	"cmp"
	"slices"
	"time"
)

// Services whose servers take grants by calls (SetServices) don't renew leases in the replies to heartbeats. The
// Coordinator names the calls that are due, and learns their results.
//
// A lease runs from the arrival of its call, and a call without an answer may arrive, and be carried out, after
// it was given up. Three rules keep a key with one server:
//
//   - The lease of a grant counts from the latest possible arrival of its last call.
//   - A token is sent again only if its last call was answered, and only on the connection of that answer, so that
//     no later process at the address gets it. Otherwise the next call to the server has a new, higher token: once
//     that is answered, the server refuses the earlier one.
//   - A release is sent only under a token whose last grant was answered. So no earlier grant of these keys can
//     take effect at the server after the release.
const (
	// sendSlack is how long after its decision a call may still be sent.
	sendSlack = 500 * time.Millisecond
	// callTimeout is how long a grant may take to be answered.
	callTimeout = 500 * time.Millisecond
	// arrivalSlack is how long after it was given up a call may still arrive: its connection is reset then, so
	// that only what is on its way counts.
	arrivalSlack = 500 * time.Millisecond
	// maxArrival is the longest time from the decision of a grant to its arrival at the server.
	maxArrival = sendSlack + callTimeout + arrivalSlack
	// releaseTimeout is how long a release may take. The server answers it when its requests have ended; if that
	// takes longer, the next release goes on waiting.
	releaseTimeout = time.Second
	// renewFraction is the part of a lease after which it is renewed.
	renewFraction = 1.0 / 3
	// heartbeatAgeFraction is the age of a server's last heartbeat, as a part of the lease, beyond which nothing
	// is granted to it: a call without an answer extends the time for which its keys can't move.
	heartbeatAgeFraction = 0.27
	// maxReleases is the number of releases to a server at the same time. Grants have a connection of their own,
	// and follow each other.
	maxReleases = 3
	// maxCallFailures is the number of grants of a range in a row without an answer after which the lease is
	// left to expire.
	maxCallFailures = 3
	// callBackoff is the time to the next call about a range after one that failed; it doubles each time.
	callBackoff = 100 * time.Millisecond
	// keylessPause is how long a server whose calls fail receives no further keys; it doubles with each call
	// that fails, up to maxKeylessPause.
	keylessPause    = 250 * time.Millisecond
	maxKeylessPause = 8 * time.Second
	// unsentGrantTime is how long keys stay assigned to a server before the first call.
	unsentGrantTime = 3 * time.Second
	// assignInterval is the least time between two assignments of free keys to all servers.
	assignInterval = 50 * time.Millisecond
	// rejectedPause is how long a server that refuses a call as invalid gets no further one.
	rejectedPause = 5 * time.Second
)

// CallKind is the kind of a Call.
type CallKind string

// Kinds of calls.
const (
	CallGrant   CallKind = "grant"   // grants keys, or renews their lease
	CallRelease CallKind = "release" // ends the server's hold on keys, and returns once its requests have ended
)

// Call is a call to a backend server about a range of keys. It may be sent until NotAfter only.
type Call struct {
	Kind        CallKind
	Service     string
	ServerID    string
	StartMillis int64 // start time of the server's incarnation, Unix milliseconds
	Address     string
	From, To    int64
	Token       uint64
	Lease       time.Duration // from the arrival of a grant
	Handover    string        // reference from the previous holder; empty for none
	Connection  int64         // of a grant: connection on which it must be sent; 0 for any
	NotAfter    time.Duration // time until which the call may be sent
	Timeout     time.Duration // after which the call is given up and its connection is reset
}

// CallOutcome is what is known of a call once it has ended.
type CallOutcome string

// Outcomes of calls.
const (
	CallDone    CallOutcome = "done"     // the server has carried it out
	CallStale   CallOutcome = "stale"    // the server has seen a higher token
	CallInvalid CallOutcome = "invalid"  // the server can't make sense of it
	CallNotSent CallOutcome = "not-sent" // no byte has left this host
	CallNoConn  CallOutcome = "no-conn"  // as CallNotSent: its connection is gone
	CallRefused CallOutcome = "refused"  // as CallNotSent: the server's host refused the connection
	CallUnknown CallOutcome = "unknown"  // it may be carried out, also later
)

// CallResult is the result of a Call.
type CallResult struct {
	Outcome    CallOutcome
	Connection int64  // on which a grant was answered
	Handover   string // of a release: reference for the next holder
}

// callState is what is known of the calls about a segment.
type callState struct {
	sentAt      time.Duration // of the call under way; 0 for none
	leaseBefore time.Duration // leaseEnd before the call under way
	lastSentAt  time.Duration // of the last grant that left this host; 0 for none
	unanswered  bool          // a grant was sent whose answer is not known, or its connection is gone
	connection  int64         // on which the last grant was answered
	confirmedAt time.Duration // when the last answered grant of the token was sent; 0 for none
	retryAt     time.Duration // time until which no further call is sent
	failures    int           // grants in a row without an answer
}

// serverCalls is what is known of the calls to a server.
type serverCalls struct {
	grants       int           // under way
	releases     int           // under way
	failures     int           // calls in a row without an answer
	pausedUntil  time.Duration // the server gets no grants until then
	keylessUntil time.Duration // the server receives no further keys until then
}

// Calls returns calls that are due, at most the given number, the most urgent first. Each must be sent at once
// and end with CallEnded. Grants that TakePendingGrants has returned become due once they are resolved.
func (c *Coordinator) Calls(now time.Duration, limit int) []Call {
	if !c.anyByCall() {
		return nil
	}
	c.Tick(now)
	var due []dueCall
	for _, svc := range c.services {
		if !svc.byCall || !svc.active {
			continue
		}
		c.revokeFromLeaving(now, svc)
		c.assignAll(now, svc)
		for i := range svc.segments {
			if d, ok := c.dueCall(now, svc, &svc.segments[i]); ok {
				due = append(due, d)
			}
		}
	}
	slices.SortStableFunc(due, func(a, b dueCall) int {
		return cmp.Or(a.urgency-b.urgency, cmp.Compare(a.deadline, b.deadline))
	})
	var calls []Call
	for _, d := range due {
		if len(calls) >= limit {
			break
		}
		if d.server.mayCall(d.kind) {
			calls = append(calls, c.startCall(now, d))
		}
	}
	return calls
}

// anyByCall reports whether a service has servers that take grants by calls.
func (c *Coordinator) anyByCall() bool {
	for _, svc := range c.services {
		if svc.byCall {
			return true
		}
	}
	return false
}

// revokeFromLeaving revokes the keys of servers that leave. These may send no further heartbeat.
func (c *Coordinator) revokeFromLeaving(now time.Duration, svc *service) {
	for _, s := range c.servers {
		if s.info.Service == svc.name && s.revokesInSteps() {
			c.revokeStep(now, svc, s)
		}
	}
	for i := range svc.segments {
		seg := &svc.segments[i]
		s := c.servers[seg.holder]
		if s == nil || s.ready() || seg.unconfirmed {
			continue
		}
		if !seg.revoking && s.revokesInSteps() && !seg.neverSent() {
			continue
		}
		if !seg.revoking {
			seg.revoking = true
			c.recordEvent(now, EventRevoking, svc, seg)
		}
		if seg.neverSent() && seg.pendingSince == 0 {
			seg.free(now, seg.handover)
			svc.changes++
		}
	}
}

// neverSent reports whether no call has granted the keys to their holder.
func (seg *segment) neverSent() bool {
	return seg.call.sentAt == 0 && seg.call.lastSentAt == 0 && !seg.unconfirmed
}

// assignAll grants free keys to the servers of a service, the least utilized first.
func (c *Coordinator) assignAll(now time.Duration, svc *service) {
	if !svc.hasFree(now) || now < svc.assignAt {
		return
	}
	svc.assignAt = now + assignInterval
	f := c.measureFleet(now, svc)
	members := make([]*member, 0, len(f.members))
	for _, m := range f.members {
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.utilization(), b.utilization()), cmp.Compare(a.server.info.ID, b.server.info.ID))
	})
	for _, m := range members {
		c.assignFree(now, svc, m.server, f)
	}
}

// dueCall is a call that is due.
type dueCall struct {
	service  *service
	segment  *segment
	server   *server
	kind     CallKind
	urgency  int           // lower is more urgent
	deadline time.Duration // orders calls of the same urgency
}

// Urgencies of calls.
const (
	urgentCall = iota // keys that no server serves wait for it
	ordinaryCall
)

// dueCall returns the call about a segment that is due, if there is one.
func (c *Coordinator) dueCall(now time.Duration, svc *service, seg *segment) (dueCall, bool) {
	s := c.servers[seg.holder]
	if s == nil || seg.pendingSince != 0 || seg.call.sentAt != 0 || now < seg.call.retryAt {
		return dueCall{}, false
	}
	d := dueCall{service: svc, segment: seg, server: s, kind: CallGrant, urgency: urgentCall, deadline: seg.leaseEnd}
	switch {
	case seg.needsFence(s) || seg.call.confirmedAt == 0:
		return d, c.mayGrant(now, s, seg)
	case seg.revoking:
		d.kind = CallRelease
		return d, true
	}
	renewAt := seg.call.confirmedAt + time.Duration(renewFraction*float64(c.options.Lease))
	d.urgency, d.deadline = ordinaryCall, renewAt
	return d, now >= renewAt && c.mayGrant(now, s, seg)
}

// needsFence reports whether the server may hold the keys under a token other than the segment's: an earlier
// leader granted them, an earlier incarnation had them, or a grant got no answer.
func (seg *segment) needsFence(s *server) bool {
	return seg.unconfirmed || seg.call.unanswered || seg.startMillis != s.info.StartMillis
}

// mayGrant reports whether the server is heard well enough for a grant.
func (c *Coordinator) mayGrant(now time.Duration, s *server, seg *segment) bool {
	return c.heard(now, s) && seg.call.failures < maxCallFailures && now >= s.calls.pausedUntil
}

// heard reports whether the server's heartbeats arrive.
func (c *Coordinator) heard(now time.Duration, s *server) bool {
	return now-s.lastSeen <= time.Duration(heartbeatAgeFraction*float64(c.options.Lease))
}

// takesKeys reports whether the server may receive further keys: it is heard, and answers its calls.
func (c *Coordinator) takesKeys(now time.Duration, s *server) bool {
	return c.heard(now, s) && now >= s.calls.pausedUntil && now >= s.calls.keylessUntil
}

func (s *server) mayCall(kind CallKind) bool {
	if kind == CallRelease {
		return s.calls.releases < maxReleases
	}
	return s.calls.grants == 0
}

// startCall records that a call is under way.
func (c *Coordinator) startCall(now time.Duration, d dueCall) Call {
	seg, s := d.segment, d.server
	seg.call.leaseBefore = seg.leaseEnd
	if d.kind == CallGrant {
		if seg.needsFence(s) {
			seg.startMillis = s.info.StartMillis
			seg.token = c.nextToken() // the record stays valid, since the holder does not change
			seg.call.confirmedAt, seg.call.connection = 0, 0
		}
		seg.leaseEnd = max(seg.leaseEnd, now+maxArrival+LeaseBound(c.options.Lease))
	}
	seg.call.sentAt = max(now, 1)
	call := Call{
		Kind: d.kind, Service: d.service.name, ServerID: s.info.ID, StartMillis: s.info.StartMillis, Address: s.info.Address,
		From: seg.from, To: seg.to, Token: seg.token, Handover: seg.handover, Lease: c.options.Lease,
		Connection: seg.call.connection, NotAfter: now + sendSlack, Timeout: callTimeout,
	}
	if d.kind == CallRelease {
		call.Timeout, call.Connection = releaseTimeout, 0
		s.calls.releases++
	} else {
		s.calls.grants++
	}
	return call
}
