package group

import (
	"slices"
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

func (r *Runner) propose(now time.Duration, req *request) {
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

// processReady persists, sends and applies the node's output until there is none left.
func (r *Runner) processReady() {
	for r.failed == nil {
		ready := r.node.Ready()
		if ready.Empty() {
			return
		}
		r.notifyLeadership()
		if err := r.write(ready); err != nil {
			r.fail(err)
			return
		}
		r.sendAll(ready.Messages)
		if err := r.apply(ready); err != nil {
			r.fail(err)
			return
		}
		r.completeReads(ready.ReadStates)
		r.node.Advance()
		r.notifyLeadership()
		r.startSnapshot()
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

// sendAll sends the messages, with one call to Send for each member.
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

// member returns the member with the given ID. For an ID that is not in the configuration, the host
// name is taken from its messages and may be empty.
func (r *Runner) member(id uint64) replog.Member {
	for _, m := range r.node.Members() {
		if m.ID == id {
			return m
		}
	}
	return replog.Member{ID: id, Name: r.hostNames[id]}
}

func (r *Runner) apply(ready replog.Ready) error {
	if s := ready.Snapshot; s != nil {
		r.applied, r.snapshotIndex = s.Meta.Index, s.Meta.Index
		if len(s.Data) > 0 && s.Meta.Index > r.applierIndex {
			if err := r.options.Applier.Restore(s.Meta.Index, s.Data); err != nil {
				return errors.Wrap(err, "group: restore")
			}
		}
		r.applierIndex = max(r.applierIndex, s.Meta.Index)
	}
	for _, e := range ready.Committed {
		var result any
		if e.Kind == replog.EntryData && e.Index > r.applierIndex {
			result = r.options.Applier.Apply(e.Index, e.Data)
		}
		r.applied = e.Index
		r.applierIndex = max(r.applierIndex, e.Index)
		r.completeProposal(e, result)
	}
	return nil
}

// completeProposal replies to the proposal at the entry's index. If the entry has a different term,
// another leader's entry took that index and the proposal will never be committed.
func (r *Runner) completeProposal(e replog.Entry, result any) {
	req := r.pendingProposals[e.Index]
	if req == nil {
		return
	}
	delete(r.pendingProposals, e.Index)
	if req.term != e.Term {
		req.reply <- outcome{err: ErrNotLeader}
		return
	}
	req.reply <- outcome{result: result, index: e.Index}
}

// completeReads replies to reads. Their indexes are already applied, because a Ready with a
// ReadState also contains all entries committed before it.
func (r *Runner) completeReads(states []replog.ReadState) {
	for _, state := range states {
		req := r.pendingReads[state.Context]
		delete(r.pendingReads, state.Context)
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

// notifyLeadership updates the lease that Leads reads and calls OnLeader on changes. The lease is
// cleared before OnLeader(false) and set after OnLeader(true).
func (r *Runner) notifyLeadership() {
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

// publish updates the view that other goroutines read.
func (r *Runner) publish() {
	status := Status{Group: r.options.Name, Node: r.node.Status(r.now()), Failed: r.failed}
	leader := ""
	if id := status.Node.Leader; id != 0 && r.failed == nil {
		leader = r.member(id).Name
	}
	r.mu.Lock()
	r.view = view{leader: leader, status: status}
	r.mu.Unlock()
	r.notifyVoters(status)
}

// notifyVoters calls OnVoters if the voters, the live ones or the failure differ from the last call.
func (r *Runner) notifyVoters(status Status) {
	voters := votersOf(status)
	if r.notified && slices.Equal(voters, r.voters) && (status.Failed != nil) == r.failureNotified {
		return
	}
	r.notified, r.voters, r.failureNotified = true, voters, status.Failed != nil
	r.options.OnVoters(status)
}

// voter is what OnVoters reports of one voter.
type voter struct {
	id   uint64
	live bool
}

func votersOf(status Status) []voter {
	var voters []voter
	for _, m := range status.Node.Members {
		if !m.Learner {
			voters = append(voters, voter{id: m.ID, live: m.Live})
		}
	}
	return voters
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
	r.tasks = nil
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

func (r *Runner) shutDown(work inbox) {
	stopped := r.failed
	if stopped == nil {
		stopped = ErrStopped
		r.sendAll(r.node.StopMessages())
	}
	r.fail(stopped)
	r.failRequests(work, ErrStopped)
	r.snapshotWriters.Wait()
	_ = r.store.Close()
	r.publish()
}
