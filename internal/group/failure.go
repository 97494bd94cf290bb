package group

import (
	"time"

	"github.com/galenalug/galenalug/replog"
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
	r.snapshotWriters.Wait()
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
	r.applierIndex = max(r.applierIndex, r.applied)
}
