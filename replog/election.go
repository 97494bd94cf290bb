package replog

import (
	"time"

	"github.com/pkg/errors"
)

// resetElection draws a new time for the member to stand for election.
func (n *Node) resetElection() {
	timeout := n.cfg.ElectionTimeout
	n.electionDeadline = n.now + n.electionDelay + timeout + time.Duration(n.cfg.Rand.Int64N(int64(timeout)))
}

// SetElectionDelay makes the member stand for election later than others by delay,
// so that a member that is better placed to lead wins if there is one.
func (n *Node) SetElectionDelay(delay time.Duration) { n.electionDelay = delay }

// preVoteRetry draws the time after which a member that heard of no leader since
// its start tries a pre-vote again. It is short, since others may have refused the
// first one only because they started a moment ago. Later, short retries would
// unseat a leader whose heartbeats come late.
func (n *Node) preVoteRetry() time.Duration {
	quarter := n.cfg.ElectionTimeout / 4
	return quarter + time.Duration(n.cfg.Rand.Int64N(int64(quarter)+1))
}

// hearsLeader tells whether the member promised not to vote: it leads, or
// heard from a leader, or started, within the election timeout.
func (n *Node) refusesVotes() bool {
	return n.role == Leader || n.now-n.lastLeaderContact < n.cfg.ElectionTimeout
}

// campaign stands for election: with a pre-vote, which changes no member's
// term (thesis, section 9.6), or with a vote.
func (n *Node) campaign(pre, planned bool) {
	n.resetElection()
	n.leader = 0
	if !isVoter(n.members, n.cfg.ID) {
		return
	}
	n.incoming = nil
	n.votes = map[uint64]bool{n.cfg.ID: true}
	request := Message{Kind: KindPreVote, Term: n.term + 1}
	n.role = PreCandidate
	if pre && !n.leaderSeen {
		n.electionDeadline = n.now + n.preVoteRetry()
	}
	if !pre {
		n.role = Candidate
		n.term++
		n.vote = n.cfg.ID
		request = Message{Kind: KindVote, Planned: planned}
	}
	request.Index, request.LogTerm = n.log.last(), n.log.lastTerm()
	for _, m := range n.members {
		if !m.Learner && m.ID != n.cfg.ID {
			request.To = m.ID
			n.send(request)
		}
	}
	n.countVotes()
}

func (n *Node) handlePreVote(m Message) {
	grant := m.Term > n.term && !n.refusesVotes() && n.log.upToDate(m.Index, m.LogTerm)
	reply := Message{Kind: KindPreVoteReply, To: m.From, Reject: !grant}
	if grant {
		reply.Term = m.Term
	}
	n.send(reply)
}

func (n *Node) handleVote(m Message) {
	free := n.vote == m.From || (n.vote == 0 && n.leader == 0)
	grant := free && n.log.upToDate(m.Index, m.LogTerm)
	if grant {
		n.vote = m.From
		n.resetElection()
	}
	n.send(Message{Kind: KindVoteReply, To: m.From, Reject: !grant})
}

func (n *Node) handleVoteReply(m Message) {
	counts := n.role == PreCandidate && m.Kind == KindPreVoteReply && (m.Reject || m.Term == n.term+1) ||
		n.role == Candidate && m.Kind == KindVoteReply
	if !counts || !isVoter(n.members, m.From) {
		return
	}
	n.votes[m.From] = !m.Reject
	n.countVotes()
}

func (n *Node) countVotes() {
	granted := 0
	for id, vote := range n.votes {
		if vote && isVoter(n.members, id) {
			granted++
		}
	}
	if granted <= countVoters(n.members)/2 {
		return
	}
	if n.role == PreCandidate {
		n.campaign(false, false)
		return
	}
	n.becomeLeader()
}

func (n *Node) becomeLeader() {
	n.role, n.leader = Leader, n.cfg.ID
	n.leaderSeen = true
	n.votes = nil
	n.electedAt = n.now
	n.reads = nil
	n.progress = nil
	n.reloadProgress()
	n.termStart = n.appendEntry(EntryEmpty, nil)
	n.heartbeatDue = true
}

// Serving tells whether the member leads, holds no transfer in progress, and
// has applied an entry of its own term, so that its application's state is that
// of every entry committed before the election.
func (n *Node) Serving() bool {
	return n.role == Leader && n.transferTo == 0 && n.log.applied >= n.termStart
}

// committedInTerm tells whether the leader knows the commit index: it has
// committed an entry of its own term.
func (n *Node) committedInTerm() bool { return n.log.commit >= n.termStart }

// LeaseUntil returns when the leadership lease ends on the member's own clock;
// 0 means no lease. The lease holds only while this call would still return the
// same or more: a planned transfer ends it early.
func (n *Node) LeaseUntil() time.Duration {
	if !n.Serving() {
		return 0
	}
	sent := n.quorumSent()
	if sent < n.electedAt {
		return 0
	}
	return sent + n.cfg.leaseDuration()
}

// HoldsLease tells whether the member provably leads now: a quorum acknowledged
// heartbeats that were sent so recently that none of it can have voted for
// another since (thesis, section 6.4.1). Both clocks may be off by MaxDrift.
func (n *Node) HoldsLease(now time.Duration) bool {
	n.advanceTime(now)
	return now < n.LeaseUntil()
}

// LeaderSince returns when this member was elected, if it is the leader.
func (n *Node) LeaderSince() (time.Duration, bool) { return n.electedAt, n.role == Leader }

// TransferLeadership ends the leader's lease and, once the voter holds the
// whole log, makes it stand for election at once (thesis, section 3.10). The
// leader then steps down for good in this term. If the voter does not catch up
// within the election timeout, the leader goes on.
func (n *Node) TransferLeadership(now time.Duration, to uint64) error {
	n.advanceTime(now)
	if n.role != Leader {
		return ErrNotLeader
	}
	if to == n.cfg.ID || !isVoter(n.members, to) {
		return errors.Wrapf(ErrInvalidChange, "transfer to %x", to)
	}
	n.transferTo = to
	n.transferDeadline = n.now + n.cfg.ElectionTimeout
	n.finishTransfer(n.progress[to])
	return nil
}

// finishTransfer hands over once the successor holds the whole log.
func (n *Node) finishTransfer(pr *progress) {
	if n.transferTo != pr.id || pr.match != n.log.last() {
		return
	}
	n.send(Message{Kind: KindTimeoutNow, To: pr.id})
	n.becomeFollower(n.term, 0)
}

// TransferTarget returns the live voter that holds most of the log, or 0.
func (n *Node) TransferTarget() uint64 {
	return n.TransferTargetAmong(func(Member) bool { return true })
}

// TransferTargetAmong returns the live voter that holds most of the log among
// those that accept takes, or 0.
func (n *Node) TransferTargetAmong(accept func(Member) bool) uint64 {
	best, match := uint64(0), uint64(0)
	for _, m := range n.members {
		pr := n.progress[m.ID]
		if m.Learner || pr == nil || m.ID == n.cfg.ID || !n.live(m.ID) || !accept(m) {
			continue
		}
		if best == 0 || pr.match > match {
			best, match = m.ID, pr.match
		}
	}
	return best
}

func (n *Node) handleTimeoutNow(m Message) {
	if n.role != Leader && m.From == n.leader {
		n.campaign(false, true)
	}
}
