package replog

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// schedule draws random events for the hosts of a sim.
type schedule struct {
	*sim
	t       *rapid.T
	context uint64
	nextID  uint64
	lost    *host // the one host whose new disk is not yet a voter
	swap    bool  // whether a new disk is swapped in; otherwise the old one is removed first
}

// TestRandomSchedules checks the invariants (see sim.check, apply and processReady)
// in random schedules with clocks that drift up to MaxDrift, and that the group
// recovers once all faults have ended.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := []Member{{ID: 1, Name: "a"}, {ID: 2, Name: "b"}, {ID: 3, Name: "c"}}
		rate := rapid.SampledFrom([]float64{1 - DefaultMaxDrift, 1, 1 + DefaultMaxDrift})
		s := &schedule{t: t, nextID: 10}
		s.sim = newSim(t.Fatalf, members, rate.Draw(t, "rate a"), rate.Draw(t, "rate b"), rate.Draw(t, "rate c"))
		s.swap = rapid.Bool().Draw(t, "swap")
		s.run(300 * time.Millisecond)
		t.Repeat(map[string]func(*rapid.T){
			"run": s.drawRun, "deliver": s.drawDeliver, "repeat": s.drawDuplicate, "drop": s.drawDrop,
			"pass": s.drawAdvance, "cut": s.drawPartition, "cut one way": s.drawOneWayPartition, "heal": s.drawHeal,
			"tick": s.drawTick, "surge": s.drawDeliverAll, "pause": s.drawPause, "restart": s.drawRestart,
			"propose": s.drawPropose, "read": s.drawRead, "transfer": s.drawTransfer,
			"compact": s.drawCompact, "lose disk": s.drawLoseDisk, "admit": s.drawAdmit, "slow disk": s.drawWriteTime,
		})
		s.checkRecovery()
	})
}

func (s *schedule) host(t *rapid.T) *host {
	return rapid.SampledFrom(s.hosts).Draw(t, "host")
}

func (s *schedule) drawRun(t *rapid.T) {
	s.run(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
}

func (s *schedule) drawAdvance(t *rapid.T) {
	s.advance(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond)
}

// drawMessage returns the position of a random message in the queue.
func (s *schedule) drawMessage(t *rapid.T) int {
	if len(s.queue) == 0 {
		t.Skip("no message")
	}
	return rapid.IntRange(0, len(s.queue)-1).Draw(t, "message")
}

func (s *schedule) drawDeliver(t *rapid.T)   { s.deliver(s.drawMessage(t), false) }
func (s *schedule) drawDuplicate(t *rapid.T) { s.deliver(s.drawMessage(t), true) }
func (s *schedule) drawDrop(t *rapid.T) {
	i := s.drawMessage(t)
	s.queue = append(s.queue[:i], s.queue[i+1:]...)
}

func (s *schedule) drawPartition(t *rapid.T) {
	s.setBlocked(s.host(t).name, s.host(t).name, true)
	s.drawRun(t)
}

// drawOneWayPartition drops the messages from one host to another, in one direction only.
func (s *schedule) drawOneWayPartition(t *rapid.T) {
	s.blocked[[2]string{s.host(t).name, s.host(t).name}] = true
	s.drawRun(t)
}

func (s *schedule) drawHeal(*rapid.T) { clear(s.blocked) }

// drawTick advances the time but ticks only one host.
func (s *schedule) drawTick(t *rapid.T) {
	h := s.host(t)
	s.now += time.Duration(rapid.IntRange(1, 110).Draw(t, "ms")) * time.Millisecond
	h.node.Tick(s.clock(h))
	s.processReady(h)
}

// drawDeliverAll delivers all queued messages, newest or oldest first.
func (s *schedule) drawDeliverAll(t *rapid.T) {
	newest := rapid.Bool().Draw(t, "newest first")
	for range len(s.queue) {
		i := 0
		if newest {
			i = len(s.queue) - 1
		}
		s.deliver(i, false)
	}
}

func (s *schedule) drawPause(t *rapid.T) { s.host(t).paused = rapid.Bool().Draw(t, "pause") }

// drawWriteTime makes the writes of a host slow, or fast again.
func (s *schedule) drawWriteTime(t *rapid.T) {
	s.host(t).writeTime = time.Duration(rapid.SampledFrom([]int{0, 5, 50, 150, 400}).Draw(t, "ms")) * time.Millisecond
}

// drawRestart restarts a host from its disk and may drop the newest queued message. The write in progress is lost, or has
// reached the disk.
func (s *schedule) drawRestart(t *rapid.T) {
	h := s.host(t)
	if h.writing != nil && rapid.Bool().Draw(t, "written") {
		h.write(*h.writing)
	}
	s.start(h)
	if len(s.queue) > 0 && rapid.Bool().Draw(t, "lose") {
		s.queue = s.queue[:len(s.queue)-1]
	}
}

// drawPropose may leave the proposals unprocessed, as in a crash right after Propose.
func (s *schedule) drawPropose(t *rapid.T) {
	h := s.host(t)
	for i := range rapid.IntRange(1, 20).Draw(t, "count") {
		_ = s.propose(h, fmt.Sprint(s.now, i))
	}
	if rapid.Bool().Draw(t, "work") {
		s.processReady(h)
	}
}

func (s *schedule) drawRead(t *rapid.T) {
	h := s.host(t)
	s.context++
	_ = s.read(h, s.context)
	s.processReady(h)
}

func (s *schedule) drawTransfer(t *rapid.T) {
	h := s.host(t)
	_ = h.node.TransferLeadership(s.clock(h), s.host(t).id)
	s.processReady(h)
}

func (s *schedule) drawCompact(t *rapid.T) {
	h := s.host(t)
	s.processReady(h)
	_ = s.compact(h, rapid.IntRange(0, 10).Draw(t, "keep"))
}

// drawLoseDisk loses a disk only while all members are caught up, so that committed
// entries still have a copy.
func (s *schedule) drawLoseDisk(t *rapid.T) {
	leader := s.find("leader")
	if s.lost != nil || leader == nil {
		t.Skip("a disk is already lost, or there is no leader")
	}
	h := s.host(t)
	for _, o := range s.hosts {
		if o != leader && !leader.node.CaughtUp(s.clock(leader), o.id) {
			t.Skip("not all members are caught up")
		}
	}
	s.nextID++
	s.lost = h
	s.loseDisk(h, s.nextID)
}

// drawAdmit takes the next step in replacing a lost disk, as group.Runner does.
func (s *schedule) drawAdmit(*rapid.T) { s.admit() }

func (s *schedule) admit() {
	leader := s.find("leader")
	if leader == nil || s.lost == nil {
		return
	}
	new := Member{ID: s.lost.id, Name: s.lost.name}
	change := MemberChange{Kind: AddLearner, Member: new}
	members := leader.node.Members()
	if i := findMember(members, new.ID); i >= 0 {
		change.Kind = Promote
		if !members[i].Learner && !leader.node.ChangeInFlight() {
			s.lost = nil
			return
		}
	}
	for _, m := range members {
		if m.Name == new.Name && m.ID != new.ID && change.Kind == Promote && leader.node.CaughtUp(s.clock(leader), new.ID) {
			change = MemberChange{Kind: Remove, Member: m}
			if s.swap {
				change = MemberChange{Kind: Swap, Member: new, Replaced: m.ID}
			}
		}
	}
	_, _, _ = leader.node.ProposeMember(s.clock(leader), change)
	s.processReady(leader)
}

// checkRecovery ends all faults and checks that the group elects a leader, admits a new
// disk, commits a proposal and applies it on every host.
func (s *schedule) checkRecovery() {
	clear(s.blocked)
	for _, h := range s.hosts {
		h.paused, h.writeTime = false, 0
	}
	for range 100 {
		s.run(50 * time.Millisecond)
		s.admit()
	}
	leader := s.find("leader")
	if leader == nil || s.lost != nil {
		s.t.Fatalf("no recovery: leader %v, host without admitted disk %v", leader, s.lost)
	}
	before := s.highest
	if err := s.propose(leader, "last"); err != nil {
		s.t.Fatal(err)
	}
	s.run(200 * time.Millisecond)
	for _, h := range s.hosts {
		if h.applied <= before || h.applied != leader.applied {
			s.t.Fatalf("%s applied up to %d, the leader up to %d", h.name, h.applied, leader.applied)
		}
	}
}
