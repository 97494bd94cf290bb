package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/galenalug/galenalug/internal/entry"
	"github.com/galenalug/galenalug/internal/wire"
)

// TestAnswersAreReportedOncePerInterval checks that failures, probes and the first responses after them are reported at
// once, and further responses at most once per second.
func TestAnswersAreReportedOncePerInterval(t *testing.T) {
	o := newObserver(nil)
	server := entry.Server{Group: "norte", Session: 1}
	steps := []struct {
		atMillis int
		observe  func()
		reported int
	}{
		{0, func() { o.Answered(server, 0) }, 1},
		{100, func() { o.Answered(server, 0) }, 0},
		{200, func() { o.TimedOut(server) }, 1},
		{300, func() { o.Answered(server, 0) }, 1}, // the first response after a failure
		{400, func() { o.Answered(server, 0) }, 0},
		{500, func() { o.Probed(server, false) }, 1},
		{600, func() {}, 0},
		{1700, func() { o.Answered(server, 0) }, 1},
	}
	for _, step := range steps {
		step.observe()
		evidence, _ := o.take(time.Duration(step.atMillis)*time.Millisecond, "norte")
		if len(evidence) != step.reported {
			t.Errorf("at %d ms: reported %+v, want %d servers", step.atMillis, evidence, step.reported)
		}
	}
}

// TestEvidenceIsBounded checks that servers with failures come first, and that the servers that did not
// fit into one report are in the next.
func TestEvidenceIsBounded(t *testing.T) {
	o := newObserver(nil)
	for session := range uint64(2 * maxEvidence) {
		o.Answered(entry.Server{Group: "norte", Session: session}, 0)
	}
	last := entry.Server{Group: "norte", Session: 2*maxEvidence - 1}
	o.TimedOut(last)
	seen := map[uint64]bool{}
	for round := range 2 {
		evidence, _ := o.take(time.Duration(round)*100*time.Millisecond, "norte")
		if len(evidence) != maxEvidence || round == 0 && evidence[0].Session != last.Session {
			t.Fatalf("round %d: %d servers reported, first session %d; want %d servers, and session %d first in round 0",
				round, len(evidence), evidence[0].Session, maxEvidence, last.Session)
		}
		for _, e := range evidence {
			seen[e.Session] = true
		}
	}
	if len(seen) != 2*maxEvidence {
		t.Fatalf("%d sessions reported, want %d", len(seen), 2*maxEvidence)
	}
}

// TestHottestKeysAreReported checks the interval and the bound of hot key reports, and that regions are
// reported separately.
func TestHottestKeysAreReported(t *testing.T) {
	h := newKeyTracker()
	for i := range 4000 {
		h.observe("norte", "orders", fmt.Sprint("key-", i%1000))
		if i%4 == 0 {
			h.observe("norte", "orders", "hot")
			h.observe("sur", "orders", "southern")
		}
	}
	keys := h.take(time.Second, "norte")
	if len(keys) == 0 || len(keys) > maxReportedKeys || keys[0].Key != "hot" || keys[0].Requests < 900 || keys[0].Requests > 1000 {
		t.Fatalf("%d keys reported, want at most %d with \"hot\" first at 900 to 1000 requests: %+v", len(keys), maxReportedKeys, keys)
	}
	h.observe("norte", "orders", "hot")
	h.observe("norte", "orders", "hot")
	if again := h.take(time.Second+keyReportInterval/2, "norte"); len(again) != 0 {
		t.Fatalf("reported again within the interval: %+v", again)
	}
	if again := h.take(time.Second+keyReportInterval, "norte"); len(again) != 1 || again[0].Requests != 2 {
		t.Fatalf("after the interval: got %+v, want 1 key with 2 requests", again)
	}
	if south := h.take(time.Second, "sur"); len(south) != 1 || south[0].Key != "southern" {
		t.Fatalf("other region: got %+v, want only the key southern", south)
	}
}

// TestReportsAreBoundedInBytes checks that the largest reports of servers and keys together stay below
// the control traffic allowed to one host, 23 kB/s.
func TestReportsAreBoundedInBytes(t *testing.T) {
	const maxBytesPerSecond, renewalsPerSecond, keyReportsPerSecond = 23000, 10, 2
	servers, keys := wire.Renewal{}, wire.Renewal{}
	for i := range maxEvidence {
		servers.Evidence = append(servers.Evidence, wire.Evidence{
			Session: 1<<32 + uint64(i), TimedOut: 1000, ConnectionErrors: 1000, Answered: 1000, ProbesFailed: 1,
		})
	}
	for i := range maxReportedKeys {
		keys.KeyLoads = append(keys.KeyLoads, wire.KeyLoad{Service: "wheel-swap", Key: fmt.Sprint("customer-key-", i), Requests: 1000})
	}
	encoded := func(r wire.Renewal) int {
		data, err := cbor.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		return len(data)
	}
	total := renewalsPerSecond*encoded(servers) + keyReportsPerSecond*encoded(keys)
	t.Logf("servers: %d bytes per report, keys: %d bytes per report, total: %d bytes/s at most", encoded(servers), encoded(keys), total)
	if total > maxBytesPerSecond {
		t.Fatalf("%d bytes/s, want at most %d", total, maxBytesPerSecond)
	}
}
