package allowance

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// BurstShare returns the part of a limit's burst that goes with a share. It is at
// least one request, so that a small share can be used at all; the sum over
// children may so exceed the burst by one request for each child.
func BurstShare(limit Limit, share float64) int {
	if share <= 0 || limit.RequestsPerSecond <= 0 {
		return 0
	}
	part := math.Min(1, share/limit.RequestsPerSecond)
	return max(1, int(limit.Burst*part))
}

// retryAfterLease is the advice to a caller when there is no share.
const retryAfterLease = time.Second

// maxRetryAfter bounds the advice to a caller whose share is small.
const maxRetryAfter = time.Hour

// Bucket is a token bucket filled at the rate of a share, until the end of its
// lease. What is in it may be spent for a grace period after that. Use
// NewBucket.
type Bucket struct {
	limiter *rate.Limiter
	share   float64
	until   time.Duration // end of the lease
	grace   time.Duration
	ended   bool // filling was stopped at until
}

// NewBucket returns a bucket without a share. With a grace of 0 nothing is
// admitted after the lease.
func NewBucket(grace time.Duration) *Bucket {
	// The bucket begins with one token, so that a first request is admitted.
	return &Bucket{limiter: rate.NewLimiter(0, 1), grace: grace}
}

// origin is the time that stands for 0 in the limiter.
var origin = time.Unix(0, 0)

// Set takes a share, its burst and the end of its lease at now.
func (b *Bucket) Set(now time.Duration, share float64, burst int, until time.Duration) {
	b.stopAtEnd(now)
	at := origin.Add(now)
	b.limiter.SetLimitAt(at, rate.Limit(share))
	b.limiter.SetBurstAt(at, burst)
	b.share, b.until, b.ended = share, until, false
}

// Admit takes one token. When there is none it returns false and the time after
// which to try again.
func (b *Bucket) Admit(now time.Duration) (ok bool, retryAfter time.Duration) {
	b.stopAtEnd(now)
	if now >= b.until+b.grace || b.share <= 0 {
		return false, retryAfterLease
	}
	at := origin.Add(now)
	if b.limiter.AllowN(at, 1) {
		return true, 0
	}
	if b.ended {
		return false, retryAfterLease
	}
	missing := 1 - b.limiter.TokensAt(at)
	wait := missing / b.share * float64(time.Second)
	return false, time.Duration(math.Min(wait, float64(maxRetryAfter)))
}

// stopAtEnd stops filling at the end of the lease.
func (b *Bucket) stopAtEnd(now time.Duration) {
	if b.ended || now < b.until {
		return
	}
	b.limiter.SetLimitAt(origin.Add(b.until), 0)
	b.ended = true
}
