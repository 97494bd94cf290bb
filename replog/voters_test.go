package replog

import (
	"fmt"
	"testing"
	"time"
)

// testPolicy and testCatchUp are in the proportion to testElection that the settings of a control host
// have to its election timeout; testCatchUp is the time after the start of a new host from which on the
// group must bear two further losses.
var testPolicy = VoterPolicy{Voters: 5, ReplaceAfter: 4 * testElection, RemoveAfter: 10 * testElection}

const testCatchUp = 10 * testElection

// replacement is a group of five of which one host has been lost. The new host has the lost one's
// name, or another one.
type replacement struct {
	*sim
	added *host
	start time.Duration // when the new host started
}

func newReplacement(t testing.TB, sameName bool) *replacement {
	var members []Member
	for i, name := range []string{"a", "b", "c", "d", "e"} {
		members = append(members, Member{ID: uint64(i + 1), Name: name})
	}
	r := &replacement{sim: newSim(t.Fatalf, members)}
	r.run(500 * time.Millisecond)
	r.commit(t)
	lost := r.hosts[4]
	if r.find("leader") == lost {
		_ = lost.node.TransferLeadership(r.clock(lost), 1)
		r.run(100 * time.Millisecond)
	}
	lost.paused = true
	r.run(2 * testElection) // as long as a host takes to start again
	if sameName {
		r.added = lost
		r.loseDisk(lost, 99)
	} else {
		r.added = &host{name: "f", id: 99, rate: 1}
		r.hosts = append(r.hosts, r.added)
		r.sim.start(r.added)
	}
	r.start = r.now
	return r
}

// step advances the group by one millisecond, with the join requests of the new host and the changes
// that the leader makes by itself.
func (r *replacement) step() {
	r.run(stepTime)
	leader := r.find("leader")
	if leader == nil {
		return
	}
	now := r.clock(leader)
	if findMember(leader.node.Members(), r.added.id) < 0 {
		_, _, _ = leader.node.ProposeMember(now, MemberChange{Kind: AddLearner, Member: Member{ID: r.added.id, Name: r.added.name}})
	} else if change, ok := leader.node.NextChange(now, testPolicy); ok {
		_, _, _ = leader.node.ProposeMember(now, change)
	}
	r.processReady(leader)
}

// commit fails the test unless the group elects a leader and commits a proposal in time.
func (r *replacement) commit(t testing.TB) {
	t.Helper()
	for range 20 {
		if leader := r.find("leader"); leader != nil && r.propose(leader, fmt.Sprint(r.now)) == nil {
			before := r.highest
			r.processReady(leader)
			r.run(50 * time.Millisecond)
			if r.highest > before {
				return
			}
		}
		r.run(testElection / 2)
	}
	var members []Member
	for _, h := range r.hosts {
		if !h.paused {
			members = h.node.Members()
		}
	}
	t.Fatalf("no proposal committed %s after the start of the new host; members %+v", r.now-r.start, members)
}

// remaining returns the hosts that run.
func (r *replacement) remaining() []*host {
	var hosts []*host
	for _, h := range r.hosts {
		if !h.paused {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// Guards against a state, between the steps of a replacement, in which the loss of one more disk
// leaves no quorum. The others lose power at the same moment.
func TestReplacementBearsOneMoreLossAtEveryStep(t *testing.T) {
	for _, sameName := range []bool{true, false} {
		for i := range 90 {
			steps := i + max(0, i-40)*9 // each of the first 40 ms, in which the new host is admitted, then every 10 ms
			r := newReplacement(t, sameName)
			victim := i % len(r.remaining())
			for range steps {
				r.step()
			}
			lost := r.remaining()[victim]
			for _, h := range r.remaining() {
				r.sim.start(h)
			}
			lost.paused = true
			r.commit(t)
		}
	}
}

// Guards against replacements that take so long that two further lost disks leave no quorum, also if
// the leader changes during them (issue 20).
func TestReplacementEndsInTime(t *testing.T) {
	for _, sameName := range []bool{true, false} {
		for killAt := time.Duration(0); killAt < testCatchUp/2; killAt += 5 * time.Millisecond {
			r := newReplacement(t, sameName)
			for r.now < r.start+killAt {
				r.step()
			}
			if leader := r.find("leader"); leader != nil {
				r.sim.start(leader) // restarted at once, as a process that was killed
			}
			for r.now < r.start+testCatchUp {
				r.step()
			}
			leader := r.find("leader")
			if leader == nil {
				t.Fatalf("same name %v, leader killed after %s: no leader %s after the start of the new host", sameName, killAt, testCatchUp)
			}
			if q := leader.node.Status(r.clock(leader)).Quorum(); q.Margin < 2 {
				t.Fatalf("same name %v, leader killed after %s: %+v %s after the start of the new host", sameName, killAt, q, testCatchUp)
			}
			for _, h := range r.remaining()[:2] {
				h.paused = true
			}
			r.commit(t)
		}
	}
}

// stop stops a host, after a leadership transfer if it leads, as group.Runner does.
func (r *replacement) stop(h *host) {
	for h.node.Role() == Leader {
		if target := h.node.TransferTarget(); target != 0 {
			_ = h.node.TransferLeadership(r.clock(h), target)
		}
		r.step()
	}
	r.queue = append(r.queue, h.node.StopMessages()...)
	h.paused = true
}

// Guards against a host that was replaced by plan, its successor first, and counts as a voter for
// seconds after it has stopped: six voters without it bear one loss, not two (issue 20). The others lose
// power at the same moment.
func TestPlannedReplacementBearsTwoLossesOnceStopped(t *testing.T) {
	for _, leads := range []bool{false, true} {
		for wait := time.Duration(0); wait < testElection; wait += 7 * time.Millisecond {
			r := newReplacement(t, false)
			old := r.hosts[4]
			old.paused = false // the successor came while it was still there
			for r.now < r.start+testCatchUp+wait {
				r.step()
			}
			for leads && r.find("leader") != old {
				if leader := r.find("leader"); leader != nil {
					_ = leader.node.TransferLeadership(r.clock(leader), old.id)
				}
				r.step()
			}
			r.stop(old)
			for range int(testElection / stepTime) {
				r.step()
			}
			for _, h := range r.remaining()[:3] {
				r.sim.start(h)
			}
			for _, h := range r.remaining()[3:] {
				h.paused = true
			}
			r.commit(t)
		}
	}
}

// Guards against a leader that removes a voter that lives, since it has not heard it yet after its
// election, while a dead one stays (issue 20).
func TestNewLeaderRemovesNoLiveVoter(t *testing.T) {
	r := newReplacement(t, false)
	leader := r.find("leader")
	change := MemberChange{Kind: AddLearner, Member: Member{ID: r.added.id, Name: r.added.name}}
	for findMember(leader.node.Members(), r.added.id) < 0 || leader.node.ChangeInFlight() || !leader.node.CaughtUp(r.clock(leader), r.added.id) {
		_, _, _ = leader.node.ProposeMember(r.clock(leader), change)
		r.run(stepTime)
	}
	if _, _, err := leader.node.ProposeMember(r.clock(leader), MemberChange{Kind: Promote, Member: Member{ID: r.added.id, Name: r.added.name}}); err != nil {
		t.Fatal(err)
	}
	r.run(50 * time.Millisecond)
	// Six voters, one of them dead. The next leader does not reach the new one for a while.
	leader.paused = true
	for _, h := range r.hosts {
		r.setBlocked(h.name, r.added.name, true)
	}
	r.run(3 * testElection)
	leader.paused = false
	for i := 0; i < int(4*testElection/stepTime); i++ {
		if i == int(testElection/stepTime) {
			clear(r.blocked)
		}
		r.step()
	}
	r.run(testPolicy.RemoveAfter)
	for range 50 {
		r.step()
	}
	members := r.find("leader").node.Members()
	if findMember(members, r.added.id) < 0 || findMember(members, 5) >= 0 {
		t.Fatalf("members %+v: want the new host, and not the dead one", members)
	}
}

// Guards against a voter whose disk has stalled for good and that is never replaced, because it acknowledges heartbeats
// during its write.
func TestVoterWithStalledDiskIsReplaced(t *testing.T) {
	r := newReplacement(t, false)
	stalled := r.hosts[4]
	stalled.paused, stalled.writeTime = false, time.Hour
	for r.now < r.start+testCatchUp {
		r.step()
	}
	leader := r.find("leader")
	if q := leader.node.Status(r.clock(leader)).Quorum(); q.Voters != 5 || findMember(leader.node.Members(), stalled.id) >= 0 {
		t.Fatalf("members %+v: want the new host in place of %s", leader.node.Members(), stalled.name)
	}
}

// Guards against a group that seems to bear a loss, although the disk of a voter has stalled and the voter only
// acknowledges heartbeats.
func TestVoterWithStalledDiskIsNotLive(t *testing.T) {
	s := slowSim(t)
	leader := s.runWithProposals(10 * testElection)
	for _, h := range s.hosts {
		if h != leader {
			h.writeTime = time.Hour
			break
		}
	}
	s.runWithProposals(3 * testElection)
	if q := leader.node.Status(s.clock(leader)).Quorum(); q.Live != 2 || q.Margin != 0 {
		t.Fatalf("%+v, want 2 live voters and margin 0", q)
	}
}
