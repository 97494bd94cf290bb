package replog

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

// MessageKind says what a Message is for.
type MessageKind uint8

// Kinds of messages.
const (
	KindAppend        MessageKind = 1 // leader to member: entries, or none as a heartbeat
	KindAppendReply   MessageKind = 2 // member to leader: match or refusal
	KindSnapshot      MessageKind = 3 // leader to member: one chunk of a snapshot
	KindSnapshotReply MessageKind = 4 // member to leader: bytes received
	KindPreVote       MessageKind = 5 // would-be candidate to member
	KindPreVoteReply  MessageKind = 6 // member to would-be candidate
	KindVote          MessageKind = 7 // candidate to member
	KindVoteReply     MessageKind = 8 // member to candidate
	KindTimeoutNow    MessageKind = 9 // leader that stops to its successor
)

// EntryKind says what an entry's data is.
type EntryKind uint8

// Kinds of entries.
const (
	EntryData   EntryKind = 0 // bytes proposed
	EntryEmpty  EntryKind = 1 // the first entry of a leader's term, without data
	EntryMember EntryKind = 2 // a MemberChange in CBOR
)

// MemberChangeKind says what a MemberChange does.
type MemberChangeKind uint8

// Kinds of member changes.
const (
	AddLearner MemberChangeKind = 1
	Promote    MemberChangeKind = 2
	Remove     MemberChangeKind = 3
)

// Limits and defaults of a Config.
const (
	// SnapshotChunkBytes is the most a message carries of a snapshot.
	SnapshotChunkBytes = 1 << 20

	DefaultMaxDrift             = 0.01
	DefaultMaxEntriesPerMessage = 1024
	DefaultMaxBytesPerMessage   = 1 << 20
	DefaultMaxInflight          = 64
)

// Errors of this package.
var (
	ErrNotLeader      = errors.New("replog: not the leader")
	ErrInvalidConfig  = errors.New("replog: invalid configuration")
	ErrInvalidState   = errors.New("replog: restored state is inconsistent")
	ErrInvalidMessage = errors.New("replog: invalid message")
	ErrWrongMember    = errors.New("replog: message is for another member")
	ErrUnknownMember  = errors.New("replog: sender is not a member")
	ErrLostEntries    = errors.New("replog: member lost entries that it had acknowledged")
	ErrChangeInFlight = errors.New("replog: another member change is in flight")
	ErrNotReady       = errors.New("replog: leader has not committed an entry in its term")
	ErrNotCaughtUp    = errors.New("replog: learner has not caught up")
	ErrInvalidChange  = errors.New("replog: invalid member change")
	ErrQuorumAtRisk   = errors.New("replog: change would leave no live quorum")
	ErrCompacted      = errors.New("replog: index is compacted or not applied")
)

// Config holds the settings of one member.
type Config struct {
	// ID is the identity of the disk, Name the host that the disk is in.
	ID   uint64
	Name string
	// ElectionTimeout is the shortest time without a leader after which a
	// member stands for election; the longest is twice that.
	ElectionTimeout time.Duration
	// QuorumTimeout is the time without an answer of a quorum after which a leader
	// steps down; 0 means ElectionTimeout. A longer one keeps a leader whose
	// answers come late; its lease ends at the election timeout all the same.
	QuorumTimeout time.Duration
	// HeartbeatInterval is the time between two heartbeats of a leader.
	HeartbeatInterval time.Duration
	// MaxDrift is the largest error of any member's clock rate: 0.01 means
	// that a clock counts between 0.99 s and 1.01 s for each true second.
	MaxDrift float64
	// Rand draws the election timeouts.
	Rand *rand.Rand
	// MaxEntriesPerMessage and MaxBytesPerMessage bound one append, MaxInflight
	// the appends with entries that a member has not answered.
	MaxEntriesPerMessage int
	MaxBytesPerMessage   int
	MaxInflight          int
}

func (c Config) withDefaults() Config {
	if c.MaxDrift == 0 {
		c.MaxDrift = DefaultMaxDrift
	}
	if c.QuorumTimeout == 0 {
		c.QuorumTimeout = c.ElectionTimeout
	}
	if c.MaxEntriesPerMessage == 0 {
		c.MaxEntriesPerMessage = DefaultMaxEntriesPerMessage
	}
	if c.MaxBytesPerMessage == 0 {
		c.MaxBytesPerMessage = DefaultMaxBytesPerMessage
	}
	if c.MaxInflight == 0 {
		c.MaxInflight = DefaultMaxInflight
	}
	return c
}

func (c Config) check() error {
	switch {
	case c.ID == 0:
		return errors.Wrap(ErrInvalidConfig, "ID is 0")
	case c.Rand == nil:
		return errors.Wrap(ErrInvalidConfig, "Rand is nil")
	case c.HeartbeatInterval <= 0 || c.ElectionTimeout <= c.HeartbeatInterval:
		return errors.Wrap(ErrInvalidConfig, "need 0 < HeartbeatInterval < ElectionTimeout")
	case c.MaxDrift < 0 || c.MaxDrift >= 1:
		return errors.Wrap(ErrInvalidConfig, "MaxDrift is not in [0, 1)")
	case c.MaxEntriesPerMessage < 0 || c.MaxBytesPerMessage < 0 || c.MaxInflight < 0:
		return errors.Wrap(ErrInvalidConfig, "negative limit")
	}
	return nil
}

// leaseDuration is how long after the sending of a heartbeat its
// acknowledgement proves leadership. The leader's clock may be slow and the
// follower's fast, so the drift counts twice.
func (c Config) leaseDuration() time.Duration {
	return time.Duration(float64(c.ElectionTimeout) * (1 - c.MaxDrift) / (1 + c.MaxDrift))
}

// Restored is what a member's durable store holds when the member starts.
type Restored struct {
	HardState    HardState
	Snapshot     SnapshotMeta
	SnapshotData []byte
	// Entries follow the snapshot without a gap.
	Entries []Entry
}

// Bootstrap returns the state that every initial member starts from: an empty
// snapshot at index 1 of term 1 with the given members. It must be given the
// same members on each of them, and only on the first start of a disk.
func Bootstrap(members []Member) Restored {
	return Restored{
		HardState: HardState{Term: 1, Commit: 1},
		Snapshot:  SnapshotMeta{Index: 1, Term: 1, Members: cloneMembers(members)},
	}
}
