package lease

import (
	"testing"
	"time"
)

const length = 800 * time.Millisecond

// TestTrackerOutlivesHolder compares the two ends of one lease on clocks that
// differ by the largest tolerated drift, on a network without delay: any delay is to
// the good of the tracker.
func TestTrackerOutlivesHolder(t *testing.T) {
	for _, rates := range [][2]float64{{1, 1}, {1 + MaxDrift, 1}, {1, 1 - MaxDrift + 0.0002}} {
		granting := func(now time.Duration) time.Duration { return time.Duration(float64(now) * rates[0]) }
		holding := func(now time.Duration) time.Duration { return time.Duration(float64(now) * rates[1]) }
		sent := 10 * time.Second
		var holder Holder
		holder.Renewed(1, holding(sent), length)
		elected := NewTracker(length, granting(sent), []uint64{1})
		renewed := NewTracker(length, 0, nil)
		renewed.Renew(granting(sent), 1)
		for now := sent; now < sent+2*length; now += time.Millisecond / 10 {
			for name, tracker := range map[string]*Tracker{"elected": elected, "renewed": renewed} {
				if holder.Valid(holding(now)) && !tracker.Live(granting(now), 1) {
					t.Fatalf("rates %v: at %v the holder goes on after the tracker gave up (%s)", rates, now-sent, name)
				}
			}
		}
	}
}

func TestHolderKeepsLongestLease(t *testing.T) {
	var holder Holder
	holder.Renewed(1, 100*time.Millisecond, length)
	holder.Renewed(1, 0, length) // an answer that comes late
	if !holder.Valid(899 * time.Millisecond) {
		t.Error("a late answer shortened the lease")
	}
	holder.Renewed(2, 0, length)
	if holder.Valid(800 * time.Millisecond) {
		t.Error("a new session took over the old one's lease")
	}
	holder.Drop()
	if holder.Valid(0) || holder.Session() != 0 {
		t.Error("a dropped lease is valid")
	}
}

func TestTrackerExpires(t *testing.T) {
	tracker := NewTracker(length, 0, []uint64{2, 1})
	tracker.Renew(100*time.Millisecond, 2)
	tracker.Ensure(200*time.Millisecond, 2) // has a lease, so nothing changes
	if got := tracker.Expired(WithDrift(length)); len(got) != 1 || got[0] != 1 {
		t.Errorf("expired %v, want [1]", got)
	}
	tracker.Remove(1)
	if got := tracker.Expired(time.Hour); len(got) != 1 || got[0] != 2 {
		t.Errorf("expired %v, want [2]", got)
	}
}
