package group

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/replog"
	"github.com/galenalug/galenalug/storage"
	"github.com/pkg/errors"
)

// outcome is the reply to one request.
type outcome struct {
	result any
	index  uint64
	err    error
}

// request is a queued proposal or read. reply has capacity 1, so the loop never blocks on it.
type request struct {
	data  []byte
	term  uint64 // term in which it was proposed; 0 for a read
	reply chan outcome
}

// task is an operation that the loop retries until step returns done or an error.
type task struct {
	ctx   context.Context
	step  func(now time.Duration) (done bool, err error)
	reply chan outcome
}

// inbox holds the work queued for the loop.
type inbox struct {
	messages  []replog.Message
	proposals []*request
	reads     []*request
	tasks     []*task
	snapshots []snapshotResult
	stored    []error // results of jobs
	stop      bool
}

// view is the state published to other goroutines.
type view struct {
	leader string
	status Status
}

// Runner runs one member of a group. Its methods are safe for concurrent use.
type Runner struct {
	options Options
	node    *replog.Node
	store   *storage.Store
	start   time.Duration // clock.Now when the Runner was started

	mu     sync.Mutex // guards inbox, closed and view
	inbox  inbox
	closed bool
	view   view
	wake   chan struct{}
	done   chan struct{}

	leaseUntil atomic.Int64 // nanoseconds on the runner's clock; 0 if there is no lease

	// Owned by the loop.
	pendingProposals map[uint64]*request // by index
	pendingReads     map[uint64]*request // by read context
	readContext      uint64
	tasks            []*task
	hostNames        map[uint64]string // host names by member ID, learned from messages
	serving          bool              // argument of the last call to OnLeader
	servingTerm      uint64
	snapshotIndex    uint64 // index of the latest snapshot
	snapshotBytes    int    // size of its data
	appliedBytes     int    // data of the entries applied since the latest snapshot was started
	applied          uint64 // index of the last entry that the node has released
	applierIndex     uint64 // index of the last entry that the Applier has; higher than applied after reopen
	snapshotting     bool
	writers          sync.WaitGroup // goroutines that write snapshots or run jobs
	jobs             []storeJob     // the first one is running; empty after a failure
	jobRunning       bool           // whether a job is running, which may be one from before a failure
	failed           error
	reopenAt         time.Duration // when to open the store again; only while failed is set
	notified         bool          // whether OnVoters was called
	voters           []voter       // as of the last call to OnVoters
	failureNotified  bool          // whether that call reported a failure
}

// Start opens or creates the member's store and starts the loop.
func Start(o Options) (*Runner, error) {
	o = o.withDefaults()
	store, recovered, err := openStore(o)
	if err != nil {
		return nil, err
	}
	node, err := openNode(o, store, recovered, 0, 0)
	if err != nil {
		_ = store.Close()
		return nil, err
	}
	r := &Runner{
		options: o, node: node, store: store, start: clock.Now(),
		wake: make(chan struct{}, 1), done: make(chan struct{}),
		pendingProposals: map[uint64]*request{}, pendingReads: map[uint64]*request{}, hostNames: map[uint64]string{},
	}
	r.useNode(node)
	r.publish()
	go r.loop()
	return r, nil
}

// now returns the time since Start. The clock also advances while the machine is suspended, so a
// leader does not consider its lease still valid after resuming.
func (r *Runner) now() time.Duration { return clock.Now() - r.start }

// Propose appends data to the log and returns the result of Apply and the index of the entry.
// ErrNotLeader, ErrUnavailable, ErrStopped and ErrTooLarge mean that the proposal is not committed
// and never will be. ErrUnknownOutcome means that it may be committed.
func (r *Runner) Propose(ctx context.Context, data []byte) (result any, index uint64, err error) {
	if len(data) > MaxProposalBytes {
		return nil, 0, ErrTooLarge
	}
	req := &request{data: data, reply: make(chan outcome, 1)}
	if err := r.enqueue(func(in *inbox) bool {
		in.proposals = append(in.proposals, req)
		return len(in.proposals) <= maxQueuedRequests
	}); err != nil {
		return nil, 0, err
	}
	select {
	case out := <-req.reply:
		return out.result, out.index, out.err
	case <-ctx.Done():
		return nil, 0, errors.Wrap(ErrUnknownOutcome, ctx.Err().Error())
	}
}

// ReadBarrier returns once this member has confirmed its leadership and has applied everything
// committed before the call. Subsequent reads of the Applier's state are linearizable.
func (r *Runner) ReadBarrier(ctx context.Context) error {
	req := &request{reply: make(chan outcome, 1)}
	if err := r.enqueue(func(in *inbox) bool {
		in.reads = append(in.reads, req)
		return len(in.reads) <= maxQueuedRequests
	}); err != nil {
		return err
	}
	return await(ctx, req.reply)
}

func await(ctx context.Context, reply chan outcome) error {
	select {
	case out := <-reply:
		return out.err
	case <-ctx.Done():
		return errors.Wrap(ErrUnavailable, ctx.Err().Error())
	}
}

// Leads reports whether this member holds a valid leader lease and the Applier holds everything
// committed before its election.
func (r *Runner) Leads() bool { return int64(r.now()) < r.leaseUntil.Load() }

// Leader returns the host name of the leader, or the empty string if it is unknown.
func (r *Runner) Leader() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.leader
}

// Status returns the member's state as of the last iteration of the loop.
func (r *Runner) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.status
}

// Deliver queues messages from other members. It does not block. If the queue is full, it drops the
// messages.
func (r *Runner) Deliver(messages []replog.Message) {
	_ = r.enqueue(func(in *inbox) bool {
		if len(in.messages)+len(messages) > maxQueuedMessages {
			return false
		}
		in.messages = append(in.messages, messages...)
		return true
	})
}

// Stop stops the member. If the member leads, it first transfers leadership to another live member
// and waits for the transfer until ctx is done.
func (r *Runner) Stop(ctx context.Context) {
	_ = r.runTask(ctx, r.transferStep(func(replog.Member) bool { return true }))
	_ = r.enqueue(func(in *inbox) bool {
		in.stop = true
		return true
	})
	<-r.done
}

// enqueue adds work to the inbox and wakes the loop. add returns false if the inbox is full; its
// changes are then discarded.
func (r *Runner) enqueue(add func(in *inbox) bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return ErrStopped
	}
	before := r.inbox
	if !add(&r.inbox) {
		r.inbox = before
		return errors.Wrap(ErrUnavailable, "request queue is full")
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
	return nil
}
