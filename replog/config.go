package replog

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

// MessageKind is the type of a Message.
type MessageKind uint8

// Kinds of messages.
const (
	KindAppend        MessageKind = 1  // leader to member: entries, or none for a heartbeat
	KindAppendReply   MessageKind = 2  // member to leader: matching index, or rejection
	KindSnapshot      MessageKind = 3  // leader to member: one chunk of a snapshot
	KindSnapshotReply MessageKind = 4  // member to leader: bytes received
	KindPreVote       MessageKind = 5  // pre-candidate to member
	KindPreVoteReply  MessageKind = 6  // member to pre-candidate
	KindVote          MessageKind = 7  // candidate to member
	KindVoteReply     MessageKind = 8  // member to candidate
	KindTimeoutNow    MessageKind = 9  // leader to its successor: start an election now
	KindStopped       MessageKind = 10 // member to all others: it has stopped and sends nothing more
)

// EntryKind is the type of an entry's data.
type EntryKind uint8

// Kinds of entries.
const (
	EntryData   EntryKind = 0 // proposed by the application
	EntryEmpty  EntryKind = 1 // first entry of a leader's term, without data
	EntryMember EntryKind = 2 // a MemberChange in CBOR
)

// MemberChangeKind is the type of a MemberChange.
type MemberChangeKind uint8

// Kinds of member changes.
const (
	AddLearner MemberChangeKind = 1
	Promote    MemberChangeKind = 2
	Remove     MemberChangeKind = 3
	Swap       MemberChangeKind = 4 // a learner takes the place of a voter
	LeaveJoint MemberChangeKind = 5 // second part of a swap, appended by the leader
)

// Limits and defaults of a Config.
const (
	// SnapshotChunkBytes is the maximum size of the snapshot chunk in one message.
	SnapshotChunkBytes = 256 << 10

	DefaultMaxDrift             = 0.01
	DefaultMaxEntriesPerMessage = 1024
	DefaultMaxBytesPerMessage   = 256 << 10
	DefaultMaxInflight          = 64
	DefaultMaxInflightBytes     = 4 << 20
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
	// ID identifies the disk; Name is the name of its host.
	ID   uint64
	Name string
	// ElectionTimeout is the minimum time without contact with a leader after which a
	// member starts an election. The actual time is random, up to twice this value.
	ElectionTimeout time.Duration
	// QuorumTimeout is the time without replies from a quorum after which a leader
	// steps down; 0 means ElectionTimeout. A longer timeout lets a leader continue
	// when replies are slow, but does not extend its lease.
	QuorumTimeout time.Duration
	// HeartbeatInterval is the time between heartbeats of a leader.
	HeartbeatInterval time.Duration
	// MaxDrift bounds the rate error of every member's clock: 0.01 means that a
	// clock advances by 0.99 s to 1.01 s per second of real time. 0 means
	// DefaultMaxDrift.
	MaxDrift float64
	// Rand is the source of the random election timeouts.
	Rand *rand.Rand
	// MaxEntriesPerMessage and MaxBytesPerMessage limit the size of one append,
	// MaxInflight the number of unacknowledged appends with entries per member, and
	// MaxInflightBytes the data of their entries: no further append is sent from there on.
	// 0 means the default.
	MaxEntriesPerMessage int
	MaxBytesPerMessage   int
	MaxInflight          int
	MaxInflightBytes     int
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
	if c.MaxInflightBytes == 0 {
		c.MaxInflightBytes = DefaultMaxInflightBytes
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
	case c.MaxEntriesPerMessage < 0 || c.MaxBytesPerMessage < 0 || c.MaxInflight < 0 || c.MaxInflightBytes < 0:
		return errors.Wrap(ErrInvalidConfig, "negative message limit")
	}
	return nil
}

// leaseDuration returns how long an acknowledged heartbeat extends the lease,
// counted from when the leader sent it. The leader's clock may be slow and the
// follower's fast, so the drift counts twice.
func (c Config) leaseDuration() time.Duration {
	return time.Duration(float64(c.ElectionTimeout) * (1 - c.MaxDrift) / (1 + c.MaxDrift))
}

// Restored is the durable state from which a member starts.
type Restored struct {
	HardState    HardState
	Snapshot     SnapshotMeta
	SnapshotData []byte
	// Entries follows the snapshot without a gap.
	Entries []Entry
}

// Bootstrap returns the initial state of a new group: an empty snapshot at index 1
// of term 1 with the given members. All initial members must use the same list,
// and only on the first start with an empty disk.
func Bootstrap(members []Member) Restored {
	return Restored{
		HardState: HardState{Term: 1, Commit: 1},
		Snapshot:  SnapshotMeta{Index: 1, Term: 1, Members: cloneMembers(members)},
	}
}
