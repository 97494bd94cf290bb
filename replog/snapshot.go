package replog

import (
	"time"

	"github.com/pkg/errors"
)

// Snapshot is a serialized application state and the log position that it covers.
type Snapshot struct {
	Meta SnapshotMeta
	Data []byte
}

// snapshotTransfer is a snapshot being sent to one member.
type snapshotTransfer struct {
	meta     SnapshotMeta
	data     []byte
	offset   uint64        // bytes acknowledged
	resendAt time.Duration // when to send or resend the chunk at offset
}

// incomingSnapshot is a partly received snapshot from the leader.
type incomingSnapshot struct {
	from uint64
	meta SnapshotMeta
	data []byte
}

func (n *Node) startSnapshot(pr *progress) {
	pr.snapshot = &snapshotTransfer{meta: n.log.snapshot, data: n.log.data, resendAt: n.now}
	pr.clearInflight()
}

// sendSnapshotChunk sends the next chunk, or resends one that was not acknowledged
// within an election timeout. Heartbeats in between carry index 0, so that they match
// any log of the member.
func (n *Node) sendSnapshotChunk(pr *progress, heartbeat bool) {
	tr := pr.snapshot
	if n.now < tr.resendAt {
		if heartbeat {
			n.sendRound(Message{Kind: KindAppend, To: pr.id})
		}
		return
	}
	size := uint64(len(tr.data))
	end := min(tr.offset+SnapshotChunkBytes, size)
	tr.resendAt = n.now + n.cfg.ElectionTimeout
	n.sendRound(Message{
		Kind: KindSnapshot, To: pr.id, Snapshot: tr.meta,
		Offset: tr.offset, Size: size, Data: tr.data[tr.offset:end:end],
	})
}

func (n *Node) handleSnapshotReply(m Message) error {
	pr, err := n.acknowledge(m)
	if err != nil {
		return err
	}
	tr := pr.snapshot
	if tr == nil || m.Index != tr.meta.Index || m.Offset > uint64(len(tr.data)) {
		return nil
	}
	// The offset goes back to 0 if the member restarted.
	if m.Offset != tr.offset {
		tr.offset = m.Offset
		tr.resendAt = n.now
		pr.advancedAt = n.now
	}
	return nil
}

func (n *Node) handleSnapshot(m Message) error {
	if m.Offset+uint64(len(m.Data)) > m.Size || len(m.Data) > SnapshotChunkBytes || m.Snapshot.Term > m.Term {
		return errors.Wrap(ErrInvalidMessage, "snapshot chunk out of bounds")
	}
	if err := checkMembers(m.Snapshot.Members); err != nil {
		return errors.Wrap(ErrInvalidMessage, err.Error())
	}
	if err := n.recordLeaderContact(m.From); err != nil {
		return err
	}
	reply := Message{Kind: KindAppendReply, To: m.From, Round: m.Round, Sent: m.Sent}
	if n.containsSnapshot(m.Snapshot) {
		n.incoming = nil
		reply.Index = n.log.commit
		n.send(reply)
		return nil
	}
	n.appendChunk(m)
	if uint64(len(n.incoming.data)) < m.Size {
		reply.Kind = KindSnapshotReply
		reply.Index = m.Snapshot.Index
		reply.Offset = uint64(len(n.incoming.data))
		n.send(reply)
		return nil
	}
	if err := n.install(); err != nil {
		return err
	}
	reply.Index = n.log.commit
	n.send(reply)
	return nil
}

// containsSnapshot reports whether the log already has every entry that the snapshot
// covers, and if so raises the commit index to include them.
func (n *Node) containsSnapshot(meta SnapshotMeta) bool {
	if meta.Index <= n.log.commit {
		return true
	}
	term, ok := n.log.term(meta.Index)
	if ok && term == meta.Term {
		n.log.commit = meta.Index
		return true
	}
	return false
}

// appendChunk adds a chunk to the incoming snapshot if it is the next one.
func (n *Node) appendChunk(m Message) {
	r := n.incoming
	if r == nil || r.from != m.From || r.meta.Index != m.Snapshot.Index || r.meta.Term != m.Snapshot.Term {
		r = &incomingSnapshot{from: m.From, meta: m.Snapshot}
		n.incoming = r
	}
	if m.Offset == uint64(len(r.data)) {
		r.data = append(r.data, m.Data...)
	}
}

func (n *Node) install() error {
	r := n.incoming
	n.incoming = nil
	n.log.install(r.meta, r.data)
	n.installed = &Snapshot{Meta: r.meta, Data: r.data}
	return n.reloadMembers()
}

// SnapshotMeta returns the metadata for a snapshot of the application's state after
// the entry at index, which must be applied.
func (n *Node) SnapshotMeta(index uint64) (SnapshotMeta, error) {
	term, ok := n.log.term(index)
	if !ok || index > n.log.applied || index < n.log.snapshot.Index {
		return SnapshotMeta{}, errors.Wrapf(ErrCompacted, "index %d", index)
	}
	members, _, err := n.membersAt(index)
	return SnapshotMeta{Index: index, Term: term, Members: members}, err
}

// Retention bounds the entries that stay in memory although a snapshot includes them, for
// members that lag a little.
type Retention struct {
	Entries int
	Bytes   int // of the entries' data
}

// Compact replaces the log up to meta.Index with the snapshot, which must already be
// durable, except for entries within the retention. The data must not be modified
// afterwards.
func (n *Node) Compact(meta SnapshotMeta, data []byte, keep Retention) error {
	if meta.Index < n.log.snapshot.Index || meta.Index > n.log.applied {
		return errors.Wrapf(ErrCompacted, "index %d", meta.Index)
	}
	n.log.compact(meta, data, keep)
	return nil
}
