package replog

import (
	"testing"
	"time"
)

// Guards against a member that catches up and fills a slow link, on which votes and heartbeats then wait (review 1):
// only the number of appends on their way was bounded.
func TestCatchingUpMemberGetsBoundedBytes(t *testing.T) {
	const (
		entryBytes = 40 << 10
		entries    = 100
		limit      = 100 << 10
	)
	n := newTestNode(t, 0)
	n.cfg.MaxBytesPerMessage, n.cfg.MaxInflightBytes = entryBytes, limit
	now := elect(t, n)
	for range entries {
		if _, _, err := n.Propose(now, make([]byte, entryBytes)); err != nil {
			t.Fatal(err)
		}
	}
	var underway []Message // appends with entries to member 2
	send := func(messages []Message) {
		for _, m := range messages {
			if m.To == 2 && m.Kind == KindAppend && len(m.Entries) > 0 {
				underway = append(underway, m)
			}
		}
	}
	send(work(n, now))
	received := uint64(0)
	for len(underway) > 0 {
		size := 0
		for _, m := range underway {
			size += dataBytes(m.Entries)
		}
		if size > limit+entryBytes {
			t.Fatalf("%d bytes on their way, want at most %d and one entry", size, limit)
		}
		oldest := underway[0]
		underway = underway[1:]
		received = oldest.Index + uint64(len(oldest.Entries))
		now += time.Millisecond
		reply := Message{Kind: KindAppendReply, From: 2, Term: n.Term(), Index: received, Round: oldest.Round, Sent: oldest.Sent}
		send(exchange(t, n, now, reply))
	}
	if received != n.log.last() {
		t.Errorf("the member has the entries up to %d, want %d", received, n.log.last())
	}
}
