package retry

import (
	"testing"
	"time"
)

// Pattern: a service rejects most requests, and each rejected one asks to be sent
// again.
func TestWindowBoundsRepeatsToAPartOfTheRequests(t *testing.T) {
	w := NewWindowLimiter(0.2, 10*time.Second)
	requests, repeats := 0, 0
	for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
		w.RecordRequest(now)
		requests++
		if w.AllowRetry(now, 0) {
			repeats++
		}
		if float64(repeats) > 0.2*float64(requests) {
			t.Fatalf("%d repeats for %d requests", repeats, requests)
		}
	}
	if repeats < requests/6 {
		t.Errorf("only %d repeats for %d requests", repeats, requests)
	}
}

func TestWindowForgetsOldRequests(t *testing.T) {
	w := NewWindowLimiter(0.5, time.Second)
	for range 100 {
		w.RecordRequest(0)
	}
	if !w.AllowRetry(500*time.Millisecond, 0) {
		t.Error("no repeat within the window")
	}
	if w.AllowRetry(3*time.Second, 0) {
		t.Error("a repeat for requests that left the window")
	}
}

func TestWindowGivesSlackWithoutRequests(t *testing.T) {
	w := NewWindowLimiter(0.2, time.Second)
	for i := range 3 {
		if got, want := w.AllowRetry(0, 2), i < 2; got != want {
			t.Errorf("repeat %d: allowed %t, want %t", i+1, got, want)
		}
	}
}
