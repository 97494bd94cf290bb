package admission

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDecisions measures a request from Enqueue to Finish, with different numbers of queued
// requests.
func BenchmarkDecisions(b *testing.B) {
	for _, queued := range []int{0, 16, 256} {
		b.Run(fmt.Sprintf("queued=%d", queued), func(b *testing.B) {
			q := New(Config{Slots: 6, MaxLimit: 24, QueueLength: 512, Shares: DefaultShares()})
			id := ID(0)
			enqueue := func(now time.Duration) {
				id++
				q.Enqueue(now, Request{ID: id, Class: Order, Customer: string(rune('a' + id%20)), Deadline: now + time.Hour})
			}
			for range queued + q.Limit() {
				enqueue(0)
			}
			started := q.Next(0)
			b.ResetTimer()
			for i := range b.N {
				now := time.Duration(i) * time.Microsecond
				q.Finish(now, started[0], Failed, time.Millisecond)
				started = started[1:]
				enqueue(now)
				started = append(started, q.Next(now)...)
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "decisions/s")
		})
	}
}

// BenchmarkFairness offers twice a server's capacity: one customer sends ten times as many requests
// as each of nine others. It reports the fraction of the requests served for the large customer and
// for the small ones, with fair queueing and with a single first-in-first-out queue.
func BenchmarkFairness(b *testing.B) {
	for _, fair := range []bool{true, false} {
		name := map[bool]string{true: "fair", false: "fifo"}[fair]
		b.Run(name, func(b *testing.B) {
			var large, small float64
			for range b.N {
				large, small = serveUnfairLoad(fair)
			}
			b.ReportMetric(small, "small-served-share")
			b.ReportMetric(large, "large-served-share")
		})
	}
}

// serveUnfairLoad runs 2,000 rounds, in each of which 38 requests arrive and 19 are served. It
// returns the fractions of requests served.
func serveUnfairLoad(fair bool) (large, small float64) {
	const rounds, smallCustomers, factor = 2000, 9, 10
	const capacity = smallCustomers + factor
	q := New(Config{Slots: capacity, MaxLimit: capacity, QueueLength: 256, Shares: DefaultShares()})
	largeByID := map[ID]bool{}
	var started []ID
	var served [2]int
	lastID := ID(0)
	for round := range rounds {
		now := time.Duration(round) * 2 * time.Millisecond
		for _, id := range started {
			q.Finish(now, id, Failed, 0)
		}
		for n := range 2 * capacity {
			lastID++
			customer := n % capacity
			isLarge := customer >= smallCustomers
			request := Request{ID: lastID, Class: Order, Deadline: now + time.Second}
			if fair {
				request.Customer = string(rune('a' + min(customer, smallCustomers)))
			}
			largeByID[lastID] = isLarge
			q.Enqueue(now, request)
		}
		started = q.Next(now)
		for _, id := range started {
			if largeByID[id] {
				served[0]++
			} else {
				served[1]++
			}
		}
	}
	return float64(served[0]) / (rounds * 2 * factor), float64(served[1]) / (rounds * 2 * smallCustomers)
}
