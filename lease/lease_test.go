package lease

import (
	"testing"
	"time"
)

const length = 800 * time.Millisecond

// TestTrackerOutlivesHolder checks that a lease does not expire in the tracker before it does in
// the holder when their clocks differ by the largest tolerated drift. The network has no delay,
// which is the worst case: a delay makes the tracker's lease end later.
func TestTrackerOutlivesHolder(t *testing.T) {
	// A holder rate of exactly 1-MaxDrift would exceed the tolerated drift, as 1/(1-MaxDrift) is
	// above 1+MaxDrift.
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
					t.Fatalf("rates %v: at %v the lease is valid in the holder but expired in the tracker (%s)", rates, now-sent, name)
				}
			}
		}
	}
}

func TestHolderKeepsLongestLease(t *testing.T) {
	var holder Holder
	holder.Renewed(1, 100*time.Millisecond, length)
	holder.Renewed(1, 0, length) // a late response
	if !holder.Valid(899 * time.Millisecond) {
		t.Error("a late response shortened the lease")
	}
	holder.Renewed(2, 0, length)
	if holder.Valid(800 * time.Millisecond) {
		t.Error("a new session inherited the lease of the previous one")
	}
	holder.Drop()
	if holder.Valid(0) || holder.Session() != 0 {
		t.Error("the lease is valid, or has a session, after Drop")
	}
}

func TestTrackerExpires(t *testing.T) {
	tracker := NewTracker(length, 0, []uint64{2, 1})
	tracker.Renew(100*time.Millisecond, 2)
	tracker.Ensure(200*time.Millisecond, 2) // no effect, because the session has a lease
	if got := tracker.Expired(WithDrift(length)); len(got) != 1 || got[0] != 1 {
		t.Errorf("expired %v, want [1]", got)
	}
	tracker.Remove(1)
	if got := tracker.Expired(time.Hour); len(got) != 1 || got[0] != 2 {
		t.Errorf("expired %v, want [2]", got)
	}
}
