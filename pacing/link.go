package pacing

import (
	"math"
	"time"
)

const (
	// bulkFloor is the fraction of the rate that bulk traffic is always allowed.
	bulkFloor = 0.1
	// maxCredit bounds the tokens that an idle link accumulates, as time at the link's rate.
	maxCredit = 100 * time.Millisecond
	// maxDebt bounds the tokens that interactive traffic can overdraw, as time at the link's rate.
	maxDebt = time.Second
)

// Link paces the bulk traffic in one direction of a network link.
type Link struct {
	shared bucket // for all traffic
	floor  bucket // for bulk traffic only
}

// NewLink returns an idle link with the given rate in bytes per second.
func NewLink(rate float64) *Link {
	return &Link{shared: newBucket(rate, maxDebt), floor: newBucket(rate*bulkFloor, 0)}
}

// RecordInteractive counts interactive bytes that were sent.
func (l *Link) RecordInteractive(now time.Duration, bytes int) {
	l.shared.refill(now)
	l.shared.takeWithinDebt(float64(bytes))
}

// AdmitBulk asks to send bulk bytes. If wait is 0, they may be sent and have been counted. Otherwise
// the caller must ask again after wait. A chunk larger than the maximum credit is admitted once the
// credit is full.
func (l *Link) AdmitBulk(now time.Duration, bytes int) (wait time.Duration) {
	l.shared.refill(now)
	l.floor.refill(now)
	amount := float64(bytes)
	wait = l.shared.wait(amount)
	if wait == 0 {
		l.shared.take(amount)
		return 0
	}
	wait = min(wait, l.floor.wait(amount))
	if wait == 0 {
		l.floor.take(amount)
		l.shared.takeWithinDebt(amount)
	}
	return wait
}

// bucket is a token bucket whose balance may become negative.
type bucket struct {
	rate      float64       // bytes per second
	maxTokens float64       // bytes
	minTokens float64       // bytes; negative if interactive traffic may overdraw the bucket
	tokens    float64       // bytes
	last      time.Duration // time of the last refill
}

func newBucket(rate float64, debt time.Duration) bucket {
	maxTokens := rate * maxCredit.Seconds()
	return bucket{rate: rate, maxTokens: maxTokens, minTokens: -rate * debt.Seconds(), tokens: maxTokens}
}

func (b *bucket) refill(now time.Duration) {
	if now <= b.last {
		return
	}
	b.tokens = min(b.maxTokens, b.tokens+b.rate*(now-b.last).Seconds())
	b.last = now
}

// take subtracts bytes without a lower bound, so that a chunk larger than maxTokens is paid in full.
func (b *bucket) take(bytes float64) { b.tokens -= bytes }

// takeWithinDebt subtracts bytes, but not below minTokens.
func (b *bucket) takeWithinDebt(bytes float64) {
	b.tokens = max(min(b.minTokens, b.tokens), b.tokens-bytes)
}

// wait returns the time until bytes may be taken, rounded up to milliseconds.
func (b *bucket) wait(bytes float64) time.Duration {
	missing := min(bytes, b.maxTokens) - b.tokens
	if missing <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(missing/b.rate*1000)) * time.Millisecond
}
