package group

import (
	"github.com/galenalug/galenalug/replog"
	"github.com/galenalug/galenalug/storage"
	"github.com/pkg/errors"
)

// snapshotResult is a snapshot whose write has completed or failed.
type snapshotResult struct {
	meta replog.SnapshotMeta
	data []byte
	err  error
}

// snapshotDue reports whether as many entries, or as many bytes of them, have been applied since the last snapshot
// as the options allow.
func (r *Runner) snapshotDue() bool {
	if r.applied == r.snapshotIndex {
		return false
	}
	return r.applied >= r.snapshotIndex+uint64(r.options.SnapshotEntries) || r.appliedBytes >= r.maxLogBytes()
}

// maxLogBytes returns the size of the entries' data from which they are replaced by a snapshot.
func (r *Runner) maxLogBytes() int { return max(r.options.SnapshotBytes, r.snapshotBytes) }

// startSnapshot starts writing a snapshot on another goroutine if one is due.
func (r *Runner) startSnapshot() {
	if r.applied < r.applierIndex {
		return // the Applier's state is newer than any index that the node could give the snapshot
	}
	if r.snapshotting || len(r.jobs) > 0 || !r.snapshotDue() {
		return // a job may use the store; this is called again when it has ended
	}
	meta, err := r.node.SnapshotMeta(r.applied)
	if errors.Is(err, replog.ErrCompacted) {
		return // a snapshot from the leader is about to be written
	}
	if err != nil {
		r.fail(err)
		return
	}
	encode, err := freeze(r.options.Applier)
	if err != nil {
		r.fail(errors.Wrap(err, "group: snapshot"))
		return
	}
	write := r.store.SnapshotWriter(meta)
	r.snapshotting, r.appliedBytes = true, 0
	r.writers.Go(func() {
		result := snapshotResult{meta: meta}
		if result.data, result.err = encode(); result.err == nil {
			result.err = write(result.data)
		}
		_ = r.enqueue(func(in *inbox) bool {
			in.snapshots = append(in.snapshots, result)
			return true
		})
	})
}

// freeze captures the current state and returns a function that encodes it.
func freeze(state Applier) (func() ([]byte, error), error) {
	if freezer, ok := state.(Freezer); ok {
		return freezer.Freeze()
	}
	data, err := state.Snapshot()
	return func() ([]byte, error) { return data, nil }, err
}

// finishSnapshot removes the log entries that the snapshot covers, from the store and then from memory.
func (r *Runner) finishSnapshot(result snapshotResult) {
	superseded := result.meta.Index <= r.snapshotIndex // a snapshot from the leader was installed in the meantime
	r.enqueueJob(storeJob{
		run: func(store *storage.Store) error {
			if err := store.FinishSnapshot(result.err); err != nil || superseded {
				return err
			}
			return store.Compact(result.meta.Index)
		},
		done: func() { r.compact(result) },
	})
}

// compact removes the log entries that a durable snapshot covers from memory.
func (r *Runner) compact(result snapshotResult) {
	r.snapshotting = false
	if result.meta.Index <= max(r.snapshotIndex, r.node.Status(r.now()).SnapshotIndex) {
		return // a snapshot from the leader is in its place
	}
	r.snapshotIndex, r.snapshotBytes = result.meta.Index, len(result.data)
	retention := replog.Retention{Entries: min(retainedEntries, r.options.SnapshotEntries), Bytes: r.maxLogBytes()}
	if err := r.node.Compact(result.meta, result.data, retention); err != nil {
		r.fail(err)
	}
}
