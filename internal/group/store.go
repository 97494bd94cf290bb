package group

import (
	"github.com/galenalug/galenalug/replog"
	"github.com/galenalug/galenalug/storage"
	"github.com/pkg/errors"
)

// storeJob is work on the store. run is called on another goroutine, so that the loop sends heartbeats and handles messages
// while the disk is slow; done is called from the loop if it has succeeded.
type storeJob struct {
	run  func(*storage.Store) error
	done func()
}

// enqueueJob runs a job after those before it. One job runs at a time, and only jobs use the store, except that the loop
// may use it while none runs.
func (r *Runner) enqueueJob(job storeJob) {
	r.jobs = append(r.jobs, job)
	if len(r.jobs) == 1 {
		r.runJob()
	}
}

// runJob runs the first job.
func (r *Runner) runJob() {
	run, store := r.jobs[0].run, r.store
	r.jobRunning = true
	r.writers.Go(func() {
		err := run(store)
		_ = r.enqueue(func(in *inbox) bool {
			in.stored = append(in.stored, err)
			return true
		})
	})
}

// finishJob handles the result of the first job and runs the next one. After a failure there are no jobs, but one that ran
// then still ends.
func (r *Runner) finishJob(err error) {
	r.jobRunning = false
	if len(r.jobs) == 0 {
		return
	}
	done := r.jobs[0].done
	r.jobs = r.jobs[1:]
	if err != nil {
		r.fail(err)
		return
	}
	done()
	if len(r.jobs) > 0 {
		r.runJob()
	}
}

// write starts the write of a Ready.
func (r *Runner) write(ready replog.Ready) {
	if !ready.MustSync && len(r.jobs) == 0 {
		if err := r.store.Append(ready.HardState, nil); err != nil { // without I/O
			r.fail(err)
			return
		}
		r.node.Written(r.now())
		return
	}
	started := r.now()
	r.enqueueJob(storeJob{
		run: func(store *storage.Store) error { return writeReady(store, ready) },
		done: func() {
			now := r.now()
			r.node.Written(now)
			if took := now - started; took >= r.options.Election {
				r.options.OnSlowWrite(took)
			}
		},
	})
}

func writeReady(store *storage.Store, ready replog.Ready) error {
	if ready.Snapshot != nil {
		hard := ready.HardState
		if hard == nil {
			return errors.New("group: snapshot without hard state")
		}
		if err := store.InstallSnapshot(*hard, ready.Snapshot.Meta, ready.Snapshot.Data); err != nil {
			return err
		}
		if err := store.Compact(ready.Snapshot.Meta.Index); err != nil {
			return err
		}
	}
	return store.Append(ready.HardState, ready.Entries)
}
