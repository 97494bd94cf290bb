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
	ErrIdentity       = errors.New("group: the store on this disk has a different ID")
	ErrNotMember      = errors.New("group: not a member")
)

// Limits and defaults of a Runner.
const (
	// MaxProposalBytes is the maximum size of one proposal.
	MaxProposalBytes = 4 << 20

	maxQueuedRequests = 16384 // further requests fail with ErrUnavailable
	maxQueuedMessages = 4096  // further messages are dropped
	maxInflight       = 16    // unacknowledged appends per member
	retainedEntries   = 4096  // kept in memory after a snapshot, for members that lag a little

	defaultSnapshotEntries = 10000
	defaultSnapshotBytes   = 16 << 20
	defaultElection        = 500 * time.Millisecond
	defaultHeartbeat       = 100 * time.Millisecond
)

// Applier is the replicated state machine.
type Applier interface {
	// Apply applies one committed proposal. It must be deterministic.
	Apply(index uint64, data []byte) (result any)
	// Snapshot returns the encoded state. The caller keeps the slice, so it must not be modified
	// afterwards.
	Snapshot() ([]byte, error)
	// Restore replaces the state with that of the snapshot taken at index.
	Restore(index uint64, data []byte) error
}

// Freezer is an Applier whose snapshots take long to encode. Freeze captures the current state and
// returns a function that encodes it. That function is called once, on another goroutine, while
// further entries are applied.
type Freezer interface {
	Applier
	Freeze() (encode func() ([]byte, error), err error)
}

// Transport sends messages to other members. Send must not block and may drop messages. to.Name is
// empty if the member is not in the configuration and no message has carried its host name.
type Transport interface {
	Send(group string, to replog.Member, messages []replog.Message)
}

// Options of a Runner.
type Options struct {
	// Name is the name of the group.
	Name string
	// ID is the member ID for a new store and must never have been used before. If Dir already
	// contains a store, ID must be 0 or equal to the ID in that store.
	ID uint64
	// HostName is the name of this host.
	HostName string
	// Dir is the directory of the member's store. It must contain nothing else.
	Dir string
	// Bootstrap lists the initial members and must be identical on all of them. It is nil for a
	// disk that is added later by Replace.
	Bootstrap []replog.Member
	// Election is the minimum election timeout. Heartbeat is the heartbeat interval. 0 selects the
	// default.
	Election  time.Duration
	Heartbeat time.Duration
	// QuorumTimeout is how long a leader goes without replies from a quorum before it steps
	// down. 0 means Election.
	QuorumTimeout time.Duration
	// ElectionDelay returns how much later than other members this one stands for election. nil
	// means no delay. It is called from the loop and must not block.
	ElectionDelay func() time.Duration
	// MaxInflightBytes is the data that may be on its way to one member. A member that catches up must not fill a link
	// that votes and heartbeats share. 0 selects the default of package replog.
	MaxInflightBytes int
	// Voters makes the leader keep the voters by this policy. nil means that voters change only by calls.
	Voters *replog.VoterPolicy
	// OnChange is called with each member change that the leader has proposed under Voters. It may be
	// nil. It is called from the loop and must not block.
	OnChange func(replog.MemberChange)
	// SnapshotEntries is the number of applied entries after which a snapshot is taken. 0 selects
	// the default.
	SnapshotEntries int
	// SnapshotBytes is the size of the applied entries' data after which a snapshot is taken, too, unless the last
	// snapshot is larger: then it is the size of that one. Memory, disk and the time to catch up so depend on the
	// size of the state, and snapshots write little more than the entries do. 0 selects the default.
	SnapshotBytes int
	// Seed seeds the random election timeouts.
	Seed      uint64
	Applier   Applier
	Transport Transport
	// OnLeader is called when this member gains and loses leadership. It may be nil.
	OnLeader func(leads bool, term uint64)
	// OnVoters is called with the member's status when its voters or, on the leader, those of them
	// that are live have changed, and when the member has failed. It may be nil. It is called from
	// the loop and must not block.
	OnVoters func(Status)
	// OnSlowWrite is called when a write has taken the election timeout or longer. It may be nil. It is called from the
	// loop and must not block.
	OnSlowWrite func(took time.Duration)
	// Storage configures the store. The zero value selects the defaults.
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
	if o.SnapshotBytes == 0 {
		o.SnapshotBytes = defaultSnapshotBytes
	}
	if o.ElectionDelay == nil {
		o.ElectionDelay = func() time.Duration { return 0 }
	}
	if o.OnLeader == nil {
		o.OnLeader = func(bool, uint64) {}
	}
	if o.OnChange == nil {
		o.OnChange = func(replog.MemberChange) {}
	}
	if o.OnSlowWrite == nil {
		o.OnSlowWrite = func(time.Duration) {}
	}
	if o.OnVoters == nil {
		o.OnVoters = func(Status) {}
	}
	return o
}

// Status is a member's state, as shown in state dumps.
type Status struct {
	Group  string
	Node   replog.Status
	Failed error // error that stopped the member, such as a storage error; nil while it runs
}
