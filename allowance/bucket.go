package allowance

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// BurstShare returns the burst for a share of a limit, in proportion to the share. It is at least
// one request, because a bucket with a smaller burst admits nothing. The bursts of all children
// together may therefore exceed the limit's burst by one request per child.
func BurstShare(limit Limit, share float64) int {
	if share <= 0 || limit.RequestsPerSecond <= 0 {
		return 0
	}
	fraction := math.Min(1, share/limit.RequestsPerSecond)
	return max(1, int(limit.Burst*fraction))
}

// retryAfterNoShare is the time after which to retry when there is no share or its lease has expired.
const retryAfterNoShare = time.Second

// maxRetryAfter bounds the time after which to retry when the share is small.
const maxRetryAfter = time.Hour

// Bucket is a token bucket that refills at the rate of a share until the share's lease expires. The
// remaining tokens can be spent for a grace period after that. Use NewBucket.
type Bucket struct {
	limiter *rate.Limiter
	share   float64       // requests per second
	expiry  time.Duration // of the lease
	grace   time.Duration
	stopped bool // no longer refilled, because the lease has expired
}

// NewBucket returns a bucket without a share. With a grace of 0 it admits nothing after the lease
// has expired.
func NewBucket(grace time.Duration) *Bucket {
	// The bucket starts with one token, so that the first request after the first Set is admitted.
	return &Bucket{limiter: rate.NewLimiter(0, 1), grace: grace}
}

// origin is the wall-clock time that represents time 0 in the limiter.
var origin = time.Unix(0, 0)

// Set replaces the share, its burst and the expiry of its lease at now.
func (b *Bucket) Set(now time.Duration, share float64, burst int, expiry time.Duration) {
	b.stopAtExpiry(now)
	at := origin.Add(now)
	b.limiter.SetLimitAt(at, rate.Limit(share))
	b.limiter.SetBurstAt(at, burst)
	b.share, b.expiry, b.stopped = share, expiry, false
}

// Admit takes one token. If there is none, it returns false and the time after which to retry.
func (b *Bucket) Admit(now time.Duration) (ok bool, retryAfter time.Duration) {
	b.stopAtExpiry(now)
	if now >= b.expiry+b.grace || b.share <= 0 {
		return false, retryAfterNoShare
	}
	at := origin.Add(now)
	if b.limiter.AllowN(at, 1) {
		return true, 0
	}
	if b.stopped {
		return false, retryAfterNoShare
	}
	missing := 1 - b.limiter.TokensAt(at)
	wait := missing / b.share * float64(time.Second)
	return false, time.Duration(math.Min(wait, float64(maxRetryAfter)))
}

// stopAtExpiry stops refilling from the time at which the lease expired.
func (b *Bucket) stopAtExpiry(now time.Duration) {
	if b.stopped || now < b.expiry {
		return
	}
	b.limiter.SetLimitAt(origin.Add(b.expiry), 0)
	b.stopped = true
}
