package pacing

import (
	"testing"
	"time"
)

// Guards against queueing that is seen on an idle link, or still seen seconds after it has ended.
func TestQueueingOfRecentRoundTrips(t *testing.T) {
	var trips RoundTrips
	if got := trips.Queueing(0); got != 0 {
		t.Errorf("without a round trip: %v", got)
	}
	trips.Add(time.Second, 40*time.Millisecond)
	trips.Add(2*time.Second, 640*time.Millisecond)
	if got := trips.Queueing(2 * time.Second); got != 600*time.Millisecond {
		t.Errorf("after a slow round trip: %v, want 600ms", got)
	}
	for at := 2500 * time.Millisecond; at < 5*time.Second; at += 500 * time.Millisecond {
		trips.Add(at, 45*time.Millisecond)
	}
	if got := trips.Queueing(5 * time.Second); got != 5*time.Millisecond {
		t.Errorf("three seconds later: %v, want 5ms", got)
	}
}
