package serverload

import (
	"testing"
	"time"
)

// A server fails all requests at once, so that its queue is always empty. Digests must not show it as idle, and must
// forget it soon after nobody asks it any more.
func TestFailingServerIsListedAsFull(t *testing.T) {
	var tracker Tracker
	observe := func(at time.Duration, id string, failures, answers int64) {
		tracker.Observe(at, Observation{ServerID: id, Slots: 6, Reported: true, Failures: failures, Answers: answers})
	}
	var view View
	apply := func(at time.Duration) {
		d, due := tracker.Changes(at, 10)
		if !due {
			t.Fatal("no digest is due")
		}
		if err := view.Apply(at, d); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 4 {
		observe(time.Second+time.Duration(i)*50*time.Millisecond, "failing", 1, 0)
		observe(time.Second+time.Duration(i)*50*time.Millisecond, "sound", int64(i/3), 1)
	}
	apply(1200 * time.Millisecond)
	if got := view.Server(Hash("failing")).PerSlot; got < 3 {
		t.Errorf("the failing server has %v requests per slot, want it to count as full", got)
	}
	if got := view.Server(Hash("sound")).PerSlot; got != 0 {
		t.Errorf("a server with one failure has %v requests per slot, want none", got)
	}
	if _, known := tracker.Load(1200*time.Millisecond, "failing"); known {
		t.Error("the load of a failing server counts as known")
	}
	apply(8 * time.Second)
	if view.Server(Hash("failing")).At != 0 {
		t.Error("the failing server still counts as full after 7 s without requests")
	}
}
