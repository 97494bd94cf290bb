package retry

import "time"

// windowBuckets is the number of buckets that a WindowLimiter divides its window into. Only complete
// buckets expire, so the window is up to one bucket longer than configured.
const windowBuckets = 40

// WindowLimiter limits the retries of one service to a fraction of its requests within a sliding
// window. The limits of several hosts add up: if each host keeps to the fraction of its own requests,
// all of them together keep to that fraction of all requests.
type WindowLimiter struct {
	ratio        float64
	bucketLength time.Duration
	newest       int64 // number of the newest bucket since time 0
	buckets      [windowBuckets + 1]windowCount
}

type windowCount struct{ requests, retries int64 }

// NewWindowLimiter returns a limiter that allows ratio retries per request within a window of the
// given length.
func NewWindowLimiter(ratio float64, length time.Duration) *WindowLimiter {
	return &WindowLimiter{ratio: ratio, bucketLength: max(length/windowBuckets, 1)}
}

// RecordRequest counts one request.
func (w *WindowLimiter) RecordRequest(now time.Duration) { w.at(now).requests++ }

// AllowRetry counts one retry, or returns false if the limit is reached. slack is the number of
// retries allowed regardless of the number of requests.
func (w *WindowLimiter) AllowRetry(now time.Duration, slack float64) bool {
	current := w.at(now)
	requests, retries := w.totals()
	if float64(retries+1) > w.ratio*float64(requests)+slack {
		return false
	}
	current.retries++
	return true
}

func (w *WindowLimiter) totals() (requests, retries int64) {
	for _, b := range w.buckets {
		requests += b.requests
		retries += b.retries
	}
	return requests, retries
}

// at returns the bucket for now, and clears the buckets that have left the window.
func (w *WindowLimiter) at(now time.Duration) *windowCount {
	number := int64(now / w.bucketLength)
	for w.newest < number {
		if number-w.newest > int64(len(w.buckets)) {
			w.newest = number - int64(len(w.buckets))
		}
		w.newest++
		w.buckets[w.newest%int64(len(w.buckets))] = windowCount{}
	}
	return &w.buckets[w.newest%int64(len(w.buckets))]
}
