package group

import (
	"context"
	"slices"
	"time"

	"github.com/galenalug/galenalug/replog"
	"github.com/pkg/errors"
)

// runTask has the loop call step, at least once per heartbeat interval, until it returns done or an
// error, or ctx is done.
func (r *Runner) runTask(ctx context.Context, step func(now time.Duration) (bool, error)) error {
	t := &task{ctx: ctx, step: step, reply: make(chan outcome, 1)}
	if err := r.enqueue(func(in *inbox) bool {
		in.tasks = append(in.tasks, t)
		return len(in.tasks) <= maxQueuedRequests
	}); err != nil {
		return err
	}
	return await(ctx, t.reply)
}

func (r *Runner) runTasks(now time.Duration) {
	var left []*task
	for _, t := range r.tasks {
		if t.ctx.Err() != nil {
			continue // the caller has stopped waiting
		}
		done, err := t.step(now)
		if !done && err == nil {
			left = append(left, t)
			continue
		}
		t.reply <- outcome{err: err}
	}
	r.tasks = left
}

// Replace makes the disk newID the only disk of the host name in the group. It adds the disk as a
// learner, waits until it has caught up, and swaps it for the host's other disk, or promotes it if
// there is none. It may be retried with the same arguments after any error.
func (r *Runner) Replace(ctx context.Context, name string, newID uint64) error {
	return r.runTask(ctx, func(now time.Duration) (bool, error) {
		if r.node.Role() != replog.Leader {
			return false, ErrNotLeader
		}
		change, ok := nextChange(r.node.Members(), name, newID)
		if !ok {
			return !r.node.ChangeInFlight(), nil
		}
		if change.Kind != replog.AddLearner && !r.node.CaughtUp(now, newID) {
			return false, nil
		}
		return false, r.change(now, change)
	})
}

// AddLearner adds a disk to the group as a learner, unless it already is a member. Under
// Options.Voters the leader makes it a voter when it has caught up.
func (r *Runner) AddLearner(ctx context.Context, name string, id uint64) error {
	added := replog.Member{ID: id, Name: name}
	return r.runTask(ctx, func(now time.Duration) (bool, error) {
		if r.node.Role() != replog.Leader {
			return false, ErrNotLeader
		}
		if slices.ContainsFunc(r.node.Members(), func(m replog.Member) bool { return m.ID == id }) {
			return !r.node.ChangeInFlight(), nil
		}
		return false, r.change(now, replog.MemberChange{Kind: replog.AddLearner, Member: added})
	})
}

// Remove removes all disks of the host name from the group.
func (r *Runner) Remove(ctx context.Context, name string) error {
	return r.runTask(ctx, func(now time.Duration) (bool, error) {
		if r.node.Role() != replog.Leader {
			return false, ErrNotLeader
		}
		for _, m := range r.node.Members() {
			if m.Name == name {
				return false, r.change(now, replog.MemberChange{Kind: replog.Remove, Member: m})
			}
		}
		return !r.node.ChangeInFlight(), nil
	})
}

// adjustVoters makes the next member change under Options.Voters, if there is one.
func (r *Runner) adjustVoters(now time.Duration) {
	if r.options.Voters == nil {
		return
	}
	change, ok := r.node.NextChange(now, *r.options.Voters)
	if !ok {
		return
	}
	if _, _, err := r.node.ProposeMember(now, change); err == nil {
		r.options.OnChange(change)
	}
}

// nextChange returns the next member change of Replace, or false if none is left.
func nextChange(members []replog.Member, name string, newID uint64) (replog.MemberChange, bool) {
	added := replog.Member{ID: newID, Name: name}
	known, learner := false, false
	var old *replog.Member
	for _, m := range members {
		switch {
		case m.ID == newID:
			known, learner = true, m.Learner
		case m.Name == name && (old == nil || old.Learner):
			old = &m
		}
	}
	switch {
	case !known:
		return replog.MemberChange{Kind: replog.AddLearner, Member: added}, true
	case old != nil && learner && !old.Learner:
		return replog.MemberChange{Kind: replog.Swap, Member: added, Replaced: old.ID}, true
	case old != nil:
		return replog.MemberChange{Kind: replog.Remove, Member: *old}, true
	case learner:
		return replog.MemberChange{Kind: replog.Promote, Member: added}, true
	}
	return replog.MemberChange{}, false
}

// change proposes a member change. It returns nil for transient failures, so that the task retries.
func (r *Runner) change(now time.Duration, change replog.MemberChange) error {
	_, _, err := r.node.ProposeMember(now, change)
	for _, transient := range []error{
		replog.ErrChangeInFlight, replog.ErrNotReady, replog.ErrNotCaughtUp, replog.ErrQuorumAtRisk,
	} {
		if errors.Is(err, transient) {
			return nil
		}
	}
	if errors.Is(err, replog.ErrNotLeader) {
		return ErrNotLeader
	}
	return err
}

// TransferLeadership transfers leadership to a live member on one of the named hosts. It does
// nothing if this member does not lead or if no such member is live.
func (r *Runner) TransferLeadership(ctx context.Context, hosts []string) error {
	return r.runTask(ctx, r.transferStep(func(m replog.Member) bool { return slices.Contains(hosts, m.Name) }))
}

// transferStep returns a task step that transfers leadership to a live member for which accept
// returns true. The step is done if this member does not lead, if no member qualifies, or if the
// transfer was aborted.
func (r *Runner) transferStep(accept func(replog.Member) bool) func(now time.Duration) (bool, error) {
	requested := false
	return func(now time.Duration) (bool, error) {
		if r.node.Role() != replog.Leader {
			return true, nil
		}
		if requested {
			return r.node.Serving(), nil // serving again: the transfer was aborted
		}
		requested = true
		target := r.node.TransferTargetAmong(accept)
		if target == 0 {
			return true, nil
		}
		return false, r.node.TransferLeadership(now, target)
	}
}
