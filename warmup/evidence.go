package warmup

import "time"

// tellInterval is the least time between two messages to the leader about the same evidence.
const tellInterval = 500 * time.Millisecond

// Response is what a response shows of a server's warmth.
type Response struct {
	SentAt      time.Duration // when the request was sent
	SameProcess bool          // the response names the expected process, or none
	WithToken   bool          // the request took a token for a cold server
	Known       bool          // the response states Left
	Left        time.Duration // how long the server stays cold; 0 if it is warm
}

// Evidence is what one gateway has itself seen of one server's warmth. The zero value stands for none. It is not
// safe for concurrent use.
type Evidence struct {
	coldUntil time.Duration // end of the time for which the latest response says that the server is cold
	suspected bool          // the server may have started again
	refused   bool          // its host refused a connection
	at        time.Duration // of the latest evidence that the server is or may be cold
	toldAt    time.Duration // when the leader was last told; 0 if it was not

	closedAfter time.Duration // idle time of the connection whose end is the evidence; 0 for none
	closesIdle  time.Duration // idle time after which the process is known to close connections; 0 for none
}

// Suspect records that the server may have started again: its host refused a connection, or a connection
// failed in a way that the end of a process can cause. It reports whether the server counted as warm before.
func (e *Evidence) Suspect(now time.Duration, refused bool) (changed bool) {
	changed = !e.Cold(now)
	if changed || refused && !e.refused {
		e.toldAt = 0
	}
	e.suspected, e.refused, e.at = true, e.refused || refused, now
	return changed
}

// SuspectClosed records that the server has closed a connection that was idle for a time and had no reason to end.
// It is no evidence if the same process has closed one that was idle for at most as long before: servers need not
// say after which time they do so. It reports whether the server counted as warm before.
func (e *Evidence) SuspectClosed(now, idleFor time.Duration) (changed bool) {
	if e.closesIdle > 0 && idleFor >= e.closesIdle {
		return false
	}
	changed = e.Suspect(now, false)
	if changed {
		e.closedAfter = max(idleFor, 1)
	}
	return changed
}

// clear forgets the evidence: the server is warm, and its process the same.
func (e *Evidence) clear() {
	closesIdle := e.closesIdle
	if e.closedAfter > 0 && (closesIdle == 0 || e.closedAfter < closesIdle) {
		closesIdle = e.closedAfter
	}
	*e = Evidence{closesIdle: closesIdle}
}

// Respond records a response. The server is no longer suspected if it states that it is warm, or answers a
// request that took a token and was sent since, as the expected process. It reports whether the server counts
// as cold now but did not before.
func (e *Evidence) Respond(now time.Duration, r Response) (changed bool) {
	if !r.SameProcess {
		return false
	}
	wasCold := e.Cold(now)
	if r.Known && r.Left > 0 {
		e.coldUntil, e.suspected, e.at = now+r.Left, false, now
		if !wasCold {
			e.toldAt = 0
		}
		return !wasCold
	}
	if (r.Known || r.WithToken && now >= e.coldUntil) && r.SentAt >= e.at {
		e.clear()
	}
	return false
}

// ConfirmWarm records that the leader has proof that the server is warm, in the reply to a demand that was sent
// at askedAt.
func (e *Evidence) ConfirmWarm(askedAt time.Duration) {
	if e.at <= askedAt {
		e.clear()
	}
}

// Cold reports whether the server is cold, or may be, according to this gateway.
func (e *Evidence) Cold(now time.Duration) bool { return e.suspected || now < e.coldUntil }

// Suspected reports whether the server may have started again.
func (e *Evidence) Suspected() bool { return e.suspected }

// Refused reports whether the server's host has refused a connection.
func (e *Evidence) Refused() bool { return e.suspected && e.refused }

// Since returns the time since the latest evidence, at least a millisecond, or 0 if there is none.
func (e *Evidence) Since(now time.Duration) time.Duration {
	if !e.Cold(now) {
		return 0
	}
	return max(now-e.at, time.Millisecond)
}

// Left returns how long the server stays cold according to its latest response, or 0.
func (e *Evidence) Left(now time.Duration) time.Duration { return max(0, e.coldUntil-now) }

// Cause returns why the server is cold according to this gateway, or the empty string.
func (e *Evidence) Cause(now time.Duration) Cause {
	switch {
	case e.Refused():
		return CauseRefused
	case e.suspected:
		return CauseBroken
	case now < e.coldUntil:
		return CauseResponse
	}
	return ""
}

// TellLeader reports whether the leader is to be told now, and records that it is. It is told at once what it may
// not know, and again until it has proof that the server is warm. While its table says that the server is cold, it
// is not told again: a failure domain without power would cost a message for each of its servers.
func (e *Evidence) TellLeader(now time.Duration, listedCold bool) bool {
	switch {
	case !e.Cold(now), listedCold && (!e.suspected || e.toldAt > 0):
		return false
	case e.toldAt > 0 && now-e.toldAt < tellInterval:
		return false
	}
	e.toldAt = max(now, 1)
	return true
}
