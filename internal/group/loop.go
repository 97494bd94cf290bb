package group

import (
	"time"

	"github.com/galenalug/galenalug/replog"
	"github.com/pkg/errors"
)

// loop processes the inbox and the node's timers until Stop. It owns the node, the store and the
// Applier.
func (r *Runner) loop() {
	defer close(r.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-r.wake:
		case <-timer.C:
		}
		if r.failed != nil {
			r.reopen()
		}
		work := r.takeInbox()
		for _, err := range work.stored {
			r.finishJob(err)
		}
		if work.stop {
			r.shutDown(work)
			return
		}
		if r.failed != nil {
			r.failRequests(work, errors.Wrap(ErrUnavailable, r.failed.Error()))
		} else {
			r.handle(work)
		}
		r.publish()
		timer.Reset(max(r.nextDeadline()-r.now(), time.Millisecond))
	}
}

// nextDeadline returns the time at which the loop has work even if nothing arrives.
func (r *Runner) nextDeadline() time.Duration {
	if r.failed != nil {
		return r.reopenAt
	}
	return r.node.NextDeadline()
}

func (r *Runner) takeInbox() inbox {
	r.mu.Lock()
	defer r.mu.Unlock()
	work := r.inbox
	r.inbox = inbox{}
	r.closed = work.stop
	return work
}

func (r *Runner) handle(work inbox) {
	// Node.Step requires a clock reading taken after the messages were received.
	now := r.now()
	r.node.SetElectionDelay(r.options.ElectionDelay())
	for _, m := range work.messages {
		if m.FromName != "" {
			r.hostNames[m.From] = m.FromName
		}
		_ = r.node.Step(now, m) // the error only says why the message was ignored
	}
	for _, s := range work.snapshots {
		r.finishSnapshot(s)
	}
	if r.failed != nil {
		r.failRequests(work, errors.Wrap(ErrUnavailable, r.failed.Error()))
		return
	}
	r.node.Tick(now)
	for _, req := range work.proposals {
		r.propose(now, req)
	}
	for _, req := range work.reads {
		r.read(now, req)
	}
	r.tasks = append(r.tasks, work.tasks...)
	r.runTasks(now)
	r.adjustVoters(now)
	r.processReady()
	r.runTasks(now) // processReady may have completed a task
	r.processReady()
	r.notifyLeadership()
	r.failStaleProposals()
}

// propose appends a proposal to the log. The loop goes on while a write hangs, so the inbox alone does not bound the
// proposals in memory.
func (r *Runner) propose(now time.Duration, req *request) {
	if len(r.pendingProposals) >= maxQueuedRequests {
		req.reply <- outcome{err: errors.Wrap(ErrUnavailable, "too many proposals are not committed yet")}
		return
	}
	index, term, err := r.node.Propose(now, req.data)
	if err != nil {
		req.reply <- outcome{err: ErrNotLeader}
		return
	}
	req.term = term
	r.pendingProposals[index] = req
}

func (r *Runner) read(now time.Duration, req *request) {
	r.readContext++
	if err := r.node.ReadIndex(now, r.readContext); err != nil {
		req.reply <- outcome{err: ErrNotLeader}
		return
	}
	r.pendingReads[r.readContext] = req
}

// failStaleProposals replies with ErrUnknownOutcome to proposals of a term in which this member no
// longer leads, because a later leader may still commit them.
func (r *Runner) failStaleProposals() {
	leads := r.node.Role() == replog.Leader
	for index, req := range r.pendingProposals {
		if leads && req.term == r.node.Term() {
			continue
		}
		delete(r.pendingProposals, index)
		req.reply <- outcome{err: ErrUnknownOutcome}
	}
}

func (r *Runner) shutDown(work inbox) {
	stopped := r.failed
	if stopped == nil {
		stopped = ErrStopped
		r.sendAll(r.node.StopMessages())
	}
	r.fail(stopped)
	r.failRequests(work, ErrStopped)
	r.writers.Wait()
	_ = r.store.Close()
	r.publish()
}
