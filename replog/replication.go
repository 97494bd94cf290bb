package replog

import (
	"slices"
	"time"

	"github.com/pkg/errors"
)

// inflightAppend is an append with entries that is on its way.
type inflightAppend struct {
	last  uint64 // index of its last entry
	bytes int    // data of its entries
}

// progress is the leader's view of one member's replication state.
type progress struct {
	id     uint64
	match  uint64 // highest index known to be durable on the member
	next   uint64 // next index to send
	commit uint64 // commit index last sent

	inflight      []inflightAppend // not yet acknowledged
	inflightBytes int              // data of their entries

	since          time.Duration // when the leader was elected or the member was added, whichever is later
	acked          bool          // whether the member sent an acknowledgement in this term
	ackedSent      time.Duration
	ackedRound     uint64
	advancedAt     time.Duration // when match or a snapshot last advanced, or an acknowledgement came while nothing committed was missing
	matchRound     uint64        // last round sent before match was acknowledged
	writeDelay     time.Duration // from sending the latest entries to their acknowledgement
	backtrackRound uint64        // rejections of messages up to this round are outdated
	lost           bool          // the member lost acknowledged entries; its replies are ignored

	snapshot *snapshotTransfer
}

// addInflight records that entries, at least one, were sent.
func (pr *progress) addInflight(entries []Entry) {
	a := inflightAppend{last: entries[len(entries)-1].Index, bytes: dataBytes(entries)}
	pr.inflight = append(pr.inflight, a)
	pr.inflightBytes += a.bytes
}

// acknowledgeInflight forgets the appends whose entries the member has.
func (pr *progress) acknowledgeInflight() {
	for len(pr.inflight) > 0 && pr.inflight[0].last <= pr.match {
		pr.inflightBytes -= pr.inflight[0].bytes
		pr.inflight = pr.inflight[1:]
	}
}

func (pr *progress) clearInflight() { pr.inflight, pr.inflightBytes = nil, 0 }

// reloadProgress adds and drops progress to match the current members.
func (n *Node) reloadProgress() {
	before := n.progress
	n.progress = make(map[uint64]*progress, len(n.members))
	for _, m := range n.members {
		pr := before[m.ID]
		if pr == nil {
			pr = &progress{id: m.ID, next: n.log.last() + 1, since: n.now}
		}
		if m.ID == n.cfg.ID {
			pr.match = n.log.stable
		}
		n.progress[m.ID] = pr
	}
}

// quorumOf returns the highest value that is reached by a quorum of the voters, of both
// configurations during a swap.
func quorumOf[T uint64 | time.Duration](n *Node, value func(id uint64) T) T {
	reached := majorityOf(n.members, Member.VotesInNew, value)
	if joint(n.members) {
		reached = min(reached, majorityOf(n.members, Member.VotesInOld, value))
	}
	return reached
}

func majorityOf[T uint64 | time.Duration](members []Member, votes func(Member) bool, value func(id uint64) T) T {
	var values []T
	for _, m := range members {
		if votes(m) {
			values = append(values, value(m.ID))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// quorumSent returns the latest time such that a quorum, the leader included,
// acknowledged messages that the leader sent at that time or later.
func (n *Node) quorumSent() time.Duration {
	return quorumOf(n, func(id uint64) time.Duration {
		if id == n.cfg.ID {
			return n.now
		}
		return n.progress[id].ackedSent
	})
}

// quorumRound returns the highest round such that a quorum, the leader included,
// acknowledged messages of that round or later.
func (n *Node) quorumRound() uint64 {
	return quorumOf(n, func(id uint64) uint64 {
		if id == n.cfg.ID {
			return n.round
		}
		return n.progress[id].ackedRound
	})
}

// advanceCommit commits the entries that a quorum has made durable. Entries of older
// terms are committed only together with one of the current term (thesis, section 3.6.2).
func (n *Node) advanceCommit() {
	match := quorumOf(n, func(id uint64) uint64 { return n.progress[id].match })
	if match <= n.log.commit {
		return
	}
	if term, ok := n.log.term(match); ok && term == n.term {
		n.log.commit = match
		n.stepDownIfRemoved()
	}
}

// replicate queues the messages due to each member.
func (n *Node) replicate() {
	if n.role != Leader {
		return
	}
	n.finishSwap()
	heartbeat := n.heartbeatDue
	if heartbeat {
		n.heartbeatDeadline = n.now + n.cfg.HeartbeatInterval
		n.heartbeatDue = false
	}
	for _, m := range n.members {
		if m.ID != n.cfg.ID {
			n.sendTo(n.progress[m.ID], heartbeat)
		}
	}
}

// sendTo queues the entries or the snapshot that a member lacks, or a heartbeat.
func (n *Node) sendTo(pr *progress, heartbeat bool) {
	if pr.snapshot != nil {
		n.sendSnapshotChunk(pr, heartbeat)
		return
	}
	// An up-to-date member is told of a commit at once, others with their next entries.
	if pr.match == n.log.last() && pr.commit < n.log.commit {
		heartbeat = true
	}
	for pr.next <= n.log.last() && len(pr.inflight) < n.cfg.MaxInflight && pr.inflightBytes < n.cfg.MaxInflightBytes {
		if _, ok := n.log.term(pr.next - 1); !ok || pr.next <= n.log.offset {
			n.startSnapshot(pr)
			n.sendSnapshotChunk(pr, true)
			return
		}
		n.sendAppend(pr, n.log.batch(pr.next-1, n.cfg.MaxEntriesPerMessage, n.cfg.MaxBytesPerMessage))
		heartbeat = false
	}
	if heartbeat {
		n.sendAppend(pr, nil)
	}
}

func (n *Node) sendAppend(pr *progress, entries []Entry) {
	m := Message{Kind: KindAppend, To: pr.id, Index: pr.next - 1, Commit: n.log.commit, Entries: entries}
	m.LogTerm, _ = n.log.term(m.Index)
	if len(entries) > 0 {
		pr.next += uint64(len(entries))
		pr.addInflight(entries)
	}
	pr.commit = n.log.commit
	n.sendRound(m)
}

// sendRound queues a message with a round number and a timestamp. Its acknowledgement
// proves that the sender was still the leader when it sent the message.
func (n *Node) sendRound(m Message) {
	n.round++
	m.Round = n.round
	m.Sent = int64(n.now)
	n.send(m)
}

func (n *Node) handleAppend(m Message) error {
	if err := checkEntries(m.Entries, m.Index, m.LogTerm, m.Term); err != nil {
		return errors.Wrap(ErrInvalidMessage, err.Error())
	}
	if err := n.recordLeaderContact(m.From); err != nil {
		return err
	}
	reply := Message{Kind: KindAppendReply, To: m.From, Round: m.Round, Sent: m.Sent}
	if m.Index < n.log.commit {
		reply.Index = n.log.commit
		n.acceptAppend(m, reply)
		return nil
	}
	if term, ok := n.log.term(m.Index); !ok || term != m.LogTerm {
		reply.Reject = true
		reply.Index = m.Index
		reply.Hint = n.log.rejectHint(m.Index)
		n.send(reply)
		return nil
	}
	if fresh := n.log.missing(m.Entries); len(fresh) > 0 {
		if err := n.appendReceived(fresh); err != nil {
			return err
		}
	}
	reply.Index = m.Index + uint64(len(m.Entries))
	n.log.commit = max(n.log.commit, min(m.Commit, reply.Index))
	n.acceptAppend(m, reply)
	return nil
}

// acceptAppend queues the reply to an append whose entries match. It is held back until they are durable, so a heartbeat,
// and each append during a slow write, is acknowledged at once up to what is durable by now. The leader must hear of this
// member during a write.
func (n *Node) acceptAppend(m, reply Message) {
	if reply.Index <= n.durable() {
		n.send(reply)
		return
	}
	if len(m.Entries) > 0 {
		n.send(reply)
		if !n.writesSlowly(n.cfg.HeartbeatInterval) {
			return
		}
	}
	reply.Index = n.durable()
	n.send(reply)
}

func (n *Node) appendReceived(entries []Entry) error {
	changed := entries[0].Index <= n.membersIndex || slices.ContainsFunc(entries, func(e Entry) bool {
		return e.Kind == EntryMember
	})
	n.log.append(entries...)
	if !changed {
		return nil
	}
	return n.reloadMembers()
}

// acknowledge records a member's reply to a message of this term.
func (n *Node) acknowledge(m Message) (*progress, error) {
	pr := n.progress[m.From]
	if n.role != Leader || pr == nil {
		return nil, ErrNotLeader
	}
	if m.Round > n.round || m.Sent > int64(n.now) || m.Index > n.log.last() {
		return nil, errors.Wrap(ErrInvalidMessage, "reply does not match any message sent in this term")
	}
	if m.Round == 0 {
		return nil, errors.Wrap(ErrInvalidMessage, "reply without a round number")
	}
	if n.lostEntries(pr, m) {
		pr.lost = true
		pr.match = 0
	}
	if pr.lost {
		return nil, ErrLostEntries
	}
	pr.acked = true
	pr.ackedSent = max(pr.ackedSent, time.Duration(m.Sent))
	pr.ackedRound = max(pr.ackedRound, m.Round)
	n.answerReads()
	return pr, nil
}

// lostEntries reports whether the member lacks entries that it acknowledged, which
// means that its disk was lost or replaced: it rejects a message that was sent after
// the leader received the acknowledgement. A rejection of an earlier message proves
// nothing, since the acknowledgement may have overtaken it.
func (n *Node) lostEntries(pr *progress, m Message) bool {
	return m.Kind == KindAppendReply && m.Reject && m.Round > pr.matchRound && m.Hint < pr.match
}

func (n *Node) handleAppendReply(m Message) error {
	pr, err := n.acknowledge(m)
	if err != nil {
		return err
	}
	if m.Reject {
		n.backtrack(pr, m)
		return nil
	}
	if m.Index > pr.match {
		pr.match, pr.matchRound = m.Index, n.round
		pr.writeDelay = n.now - time.Duration(m.Sent)
		pr.advancedAt = n.now
	}
	pr.next = max(pr.next, pr.match+1)
	pr.acknowledgeInflight()
	if pr.snapshot != nil && pr.match >= pr.snapshot.meta.Index {
		pr.snapshot = nil
	}
	if pr.match >= n.log.commit {
		pr.advancedAt = n.now
	}
	n.advanceCommit()
	n.answerReads()
	n.finishTransfer(pr)
	return nil
}

// backtrack moves the member's next index back to where its log may match.
func (n *Node) backtrack(pr *progress, m Message) {
	if m.Round <= pr.backtrackRound || pr.snapshot != nil {
		return
	}
	pr.next = max(pr.match, min(m.Hint, n.log.last())) + 1
	pr.clearInflight()
	pr.backtrackRound = n.round
	n.heartbeatDue = true
}
