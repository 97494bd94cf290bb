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

// outcome answers one request.
type outcome struct {
	result any
	index  uint64
	err    error
}

// request waits for its outcome; the channel holds one.
type request struct {
	data  []byte
	term  uint64 // term of the proposal
	reply chan outcome
}

// task is work that the loop tries again until it is done.
type task struct {
	ctx   context.Context
	step  func(now time.Duration) (done bool, err error)
	reply chan outcome
}

// inbox is what waits for the loop.
type inbox struct {
	messages  []replog.Message
	proposals []*request
	reads     []*request
	tasks     []*task
	saved     []savedSnapshot
	stop      bool
}

// view is what other goroutines may read.
type view struct {
	leader string
	status Status
}

// Runner runs one member. Its methods are safe for concurrent use.
type Runner struct {
	options Options
	node    *replog.Node
	store   *storage.Store
	start   time.Duration // on clock.Now

	mu     sync.Mutex // guards inbox, closed and view
	inbox  inbox
	closed bool
	view   view
	wake   chan struct{}
	done   chan struct{}

	leaseUntil atomic.Int64 // on the runner's clock, nanoseconds; 0 for no lease

	// Owned by the loop.
	waiting      map[uint64]*request // by index
	reading      map[uint64]*request // by context
	readContext  uint64
	tasks        []*task
	names        map[uint64]string // host names that messages told
	serving      bool              // what OnLeader was told last
	servingTerm  uint64
	snapshotAt   uint64 // index of the newest snapshot
	applied      uint64
	snapshotting bool
	writers      sync.WaitGroup // snapshots being written
	failed       error
}

// Start opens the member's store and runs the member.
func Start(o Options) (*Runner, error) {
	o = o.withDefaults()
	store, recovered, err := openStore(o)
	if err != nil {
		return nil, err
	}
	node, err := openNode(o, store, recovered)
	if err != nil {
		_ = store.Close()
		return nil, err
	}
	r := &Runner{
		options: o, node: node, store: store, start: clock.Now(),
		wake: make(chan struct{}, 1), done: make(chan struct{}),
		waiting: map[uint64]*request{}, reading: map[uint64]*request{}, names: map[uint64]string{},
	}
	status := node.Status(0)
	r.snapshotAt, r.applied = status.SnapshotIndex, status.Applied
	r.publish()
	go r.loop()
	return r, nil
}

// now reads the one clock of the runner. It counts suspended time too, so that a
// leader that was suspended does not take its lease for valid when it wakes.
func (r *Runner) now() time.Duration { return clock.Now() - r.start }

// Propose adds data to the log and returns what Apply returned for it, and its
// index. Errors: ErrNotLeader, ErrUnavailable, ErrStopped and ErrTooLarge mean
// that it is not committed and never will be, ErrUnknownOutcome that it may be.
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

// ReadBarrier returns once this member has proved that it leads and has applied
// everything committed before the call: reads of the Applier's state that
// follow are linearizable.
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

// Leads tells whether this member provably leads now, and the Applier holds
// everything committed before its election.
func (r *Runner) Leads() bool { return int64(r.now()) < r.leaseUntil.Load() }

// Leader returns the name of the leader's host, or the empty string.
func (r *Runner) Leader() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.leader
}

// Status returns the member's state as of the loop's last step.
func (r *Runner) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.status
}

// Deliver takes in messages from other members. It does not block; messages
// beyond a bound are dropped.
func (r *Runner) Deliver(messages []replog.Message) {
	_ = r.enqueue(func(in *inbox) bool {
		if len(in.messages)+len(messages) > maxQueuedMessages {
			return false
		}
		in.messages = append(in.messages, messages...)
		return true
	})
}

// Stop hands leadership over, if this member leads and another can take it, and
// stops the member. After ctx is done it no longer waits for the successor.
func (r *Runner) Stop(ctx context.Context) {
	_ = r.run(ctx, r.handOver(func(replog.Member) bool { return true }))
	_ = r.enqueue(func(in *inbox) bool {
		in.stop = true
		return true
	})
	<-r.done
}

// enqueue adds work for the loop. add returns false if there is too much, and
// then must not matter.
func (r *Runner) enqueue(add func(in *inbox) bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return ErrStopped
	}
	before := r.inbox
	if !add(&r.inbox) {
		r.inbox = before
		return errors.Wrap(ErrUnavailable, "too much waits")
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
	return nil
}
