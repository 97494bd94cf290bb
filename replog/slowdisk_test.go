package replog

import (
	"fmt"
	"testing"
	"time"
)

// slowSim returns three members whose writes take the given times, in election timeouts.
func slowSim(t *testing.T, writes ...float64) *sim {
	s := newSim(t.Fatalf, []Member{{ID: 1, Name: "a"}, {ID: 2, Name: "b"}, {ID: 3, Name: "c"}})
	for i, w := range writes {
		s.hosts[i].writeTime = time.Duration(w * float64(testElection))
	}
	return s
}

// runWithProposals advances the time and proposes at the leader. It returns the leader at the end, or nil.
func (s *sim) runWithProposals(d time.Duration) *host {
	for end := s.now + d; s.now < end; s.run(testHeartbeat) {
		if leader := s.find("leader"); leader != nil {
			_ = s.propose(leader, fmt.Sprint(s.now)) // fails during a transfer
			s.processReady(leader)
		}
	}
	return s.find("leader")
}

// Guards against a group without a leader as long as the writes of a majority take the election timeout or longer:
// candidates and voters timed out during the writes of their votes, and a new leader sent no heartbeats during the write of
// its first entry. It must lead after three writes and keep its leadership, unless it is slower than another member.
func TestElectionsSucceedWithSlowWrites(t *testing.T) {
	for _, writes := range [][]float64{
		{0, 0, 0}, {0.5, 0.5, 0.5}, {1, 1, 1}, {1.5, 1.5, 1.5}, {3, 3, 3}, {10, 10, 10}, {2, 0, 0}, {10, 0, 0}, {0, 5, 5}, {1, 2, 3},
	} {
		s := slowSim(t, writes...)
		slowest := max(s.hosts[0].writeTime, s.hosts[1].writeTime, s.hosts[2].writeTime)
		leader := s.runWithProposals(8*testElection + 3*slowest)
		if leader == nil || !leader.node.Serving() {
			t.Errorf("writes of %v election timeouts: no leader after %v", writes, s.now)
			continue
		}
		term, before := leader.node.Term(), s.highest
		leader = s.runWithProposals(8*testElection + 3*slowest)
		if leader == nil || leader.node.Term() > term+1 || s.highest == before {
			t.Errorf("writes of %v election timeouts: leader %v after one in term %d; committed up to %d, then %d", writes, leader, term, before, s.highest)
		}
	}
}

// Guards against a leader whose disk has become slow and that keeps its leadership, and against one that gives it up
// although the disks of all members are as slow.
func TestLeaderWithSlowWritesTransfersLeadership(t *testing.T) {
	for _, all := range []bool{false, true} {
		s := slowSim(t)
		leader := s.runWithProposals(10 * testElection)
		for _, h := range s.hosts {
			if all || h == leader {
				h.writeTime = 3 * testElection
			}
		}
		next, before := s.runWithProposals(2*testElection), s.highest
		if next == nil || (next == leader) != all {
			t.Errorf("all members slow: %t; leader %s, then %v", all, leader.name, next)
			continue
		}
		if s.runWithProposals(10*testElection) != next || s.highest == before {
			t.Errorf("all members slow: %t; the leadership changes again, or nothing is committed", all)
		}
	}
}

// Guards against a member with a slow disk that deposes a working leader, while it is connected and after a partition.
func TestSlowFollowerDoesNotDisruptLeader(t *testing.T) {
	s := slowSim(t)
	leader := s.runWithProposals(10 * testElection)
	term := leader.node.Term()
	for _, h := range s.hosts {
		if h != leader {
			h.writeTime = 7 * testElection
			break
		}
	}
	for range 2 {
		if s.runWithProposals(20*testElection) != leader || leader.node.Term() != term {
			t.Fatalf("%s no longer leads in term %d", leader.name, term)
		}
		for _, h := range s.hosts {
			if h.writeTime > 0 {
				s.setBlocked(h.name, "a", true)
				s.setBlocked(h.name, "b", true)
				s.setBlocked(h.name, "c", true)
			}
		}
		s.runWithProposals(5 * testElection)
		clear(s.blocked)
	}
}

// Guards against an acknowledgement that outlives its entry: it waits for a write, and a later leader replaces the entry.
func TestReplacedEntryIsNotAcknowledged(t *testing.T) {
	n := newTestNode(t, 0)
	for i, term := range []uint64{3, 4} {
		leader := uint64(i + 2)
		entry := Entry{Index: 2, Term: term, Data: []byte("x")}
		m := Message{Kind: KindAppend, From: leader, To: 1, Term: term, Index: 1, LogTerm: 1, Round: 1, Entries: []Entry{entry}}
		if err := n.Step(testStart, m); err != nil {
			t.Fatal(err)
		}
		if messages := n.Ready().Messages; len(messages) > 0 {
			t.Fatalf("sent before the write: %v", messages)
		}
		n.Advance() // the write of the first entry stays in progress
	}
	n.Written(testStart)
	acknowledged := 0
	for _, m := range work(n, testStart) {
		if m.Kind != KindAppendReply || m.Term != 4 || m.To != 3 {
			t.Errorf("sent %+v", m)
		}
		acknowledged++
	}
	if acknowledged == 0 {
		t.Error("the entry of the later leader is not acknowledged")
	}
}
