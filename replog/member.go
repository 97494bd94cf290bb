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

// VotesInOld reports whether the member votes in the configuration before the swap in progress, if
// there is one.
func (m Member) VotesInOld() bool { return !m.Learner && !m.Incoming }

// VotesInNew reports whether the member votes in the configuration after the swap in progress, if
// there is one.
func (m Member) VotesInNew() bool { return !m.Learner && !m.Outgoing }

// joint reports whether a swap is in progress. Decisions then need a quorum of the old and one of
// the new configuration.
func joint(members []Member) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.Incoming || m.Outgoing })
}

// hasQuorum reports whether the members for which holds returns true form a quorum, of both
// configurations during a swap.
func hasQuorum(members []Member, holds func(id uint64) bool) bool {
	return hasMajority(members, Member.VotesInOld, holds) && hasMajority(members, Member.VotesInNew, holds)
}

func hasMajority(members []Member, votes func(Member) bool, holds func(id uint64) bool) bool {
	voters, holding := 0, 0
	for _, m := range members {
		if !votes(m) {
			continue
		}
		voters++
		if holds(m.ID) {
			holding++
		}
	}
	return holding > voters/2
}

func countVoters(members []Member) int {
	count := 0
	for _, m := range members {
		if m.VotesInNew() {
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
	case Swap:
		return applySwap(next, i, findMember(next, change.Replaced))
	case LeaveJoint:
		if !joint(next) {
			return nil, errors.Wrap(ErrInvalidChange, "no swap is in progress")
		}
		return leaveJoint(next), nil
	}
	return nil, errors.Wrapf(ErrInvalidChange, "unknown kind %d", change.Kind)
}

// applySwap starts to replace the voter at position replaced by the learner at position i.
func applySwap(members []Member, i, replaced int) ([]Member, error) {
	if i < 0 || !members[i].Learner {
		return nil, errors.Wrap(ErrInvalidChange, "the member to swap in is not a learner")
	}
	if replaced < 0 || members[replaced].Learner {
		return nil, errors.Wrap(ErrInvalidChange, "the member to swap out is not a voter")
	}
	if joint(members) {
		return nil, errors.Wrap(ErrInvalidChange, "another swap is in progress")
	}
	members[i].Learner, members[i].Incoming = false, true
	members[replaced].Outgoing = true
	return members, nil
}

// leaveJoint returns the members of the new configuration only.
func leaveJoint(members []Member) []Member {
	members = slices.DeleteFunc(members, func(m Member) bool { return m.Outgoing })
	for i := range members {
		members[i].Incoming = false
	}
	return members
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
// was published. A learner can be promoted or swapped in only when it has every
// committed entry. After any change except AddLearner, the voters must include a live
// quorum.
//
// A Swap replaces a voter without a state in between that has fewer or more voters. It
// uses joint consensus (thesis, section 4.3): until the leader has appended LeaveJoint,
// which it does by itself once the Swap is committed, decisions need a quorum of the
// voters before the swap and one of those after it.
func (n *Node) ProposeMember(now time.Duration, change MemberChange) (index, term uint64, err error) {
	n.advanceTime(now)
	if n.role != Leader || n.transferTo != 0 {
		return 0, 0, ErrNotLeader
	}
	if !n.committedInTerm() {
		return 0, 0, ErrNotReady
	}
	if n.ChangeInFlight() {
		return 0, 0, ErrChangeInFlight
	}
	return n.appendChange(change)
}

func (n *Node) appendChange(change MemberChange) (index, term uint64, err error) {
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
	if change.Kind == Remove && id == n.cfg.ID || change.Kind == Swap && change.Replaced == n.cfg.ID {
		return errors.Wrap(ErrInvalidChange, "the leader does not remove itself; transfer leadership first")
	}
	if (change.Kind == Promote || change.Kind == Swap) && !n.caughtUp(id) {
		return ErrNotCaughtUp
	}
	if change.Kind != AddLearner && !hasQuorum(next, n.live) {
		return ErrQuorumAtRisk
	}
	return nil
}

// finishSwap appends LeaveJoint once a swap is committed in the leader's term.
func (n *Node) finishSwap() {
	if n.role != Leader || n.transferTo != 0 || !joint(n.members) || n.membersIndex > n.log.commit || !n.committedInTerm() {
		return
	}
	// The old quorum may be gone already, so the check for a live one must not delay this.
	data, err := cbor.Marshal(MemberChange{Kind: LeaveJoint})
	if err != nil {
		return // cannot happen: the change has only numbers
	}
	n.appendEntry(EntryMember, data)
	_ = n.reloadMembers() // cannot fail: the members are joint
}

// stepDownIfRemoved ends the leadership of a member that was swapped out, once the new configuration
// is committed. A member that is being swapped out may win an election until it is.
func (n *Node) stepDownIfRemoved() {
	if n.role == Leader && !n.ChangeInFlight() && findMember(n.members, n.cfg.ID) < 0 {
		n.becomeFollower(n.term, 0)
	}
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

// ChangeInFlight reports whether the log has an uncommitted or unfinished member change.
func (n *Node) ChangeInFlight() bool { return n.membersIndex > n.log.commit || joint(n.members) }
