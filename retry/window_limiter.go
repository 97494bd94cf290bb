package retry

import "time"

// windowBuckets is the number of parts that a WindowLimiter is counted in. A bucket
// leaves the window whole, so the window is up to one part longer than asked for.
const windowBuckets = 40

// WindowLimiter bounds the repeats of one service to a part of its requests within a
// sliding window. Bounds of several hosts add up: if each keeps to its part of
// its own requests, all of them together keep to that part of all requests.
type WindowLimiter struct {
	ratio   float64
	bucket  time.Duration
	newest  int64 // number of the newest bucket
	buckets [windowBuckets + 1]windowCount
}

type windowCount struct{ requests, repeats int64 }

// NewWindowLimiter returns a window of the given length that allows ratio repeats for
// each request.
func NewWindowLimiter(ratio float64, length time.Duration) *WindowLimiter {
	return &WindowLimiter{ratio: ratio, bucket: max(length/windowBuckets, 1)}
}

// RecordRequest counts one request.
func (w *WindowLimiter) RecordRequest(now time.Duration) { w.at(now).requests++ }

// AllowRetry counts one repeat, or returns false if the window has no room for it. Slack
// is the number of repeats that need no requests.
func (w *WindowLimiter) AllowRetry(now time.Duration, slack float64) bool {
	current := w.at(now)
	requests, repeats := w.totals()
	if float64(repeats+1) > w.ratio*float64(requests)+slack {
		return false
	}
	current.repeats++
	return true
}

func (w *WindowLimiter) totals() (requests, repeats int64) {
	for _, b := range w.buckets {
		requests += b.requests
		repeats += b.repeats
	}
	return requests, repeats
}

// at returns the bucket of now, and empties those that left the window.
func (w *WindowLimiter) at(now time.Duration) *windowCount {
	number := int64(now / w.bucket)
	for w.newest < number {
		if number-w.newest > int64(len(w.buckets)) {
			w.newest = number - int64(len(w.buckets))
		}
		w.newest++
		w.buckets[w.newest%int64(len(w.buckets))] = windowCount{}
	}
	return &w.buckets[w.newest%int64(len(w.buckets))]
}
