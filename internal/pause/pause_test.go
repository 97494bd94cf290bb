package pause

import (
	"testing"
	"time"
)

// run ticks at the usual interval for a time, and returns its end.
func run(d *Detector, from, length time.Duration) time.Duration {
	for now := from; now < from+length; now += tickInterval {
		d.Tick(now)
	}
	d.Tick(from + length)
	return from + length
}

// Guards against a call that arrived during a pause and counts as new because the process reads it afterwards, also if the
// tick comes first, and if a second pause follows at once.
func TestArrivalsDuringAPauseCountFromItsBegin(t *testing.T) {
	var d Detector
	begin := run(&d, time.Hour, time.Second)
	if got := d.EarliestArrival(begin); got != begin {
		t.Errorf("arrival at %v in a process that runs, want %v", got, begin)
	}
	woken := begin + 3*time.Second
	if got := d.EarliestArrival(woken); got != begin {
		t.Errorf("first read after a pause: arrival at %v, want %v", got, begin)
	}
	now := run(&d, woken, settleTime/2)
	if got := d.EarliestArrival(now); got != begin {
		t.Errorf("read shortly after a pause: arrival at %v, want %v", got, begin)
	}
	now += time.Second
	if got := d.EarliestArrival(now); got != begin {
		t.Errorf("read after a second pause: arrival at %v, want %v", got, begin)
	}
	now = run(&d, now, settleTime)
	if got := d.EarliestArrival(now); got != now {
		t.Errorf("arrival at %v long after a pause, want %v", got, now)
	}
}

// Guards against busy hosts that take every call for an old one.
func TestShortDelaysAreNoPauses(t *testing.T) {
	var d Detector
	for now := time.Hour; now < time.Hour+10*time.Second; now += shortestPause - time.Millisecond {
		if got := d.EarliestArrival(now); got != now {
			t.Fatalf("arrival at %v, want %v", got, now)
		}
		d.Tick(now)
	}
}
