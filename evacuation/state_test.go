package evacuation

import (
	"testing"
	"time"
)

func start(domain string) Change { return Change{Domain: domain, Start: true} }
func end(domain string) Change   { return Change{Domain: domain} }

// Guards against a late copy of an end that ends the evacuation which was acknowledged after it (review/7), and against one
// of a start that empties a failure domain for good.
func TestLateCopyOfAChangeHasNoEffect(t *testing.T) {
	for _, late := range []Change{end("a"), start("a")} {
		opposite := Change{Domain: "a", Start: !late.Start}
		var s State
		s.Apply(ConditionalChange{Change: opposite})
		copied := ConditionalChange{Change: late, Sequence: s.Sequence("a")}
		if reply := s.Apply(copied); reply.Outdated {
			t.Fatalf("%+v in time: outdated", late)
		}
		s.Apply(ConditionalChange{Change: opposite, Sequence: s.Sequence("a")})
		reply := s.Apply(copied)
		if !reply.Outdated || !s.Set().InForce(opposite) {
			t.Errorf("%+v once more, after the opposite was acknowledged: reply %+v and set %+v", late, reply, s.Set())
		}
		if reply.Sequence != s.Sequence("a") {
			t.Errorf("sequence number %d in the reply, want %d for another attempt", reply.Sequence, s.Sequence("a"))
		}
	}
}

// Guards against a repeated start that is acknowledged without effect on an end that was given up before and is still on its
// way.
func TestAcknowledgementOfWhatIsInForceOutdatesOtherChanges(t *testing.T) {
	var s State
	s.Apply(ConditionalChange{Change: start("a")})
	givenUp := ConditionalChange{Change: end("a"), Sequence: s.Sequence("a")}
	revision := s.Set().Revision
	if reply := s.Apply(ConditionalChange{Change: start("a"), Sequence: 0}); reply.Outdated || reply.Revision != revision {
		t.Errorf("repeated start: %+v, want it acknowledged at revision %d", reply, revision)
	}
	if reply := s.Apply(givenUp); !reply.Outdated || !s.Set().InForce(start("a")) {
		t.Errorf("end that was given up before: %+v, want it outdated", reply)
	}
}

// Guards against changes of one failure domain that outdate those of another one: eight calls may be in progress at once.
func TestChangesOfOtherDomainsOutdateNothing(t *testing.T) {
	var s State
	s.Apply(ConditionalChange{Change: start("a")})
	if reply := s.Apply(ConditionalChange{Change: start("b")}); reply.Outdated {
		t.Error("the start of b is outdated by that of a")
	}
}

// Guards against replicas that disagree: one has restored a snapshot from before there were sequence numbers, the other has
// applied the log from that time.
func TestUnconditionalChangesRaiseNoSequenceNumber(t *testing.T) {
	var s State
	s.ApplyUnconditionally(start("a"))
	s.ApplyUnconditionally(end("a"))
	restored := NewState(s.Set(), nil)
	if s.Sequence("a") != restored.Sequence("a") || s.Set().Revision != 2 {
		t.Errorf("sequence number %d at revision %d, want 0 at 2", s.Sequence("a"), s.Set().Revision)
	}
}

// Guards against a host that sends a call on although its caller has turned to another host.
func TestCallIsSentOnOnlyWhileItsCallerWaits(t *testing.T) {
	received := time.Hour
	call := NewCall(end("a"), received, 3)
	if c, waiting := call.Next(received + CallerPatience); !waiting || c.Sequence != 3 {
		t.Errorf("at the end of the caller's patience: %+v, %v", c, waiting)
	}
	call.Retry(ChangeReply{Outdated: true, Sequence: 5})
	if c, _ := call.Next(received); c.Sequence != 5 {
		t.Errorf("sequence number %d after a reply with 5", c.Sequence)
	}
	if _, waiting := call.Next(received + CallerPatience + 1); waiting {
		t.Error("the call is sent on after the caller's patience")
	}
}
