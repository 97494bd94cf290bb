package replog

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// testStart is the time at which a test's member starts, on its own clock.
const testStart = 10 * testElection

// newTestNode returns member 1 of 1, 2 and 3, started at testStart with the given
// number of entries of term 2 after the bootstrap snapshot.
func newTestNode(t testing.TB, entries int) *Node {
	t.Helper()
	restored := Bootstrap([]Member{{ID: 1, Name: "a"}, {ID: 2, Name: "b"}, {ID: 3, Name: "c"}})
	restored.HardState.Term = 2
	for i := range entries {
		restored.Entries = append(restored.Entries, Entry{Index: uint64(i + 2), Term: 2})
	}
	n, err := New(Config{
		ID: 1, Name: "a", ElectionTimeout: testElection, HeartbeatInterval: testHeartbeat, Rand: rand.New(rand.NewPCG(1, 1)),
	}, restored, testStart)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// exchange steps a message and returns the messages that the node sends.
func exchange(t testing.TB, n *Node, now time.Duration, m Message) []Message {
	t.Helper()
	m.To = 1
	if err := n.Step(now, m); err != nil {
		t.Fatal(err)
	}
	return work(n, now)
}

// work does the node's pending work, with writes that take no time, and returns the messages that it sends.
func work(n *Node, now time.Duration) []Message {
	var messages []Message
	for ready := n.Ready(); !ready.Empty(); ready = n.Ready() {
		messages = append(messages, ready.Messages...)
		n.Advance()
		if ready.Writes() {
			n.Written(now)
		}
	}
	return messages
}

func TestVotesAreRefusedWithinTheElectionTimeout(t *testing.T) {
	preVote := Message{Kind: KindPreVote, From: 2, Term: 3, Index: 1, LogTerm: 1}
	vote := Message{Kind: KindVote, From: 2, Term: 3, Index: 1, LogTerm: 1}
	heartbeat := Message{Kind: KindAppend, From: 3, Term: 2, Index: 1, LogTerm: 1}
	for _, since := range []time.Duration{0, 60 * time.Millisecond} { // after start, heartbeat
		n := newTestNode(t, 0)
		if since > 0 {
			exchange(t, n, testStart+since, heartbeat)
		}
		end := testStart + since + testElection
		if got := exchange(t, n, end-1, preVote); !got[0].Reject {
			t.Fatalf("pre-vote granted within the election timeout after %v", since)
		}
		if got := exchange(t, n, end-1, vote); len(got) != 0 || n.Term() != 2 {
			t.Fatalf("vote request answered within the election timeout after %v: %v", since, got)
		}
		if got := exchange(t, n, end, preVote); got[0].Reject {
			t.Fatalf("pre-vote rejected at the election timeout after %v", since)
		}
		if got := exchange(t, n, end, vote); got[0].Reject {
			t.Fatalf("vote rejected at the election timeout after %v", since)
		}
	}
}

func TestVoteNeedsAnUpToDateLogAndIsGivenOnce(t *testing.T) {
	n := newTestNode(t, 2)
	later := testStart + 2*testElection
	old := Message{Kind: KindVote, From: 2, Term: 3, Index: 9, LogTerm: 1}
	if got := exchange(t, n, later, old); !got[0].Reject {
		t.Fatal("vote granted to a log with an older last term")
	}
	if got := exchange(t, n, later, Message{Kind: KindVote, From: 2, Term: 3, Index: 2, LogTerm: 2}); !got[0].Reject {
		t.Fatal("vote granted to a shorter log")
	}
	if got := exchange(t, n, later, Message{Kind: KindVote, From: 2, Term: 3, Index: 3, LogTerm: 2}); got[0].Reject {
		t.Fatal("vote rejected for an equal log")
	}
	if got := exchange(t, n, later, Message{Kind: KindVote, From: 3, Term: 3, Index: 3, LogTerm: 2}); !got[0].Reject {
		t.Fatal("second vote granted in the same term")
	}
}

// elect makes the node leader of term 3 and returns the time of the election.
func elect(t testing.TB, n *Node) time.Duration {
	t.Helper()
	now := n.NextDeadline()
	n.Tick(now)
	exchange(t, n, now, Message{Kind: KindPreVoteReply, From: 2, Term: 3})
	exchange(t, n, now, Message{Kind: KindVoteReply, From: 2, Term: 3})
	if n.Role() != Leader {
		t.Fatal(n.Role())
	}
	return now
}

// A leader must not commit entries of older terms by counting replicas, but only
// together with an entry of its own term (thesis, section 3.6.2).
func TestOldTermEntriesCommitOnlyWithCurrentTerm(t *testing.T) {
	n := newTestNode(t, 2)
	now := elect(t, n)
	exchange(t, n, now, Message{Kind: KindAppendReply, From: 2, Term: 3, Index: 3, Round: 1, Sent: int64(now)})
	if commit := n.Status(now).Commit; commit != 1 {
		t.Fatalf("commit index %d after acknowledgement of older terms only, want 1", commit)
	}
	exchange(t, n, now, Message{Kind: KindAppendReply, From: 2, Term: 3, Index: 4, Round: 2, Sent: int64(now)})
	if commit := n.Status(now).Commit; commit != 4 {
		t.Fatalf("commit index %d after acknowledgement of an entry of the current term, want 4", commit)
	}
}

func TestFollowerCommitsOnlyMatchingEntries(t *testing.T) {
	n := newTestNode(t, 3) // entries up to 4; the leader's append confirms only those up to 2
	exchange(t, n, testStart, Message{Kind: KindAppend, From: 2, Term: 3, Index: 2, LogTerm: 2, Commit: 4})
	if commit := n.Status(testStart).Commit; commit != 2 {
		t.Fatalf("commit index %d, but the logs match only up to 2", commit)
	}
}

func TestRepliesFromUnknownMembersAreRejected(t *testing.T) {
	n := newTestNode(t, 0)
	now := n.NextDeadline()
	n.Tick(now)
	for _, kind := range []MessageKind{KindPreVoteReply, KindVoteReply, KindAppendReply} {
		if err := n.Step(now, Message{Kind: kind, From: 7, To: 1, Term: 3}); !errors.Is(err, ErrUnknownMember) {
			t.Fatalf("kind %d: %v", kind, err)
		}
	}
	if err := n.Step(now, Message{Kind: KindVoteReply, From: 2, To: 9, Term: 3}); !errors.Is(err, ErrWrongMember) {
		t.Fatal(err)
	}
	if n.Role() != PreCandidate {
		t.Fatal(n.Role())
	}
}

// A lease on the slowest clock must end before the period in which a follower with
// the fastest clock refuses votes, by a small margin only.
func TestLeaseAllowsForTheDriftOfBothClocks(t *testing.T) {
	c := Config{ElectionTimeout: time.Second, MaxDrift: 0.01}
	lease := float64(c.leaseDuration()) / (1 - c.MaxDrift)
	refusal := float64(c.ElectionTimeout) / (1 + c.MaxDrift)
	if lease > refusal || lease < refusal*0.999 {
		t.Fatalf("lease lasts %v ns and refusal of votes %v ns of real time", lease, refusal)
	}
}

func TestNewRejectsInconsistentState(t *testing.T) {
	config := Config{ID: 1, ElectionTimeout: 2, HeartbeatInterval: 1, Rand: rand.New(rand.NewPCG(1, 1))}
	bad := map[string]Restored{
		"gap":         {HardState: HardState{Term: 1}, Entries: []Entry{{Index: 2, Term: 1}}},
		"future term": {HardState: HardState{Term: 1}, Entries: []Entry{{Index: 1, Term: 2}}},
		"lost commit": {HardState: HardState{Term: 1, Commit: 3}, Entries: []Entry{{Index: 1, Term: 1}}},
		"same ID":     Bootstrap([]Member{{ID: 1}, {ID: 1}}),
	}
	for name, restored := range bad {
		if _, err := New(config, restored, 0); !errors.Is(err, ErrInvalidState) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// FuzzMessage checks that no message that decodes makes a member panic.
func FuzzMessage(f *testing.F) {
	for _, m := range []Message{
		{Kind: KindAppend, From: 2, To: 1, Term: 2, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 2}}},
		{Kind: KindSnapshot, From: 2, To: 1, Term: 3, Snapshot: SnapshotMeta{Index: 9, Term: 2}, Size: 1, Data: []byte{1}},
		{Kind: KindVote, From: 3, To: 1, Term: 9, Planned: true},
		{Kind: KindAppendReply, From: 2, To: 1, Term: 3, Index: 3, Round: 1, Reject: true},
	} {
		encoded, err := cbor.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded, true)
		f.Add(encoded, false)
	}
	f.Fuzz(func(t *testing.T, data []byte, leads bool) {
		var m Message
		if cbor.Unmarshal(data, &m) != nil {
			return
		}
		n := newTestNode(t, 2)
		now := testStart
		if leads {
			now = elect(t, n)
		}
		_ = n.Step(now, m)
		work(n, now)
		n.Tick(now + 3*testElection)
		n.Ready()
	})
}

// A rejection that arrives after a later acknowledgement does not mean that the member
// lost entries; a rejection of a message sent after the acknowledgement does.
func TestLostEntriesAreDistinguishedFromReordering(t *testing.T) {
	n := newTestNode(t, 0)
	now := elect(t, n)
	sent := map[uint64]Message{} // latest message to each member
	propose := func() Message {
		if _, _, err := n.Propose(now, []byte("x")); err != nil {
			t.Fatal(err)
		}
		for _, m := range work(n, now) {
			sent[m.To] = m
		}
		return sent[2]
	}
	first, second := propose(), propose()
	rejection := Message{Kind: KindAppendReply, From: 2, To: 1, Term: 3, Round: second.Round, Index: second.Index, Reject: true, Hint: 1}
	matched := Message{Kind: KindAppendReply, From: 2, To: 1, Term: 3, Round: first.Round, Index: 4}
	for _, m := range []Message{matched, rejection} {
		if err := n.Step(now, m); err != nil {
			t.Fatal(err)
		}
	}
	rejection.Round = propose().Round
	if err := n.Step(now, rejection); !errors.Is(err, ErrLostEntries) {
		t.Fatal(err)
	}
	if n.CaughtUp(now, 2) {
		t.Fatal("a member that lost entries counts as caught up")
	}
}

// A follower whose leader's heartbeats are late must not start more than one pre-vote
// per election timeout, since each one may depose the leader. It retries faster only
// until it first hears from a leader.
func TestPreVoteRetriesSlowDownAfterLeaderContact(t *testing.T) {
	for _, contact := range []bool{false, true} {
		members := []Member{{ID: 1, Name: "a"}, {ID: 2, Name: "b"}, {ID: 3, Name: "c"}}
		config := Config{
			ID: 1, Name: "a", ElectionTimeout: time.Second, HeartbeatInterval: 100 * time.Millisecond,
			Rand: rand.New(rand.NewPCG(1, 1)),
		}
		n, err := New(config, Bootstrap(members), 0)
		if err != nil {
			t.Fatal(err)
		}
		if contact {
			if err := n.Step(0, Message{Kind: KindAppend, From: 2, To: 1, Term: 2, Index: 1, LogTerm: 1}); err != nil {
				t.Fatal(err)
			}
		}
		rounds := 0
		for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
			n.Tick(now)
			for _, m := range work(n, now) {
				if m.Kind == KindPreVote && m.To == 2 {
					rounds++
				}
			}
		}
		if contact && rounds > 10 || !contact && rounds < 15 {
			t.Errorf("leader contact %t: %d pre-votes in 10 election timeouts", contact, rounds)
		}
	}
}
