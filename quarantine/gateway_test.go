package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// crashAt is a crash with the given requests as a gateway sees it.
func crashAt(server string, requests ...string) Crash {
	return Crash{ServerID: server, StartMillis: 1, Requests: requests}
}

// Guards against a gateway without a leader that sends all copies of a request to servers, one crash each.
func TestGatewayWithoutLeaderSendsOneCopyAtATime(t *testing.T) {
	g := NewGateway()
	g.ObserveCrash(time.Second, crashAt("s1", crashing))
	if !g.PermitAlone(time.Second, crashing) || g.PermitAlone(time.Second, crashing) {
		t.Error("want one permit after the first crash")
	}
	g.ObserveEnd(crashing)
	if !g.PermitAlone(time.Second, crashing) {
		t.Error("want another permit after the run has ended")
	}
	g.ObserveCrash(2*time.Second, crashAt("s2", crashing))
	if g.PermitAlone(time.Hour, crashing) {
		t.Error("permit after two crashes: a third one quarantines the request")
	}
}

// Guards against evidence that is lost because each gateway has seen one crash only, and the leader that had
// heard of all is gone.
func TestSuccessorJoinsTheEvidenceOfGateways(t *testing.T) {
	tracker := NewTracker(10 * time.Second)
	for i, server := range []string{"s1", "s2", "s3"} {
		g := NewGateway()
		g.ObserveCrash(time.Duration(i+1)*time.Second, crashAt(server, crashing))
		got := tracker.Observe(11*time.Second, g.FirstReport(11*time.Second))
		if quarantined := len(got) > 0; quarantined != (i == 2) {
			t.Errorf("after the report of gateway %d: quarantined %v", i+1, got)
		}
	}
}

// Guards against a crash that counts again for each leader that hears of it.
func TestSuccessorCountsCrashOnce(t *testing.T) {
	g := NewGateway()
	g.ObserveCrash(time.Second, crashAt("s1", crashing))
	for i := range 5 {
		now := time.Duration(i+2) * time.Second
		tracker := NewTracker(now)
		tracker.Observe(now, g.FirstReport(now))
		g.Apply(now, tracker.Changes(now))
		if state := g.State(now, crashing); state.Crashes != 1 || state.Quarantined > 0 {
			t.Fatalf("after leader %d: %+v, want one crash", i+1, state)
		}
	}
}

// Guards against the suspicion of a request that was cleared while a gateway was cut off.
func TestLateGatewayDoesNotTakeBackAnswers(t *testing.T) {
	late, other := NewGateway(), NewGateway()
	late.ObserveCrash(time.Second, crashAt("s1", harmless))
	other.Apply(2*time.Second, Update{Entries: []Entry{{Request: harmless}}})
	tracker := NewTracker(3 * time.Second)
	for _, g := range []*Gateway{other, late} {
		tracker.Observe(3*time.Second, g.FirstReport(3*time.Second))
	}
	late.Apply(3*time.Second, tracker.Changes(3*time.Second))
	if state := late.State(3*time.Second, harmless); state.Crashes != 0 {
		t.Errorf("the late gateway still suspects the request: %+v", state)
	}
}

// Hundreds of gateways with slow links subscribe to a new leader at the same moment. Guards against first reports
// that fill their links and keep the leader busy.
func TestFirstReportIsSmall(t *testing.T) {
	const maxBytes = 32 << 10 // an eighth of a second at 2 Mbit/s
	g := NewGateway()
	for i := range 3 * maxRequests {
		request := Fingerprint([]byte(fmt.Sprint(i)))
		if i%3 == 0 {
			g.Apply(time.Second, Update{Entries: []Entry{{Request: request}}})
		} else {
			g.Apply(time.Second, Update{Entries: []Entry{{Request: request, Crashes: 1}}})
		}
	}
	g.ObserveCrash(time.Second, crashAt("s1", crashing))
	g.ObserveCrash(2*time.Second, crashAt("s2", crashing))
	report := g.FirstReport(3 * time.Second)
	body, err := cbor.Marshal(report)
	if err != nil || len(body) > maxBytes {
		t.Errorf("%d bytes, %v; want at most %d", len(body), err, maxBytes)
	}
	if len(report.Known.Entries) == 0 {
		t.Error("nothing is reported")
	}
}

// Guards against a successor that lets a request crash a third server beside a run that its predecessor has
// permitted.
func TestSuccessorWaitsForPermitsOfItsPredecessor(t *testing.T) {
	g := NewGateway()
	g.ObserveCrash(time.Second, crashAt("s1", crashing))
	g.ObserveCrash(2*time.Second, crashAt("s2", crashing))
	tracker := NewTracker(3 * time.Second)
	tracker.Observe(3*time.Second, g.FirstReport(3*time.Second))
	request := PermitRequest{Request: crashing, ServerID: "s3"}
	if tracker.Permit(3*time.Second+permitTime/2, request).Granted {
		t.Error("permit while the predecessor's may still be out")
	}
	if !tracker.Permit(3*time.Second+permitTime, request).Granted {
		t.Error("no permit after that")
	}
}
