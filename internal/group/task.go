package group

import (
	"context"
	"slices"
	"time"

	"github.com/galenalug/galenalug/replog"
	"github.com/pkg/errors"
)

// run has the loop try a step, at least once a heartbeat, until it is done.
func (r *Runner) run(ctx context.Context, step func(now time.Duration) (bool, error)) error {
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
			continue // nobody waits any more
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

// Replace admits the disk newID of the host name: it adds it as a learner, waits
// until it has caught up, removes the host's other disks, and promotes it. It
// may be called again with the same arguments after any error.
func (r *Runner) Replace(ctx context.Context, name string, newID uint64) error {
	return r.run(ctx, func(now time.Duration) (bool, error) {
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

// Remove removes all disks of the host name from the members.
func (r *Runner) Remove(ctx context.Context, name string) error {
	return r.run(ctx, func(now time.Duration) (bool, error) {
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

// nextChange returns the next change on the way to one disk of the host name.
func nextChange(members []replog.Member, name string, newID uint64) (replog.MemberChange, bool) {
	admitted := replog.Member{ID: newID, Name: name}
	known, learner := false, false
	var old *replog.Member
	for _, m := range members {
		switch {
		case m.ID == newID:
			known, learner = true, m.Learner
		case m.Name == name:
			old = &m
		}
	}
	switch {
	case !known:
		return replog.MemberChange{Kind: replog.AddLearner, Member: admitted}, true
	case old != nil:
		return replog.MemberChange{Kind: replog.Remove, Member: *old}, true
	case learner:
		return replog.MemberChange{Kind: replog.Promote, Member: admitted}, true
	}
	return replog.MemberChange{}, false
}

// change proposes a member change; reasons to wait are no errors.
func (r *Runner) change(now time.Duration, change replog.MemberChange) error {
	_, _, err := r.node.ProposeMember(now, change)
	for _, wait := range []error{
		replog.ErrChangeInFlight, replog.ErrNotReady, replog.ErrNotCaughtUp, replog.ErrQuorumAtRisk,
	} {
		if errors.Is(err, wait) {
			return nil
		}
	}
	if errors.Is(err, replog.ErrNotLeader) {
		return ErrNotLeader
	}
	return err
}

// TransferLeadership transfers leadership to a live member on one of the named hosts. It
// does nothing when this member does not lead or no such member is live.
func (r *Runner) TransferLeadership(ctx context.Context, hosts []string) error {
	return r.run(ctx, r.handOver(func(m replog.Member) bool { return slices.Contains(hosts, m.Name) }))
}

// handOver returns a step that transfers leadership to a member that accept takes,
// and is done when this member does not lead or nobody takes it.
func (r *Runner) handOver(accept func(replog.Member) bool) func(now time.Duration) (bool, error) {
	asked := false
	return func(now time.Duration) (bool, error) {
		if r.node.Role() != replog.Leader {
			return true, nil
		}
		if asked {
			return r.node.Serving(), nil // the transfer was given up
		}
		asked = true
		target := r.node.TransferTargetAmong(accept)
		if target == 0 {
			return true, nil
		}
		return false, r.node.TransferLeadership(now, target)
	}
}
