package group

import (
	"github.com/galenalug/galenalug/replog"
	"github.com/pkg/errors"
)

// snapshotResult is a snapshot whose write has completed or failed.
type snapshotResult struct {
	meta replog.SnapshotMeta
	data []byte
	err  error
}

// startSnapshot starts writing a snapshot on another goroutine once SnapshotEntries entries have
// been applied since the last one.
func (r *Runner) startSnapshot() {
	if r.applied < r.applierIndex {
		return // the Applier's state is newer than any index that the node could give the snapshot
	}
	if r.snapshotting || r.applied < r.snapshotIndex+uint64(r.options.SnapshotEntries) {
		return
	}
	encode, err := freeze(r.options.Applier)
	if err != nil {
		r.fail(errors.Wrap(err, "group: snapshot"))
		return
	}
	meta, err := r.node.SnapshotMeta(r.applied)
	if err != nil {
		r.fail(err)
		return
	}
	write := r.store.SnapshotWriter(meta)
	r.snapshotting = true
	r.snapshotWriters.Go(func() {
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

// finishSnapshot removes the log entries that the snapshot covers.
func (r *Runner) finishSnapshot(result snapshotResult) {
	r.snapshotting = false
	if err := r.store.FinishSnapshot(result.err); err != nil {
		r.fail(err)
		return
	}
	if result.meta.Index <= r.snapshotIndex {
		return // a snapshot from the leader was installed in the meantime
	}
	r.snapshotIndex = result.meta.Index
	if err := r.store.Compact(result.meta.Index); err != nil {
		r.fail(err)
		return
	}
	if err := r.node.Compact(result.meta, result.data, min(retainedEntries, r.options.SnapshotEntries)); err != nil {
		r.fail(err)
	}
}
