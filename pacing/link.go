package pacing

import (
	"math"
	"time"
)

const (
	// bulkFloor is the part of the rate that bulk traffic gets in any case.
	bulkFloor = 0.1
	// savings is the time of the rate that an idle link saves up.
	savings = 100 * time.Millisecond
	// maxDebt is the time of the rate that interactive traffic can owe.
	maxDebt = time.Second
)

// Link is one direction of a link.
type Link struct {
	shared bucket // of all traffic
	floor  bucket // of bulk traffic alone
}

// NewLink returns an idle link of a rate, in bytes a second.
func NewLink(rate float64) *Link {
	return &Link{shared: newBucket(rate, maxDebt), floor: newBucket(rate*bulkFloor, 0)}
}

// RecordInteractive counts interactive bytes that were sent.
func (l *Link) RecordInteractive(now time.Duration, bytes int) {
	l.shared.refill(now)
	l.shared.takeUpToDebt(float64(bytes))
}

// AdmitBulk asks to send bulk bytes. They may be sent if the wait is 0, and are
// counted then. Otherwise it is the time after which to ask again. More bytes
// than an idle link saves up may be sent once the link is idle.
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
		l.shared.takeUpToDebt(amount)
	}
	return wait
}

// bucket is a token bucket whose tokens may be owed.
type bucket struct {
	rate   float64 // bytes a second
	most   float64 // bytes
	least  float64 // bytes; negative for the debt of interactive traffic
	tokens float64 // bytes
	last   time.Duration
}

func newBucket(rate float64, debt time.Duration) bucket {
	most := rate * savings.Seconds()
	return bucket{rate: rate, most: most, least: -rate * debt.Seconds(), tokens: most}
}

func (b *bucket) refill(now time.Duration) {
	if now <= b.last {
		return
	}
	b.tokens = min(b.most, b.tokens+b.rate*(now-b.last).Seconds())
	b.last = now
}

// take takes bytes; a piece longer than the savings is owed in full.
func (b *bucket) take(bytes float64) { b.tokens -= bytes }

// takeUpToDebt takes bytes, but no more than may be owed.
func (b *bucket) takeUpToDebt(bytes float64) {
	b.tokens = max(min(b.least, b.tokens), b.tokens-bytes)
}

// wait is the time until bytes may be taken, rounded up to milliseconds.
func (b *bucket) wait(bytes float64) time.Duration {
	missing := min(bytes, b.most) - b.tokens
	if missing <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(missing/b.rate*1000)) * time.Millisecond
}
