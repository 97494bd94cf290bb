package slotqueue

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkAssign measures a request and the return of its slot at a queue that is full.
func BenchmarkAssign(b *testing.B) {
	for _, servers := range []int{18, 250} {
		b.Run(fmt.Sprintf("%d servers", servers), func(b *testing.B) {
			q, list := New[int](), make([]Server, servers)
			for i := range list {
				list[i] = Server{ID: fmt.Sprint(i), Slots: 4}
			}
			q.SetServers(0, "s", list)
			var granted []int64
			for id := int64(1); b.Loop(); id++ {
				now := time.Duration(id) * time.Millisecond
				for _, d := range q.Add(now, 1, request(id, 1)) {
					if !d.Answer.Refused {
						granted = append(granted, d.Answer.ID)
					}
				}
				if len(granted) > 4*servers {
					q.Release(now, 1, Release{ID: granted[0], Outcome: Served, AtServerMicros: 100_000})
					granted = granted[1:]
				}
			}
		})
	}
}
