package replog

import (
	"time"

	"github.com/pkg/errors"
)

// Role is a member's role in its current term.
type Role uint8

// Roles of a member.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Node is the consensus state machine of one member. It is not safe for concurrent use.
type Node struct {
	cfg Config
	now time.Duration
	log raftLog

	role   Role
	term   uint64
	vote   uint64
	leader uint64

	members      []Member
	membersIndex uint64 // index of the last member change, or of the snapshot that lists the members

	stopped map[uint64]bool // members whose last message said that they stop

	leaderSeen        bool          // whether any leader, itself included, was seen since the start
	lastLeaderContact time.Duration // time of the last message from a leader, or of the start
	electionDeadline  time.Duration
	electionDelay     time.Duration   // added to each election timeout
	votes             map[uint64]bool // for this member's candidacy in its term; nil if there is none
	preVotes          map[uint64]bool
	votedAt           time.Duration // when the member's latest vote became durable

	// Used by the leader only.
	heartbeatDeadline time.Duration
	electedAt         time.Duration
	termStart         uint64 // index of the leader's first entry in the term
	progress          map[uint64]*progress
	round             uint64 // sequence number of the last message sent by sendRound, to any member
	reads             []pendingRead
	heartbeatDue      bool
	transferTo        uint64
	transferDeadline  time.Duration
	slowTransferAt    time.Duration // time from which the leader may transfer its leadership because of a slow write

	incoming  *incomingSnapshot
	installed *Snapshot // to be written
	restore   *Snapshot // written, and not yet handed to the application

	messages   []Message
	held       []Message // those of messages that the last Ready left out
	readStates []ReadState
	saved      HardState     // as of the last Written
	writing    *write        // in progress, or nil
	lastWrite  time.Duration // how long the last synced write took
}

// New returns a member that starts from the given durable state. Except in a
// leadership transfer, it grants no votes during the first election timeout, since it
// may have acknowledged a heartbeat just before it stopped.
func New(cfg Config, restored Restored, now time.Duration) (*Node, error) {
	cfg = cfg.withDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	if err := checkMembers(restored.Snapshot.Members); err != nil {
		return nil, err
	}
	log, err := restoreLog(restored)
	if err != nil {
		return nil, err
	}
	n := &Node{
		cfg: cfg, now: now, log: log,
		term: restored.HardState.Term, vote: restored.HardState.Vote,
		lastLeaderContact: now,
		stopped:           map[uint64]bool{},
	}
	n.saved = n.hardState()
	if err := n.reloadMembers(); err != nil {
		return nil, errors.Wrap(ErrInvalidState, err.Error())
	}
	n.resetElection()
	return n, nil
}

func (n *Node) advanceTime(now time.Duration) { n.now = max(n.now, now) }

func (n *Node) hardState() HardState {
	return HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
}

// Tick handles the timeouts that are due: a leader sends heartbeats or, without a
// quorum, steps down; any other member starts an election.
func (n *Node) Tick(now time.Duration) {
	n.advanceTime(now)
	if n.role != Leader {
		if n.now >= n.electionDeadline && n.writing == nil {
			n.campaign(true, false)
		}
		return
	}
	if n.now-max(n.quorumSent(), n.electedAt) >= n.cfg.QuorumTimeout {
		n.becomeFollower(n.term, 0)
		return
	}
	if n.transferTo != 0 && n.now >= n.transferDeadline {
		n.transferTo = 0
	}
	if n.now >= n.heartbeatDeadline {
		n.heartbeatDue = true
	}
	n.transferIfSlow()
}

// NextDeadline returns the time by which Tick should be called next.
func (n *Node) NextDeadline() time.Duration {
	if n.role == Leader {
		return n.heartbeatDeadline
	}
	if n.writing != nil {
		return max(n.electionDeadline, n.now+n.cfg.HeartbeatInterval) // no election starts during a write
	}
	return n.electionDeadline
}

// Propose appends data to the leader's log. The entry is committed once Ready
// returns an entry of the same index and term in Committed; a committed entry of
// another term at that index means that the proposal will never be committed.
func (n *Node) Propose(now time.Duration, data []byte) (index, term uint64, err error) {
	n.advanceTime(now)
	if n.role != Leader || n.transferTo != 0 {
		return 0, 0, ErrNotLeader
	}
	return n.appendEntry(EntryData, data), n.term, nil
}

func (n *Node) appendEntry(kind EntryKind, data []byte) uint64 {
	index := n.log.last() + 1
	n.log.append(Entry{Index: index, Term: n.term, Kind: kind, Data: data})
	return index
}

// Step handles one message. The caller must read the clock after it received the
// message, since the time during which the member refuses votes starts then. An
// error tells why the message was ignored; none is fatal.
func (n *Node) Step(now time.Duration, m Message) error {
	n.advanceTime(now)
	if m.To != n.cfg.ID {
		return ErrWrongMember
	}
	if isReply(m.Kind) && findMember(n.members, m.From) < 0 {
		return ErrUnknownMember
	}
	delete(n.stopped, m.From)
	switch {
	case m.Kind == KindStopped:
		n.stopped[m.From] = true
		return nil
	case m.Kind == KindPreVote:
		n.handlePreVote(m)
		return nil
	case m.Kind == KindPreVoteReply && !m.Reject:
		n.handleVoteReply(m)
		return nil
	case m.Kind == KindVote && !m.Planned && n.refusesVotes():
		return nil
	}
	if m.Term < n.term {
		n.rejectStaleTerm(m)
		return nil
	}
	if m.Term > n.term {
		n.becomeFollower(m.Term, 0)
	}
	return n.stepCurrentTerm(m)
}

func isReply(kind MessageKind) bool {
	switch kind {
	case KindAppendReply, KindSnapshotReply, KindPreVoteReply, KindVoteReply:
		return true
	}
	return false
}

// rejectStaleTerm tells the current term to a leader or candidate with an older one.
func (n *Node) rejectStaleTerm(m Message) {
	switch m.Kind {
	case KindAppend, KindSnapshot:
		n.send(Message{Kind: KindAppendReply, To: m.From, Reject: true})
	case KindVote:
		n.send(Message{Kind: KindVoteReply, To: m.From, Reject: true})
	}
}

func (n *Node) stepCurrentTerm(m Message) error {
	switch m.Kind {
	case KindVote:
		n.handleVote(m)
	case KindVoteReply, KindPreVoteReply:
		n.handleVoteReply(m)
	case KindAppend:
		return n.handleAppend(m)
	case KindSnapshot:
		return n.handleSnapshot(m)
	case KindAppendReply:
		return n.handleAppendReply(m)
	case KindSnapshotReply:
		return n.handleSnapshotReply(m)
	case KindTimeoutNow:
		n.handleTimeoutNow(m)
	default:
		return errors.Wrapf(ErrInvalidMessage, "unknown kind %d", m.Kind)
	}
	return nil
}

// send queues a message, in the member's current term if none is set.
func (n *Node) send(m Message) {
	m.From = n.cfg.ID
	if !isReply(m.Kind) {
		m.FromName = n.cfg.Name
	}
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}

// recordLeaderContact records a message from the leader of the current term.
func (n *Node) recordLeaderContact(leader uint64) error {
	if n.role == Leader {
		return errors.Wrapf(ErrInvalidMessage, "second leader %x in term %d", leader, n.term)
	}
	if n.role != Follower {
		n.becomeFollower(n.term, leader)
	}
	n.leader = leader
	n.leaderSeen = true
	n.lastLeaderContact = n.now
	n.resetElection()
	return nil
}

func (n *Node) becomeFollower(term, leader uint64) {
	if term > n.term {
		n.term, n.vote = term, 0
	}
	if n.role != Follower {
		n.resetElection()
	}
	n.role, n.leader = Follower, leader
	n.votes, n.preVotes, n.progress, n.incoming = nil, nil, nil, nil
	n.transferTo = 0
	n.heartbeatDue = false
	n.failReads()
}
