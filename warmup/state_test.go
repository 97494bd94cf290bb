package warmup

import (
	"testing"
	"time"
)

const (
	second     = time.Second
	testWarmup = 3 * time.Second
)

// Guards against a server that counts as warm because of a heartbeat that was sent before it became cold, and
// against one that counts as cold for longer than necessary.
func TestStateOfServer(t *testing.T) {
	for name, c := range map[string]struct {
		events         func(s *State)
		coldAt, warmAt time.Duration // 0 if it is not cold or not warm any more
		cause          Cause
	}{
		"says so":              {func(s *State) { s.Heartbeat(10*second, 2*second, testWarmup) }, 12*second - 1, 12 * second, CauseHeartbeat},
		"refused a connection": {func(s *State) { s.Mark(10*second, 9*second, testWarmup, CauseRefused) }, 12*second - 1, 12 * second, CauseRefused},
		"heartbeat from before the refusal": {func(s *State) {
			s.Mark(10*second, 10*second, testWarmup, CauseRefused)
			s.Heartbeat(10*second+heartbeatDelay/2, 0, testWarmup)
		}, 13*second - 1, 13 * second, CauseRefused},
		"heartbeat since the refusal": {func(s *State) {
			s.Mark(10*second, 10*second, testWarmup, CauseRefused)
			s.Heartbeat(11*second, 0, testWarmup)
		}, 0, 11 * second, CauseRefused},
		"late report of a refusal": {func(s *State) {
			s.Heartbeat(10*second, 0, testWarmup)
			s.Mark(11*second, 9*second, testWarmup, CauseRefused)
		}, 0, 11 * second, ""},
		"silent": {func(s *State) {
			s.Heartbeat(5*second, 0, testWarmup)
			s.MarkSilent(10 * second)
		}, 100 * second, 0, CauseSilent},
		"back after silence": {func(s *State) {
			s.MarkSilent(9 * second)
			s.Heartbeat(10*second, 0, testWarmup)
		}, 13*second - 1, 13 * second, CauseReturned},
	} {
		var s State
		c.events(&s)
		if c.coldAt > 0 && (!s.Cold(c.coldAt) || s.WarmSince(c.coldAt, 0)) {
			t.Errorf("%s: warm at %s", name, c.coldAt)
		}
		if c.warmAt > 0 && s.Cold(c.warmAt) {
			t.Errorf("%s: cold at %s", name, c.warmAt)
		}
		if s.Cause() != c.cause {
			t.Errorf("%s: cause %q, want %q", name, s.Cause(), c.cause)
		}
	}
}

// Guards against a gateway that sends its usual load to a server that may have started again, or limits a server
// for ever after a single lost connection.
func TestEvidenceOfGateway(t *testing.T) {
	var e Evidence
	if !e.Suspect(10*second, false) || !e.TellLeader(10*second, false) || e.TellLeader(10*second+1, false) {
		t.Error("the leader is not told once at once")
	}
	e.Respond(11*second, Response{SentAt: 9 * second, SameProcess: true, WithToken: true})
	e.Respond(11*second, Response{SentAt: 10 * second, SameProcess: true})
	e.Respond(11*second, Response{SentAt: 10 * second, WithToken: true, Known: true})
	e.ConfirmWarm(9 * second)
	if !e.Cold(11 * second) {
		t.Error("warm without proof")
	}
	e.Respond(12*second, Response{SentAt: 11 * second, SameProcess: true, WithToken: true, Known: true, Left: second})
	if !e.Cold(13*second-1) || e.Cold(13*second) || e.Suspected() {
		t.Error("not cold for as long as the response says")
	}
	e.Suspect(14*second, true)
	if e.Respond(15*second, Response{SentAt: 14 * second, SameProcess: true, WithToken: true}); e.Cold(15 * second) {
		t.Error("cold after the answer to a request with a token")
	}
	e.Suspect(16*second, true)
	if !e.TellLeader(16*second, true) || e.TellLeader(18*second, true) || !e.TellLeader(18*second, false) {
		t.Error("the leader is told while its table says that the server is cold, or not after it")
	}
	if e.ConfirmWarm(18 * second); e.Cold(18 * second) {
		t.Error("cold after the leader's proof")
	}
	e.SuspectClosed(20*second, 5*second)
	e.ConfirmWarm(21 * second)
	if e.SuspectClosed(30*second, 5*second) || !e.SuspectClosed(30*second, second) {
		t.Error("not only connections that are closed sooner than the process does are evidence")
	}
}
