package group

import "slices"

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
