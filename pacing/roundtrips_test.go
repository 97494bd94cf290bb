package pacing

import (
	"testing"
	"time"
)

// fullLink is a host's link on which each message waits behind the bytes that were sent before it, in virtual
// time. The waits rise and fall, as bursts of long bodies come and go.
type fullLink struct{ longest time.Duration }

// wait returns the wait of a message that is sent now, in one direction.
func (l fullLink) wait(now time.Duration) time.Duration {
	const period = 8 * time.Second
	phase := now % period
	if phase > period/2 {
		phase = period - phase
	}
	return l.longest * phase / (period / 2)
}

// Requests on a full link of the host itself reach their timeout. Guards against answers that come more than half
// a second after it: the host reads the requests late, and their answers wait once more.
func TestTimeoutsAreAnsweredInTimeOnAFullLink(t *testing.T) {
	const (
		timeout     = 5 * time.Second
		maxLateness = 500 * time.Millisecond
		latency     = 20 * time.Millisecond
	)
	link := fullLink{longest: 800 * time.Millisecond}
	var trips RoundTrips
	answers, late, early := 0, 0, 0
	nextTrip := time.Duration(0)
	for sent := time.Duration(0); sent < time.Minute; sent += 50 * time.Millisecond {
		for ; nextTrip+2*(latency+link.longest) < sent; nextTrip += 500 * time.Millisecond {
			out := latency + link.wait(nextTrip)
			back := latency + link.wait(nextTrip+out)
			trips.Add(nextTrip+out+back, out+back)
		}
		read := sent + latency + link.wait(sent)
		answered := read + trips.Remaining(read, timeout)
		received := answered + latency + link.wait(answered)
		if sent < 5*time.Second {
			continue // the least round trip is not known yet
		}
		answers++
		switch lateness := received - sent - timeout; {
		case lateness > maxLateness:
			late++
		case lateness < -maxLateness:
			early++
		}
	}
	t.Logf("%d answers, %d late, %d early", answers, late, early)
	if late > answers/2 {
		t.Errorf("%d of %d answers came later than %v after the timeout, want at most half", late, answers, maxLateness)
	}
	if early > answers/2 {
		t.Errorf("%d of %d answers came earlier than %v before the timeout, want at most half", early, answers, maxLateness)
	}
}

// Guards against timeouts that shrink on a link without queueing, or for one late message long ago.
func TestTimeoutsAreWholeWithoutQueueing(t *testing.T) {
	var trips RoundTrips
	if got := trips.Remaining(0, time.Second); got != time.Second {
		t.Errorf("without an estimate: %v", got)
	}
	trips.Add(time.Second, 40*time.Millisecond)
	trips.Add(2*time.Second, 2*time.Second)
	if got := trips.Remaining(2*time.Second, 5*time.Second); got >= 5*time.Second || got < 5*time.Second*2/3 {
		t.Errorf("after a slow round trip: %v", got)
	}
	for at := 2500 * time.Millisecond; at < 5*time.Second; at += 500 * time.Millisecond {
		trips.Add(at, 45*time.Millisecond)
	}
	if got := trips.Remaining(5*time.Second, 5*time.Second); got != 5*time.Second {
		t.Errorf("three seconds later: %v", got)
	}
}
