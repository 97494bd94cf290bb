package group

import (
	"time"

	"github.com/galenalug/galenalug/replog"
	"github.com/pkg/errors"
)

// loop owns the node, the store and the applier.
func (r *Runner) loop() {
	defer close(r.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-r.wake:
		case <-timer.C:
		}
		work := r.take()
		if work.stop {
			r.shutDown(work)
			return
		}
		if r.failed != nil {
			r.refuse(work, errors.Wrap(ErrUnavailable, r.failed.Error()))
		} else {
			r.handle(work)
		}
		r.publish()
		timer.Reset(max(r.node.NextDeadline()-r.now(), time.Millisecond))
		if r.failed != nil {
			timer.Stop()
		}
	}
}

func (r *Runner) take() inbox {
	r.mu.Lock()
	defer r.mu.Unlock()
	work := r.inbox
	r.inbox = inbox{}
	r.closed = work.stop
	return work
}

func (r *Runner) handle(work inbox) {
	// The clock is read after the messages were received: see Node.Step.
	now := r.now()
	r.node.SetElectionDelay(r.options.ElectionDelay())
	for _, m := range work.messages {
		if m.FromName != "" {
			r.names[m.From] = m.FromName
		}
		_ = r.node.Step(now, m) // ignored messages harm nobody
	}
	for _, s := range work.saved {
		r.finishSnapshot(s)
	}
	if r.failed != nil {
		r.refuse(work, errors.Wrap(ErrUnavailable, r.failed.Error()))
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
	r.drain()
	r.runTasks(now) // what the work may have finished
	r.drain()
	r.tellLeadership()
	r.failLostWaiters()
}

func (r *Runner) propose(now time.Duration, req *request) {
	index, term, err := r.node.Propose(now, req.data)
	if err != nil {
		req.reply <- outcome{err: ErrNotLeader}
		return
	}
	req.term = term
	r.waiting[index] = req
}

func (r *Runner) read(now time.Duration, req *request) {
	r.readContext++
	if err := r.node.ReadIndex(now, r.readContext); err != nil {
		req.reply <- outcome{err: ErrNotLeader}
		return
	}
	r.reading[r.readContext] = req
}

// drain does the node's work until there is none.
func (r *Runner) drain() {
	for r.failed == nil {
		ready := r.node.Ready()
		if ready.Empty() {
			return
		}
		r.tellLeadership()
		if err := r.write(ready); err != nil {
			r.fail(err)
			return
		}
		r.sendAll(ready.Messages)
		if err := r.apply(ready); err != nil {
			r.fail(err)
			return
		}
		r.answerReads(ready.ReadStates)
		r.node.Advance()
		r.tellLeadership()
		r.beginSnapshot()
	}
}

func (r *Runner) write(ready replog.Ready) error {
	if ready.Snapshot != nil {
		hard := ready.HardState
		if hard == nil {
			return errors.New("group: snapshot without hard state")
		}
		if err := r.store.InstallSnapshot(*hard, ready.Snapshot.Meta, ready.Snapshot.Data); err != nil {
			return err
		}
		if err := r.store.Compact(ready.Snapshot.Meta.Index); err != nil {
			return err
		}
	}
	return r.store.Append(ready.HardState, ready.Entries)
}

// sendAll sends messages, those to one member together.
func (r *Runner) sendAll(messages []replog.Message) {
	if len(messages) == 0 {
		return
	}
	var order []uint64
	byMember := map[uint64][]replog.Message{}
	for _, m := range messages {
		if byMember[m.To] == nil {
			order = append(order, m.To)
		}
		byMember[m.To] = append(byMember[m.To], m)
	}
	for _, id := range order {
		r.options.Transport.Send(r.options.Name, r.member(id), byMember[id])
	}
}

// member returns what is known of a member.
func (r *Runner) member(id uint64) replog.Member {
	for _, m := range r.node.Members() {
		if m.ID == id {
			return m
		}
	}
	return replog.Member{ID: id, Name: r.names[id]}
}

func (r *Runner) apply(ready replog.Ready) error {
	if s := ready.Snapshot; s != nil {
		r.applied, r.snapshotAt = s.Meta.Index, s.Meta.Index
		if len(s.Data) > 0 {
			if err := r.options.Applier.Restore(s.Meta.Index, s.Data); err != nil {
				return errors.Wrap(err, "group: restore")
			}
		}
	}
	for _, e := range ready.Committed {
		var result any
		if e.Kind == replog.EntryData {
			result = r.options.Applier.Apply(e.Index, e.Data)
		}
		r.applied = e.Index
		r.answerProposal(e, result)
	}
	return nil
}

// answerProposal answers who waits for the entry's index. Another term there
// proves that the proposal is lost.
func (r *Runner) answerProposal(e replog.Entry, result any) {
	req := r.waiting[e.Index]
	if req == nil {
		return
	}
	delete(r.waiting, e.Index)
	if req.term != e.Term {
		req.reply <- outcome{err: ErrNotLeader}
		return
	}
	req.reply <- outcome{result: result, index: e.Index}
}

// answerReads answers reads whose index is applied by now: the Ready that holds
// a ReadState also holds the entries committed before.
func (r *Runner) answerReads(states []replog.ReadState) {
	for _, state := range states {
		req := r.reading[state.Context]
		delete(r.reading, state.Context)
		if req == nil {
			continue
		}
		out := outcome{index: state.Index}
		if state.Lost {
			out.err = ErrNotLeader
		}
		req.reply <- out
	}
}

// failLostWaiters answers proposals of a term in which this member no longer
// leads: a later leader may still commit them.
func (r *Runner) failLostWaiters() {
	leads := r.node.Role() == replog.Leader
	for index, req := range r.waiting {
		if leads && req.term == r.node.Term() {
			continue
		}
		delete(r.waiting, index)
		req.reply <- outcome{err: ErrUnknownOutcome}
	}
}

// tellLeadership tells OnLeader and Leads about changes. A lease that ends is
// ended before OnLeader hears of it, one that begins after.
func (r *Runner) tellLeadership() {
	serving := r.failed == nil && r.node.Serving()
	term := r.node.Term()
	if r.serving && (!serving || term != r.servingTerm) {
		r.leaseUntil.Store(0)
		r.serving = false
		r.options.OnLeader(false, r.servingTerm)
	}
	if serving && !r.serving {
		r.serving, r.servingTerm = true, term
		r.options.OnLeader(true, term)
	}
	if serving {
		r.leaseUntil.Store(int64(r.node.LeaseUntil()))
	}
}

// publish lets other goroutines see the state.
func (r *Runner) publish() {
	status := Status{Group: r.options.Name, Node: r.node.Status(r.now()), Failed: r.failed}
	leader := ""
	if id := status.Node.Leader; id != 0 && r.failed == nil {
		leader = r.member(id).Name
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view = view{leader: leader, status: status}
}

// fail makes the member stop taking part.
func (r *Runner) fail(err error) {
	r.failed = err
	r.tellLeadership()
	for index, req := range r.waiting {
		delete(r.waiting, index)
		req.reply <- outcome{err: ErrUnknownOutcome}
	}
	r.refuse(inbox{tasks: r.tasks}, errors.Wrap(ErrUnavailable, err.Error()))
	r.tasks = nil
}

// refuse answers everything that waits with an error.
func (r *Runner) refuse(work inbox, err error) {
	for _, req := range work.proposals {
		req.reply <- outcome{err: err}
	}
	for _, req := range work.reads {
		req.reply <- outcome{err: err}
	}
	for _, t := range work.tasks {
		t.reply <- outcome{err: err}
	}
	for read, req := range r.reading {
		delete(r.reading, read)
		req.reply <- outcome{err: err}
	}
}

func (r *Runner) shutDown(work inbox) {
	stopped := r.failed
	if stopped == nil {
		stopped = ErrStopped
	}
	r.fail(stopped)
	r.refuse(work, ErrStopped)
	r.writers.Wait()
	_ = r.store.Close()
	r.publish()
}
