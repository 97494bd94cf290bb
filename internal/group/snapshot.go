package group

import (
	"github.com/galenalug/galenalug/replog"
	"github.com/pkg/errors"
)

// savedSnapshot is a snapshot whose writing has ended.
type savedSnapshot struct {
	meta replog.SnapshotMeta
	data []byte
	err  error
}

// beginSnapshot writes a snapshot beside the loop once enough entries were
// applied since the last one.
func (r *Runner) beginSnapshot() {
	if r.snapshotting || r.applied < r.snapshotAt+uint64(r.options.SnapshotEntries) {
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
	r.writers.Go(func() {
		saved := savedSnapshot{meta: meta}
		if saved.data, saved.err = encode(); saved.err == nil {
			saved.err = write(saved.data)
		}
		_ = r.enqueue(func(in *inbox) bool {
			in.saved = append(in.saved, saved)
			return true
		})
	})
}

// freeze returns a function that encodes the state as it is now.
func freeze(state Applier) (func() ([]byte, error), error) {
	if freezer, ok := state.(Freezer); ok {
		return freezer.Freeze()
	}
	data, err := state.Snapshot()
	return func() ([]byte, error) { return data, nil }, err
}

// finishSnapshot cuts off the log that the snapshot stands for.
func (r *Runner) finishSnapshot(saved savedSnapshot) {
	r.snapshotting = false
	if err := r.store.FinishSnapshot(saved.err); err != nil {
		r.fail(err)
		return
	}
	if saved.meta.Index <= r.snapshotAt {
		return // a leader's snapshot came in between
	}
	r.snapshotAt = saved.meta.Index
	if err := r.store.Compact(saved.meta.Index); err != nil {
		r.fail(err)
		return
	}
	if err := r.node.Compact(saved.meta, saved.data, min(keptEntries, r.options.SnapshotEntries)); err != nil {
		r.fail(err)
	}
}
