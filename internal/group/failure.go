package group

import (
	"time"

	"github.com/galenalug/galenalug/replog"
	"github.com/pkg/errors"
)

// reopenInterval is the time between a storage error and the attempts to open the store again.
const reopenInterval = 250 * time.Millisecond

// reopen opens the store again after an error, and continues from what it holds. The Applier keeps
// its state, since what it has was committed; entries that the new node releases again are not
// applied twice.
func (r *Runner) reopen() {
	now := r.now()
	if now < r.reopenAt {
		return
	}
	r.reopenAt = now + reopenInterval
	if r.jobRunning {
		return
	}
	r.discardSnapshots()
	store, recovered, err := r.store.Reopen()
	if err != nil {
		return // the disk does not work yet
	}
	r.store = store
	node, err := openNode(r.options, store, recovered, now, r.applierIndex)
	if err != nil {
		return
	}
	r.failed = nil
	r.useNode(node)
}

// discardSnapshots waits for a snapshot that is being written to the store and ignores its result.
func (r *Runner) discardSnapshots() {
	r.writers.Wait()
	r.snapshotting = false
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inbox.snapshots = nil
}

// useNode makes the loop run a node that was just created from the store.
func (r *Runner) useNode(node *replog.Node) {
	status := node.Status(r.now())
	r.node = node
	r.snapshotIndex, r.applied = status.SnapshotIndex, status.Applied
	r.snapshotBytes, r.appliedBytes = status.SnapshotBytes, 0
	r.applierIndex = max(r.applierIndex, r.applied)
}

// fail stops the member from leading, voting and acknowledging until its store can be opened again,
// and fails all pending requests.
func (r *Runner) fail(err error) {
	r.failed = err
	r.reopenAt = r.now() + reopenInterval
	r.notifyLeadership()
	for index, req := range r.pendingProposals {
		delete(r.pendingProposals, index)
		req.reply <- outcome{err: ErrUnknownOutcome}
	}
	r.failRequests(inbox{tasks: r.tasks}, errors.Wrap(ErrUnavailable, err.Error()))
	r.tasks, r.jobs = nil, nil
}

// failRequests replies with err to the requests in work and to all pending reads.
func (r *Runner) failRequests(work inbox, err error) {
	for _, req := range work.proposals {
		req.reply <- outcome{err: err}
	}
	for _, req := range work.reads {
		req.reply <- outcome{err: err}
	}
	for _, t := range work.tasks {
		t.reply <- outcome{err: err}
	}
	for readContext, req := range r.pendingReads {
		delete(r.pendingReads, readContext)
		req.reply <- outcome{err: err}
	}
}
