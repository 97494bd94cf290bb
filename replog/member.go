package replog

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

func cloneMembers(members []Member) []Member { return slices.Clone(members) }

// findMember returns the position of id in members, or -1.
func findMember(members []Member, id uint64) int {
	return slices.IndexFunc(members, func(m Member) bool { return m.ID == id })
}

func isVoter(members []Member, id uint64) bool {
	i := findMember(members, id)
	return i >= 0 && !members[i].Learner
}

func countVoters(members []Member) int {
	count := 0
	for _, m := range members {
		if !m.Learner {
			count++
		}
	}
	return count
}

func checkMembers(members []Member) error {
	for i, m := range members {
		if m.ID == 0 || findMember(members, m.ID) != i {
			return errors.Wrapf(ErrInvalidState, "member %d has a zero or duplicate ID", i)
		}
	}
	return nil
}

// applyChange returns the members after the change.
func applyChange(members []Member, change MemberChange) ([]Member, error) {
	next := cloneMembers(members)
	i := findMember(next, change.Member.ID)
	switch change.Kind {
	case AddLearner:
		if i >= 0 || change.Member.ID == 0 {
			return nil, errors.Wrapf(ErrInvalidChange, "member ID %x is zero or in use", change.Member.ID)
		}
		return append(next, Member{ID: change.Member.ID, Name: change.Member.Name, Learner: true}), nil
	case Promote:
		if i < 0 || !next[i].Learner {
			return nil, errors.Wrapf(ErrInvalidChange, "member %x is not a learner", change.Member.ID)
		}
		next[i].Learner = false
		return next, nil
	case Remove:
		if i < 0 {
			return nil, errors.Wrapf(ErrInvalidChange, "member %x is unknown", change.Member.ID)
		}
		next = slices.Delete(next, i, i+1)
		if countVoters(next) == 0 {
			return nil, errors.Wrap(ErrInvalidChange, "would remove the last voter")
		}
		return next, nil
	}
	return nil, errors.Wrapf(ErrInvalidChange, "unknown kind %d", change.Kind)
}

func decodeChange(data []byte) (MemberChange, error) {
	var change MemberChange
	err := cbor.Unmarshal(data, &change)
	return change, errors.WithStack(err)
}

// membersAt returns the members in effect after the entry at index, and the index
// of the last change up to it, or of the snapshot if no change follows that.
func (n *Node) membersAt(index uint64) ([]Member, uint64, error) {
	members, changed := cloneMembers(n.log.snapshot.Members), n.log.snapshot.Index
	for _, e := range n.log.slice(max(n.log.snapshot.Index, n.log.offset), index) {
		if e.Kind != EntryMember {
			continue
		}
		change, err := decodeChange(e.Data)
		if err != nil {
			return nil, 0, err
		}
		if members, err = applyChange(members, change); err != nil {
			return nil, 0, err
		}
		changed = e.Index
	}
	return members, changed, nil
}

// reloadMembers recomputes the members from the log. A change takes effect when it
// is appended, not when it is committed (thesis, section 4.1).
func (n *Node) reloadMembers() error {
	members, changed, err := n.membersAt(n.log.last())
	if err != nil {
		return err
	}
	n.members, n.membersIndex = members, changed
	if n.role == Leader {
		n.reloadProgress()
	}
	return nil
}

// ProposeMember appends a change of one member (thesis, section 4.2). Only one
// change may be in flight, and the leader must have committed an entry of its own
// term, which fixes the bug that was found in single-server changes after the thesis
// was published. A learner can be promoted only when it has every committed entry.
// After a promotion or removal, the voters must include a live quorum.
func (n *Node) ProposeMember(now time.Duration, change MemberChange) (index, term uint64, err error) {
	n.advanceTime(now)
	if n.role != Leader || n.transferTo != 0 {
		return 0, 0, ErrNotLeader
	}
	if !n.committedInTerm() {
		return 0, 0, ErrNotReady
	}
	if n.membersIndex > n.log.commit {
		return 0, 0, ErrChangeInFlight
	}
	next, err := applyChange(n.members, change)
	if err != nil {
		return 0, 0, err
	}
	if err := n.checkChange(change, next); err != nil {
		return 0, 0, err
	}
	data, err := cbor.Marshal(change)
	if err != nil {
		return 0, 0, errors.WithStack(err)
	}
	index = n.appendEntry(EntryMember, data)
	return index, n.term, n.reloadMembers()
}

func (n *Node) checkChange(change MemberChange, next []Member) error {
	id := change.Member.ID
	if change.Kind == Remove && id == n.cfg.ID {
		return errors.Wrap(ErrInvalidChange, "the leader does not remove itself; transfer leadership first")
	}
	if change.Kind == Promote && !n.caughtUp(id) {
		return ErrNotCaughtUp
	}
	live := 0
	for _, m := range next {
		if !m.Learner && n.live(m.ID) {
			live++
		}
	}
	if change.Kind != AddLearner && live < countVoters(next)/2+1 {
		return ErrQuorumAtRisk
	}
	return nil
}

// live reports whether the member acknowledged a message that was sent within the
// last election timeout.
func (n *Node) live(id uint64) bool {
	if id == n.cfg.ID {
		return true
	}
	pr := n.progress[id]
	return pr != nil && pr.acked && n.now-pr.ackedSent < n.cfg.ElectionTimeout
}

// caughtUp reports whether the member is live and has every committed entry.
func (n *Node) caughtUp(id uint64) bool {
	pr := n.progress[id]
	return pr != nil && n.live(id) && pr.match >= n.log.commit
}

// CaughtUp reports whether the member is live and has every committed entry. Only
// the leader knows; others return false.
func (n *Node) CaughtUp(now time.Duration, id uint64) bool {
	n.advanceTime(now)
	return n.role == Leader && n.caughtUp(id)
}

// Members returns the members according to this member's log.
func (n *Node) Members() []Member { return cloneMembers(n.members) }

// ChangeInFlight reports whether the log has an uncommitted member change.
func (n *Node) ChangeInFlight() bool { return n.membersIndex > n.log.commit }
