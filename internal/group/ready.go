package group

import (
	"github.com/galenalug/galenalug/replog"
	"github.com/pkg/errors"
)

// processReady starts the writes of the node's output, and sends and applies it, until there is none left.
func (r *Runner) processReady() {
	for r.failed == nil {
		ready := r.node.Ready()
		if ready.Empty() {
			r.startSnapshot()
			return
		}
		r.notifyLeadership()
		r.sendAll(ready.Messages)
		if err := r.apply(ready); err != nil {
			r.fail(err)
			return
		}
		r.completeReads(ready.ReadStates)
		r.node.Advance()
		r.startSnapshot()
		if ready.Writes() && r.failed == nil {
			r.write(ready)
		}
		r.notifyLeadership()
	}
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
	if s := ready.Restore; s != nil {
		r.applied, r.snapshotIndex = s.Meta.Index, s.Meta.Index
		r.snapshotBytes, r.appliedBytes = len(s.Data), 0
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
		r.appliedBytes += len(e.Data)
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
