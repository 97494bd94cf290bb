package replog

import (
	"time"

	"github.com/pkg/errors"
)

// resetElection sets a new random election deadline.
func (n *Node) resetElection() {
	timeout := n.cfg.ElectionTimeout
	slowness := min(n.lastWrite, 2*timeout) // members whose writes are fast stand first
	n.electionDeadline = n.now + n.electionDelay + slowness + timeout + time.Duration(n.cfg.Rand.Int64N(int64(timeout)))
}

// SetElectionDelay sets the delay that is added to the member's election timeouts, from
// the next one on, so that members that are better placed to lead, which have a shorter
// delay, are normally elected first.
func (n *Node) SetElectionDelay(delay time.Duration) { n.electionDelay = delay }

// preVoteRetry returns the random time after which a member without contact with any
// leader since its start repeats its pre-vote. It is short, since others may have
// rejected the first one only because they had just started. Once a leader is known,
// retries that short could depose a leader whose heartbeats are late.
func (n *Node) preVoteRetry() time.Duration {
	quarter := n.cfg.ElectionTimeout / 4
	return quarter + time.Duration(n.cfg.Rand.Int64N(int64(quarter)+1))
}

// refusesVotes reports whether leader leases may depend on this member not voting:
// it leads, or had contact with a leader or started within the election timeout.
func (n *Node) refusesVotes() bool {
	return n.role == Leader || n.now-n.lastLeaderContact < n.cfg.ElectionTimeout
}

// campaign starts an election, or if pre is set a pre-vote, which changes no
// member's term (thesis, section 9.6). planned marks an election that the leader
// requested by a leadership transfer.
func (n *Node) campaign(pre, planned bool) {
	n.resetElection()
	n.leader = 0
	if !isVoter(n.members, n.cfg.ID) {
		return
	}
	n.incoming = nil
	// Votes of an earlier candidacy in this term still count if they arrive during the pre-vote.
	n.preVotes = map[uint64]bool{n.cfg.ID: true}
	request := Message{Kind: KindPreVote, Term: n.term + 1}
	n.role = PreCandidate
	if pre && !n.leaderSeen {
		n.electionDeadline = n.now + n.preVoteRetry()
	}
	if !pre {
		n.role = Candidate
		n.term++
		n.vote = n.cfg.ID
		n.votes, n.preVotes = map[uint64]bool{n.cfg.ID: true}, nil
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
	grant := m.Term > n.term && !n.refusesVotes() && !n.votedRecently() && n.log.upToDate(m.Index, m.LogTerm)
	reply := Message{Kind: KindPreVoteReply, To: m.From, Reject: !grant}
	if grant {
		reply.Term = m.Term
	}
	n.send(reply)
}

func (n *Node) handleVote(m Message) {
	canVote := n.vote == m.From || (n.vote == 0 && n.leader == 0)
	grant := canVote && n.log.upToDate(m.Index, m.LogTerm)
	if grant {
		n.vote = m.From
		n.resetElection()
	}
	n.send(Message{Kind: KindVoteReply, To: m.From, Reject: !grant})
}

func (n *Node) handleVoteReply(m Message) {
	votes := n.votes
	if m.Kind == KindPreVoteReply {
		votes = n.preVotes
		if !m.Reject && m.Term != n.term+1 {
			return
		}
	}
	if votes == nil || !isVoter(n.members, m.From) {
		return
	}
	votes[m.From] = !m.Reject
	n.countVotes()
}

func (n *Node) countVotes() {
	switch {
	case hasQuorum(n.members, func(id uint64) bool { return n.votes[id] }):
		n.becomeLeader()
	case hasQuorum(n.members, func(id uint64) bool { return n.preVotes[id] }):
		n.campaign(false, false)
	}
}

// votedRecently reports whether an election in which the member has voted may still be in progress: it waits for a write
// that makes the vote durable, or did so within the election timeout. A pre-vote for another election would prevent its
// result.
func (n *Node) votedRecently() bool {
	return n.vote != 0 && (n.voteUnsaved() || n.votedAt > 0 && n.now-n.votedAt < n.cfg.ElectionTimeout)
}

func (n *Node) becomeLeader() {
	n.role, n.leader = Leader, n.cfg.ID
	n.leaderSeen = true
	n.votes, n.preVotes = nil, nil
	n.electedAt = n.now
	n.slowTransferAt = n.now + slowTransferPause*n.cfg.ElectionTimeout
	n.reads = nil
	n.progress = nil
	n.reloadProgress()
	n.termStart = n.appendEntry(EntryEmpty, nil)
	n.heartbeatDue = true
}

// Serving reports whether the member leads, has no leadership transfer in progress
// and has applied an entry of its own term. Its application state then includes
// every entry that was committed before its election.
func (n *Node) Serving() bool {
	return n.role == Leader && n.transferTo == 0 && n.log.applied >= n.termStart
}

// committedInTerm reports whether the leader has committed an entry of its own
// term; before that, its commit index may be lower than that of earlier leaders.
func (n *Node) committedInTerm() bool { return n.log.commit >= n.termStart }

// LeaseUntil returns the end of the leadership lease on the member's own clock, or
// 0 if it has none. Any change of the member's state may outdate the result: a
// leadership transfer, for example, ends the lease early.
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

// HoldsLease reports whether the member is certain to be the only leader now: a
// quorum acknowledged messages sent so recently that none of its members can have
// voted for another candidate since (thesis, section 6.4.1), even if the clocks
// drift by MaxDrift.
func (n *Node) HoldsLease(now time.Duration) bool {
	n.advanceTime(now)
	return now < n.LeaseUntil()
}

// LeaderSince returns when this member was elected, and whether it is the leader.
func (n *Node) LeaderSince() (time.Duration, bool) { return n.electedAt, n.role == Leader }

// TransferLeadership ends the leader's lease and, once the given voter has the
// whole log, tells it to start an election at once (thesis, section 3.10) and steps
// down for the rest of the term. If the voter does not catch up within the election
// timeout, the transfer is abandoned and the leader continues.
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

// finishTransfer completes a leadership transfer once the successor has the whole log.
func (n *Node) finishTransfer(pr *progress) {
	if n.transferTo != pr.id || pr.match != n.log.last() {
		return
	}
	n.send(Message{Kind: KindTimeoutNow, To: pr.id})
	n.becomeFollower(n.term, 0)
}

const (
	// slowTransferPause is the time between two transfers because of slow writes, and from the election to the first one,
	// in election timeouts. Where the writes of all members take about as long, each transfer only costs time.
	slowTransferPause = 4
	// slowTransferAnyway is the time of a write, in election timeouts, after which a leader also transfers its leadership
	// to a voter that was slow with the same entries.
	slowTransferAnyway = 10
)

// transferIfSlow transfers the leadership if the leader's write takes longer than the election timeout, to a live voter
// that had the same entries durable within half of it, if there is one.
func (n *Node) transferIfSlow() {
	if n.transferTo != 0 || n.now < n.slowTransferAt || !n.writesSlowly(n.cfg.ElectionTimeout) {
		return
	}
	to := n.TransferTargetAmong(func(m Member) bool {
		pr := n.progress[m.ID]
		fast := pr.writeDelay <= n.cfg.ElectionTimeout/2 || n.writesSlowly(slowTransferAnyway*n.cfg.ElectionTimeout)
		return pr.match >= n.log.writing && fast
	})
	if to != 0 {
		n.slowTransferAt = n.now + slowTransferPause*n.cfg.ElectionTimeout
		_ = n.TransferLeadership(n.now, to) // cannot fail: this member leads, and the other one is a voter
	}
}

// TransferTarget returns the live voter with the most complete log, or 0 for none.
func (n *Node) TransferTarget() uint64 {
	return n.TransferTargetAmong(func(Member) bool { return true })
}

// TransferTargetAmong returns the live voter with the most complete log among those
// for which accept returns true, or 0 for none.
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
