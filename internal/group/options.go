package group

import (
	"time"

	"github.com/galenalug/galenalug/replog"
	"github.com/galenalug/galenalug/storage"
	"github.com/pkg/errors"
)

// Errors of this package.
var (
	ErrNotLeader      = errors.New("group: not the leader; the proposal is not committed")
	ErrUnknownOutcome = errors.New("group: the proposal may or may not be committed")
	ErrStopped        = errors.New("group: stopped")
	ErrUnavailable    = errors.New("group: unavailable; nothing was proposed")
	ErrTooLarge       = errors.New("group: proposal is too large")
	ErrIdentity       = errors.New("group: the disk has another identity")
	ErrNotMember      = errors.New("group: not a member")
)

// Limits and defaults of a Runner.
const (
	// MaxProposalBytes is the most that one proposal holds.
	MaxProposalBytes = 4 << 20

	maxQueuedRequests = 16384 // requests beyond get ErrUnavailable
	maxQueuedMessages = 4096  // messages beyond are dropped
	maxInflight       = 16    // appends, of up to 1 MiB each, that a member has not answered
	keptEntries       = 4096  // kept in memory after a snapshot, for members a little behind

	defaultSnapshotEntries = 10000
	defaultElection        = 500 * time.Millisecond
	defaultHeartbeat       = 100 * time.Millisecond
)

// Applier is the application's state.
type Applier interface {
	// Apply takes in one proposal. It must be deterministic.
	Apply(index uint64, data []byte) (result any)
	// Snapshot returns the state; the bytes must not change afterwards.
	Snapshot() ([]byte, error)
	// Restore replaces the state by that of a snapshot at index.
	Restore(index uint64, data []byte) error
}

// Freezer is an Applier whose snapshots take long to encode. Freeze returns a
// function that encodes the state as it is now. The function is called once, on
// another goroutine, while entries are applied.
type Freezer interface {
	Applier
	Freeze() (encode func() ([]byte, error), err error)
}

// Transport sends messages to other members. Send must not block; messages may
// be lost. to.Name may be empty if no message said it yet.
type Transport interface {
	Send(group string, to replog.Member, messages []replog.Message)
}

// Options of a Runner.
type Options struct {
	// Name of the group.
	Name string
	// ID is the identity of the disk, never used before. It is taken when Dir
	// holds no store; otherwise it must be 0 or the store's identity.
	ID uint64
	// HostName is the name of this host.
	HostName string
	// Dir holds the member's store and nothing else.
	Dir string
	// Bootstrap lists the initial members, the same on each of them, if this
	// disk is one of them; nil for a disk that is admitted later by Replace.
	Bootstrap []replog.Member
	// Election is the shortest election timeout, Heartbeat the interval.
	Election  time.Duration
	Heartbeat time.Duration
	// QuorumTimeout is the time without an answer of a quorum after which a leader
	// steps down; 0 means Election.
	QuorumTimeout time.Duration
	// ElectionDelay returns how much later than others this member stands for
	// election; nil for not at all. It is asked by the loop and must not block.
	ElectionDelay func() time.Duration
	// SnapshotEntries is the number of entries between two snapshots.
	SnapshotEntries int
	// Seed of the random election timeouts.
	Seed      uint64
	Applier   Applier
	Transport Transport
	// OnLeader is told when this member begins and ends to lead; may be nil.
	OnLeader func(leads bool, term uint64)
	// Storage holds the store's settings; the zero value is the default.
	Storage storage.Options
}

func (o Options) withDefaults() Options {
	if o.Election == 0 {
		o.Election = defaultElection
	}
	if o.Heartbeat == 0 {
		o.Heartbeat = defaultHeartbeat
	}
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = defaultSnapshotEntries
	}
	if o.ElectionDelay == nil {
		o.ElectionDelay = func() time.Duration { return 0 }
	}
	if o.OnLeader == nil {
		o.OnLeader = func(bool, uint64) {}
	}
	return o
}

// Status is a member's state for dumps.
type Status struct {
	Group  string
	Node   replog.Status
	Failed error // storage error that made the member stop taking part
}
