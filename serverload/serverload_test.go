package serverload

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const ms = time.Millisecond

// Guards against digests that fill the links of gateways when the load of every server changes all the time, and
// against a view that differs from what the leader knows. 114 gateways report each response of 2,024 requests a second
// at 311 servers with six slots.
func TestDigestsStaySmallAndTrue(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	var tracker Tracker
	var view View
	loads, at := make([]float64, 311), make([]time.Duration, 311)
	bytes, off, compared := 0, 0.0, 0
	const length = 60 * time.Second
	for now := time.Second; now < length; now += 100 * ms {
		for range 202 {
			i := random.IntN(len(loads))
			running := min(max(int(loads[i]*6+0.5)+random.IntN(5)-2, 0), 12)
			loads[i], at[i] = float64(running)/6, now
			tracker.Observe(now, Observation{ServerID: fmt.Sprint("server-", i), Slots: 6, Reported: true, Running: int64(running), Samples: 1, SpeedSum: float64(i%3-1) * 0.4})
		}
		d, due := tracker.Changes(now, 114)
		if !due {
			continue
		}
		body, err := cbor.Marshal(d)
		if err != nil {
			t.Fatal(err)
		}
		bytes += len(body)
		if err := view.Apply(now, d); err != nil {
			t.Fatal(err)
		}
		for i, load := range loads {
			if e := view.Server(Hash(fmt.Sprint("server-", i))); e.At != 0 && at[i] != 0 {
				off += max(e.PerSlot-load, load-e.PerSlot)
				compared++
			}
		}
	}
	perSecond, mean := float64(bytes)/length.Seconds(), off/float64(compared)
	t.Logf("%.0f bytes a second, mean difference %.2f requests per slot of %d", perSecond, mean, compared)
	if perSecond > 1000 || mean > 0.25 || compared < 300*100 {
		t.Errorf("%.0f bytes a second, loads differ by %.2f requests per slot on average (%d compared)", perSecond, mean, compared)
	}
	for i, want := range []float64{0.7, 1, 1.4} {
		if got := view.Server(Hash(fmt.Sprint("server-", i))).Speed; got != 0 && (got < want/1.3 || got > want*1.3) {
			t.Errorf("server %d: speed %.2f, want about %.2f", i, got, want)
		}
	}
	full, err := cbor.Marshal(tracker.Full(length))
	if err != nil || len(full) > 4000 {
		t.Errorf("full digest of %d bytes, %v", len(full), err)
	}
	var late View
	if err := late.Apply(length, tracker.Full(length)); err != nil || len(late.servers) != len(view.servers) {
		t.Errorf("a gateway that subscribes late knows %d servers, the others %d; %v", len(late.servers), len(view.servers), err)
	}
}

// Guards against reports that overtake each other, loads that stay after the last report, and false figures.
func TestNewestReportCounts(t *testing.T) {
	var tracker Tracker
	var view View
	observe := func(now time.Duration, running int64, age time.Duration) {
		tracker.Observe(now, Observation{ServerID: "a", Slots: 4, Reported: true, Running: running, Age: age})
	}
	observe(time.Second, 4, 0)
	observe(time.Second+50*ms, 8, 500*ms)   // older
	observe(time.Second+60*ms, -8, 0)       // false
	observe(time.Second+60*ms, 8, -5000*ms) // false
	for _, c := range []struct {
		now     time.Duration
		perSlot float64
		known   bool
	}{{2 * time.Second, 1, true}, {9 * time.Second, 1, false}} {
		d, due := tracker.Changes(c.now, 3)
		if err := view.Apply(c.now, d); err != nil || !due {
			t.Fatalf("due %v, %v", due, err)
		}
		if e := view.Server(Hash("a")); e.PerSlot != c.perSlot || (e.At != 0) != c.known {
			t.Errorf("at %v: %+v, want load %v, known %v", c.now, e, c.perSlot, c.known)
		}
	}
	if view.Apply(0, Digest{Loads: []byte{1, 2}}) == nil {
		t.Error("a malformed digest was applied")
	}
}

// Guards against digests that come too often with many gateways, and against more than two a second with few.
func TestIntervalGrowsWithGateways(t *testing.T) {
	for gateways, want := range map[int]time.Duration{1: 500 * ms, 114: 500 * ms, 440: 1100 * ms} {
		if got := interval(gateways); got != want {
			t.Errorf("%d gateways: %v, want %v", gateways, got, want)
		}
	}
}
