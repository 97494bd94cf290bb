package quarantine

import (
	"fmt"
	"testing"
	"time"
)

func crashReport(server string, requests ...string) Report {
	return Report{Crashes: []Crash{{ServerID: server, StartMillis: 1, Requests: requests}}}
}

var (
	crashing = Fingerprint([]byte("crashing"))
	harmless = Fingerprint([]byte("harmless"))
)

// A request is quarantined with the third crash, and the crashes then count for no other request.
func TestThirdCrashQuarantines(t *testing.T) {
	tracker := NewTracker(0)
	for i := range 3 {
		now := time.Duration(i+1) * time.Second
		requests := []string{crashing}
		if i > 0 {
			requests = append(requests, harmless)
		}
		got := tracker.Observe(now, crashReport(fmt.Sprint("s", i), requests...))
		if quarantined := len(got) == 1 && got[0] == crashing; quarantined != (i == 2) {
			t.Errorf("crash %d: quarantined %v", i+1, got)
		}
	}
	gateway := NewGateway()
	gateway.Apply(4*time.Second, tracker.Changes(4*time.Second))
	if state := gateway.State(4*time.Second, crashing); state.Quarantined <= 0 {
		t.Errorf("state of the crashing request: %+v", state)
	}
	if state := gateway.State(4*time.Second, harmless); state.Crashes != 0 {
		t.Errorf("state of the request that was at two of the servers: %+v, want no suspicion", state)
	}
}

// Guards against one crash that counts several times: each gateway reports it.
func TestCrashCountsOnceForAllGateways(t *testing.T) {
	tracker := NewTracker(0)
	for i := range 10 {
		if got := tracker.Observe(time.Duration(i)*time.Second, crashReport("s1", crashing)); len(got) > 0 {
			t.Fatalf("report %d of the same crash quarantined the request", i+1)
		}
	}
}

// Requests that were at the same three servers can't be told apart: both are held, but not for long.
func TestIndistinguishableRequestsAreHeldForAShortTime(t *testing.T) {
	tracker := NewTracker(0)
	for i := range 3 {
		tracker.Observe(time.Duration(i+1)*time.Second, crashReport(fmt.Sprint("s", i), crashing, harmless))
	}
	gateway := NewGateway()
	gateway.Apply(3*time.Second, tracker.Changes(3*time.Second))
	for _, request := range []string{crashing, harmless} {
		if left := gateway.State(3*time.Second, request).Quarantined; left <= 0 || left > ambiguousTime+time.Second {
			t.Errorf("held for %v, want about %v", left, ambiguousTime)
		}
	}
	later := 4*time.Second + ambiguousTime
	if !tracker.Permit(later, PermitRequest{Request: harmless, ServerID: "s9"}).Granted {
		t.Error("no run is permitted after that")
	}
	if tracker.Permit(later, PermitRequest{Request: crashing, ServerID: "s9"}).Granted {
		t.Error("both may run at the same server")
	}
	tracker.Observe(later, Report{Answered: []string{harmless}})
	if got := tracker.Observe(later+time.Second, crashReport("s9", crashing)); len(got) != 1 || got[0] != crashing {
		t.Errorf("the next crash quarantined %v", got)
	}
}

// A suspected request runs at one server at a time until the end of the run is known.
func TestSuspectedRequestRunsAtOneServerAtATime(t *testing.T) {
	tracker := NewTracker(0)
	now := time.Second
	permit := func() bool {
		return tracker.Permit(now, PermitRequest{Request: crashing, ServerID: "s2"}).Granted
	}
	for range 2 {
		if !permit() {
			t.Error("a request without suspicion needs no permit")
		}
	}
	tracker.Observe(now, crashReport("s1", crashing))
	if !permit() || permit() {
		t.Error("want one permit")
	}
	tracker.Observe(now, Report{Ended: []string{crashing}})
	if !permit() || permit() {
		t.Error("want another permit after the run has ended")
	}
	now += permitTime
	if !permit() {
		t.Error("want another permit when the end of the run was not reported")
	}
}

// Guards against a new leader that lets quarantined requests crash three more servers.
func TestNewLeaderKeepsQuarantine(t *testing.T) {
	gateway := NewGateway()
	gateway.Apply(time.Second, Update{Entries: []Entry{{Request: crashing, Crashes: 3, QuarantineMillis: 60_000}}})
	tracker := NewTracker(0)
	tracker.Observe(2*time.Second, gateway.FirstReport(2*time.Second))
	if tracker.Permit(0, PermitRequest{Request: crashing, ServerID: "s1"}).Granted {
		t.Error("the new leader permits a run")
	}
	other := NewGateway()
	other.Apply(0, tracker.Snapshot(0))
	if other.State(0, crashing).Quarantined < 50*time.Second {
		t.Error("another gateway does not learn of the quarantine")
	}
}

// Guards against evidence that grows without bounds.
func TestEvidenceIsBounded(t *testing.T) {
	tracker, gateway := NewTracker(0), NewGateway()
	for i := range 3 * maxCrashes {
		now := time.Duration(i) * time.Second
		var requests []string
		for j := range 2 * maxRequestsPerCrash {
			requests = append(requests, Fingerprint([]byte(fmt.Sprint(i, j))))
		}
		tracker.Observe(now, crashReport(fmt.Sprint("s", i), requests...))
		gateway.Apply(now, tracker.Changes(now))
	}
	if len(tracker.suspects) > maxRequests || len(tracker.crashes) > maxCrashes || len(gateway.table.entries) > maxRequests {
		t.Errorf("%d requests and %d crashes at the leader, %d requests at a gateway", len(tracker.suspects), len(tracker.crashes), len(gateway.table.entries))
	}
	end := 10 * maxCrashes * time.Second
	tracker.Observe(end, Report{})
	gateway.Apply(end, tracker.Changes(end))
	if len(tracker.suspects) != 0 || !gateway.Empty() {
		t.Errorf("%d requests at the leader and %d at a gateway are never forgotten", len(tracker.suspects), len(gateway.table.entries))
	}
}

// Requests that differ in where one part ends and the next begins are different.
func TestFingerprintKeepsPartsApart(t *testing.T) {
	if Fingerprint([]byte("ab"), []byte("c")) == Fingerprint([]byte("a"), []byte("bc")) {
		t.Error("the parts run together")
	}
}
