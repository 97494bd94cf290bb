package replog

import "time"

// MemberStatus is the leader's view of one member.
type MemberStatus struct {
	Member
	Match      uint64        // highest index known to be durable on the member
	Next       uint64        // next index to send to it
	Live       bool          // acknowledged a message sent within the last election timeout and, if a voter, has not stalled
	AckedAge   time.Duration // time since the latest message it acknowledged was sent; 0 if none
	Lost       bool          // lost acknowledged entries; its replies are ignored
	InSnapshot bool          // whether it is being sent a snapshot
}

// Status is a member's state in state dumps.
type Status struct {
	ID            uint64
	Name          string
	Role          Role
	Term          uint64
	Leader        uint64
	Commit        uint64
	Applied       uint64
	Last          uint64
	First         uint64 // first index still in memory
	SnapshotIndex uint64
	EntryBytes    int           // data of the entries in memory
	SnapshotBytes int           // data of the newest snapshot
	Leads         bool          // whether it holds the leadership lease
	LeaderSince   time.Duration // time of its election on its own clock; 0 if it is not the leader
	Members       []MemberStatus
}

// Quorum is how many losses a group bears, from the leader's point of view.
type Quorum struct {
	Voters int
	Live   int // voters that acknowledged a message within the last election timeout and have not stalled
	Margin int // live voters that may be lost before no quorum is left; negative without a quorum
}

// Quorum returns how many losses the group bears. On a member that does not lead, Live is 0. During a
// swap it is that of the configuration, old or new, that bears fewer losses.
func (s Status) Quorum() Quorum {
	before, after := s.quorum(Member.VotesInOld), s.quorum(Member.VotesInNew)
	if before.Margin < after.Margin {
		return before
	}
	return after
}

func (s Status) quorum(votes func(Member) bool) Quorum {
	var q Quorum
	for _, m := range s.Members {
		if !votes(m.Member) {
			continue
		}
		q.Voters++
		if m.Live {
			q.Live++
		}
	}
	q.Margin = q.Live - (q.Voters/2 + 1)
	return q
}

// Status returns the member's state.
func (n *Node) Status(now time.Duration) Status {
	status := Status{
		ID: n.cfg.ID, Name: n.cfg.Name, Role: n.role, Term: n.term, Leader: n.leader,
		Commit: n.log.commit, Applied: n.log.applied, Last: n.log.last(), First: n.log.offset + 1,
		SnapshotIndex: n.log.snapshot.Index, EntryBytes: n.log.bytes, SnapshotBytes: len(n.log.data),
		Leads: n.HoldsLease(now),
	}
	if n.role == Leader {
		status.LeaderSince = n.electedAt
	}
	for _, m := range n.members {
		member := MemberStatus{Member: m, Live: n.role == Leader && n.live(m.ID) && !n.stalled(m)}
		if pr := n.progress[m.ID]; pr != nil {
			member.Match, member.Next, member.InSnapshot = pr.match, pr.next, pr.snapshot != nil
			member.Lost = pr.lost
			if pr.acked {
				member.AckedAge = n.now - pr.ackedSent
			}
		}
		status.Members = append(status.Members, member)
	}
	return status
}

// Leader returns the ID of the leader that the member knows of, or 0.
func (n *Node) Leader() uint64 { return n.leader }

// Term returns the member's term.
func (n *Node) Term() uint64 { return n.term }

// Role returns the member's role.
func (n *Node) Role() Role { return n.role }
