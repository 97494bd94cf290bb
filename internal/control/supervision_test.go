package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/galenalug/galenalug/health"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/lease"
	"github.com/galenalug/galenalug/ownership"
)

const (
	simService        = "orders"
	simRegion         = "norte"
	simSlots          = 12
	simReportInterval = 100 * time.Millisecond
)

var simSettings = ownership.Settings{Region: simRegion, Lease: 800 * time.Millisecond, MaxDeadline: 2 * time.Second}

// life is a region in virtual time: a leader, servers and two entry hosts. It
// advances by a leader's tick.
type regionSim struct {
	t             *testing.T
	now           time.Duration
	index         uint64
	state         *ownership.State
	coordinator   *ownership.Coordinator
	monitor       *healthMonitor
	hotKeys       *hotKeys
	servers       []ownership.Server
	sessions      []uint64 // of servers
	unresponsive  int      // server that answers no request, -1 for none
	homes         homes
	onTick        func()
	entryLeaseEnd time.Duration // end of the entry hosts' last lease
	onRenewal     func(r *wire.Renewal)
}

func newRegionSim(t *testing.T, fencing bool) *regionSim {
	s := &regionSim{t: t, state: ownership.NewState(), monitor: newHealthMonitor(simSettings), hotKeys: newHotKeys(false), unresponsive: -1, homes: homes{}}
	for range simSlots {
		s.homes[simService] = append(s.homes[simService], ownership.Home{Region: simRegion, Generation: 1})
	}
	for _, name := range []string{"a", "b", "c"} {
		s.servers = append(s.servers, ownership.Server{
			Name: name, Incarnation: name, Service: simService, Address: name, Region: simRegion, Domain: name,
			Keyed: true, Fencing: fencing, Slots: 6,
		})
	}
	s.sessions = make([]uint64, len(s.servers))
	s.coordinator = ownership.NewCoordinator(simSettings, newPlanner(""), 0, s.state)
	s.run(time.Second)
	return s
}

func (s *regionSim) run(length time.Duration) {
	for end := s.now + length; s.now < end; {
		s.step()
	}
}

func (s *regionSim) step() {
	s.now += tickInterval
	if s.now%simReportInterval == 0 {
		for i := range s.servers {
			s.heartbeat(i)
		}
		s.renew("e1", "north")
		s.renew("e2", "south")
	}
	if s.onTick != nil {
		s.onTick()
	}
	for range maxTickRounds {
		s.monitor.evaluate(s.now, s.state, s.coordinator)
		s.hotKeys.plan(s.now, s.state, s.homes, s.coordinator)
		commands := s.coordinator.Tick(s.now, s.state, s.homes)
		if len(commands) == 0 {
			return
		}
		s.commit(commands)
	}
}

func (s *regionSim) commit(commands []ownership.Command) {
	s.index++
	for _, command := range commands {
		s.state.Apply(s.index, command)
	}
}

// heartbeat renews a server's session. The server gives back at once what it is
// asked for, and starts a new incarnation when its session has ended.
func (s *regionSim) heartbeat(i int) {
	heartbeat := ownership.Heartbeat{Server: s.servers[i], Session: s.sessions[i], Released: s.releasing(s.sessions[i])}
	response, commands := s.coordinator.Heartbeat(s.now, s.state, heartbeat)
	s.commit(commands)
	if response.Session == 0 && len(commands) > 0 {
		response, _ = s.coordinator.Heartbeat(s.now, s.state, heartbeat)
	}
	if response.Session == 0 {
		s.servers[i].Incarnation += "'"
	}
	s.sessions[i] = response.Session
	s.monitor.detector.Heartbeat(s.now, response.Session, 0)
}

func (s *regionSim) releasing(session uint64) []ownership.SlotGrant {
	var grants []ownership.SlotGrant
	service := s.state.Service(simService)
	if service == nil || session == 0 {
		return nil
	}
	for number, slot := range service.Slots {
		if slot.Owner == session && slot.Status == ownership.Releasing {
			grants = append(grants, ownership.SlotGrant{Slot: number, Token: slot.Token})
		}
	}
	return grants
}

// renew reports what an entry host saw: every server that owns slots was asked.
func (s *regionSim) renew(host, domain string) {
	version := s.state.Version() // applied, and no request runs under an older grant
	r := wire.Renewal{Group: simRegion, Name: host, Domain: domain, Version: version, Confirmed: version}
	for i, session := range s.sessions {
		evidence := wire.Evidence{Session: session, ProbesAnswered: 1}
		if s.state.HeldSlotCount(session) > 0 && i == s.unresponsive {
			evidence.TimedOut = 5
		} else if s.state.HeldSlotCount(session) > 0 {
			evidence.Answered = 5
		}
		r.Evidence = append(r.Evidence, evidence)
	}
	if s.onRenewal != nil {
		s.onRenewal(&r)
	}
	s.monitor.observe(s.now, r)
	s.hotKeys.observe(s.now, s.state, r)
	observeLoads(s.coordinator, s.now, r.Loads)
	response := s.coordinator.RenewEntryHost(s.now, ownership.EntryHostRenewal{Host: r.Name, Version: r.Version, Confirmed: r.Confirmed})
	if response.Lease > 0 {
		s.entryLeaseEnd = s.now + response.Lease
	}
}

// ownedElsewhere reports whether every slot has an owner, none of them the server.
func (s *regionSim) ownedElsewhere(server string) bool {
	for _, slot := range s.state.Service(simService).Slots[:simSlots] {
		owner, ok := s.state.Server(slot.Owner)
		if slot.Status != ownership.Owned || !ok || owner.Name == server {
			return false
		}
	}
	return true
}

// TestUnresponsiveOwnerLosesSlots lets an owner heartbeat and answer probes but no
// request. Its slots are served elsewhere within the documented sum, and it gets
// none back while it stays so.
func TestUnresponsiveOwnerLosesSlots(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		t.Run(fmt.Sprint("fencing=", fencing), func(t *testing.T) {
			s := newRegionSim(t, fencing)
			// The sum of docs/design/health.md, from the first request that times out.
			// The leader ticks after a verdict, and once for each of the steps of a loss.
			sum := health.DefaultSettings().MaxDetectionTime(simReportInterval) + lease.WithDrift(simSettings.Lease) + 3*tickInterval
			if !fencing {
				sum += simSettings.RevocationGracePeriod()
			}
			s.unresponsive = 0
			start := s.now
			for !s.ownedElsewhere("a") {
				s.step()
				if s.now-start > sum {
					t.Fatalf("the slots are not owned elsewhere after %v", sum)
				}
			}
			t.Logf("owned elsewhere after %v of %v", s.now-start, sum)
			if s.now-start < simSettings.Lease {
				t.Fatalf("owned elsewhere after %v, before the lease could end", s.now-start)
			}
			for range 40 {
				s.step()
				if !s.ownedElsewhere("a") {
					t.Fatal("the server got slots back at once")
				}
			}
			s.unresponsive = -1
			s.run(time.Minute)
			if s.ownedElsewhere("a") {
				t.Fatal("the server got no slots after its probation")
			}
		})
	}
}

// TestStoppedRenewalKeepsFullLease lets a session end whose renewal was withheld. It
// has its whole lease. Entry hosts that cannot confirm, since their tables are
// stuck and a request of theirs still runs, have theirs, and the longest deadline.
func TestStoppedRenewalKeepsFullLease(t *testing.T) {
	for name, stuck := range map[string]bool{"hosts confirm": false, "hosts are stuck": true} {
		t.Run(name, func(t *testing.T) {
			s := newRegionSim(t, false)
			session := s.sessions[0]
			s.unresponsive = 0
			if version := s.state.Version(); stuck {
				s.onRenewal = func(r *wire.Renewal) { r.Version, r.Confirmed = version, version }
			}
			var renewedAt time.Duration
			for {
				remaining := s.coordinator.Remaining(s.now, session)
				if remaining > 0 {
					renewedAt = s.now + remaining - lease.WithDrift(simSettings.Lease)
				}
				if _, ok := s.state.Server(session); !ok {
					break
				}
				s.step()
			}
			if waited := s.now - renewedAt; waited < lease.WithDrift(simSettings.Lease) {
				t.Errorf("the session ended %v after its last renewal", waited)
			}
			if waited := s.now - s.entryLeaseEnd; stuck && waited < simSettings.MaxDeadline {
				t.Errorf("the session ended %v after the hosts' last lease", waited)
			}
		})
	}
}
