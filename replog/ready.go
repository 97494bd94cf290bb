package replog

import (
	"time"
)

// ReadState is the result of a ReadIndex call: the read may be served once the entry
// at Index is applied, or Lost reports that leadership could not be confirmed.
type ReadState struct {
	Context uint64
	Index   uint64
	Lost    bool
}

type pendingRead struct {
	context uint64
	round   uint64 // last round before the read; a quorum must acknowledge a later one
	index   uint64 // 0 until the leader has committed an entry of its term
}

// ReadIndex requests an index at which a read is linearizable (thesis, section 6.4).
// Ready returns a ReadState with the same context once a quorum has confirmed the
// leadership after this call.
func (n *Node) ReadIndex(now time.Duration, context uint64) error {
	n.advanceTime(now)
	if n.role != Leader {
		return ErrNotLeader
	}
	n.reads = append(n.reads, pendingRead{context: context, round: n.round})
	n.heartbeatDue = true
	n.answerReads()
	return nil
}

// answerReads completes confirmed reads in the order of their requests.
func (n *Node) answerReads() {
	if n.role != Leader || !n.committedInTerm() {
		return
	}
	for i := range n.reads {
		if n.reads[i].index == 0 {
			n.reads[i].index = n.log.commit
		}
	}
	alone := countVoters(n.members) == 1
	confirmed, applicable := n.quorumRound(), n.log.applicable()
	for len(n.reads) > 0 && (alone || n.reads[0].round < confirmed) && n.reads[0].index <= applicable {
		n.readStates = append(n.readStates, ReadState{Context: n.reads[0].context, Index: n.reads[0].index})
		n.reads = n.reads[1:]
	}
}

func (n *Node) failReads() {
	for _, read := range n.reads {
		n.readStates = append(n.readStates, ReadState{Context: read.context, Lost: true})
	}
	n.reads = nil
}

// Ready is the pending work of a Node. The caller must, in this order: start the write of Snapshot, then HardState and
// Entries, with a sync if MustSync; send Messages, which do not depend on this write; restore the application from
// Restore; apply Committed; answer ReadStates; call Advance. Once the write is complete, it must call Written. In between,
// the Node may be used as usual, and its Ready contains no other write.
type Ready struct {
	HardState  *HardState // nil if unchanged
	Snapshot   *Snapshot  // replaces the whole log; nil if none
	Entries    []Entry    // to append, replacing stored ones from the first index on
	MustSync   bool
	Messages   []Message
	Restore    *Snapshot // is durable; nil if none
	Committed  []Entry   // are durable on this member, too
	ReadStates []ReadState
}

// Writes reports whether there is something to write.
func (r Ready) Writes() bool { return r.HardState != nil || r.Snapshot != nil || len(r.Entries) > 0 }

// Empty reports whether there is no work.
func (r Ready) Empty() bool {
	return !r.Writes() && len(r.Messages) == 0 && r.Restore == nil && len(r.Committed) == 0 && len(r.ReadStates) == 0
}

// write is a write that the caller has started.
type write struct {
	startedAt time.Duration
	state     HardState
	snapshot  *Snapshot
	synced    bool
}

// Ready returns the pending work. Until Advance, only methods that query the member,
// such as Term, Members and LeaseUntil, may be called. The slices must not be modified.
func (n *Node) Ready() Ready {
	n.replicate()
	ready := Ready{Restore: n.restore, ReadStates: n.readStates}
	ready.Messages, n.held = n.sendable()
	if !n.snapshotPending() {
		ready.Committed = n.log.slice(n.log.applied, n.log.applicable())
	}
	if n.writing != nil {
		return ready
	}
	ready.Snapshot = n.installed
	ready.Entries = n.log.slice(n.log.stable, n.log.last())
	if state := n.hardState(); state != n.saved {
		ready.HardState = &state
	}
	ready.MustSync = n.voteUnsaved() || len(ready.Entries) > 0 || ready.Snapshot != nil
	return ready
}

// Advance reports that the work of the last Ready is complete, except for its write.
func (n *Node) Advance() {
	n.messages, n.held = n.held, nil
	n.readStates = nil
	n.restore = nil
	if !n.snapshotPending() {
		n.log.applied = max(n.log.applied, n.log.applicable())
	}
	state := n.hardState()
	if n.writing != nil || state == n.saved && n.installed == nil && n.log.stable == n.log.last() {
		return
	}
	synced := n.voteUnsaved() || n.log.stable < n.log.last() || n.installed != nil
	n.writing = &write{startedAt: n.now, state: state, snapshot: n.installed, synced: synced}
	n.log.writing = n.log.last()
	n.installed = nil
}

// Written reports that the write of the last Ready that had one is complete.
func (n *Node) Written(now time.Duration) {
	n.advanceTime(now)
	w := n.writing
	if w == nil {
		return
	}
	n.writing = nil
	if n.vote != 0 && n.voteUnsaved() {
		n.votedAt = n.now
	}
	n.saved = w.state
	n.log.finishWrite()
	if n.installed == nil && w.snapshot != nil {
		n.restore = w.snapshot
	}
	if w.synced {
		n.lastWrite = n.now - w.startedAt
	}
	if n.role != Leader {
		// Votes and the first messages of a new leader arrive only after the write, so the time that it took does not
		// count: otherwise no election succeeds where writes take longer than the election timeout.
		if n.lastWrite >= n.cfg.HeartbeatInterval && w.synced {
			n.resetElection()
		}
		return
	}
	if pr := n.progress[n.cfg.ID]; pr != nil {
		pr.match = n.log.stable
	}
	n.advanceCommit()
	n.answerReads()
}

// voteUnsaved reports whether the member's term or vote is not durable yet.
func (n *Node) voteUnsaved() bool { return n.term != n.saved.Term || n.vote != n.saved.Vote }

// snapshotPending reports whether the log begins with a received snapshot that is not durable yet.
func (n *Node) snapshotPending() bool {
	return n.installed != nil || n.writing != nil && n.writing.snapshot != nil
}

// durable returns the index up to which the log is durable.
func (n *Node) durable() uint64 {
	if n.snapshotPending() {
		return 0
	}
	return n.log.stable
}

// writesSlowly reports whether a write has been in progress for at least the given time.
func (n *Node) writesSlowly(atLeast time.Duration) bool {
	return n.writing != nil && n.now-n.writing.startedAt >= atLeast
}

// sendable divides the queued messages into those that may be sent now and those that depend on a write. It drops what a
// change of the term has outdated: an acknowledged entry may have been replaced since.
func (n *Node) sendable() (now, held []Message) {
	for _, m := range n.messages {
		preVote := m.Kind == KindPreVote || m.Kind == KindPreVoteReply
		switch {
		case !preVote && m.Term < n.term:
		case !preVote && n.voteUnsaved(), m.Kind == KindAppendReply && !m.Reject && m.Index > n.durable():
			held = append(held, m)
		default:
			now = append(now, m)
		}
	}
	return now, held
}
