package warmup

import "time"

// heartbeatDelay is the time for which a heartbeat that arrives after a server may have become cold does not
// count as a proof that it is warm: it may have been sent before. Heartbeats from another region that pass
// through a follower take up to about 60 ms, and more while the link is full.
const heartbeatDelay = 250 * time.Millisecond

// Cause is why a server is cold, or may be.
type Cause string

// Causes.
const (
	CauseHeartbeat  Cause = "heartbeat"   // a heartbeat says so
	CauseJoined     Cause = "joined"      // the server is new, or was not heard of for long
	CauseRestarted  Cause = "restarted"   // a later process has the server's ID or address
	CauseSilent     Cause = "silent"      // its heartbeats have stopped
	CauseReturned   Cause = "returned"    // its heartbeats had stopped
	CauseRefused    Cause = "refused"     // its host refused a connection
	CauseResponse   Cause = "response"    // a response says so
	CauseEvacuation Cause = "evacuation"  // the evacuation of its failure domain has ended
	CauseBroken     Cause = "broken"      // a connection was reset, or was not opened in time
	CauseTable      Cause = "leader-says" // the table of servers says so
)

// State is what the leader knows of one server's warmth. The zero value stands for a warm server that was not
// heard of yet. It is not safe for concurrent use.
type State struct {
	reportedUntil time.Duration // end of the time for which the newest heartbeat says that the server is cold
	markedAt      time.Duration // latest time at which the server may have become cold
	markedUntil   time.Duration // end of the time for which it counts as cold because of that
	silent        bool
	warmAt        time.Duration // when the newest heartbeat that proves that the server is warm arrived; 0 for none
	cause         Cause         // of the latest change to cold
}

// Heartbeat records a heartbeat that says for how long the server stays cold. warmup is how long a server is
// cold after its start.
func (s *State) Heartbeat(now, left, warmup time.Duration) {
	if s.silent {
		s.silent = false
		s.Mark(now, now, warmup, CauseReturned)
	}
	switch {
	case left > 0:
		if !s.Cold(now) {
			s.cause = CauseHeartbeat
		}
		s.reportedUntil, s.warmAt = now+left, 0
	case s.markedAt > 0 && now < s.markedAt+heartbeatDelay:
		s.reportedUntil = 0
	default:
		s.reportedUntil, s.markedAt, s.markedUntil, s.warmAt = 0, 0, 0, now
	}
}

// Mark records that the server may have become cold at a time up to now. It is ignored if a heartbeat has
// proved since that the server is warm, or if the time for which a server is cold has passed.
func (s *State) Mark(now, at, warmup time.Duration, cause Cause) {
	if s.WarmSince(now, at) || at+warmup <= now {
		return
	}
	if !s.Cold(now) {
		s.cause = cause
	}
	s.markedAt, s.markedUntil, s.warmAt = max(s.markedAt, at), max(s.markedUntil, at+warmup), 0
}

// MarkSilent records that the server's heartbeats have stopped. It counts as cold until they continue: it may
// get requests before its first heartbeat after a restart arrives.
func (s *State) MarkSilent(now time.Duration) {
	if !s.Cold(now) {
		s.cause = CauseSilent
	}
	s.silent, s.warmAt = true, 0
}

// Cold reports whether the server is cold, or may be.
func (s *State) Cold(now time.Duration) bool {
	return s.silent || now < s.reportedUntil || now < s.markedUntil
}

// Silent reports whether the server's heartbeats have stopped.
func (s *State) Silent() bool { return s.silent }

// WarmSince reports whether a heartbeat that was sent after the given time has proved that the server is warm,
// and nothing since suggests otherwise.
func (s *State) WarmSince(now, at time.Duration) bool {
	return s.warmAt > 0 && s.warmAt >= at+heartbeatDelay && !s.Cold(now)
}

// Cause returns why the server is cold, if it is.
func (s *State) Cause() Cause { return s.cause }
