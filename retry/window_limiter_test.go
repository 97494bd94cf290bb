package retry

import (
	"testing"
	"time"
)

// Most requests of a service are rejected with a request to retry. The limiter must keep the retries
// to the ratio at every moment, but still allow most of what the ratio permits.
func TestWindowLimiterBoundsRetriesToRatio(t *testing.T) {
	w := NewWindowLimiter(0.2, 10*time.Second)
	requests, retries := 0, 0
	for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
		w.RecordRequest(now)
		requests++
		if w.AllowRetry(now, 0) {
			retries++
		}
		if float64(retries) > 0.2*float64(requests) {
			t.Fatalf("allowed %d retries for %d requests, more than the ratio of 0.2", retries, requests)
		}
	}
	if retries < requests/6 {
		t.Errorf("allowed only %d retries for %d requests, want at least a sixth", retries, requests)
	}
}

func TestWindowLimiterExpiresOldRequests(t *testing.T) {
	w := NewWindowLimiter(0.5, time.Second)
	for range 100 {
		w.RecordRequest(0)
	}
	if !w.AllowRetry(500*time.Millisecond, 0) {
		t.Error("retry within the window was not allowed")
	}
	if w.AllowRetry(3*time.Second, 0) {
		t.Error("retry was allowed for requests that have left the window")
	}
}

func TestWindowLimiterAllowsSlackWithoutRequests(t *testing.T) {
	w := NewWindowLimiter(0.2, time.Second)
	for i := range 3 {
		if got, want := w.AllowRetry(0, 2), i < 2; got != want {
			t.Errorf("retry %d: allowed %t, want %t", i+1, got, want)
		}
	}
}
