package replog

import (
	"math"
	"time"
)

// VoterPolicy determines the member changes that a leader makes by itself, so that the voters are
// members that live.
type VoterPolicy struct {
	// Voters is the number of voters below which none is removed: twice the tolerated losses, plus 1.
	Voters int
	// ReplaceAfter is how long a voter must have been silent before a learner of another host takes its
	// place. So must one that acknowledges heartbeats, but has lacked committed entries without progress. A
	// voter that has stopped is replaced at once, and so is one whose host has a new disk, since the old disk
	// is gone.
	ReplaceAfter time.Duration
	// RemoveAfter is how long a surplus voter or a learner must have been silent before it is removed. One
	// that has stopped is removed at once.
	RemoveAfter time.Duration
}

// NextChange returns the member change to propose next under the policy, or false if there is none.
// Learners that have caught up take the place of silent voters, or are promoted if there are none. A
// voter counts as silent from the leader's election on at the earliest: what happened before, the
// leader doesn't know.
func (n *Node) NextChange(now time.Duration, policy VoterPolicy) (MemberChange, bool) {
	n.advanceTime(now)
	if n.role != Leader || n.transferTo != 0 || n.ChangeInFlight() || !n.committedInTerm() {
		return MemberChange{}, false
	}
	for _, m := range n.members {
		if !m.Learner || !n.caughtUp(m.ID) {
			continue
		}
		if change, ok := n.admission(m, policy); ok {
			return change, true
		}
	}
	return n.removal(policy)
}

// admission returns the change that makes a caught-up learner a voter.
func (n *Node) admission(learner Member, policy VoterPolicy) (MemberChange, bool) {
	replaced, waiting := uint64(0), false
	longest := policy.ReplaceAfter
	for _, m := range n.members {
		if m.Learner || m.ID == n.cfg.ID {
			continue
		}
		if m.Name == learner.Name {
			return MemberChange{Kind: Swap, Member: learner, Replaced: m.ID}, true
		}
		silence := n.voterSilence(m.ID)
		if silence >= longest {
			replaced, longest = m.ID, silence
		}
		waiting = waiting || !n.live(m.ID) || n.stalled(m)
	}
	switch {
	case replaced != 0:
		return MemberChange{Kind: Swap, Member: learner, Replaced: replaced}, true
	case waiting && countVoters(n.members) >= policy.Voters:
		return MemberChange{}, false // it will be live or silent soon
	}
	return MemberChange{Kind: Promote, Member: learner}, true
}

// removal returns the removal of a silent learner or surplus voter.
func (n *Node) removal(policy VoterPolicy) (MemberChange, bool) {
	surplus := countVoters(n.members) > policy.Voters
	for _, m := range n.members {
		if m.ID == n.cfg.ID {
			continue
		}
		if m.Learner && n.silence(m.ID) >= policy.RemoveAfter || surplus && !m.Learner && n.voterSilence(m.ID) >= policy.RemoveAfter {
			return MemberChange{Kind: Remove, Member: m}, true
		}
	}
	return MemberChange{}, false
}

// StopMessages returns the messages by which a member that stops tells the others, so that they need
// not wait for it to be silent. Nothing may be sent after them.
func (n *Node) StopMessages() []Message {
	var messages []Message
	for _, m := range n.members {
		if m.ID != n.cfg.ID {
			messages = append(messages, Message{Kind: KindStopped, From: n.cfg.ID, To: m.ID, Term: n.term})
		}
	}
	return messages
}

// silence returns how long the leader has not heard the member: the time since the latest message
// that it acknowledged was sent, and at most since the leader's election or the member's addition. A
// member that has stopped stays silent.
func (n *Node) silence(id uint64) time.Duration {
	if n.stopped[id] {
		return math.MaxInt64
	}
	pr := n.progress[id]
	return n.now - max(pr.ackedSent, pr.since)
}

// voterSilence is like silence, but also counts the time for which the voter has lacked committed entries without
// making progress. During a write that hangs, a voter acknowledges heartbeats, but it does not help to commit.
func (n *Node) voterSilence(id uint64) time.Duration {
	pr := n.progress[id]
	return max(n.silence(id), n.now-max(pr.advancedAt, pr.since))
}

// stalled reports whether another voter has lacked committed entries without making progress for an election timeout.
func (n *Node) stalled(m Member) bool {
	return !m.Learner && m.ID != n.cfg.ID && n.voterSilence(m.ID) >= n.cfg.ElectionTimeout
}
