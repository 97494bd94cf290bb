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
	confirmed := n.quorumRound()
	for len(n.reads) > 0 && (alone || n.reads[0].round < confirmed) {
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

// Ready is the pending work of a Node. The caller must, in this order: write Snapshot,
// then HardState and Entries; sync if MustSync; only then send Messages; restore the
// application from Snapshot; apply Committed; answer ReadStates; call Advance.
type Ready struct {
	HardState  *HardState // nil if unchanged
	Snapshot   *Snapshot  // replaces the whole log; nil if none
	Entries    []Entry    // to append, replacing stored ones from the first index on
	Messages   []Message
	Committed  []Entry
	ReadStates []ReadState
	MustSync   bool
}

// Empty reports whether there is no work.
func (r Ready) Empty() bool {
	return r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0 && len(r.Messages) == 0 &&
		len(r.Committed) == 0 && len(r.ReadStates) == 0
}

// Ready returns the pending work. Until Advance, only methods that query the member,
// such as Term, Members and LeaseUntil, may be called. The slices must not be modified.
func (n *Node) Ready() Ready {
	n.replicate()
	ready := Ready{
		Snapshot:   n.installed,
		Entries:    n.log.slice(n.log.stable, n.log.last()),
		Messages:   n.messages,
		Committed:  n.log.slice(n.log.applied, n.log.commit),
		ReadStates: n.readStates,
	}
	state := n.hardState()
	if state != n.saved {
		ready.HardState = &state
	}
	voted := state.Term != n.saved.Term || state.Vote != n.saved.Vote
	ready.MustSync = voted || len(ready.Entries) > 0 || ready.Snapshot != nil
	return ready
}

// Advance reports that the work of the last Ready is complete.
func (n *Node) Advance() {
	n.installed = nil
	n.messages = nil
	n.readStates = nil
	n.saved = n.hardState()
	n.log.stable = n.log.last()
	n.log.applied = n.log.commit
	if n.role != Leader {
		return
	}
	if pr := n.progress[n.cfg.ID]; pr != nil {
		pr.match = n.log.stable
	}
	n.advanceCommit()
	n.answerReads()
}
