package replog

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// testStart is when a test's member starts, on its clock.
const testStart = 10 * testElection

// newTestNode returns member 1 of 1, 2 and 3, started at testStart with entries of
// term 2 after the bootstrap.
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

// exchange steps a message and returns what the node sends.
func exchange(t testing.TB, n *Node, now time.Duration, m Message) []Message {
	t.Helper()
	m.To = 1
	if err := n.Step(now, m); err != nil {
		t.Fatal(err)
	}
	messages := n.Ready().Messages
	n.Advance()
	return messages
}

func TestVotesAreRefusedWithinTheElectionTimeout(t *testing.T) {
	preVote := Message{Kind: KindPreVote, From: 2, Term: 3, Index: 1, LogTerm: 1}
	vote := Message{Kind: KindVote, From: 2, Term: 3, Index: 1, LogTerm: 1}
	heard := Message{Kind: KindAppend, From: 3, Term: 2, Index: 1, LogTerm: 1}
	for _, since := range []time.Duration{0, 60 * time.Millisecond} { // the start, a heartbeat
		n := newTestNode(t, 0)
		if since > 0 {
			exchange(t, n, testStart+since, heard)
		}
		end := testStart + since + testElection
		if got := exchange(t, n, end-1, preVote); !got[0].Reject {
			t.Fatalf("pre-vote granted within the timeout after %v", since)
		}
		if got := exchange(t, n, end-1, vote); len(got) != 0 || n.Term() != 2 {
			t.Fatalf("vote answered within the timeout after %v: %v", since, got)
		}
		if got := exchange(t, n, end, preVote); got[0].Reject {
			t.Fatalf("pre-vote refused at the timeout after %v", since)
		}
		if got := exchange(t, n, end, vote); got[0].Reject {
			t.Fatalf("vote refused at the timeout after %v", since)
		}
	}
}

func TestVoteNeedsAnUpToDateLogAndIsGivenOnce(t *testing.T) {
	n := newTestNode(t, 2)
	later := testStart + 2*testElection
	old := Message{Kind: KindVote, From: 2, Term: 3, Index: 9, LogTerm: 1}
	if got := exchange(t, n, later, old); !got[0].Reject {
		t.Fatal("vote for a log with an older term")
	}
	if got := exchange(t, n, later, Message{Kind: KindVote, From: 2, Term: 3, Index: 2, LogTerm: 2}); !got[0].Reject {
		t.Fatal("vote for a shorter log")
	}
	if got := exchange(t, n, later, Message{Kind: KindVote, From: 2, Term: 3, Index: 3, LogTerm: 2}); got[0].Reject {
		t.Fatal("no vote for an equal log")
	}
	if got := exchange(t, n, later, Message{Kind: KindVote, From: 3, Term: 3, Index: 3, LogTerm: 2}); !got[0].Reject {
		t.Fatal("second vote in a term")
	}
}

// elect makes the node leader of term 3 and returns the time.
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

// A leader commits entries of older terms only with one of its own (thesis,
// section 3.6.2).
func TestOldTermIsCommittedOnlyWithOwnTerm(t *testing.T) {
	n := newTestNode(t, 2)
	now := elect(t, n)
	exchange(t, n, now, Message{Kind: KindAppendReply, From: 2, Term: 3, Index: 3, Round: 1, Sent: int64(now)})
	if commit := n.Status(now).Commit; commit != 1 {
		t.Fatalf("committed %d with entries of an older term", commit)
	}
	exchange(t, n, now, Message{Kind: KindAppendReply, From: 2, Term: 3, Index: 4, Round: 2, Sent: int64(now)})
	if commit := n.Status(now).Commit; commit != 4 {
		t.Fatalf("committed %d with an entry of the own term", commit)
	}
}

func TestFollowerCommitsOnlyWhatMatches(t *testing.T) {
	n := newTestNode(t, 3) // up to 4, the end maybe not the leader's
	exchange(t, n, testStart, Message{Kind: KindAppend, From: 2, Term: 3, Index: 2, LogTerm: 2, Commit: 4})
	if commit := n.Status(testStart).Commit; commit != 2 {
		t.Fatalf("committed %d, matched 2", commit)
	}
}

func TestUnknownMembersCountForNothing(t *testing.T) {
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

// The leader's lease, on a slow clock, ends before a follower's promise does, on
// a fast one.
func TestLeaseAllowsForTheDriftOfBothClocks(t *testing.T) {
	c := Config{ElectionTimeout: time.Second, MaxDrift: 0.01}
	lease := float64(c.leaseDuration()) / (1 - c.MaxDrift)
	promise := float64(c.ElectionTimeout) / (1 + c.MaxDrift)
	if lease > promise || lease < promise*0.999 {
		t.Fatalf("lease of %v, promise of %v in true time", lease, promise)
	}
}

func TestNewRefusesInconsistentState(t *testing.T) {
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

// FuzzMessage steps whatever decodes: no input may make a member fail.
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
		n.Ready()
		n.Advance()
		n.Tick(now + 3*testElection)
		n.Ready()
	})
}

// A refusal that was overtaken by an acknowledgement does not mean that the
// member lost entries; a refusal of what was sent after the acknowledgement does.
func TestLostEntriesAreToldFromReordering(t *testing.T) {
	n := newTestNode(t, 0)
	now := elect(t, n)
	sent := map[uint64]Message{} // newest to each member
	propose := func() Message {
		if _, _, err := n.Propose(now, []byte("x")); err != nil {
			t.Fatal(err)
		}
		for _, m := range n.Ready().Messages {
			sent[m.To] = m
		}
		n.Advance()
		return sent[2]
	}
	first, second := propose(), propose()
	refusal := Message{Kind: KindAppendReply, From: 2, To: 1, Term: 3, Round: second.Round, Index: second.Index, Reject: true, Hint: 1}
	matched := Message{Kind: KindAppendReply, From: 2, To: 1, Term: 3, Round: first.Round, Index: 4}
	for _, m := range []Message{matched, refusal} {
		if err := n.Step(now, m); err != nil {
			t.Fatal(err)
		}
	}
	refusal.Round = propose().Round
	if err := n.Step(now, refusal); !errors.Is(err, ErrLostEntries) {
		t.Fatal(err)
	}
	if n.CaughtUp(now, 2) {
		t.Fatal("a member that lost entries counts")
	}
}

// A follower whose leader's heartbeats come late tries a pre-vote no more often
// than once in an election timeout: each further one is a chance to unseat the
// leader. Only before it ever heard of a leader does it try faster.
func TestPreVotesAreRareOnceALeaderWasHeard(t *testing.T) {
	for _, heard := range []bool{false, true} {
		members := []Member{{ID: 1, Name: "a"}, {ID: 2, Name: "b"}, {ID: 3, Name: "c"}}
		config := Config{
			ID: 1, Name: "a", ElectionTimeout: time.Second, HeartbeatInterval: 100 * time.Millisecond,
			Rand: rand.New(rand.NewPCG(1, 1)),
		}
		n, err := New(config, Bootstrap(members), 0)
		if err != nil {
			t.Fatal(err)
		}
		if heard {
			if err := n.Step(0, Message{Kind: KindAppend, From: 2, To: 1, Term: 2, Index: 1, LogTerm: 1}); err != nil {
				t.Fatal(err)
			}
		}
		rounds := 0
		for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
			n.Tick(now)
			for ready := n.Ready(); !ready.Empty(); ready = n.Ready() {
				for _, m := range ready.Messages {
					if m.Kind == KindPreVote && m.To == 2 {
						rounds++
					}
				}
				n.Advance()
			}
		}
		if heard && rounds > 10 || !heard && rounds < 15 {
			t.Errorf("a leader was heard of: %t; %d pre-votes in 10 election timeouts", heard, rounds)
		}
	}
}
