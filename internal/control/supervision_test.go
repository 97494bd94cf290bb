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
	lifeService = "orders"
	lifeRegion  = "norte"
	lifeSlots   = 12
	lifeReport  = 100 * time.Millisecond
)

var lifeSettings = ownership.Settings{Region: lifeRegion, Lease: 800 * time.Millisecond, MaxDeadline: 2 * time.Second}

// life is a region in virtual time: a leader, servers and two entry hosts. It
// advances by a leader's tick.
type life struct {
	t           *testing.T
	now         time.Duration
	index       uint64
	state       *ownership.State
	coordinator *ownership.Coordinator
	supervision *supervision
	hot         *hotKeys
	servers     []ownership.Server
	sessions    []uint64 // of servers
	silent      int      // server that answers no request, -1 for none
	homes       homes
	onTick      func()
	hostsUntil  time.Duration // end of the entry hosts' last lease
	onRenewal   func(r *wire.Renewal)
}

func newLife(t *testing.T, fencing bool) *life {
	l := &life{t: t, state: ownership.NewState(), supervision: newSupervision(lifeSettings), hot: newHotKeys(false), silent: -1, homes: homes{}}
	for range lifeSlots {
		l.homes[lifeService] = append(l.homes[lifeService], ownership.Home{Region: lifeRegion, Generation: 1})
	}
	for _, name := range []string{"a", "b", "c"} {
		l.servers = append(l.servers, ownership.Server{
			Name: name, Incarnation: name, Service: lifeService, Address: name, Region: lifeRegion, Domain: name,
			Keyed: true, Fencing: fencing, Slots: 6,
		})
	}
	l.sessions = make([]uint64, len(l.servers))
	l.coordinator = ownership.NewCoordinator(lifeSettings, newPlanner(""), 0, l.state)
	l.run(time.Second)
	return l
}

func (l *life) run(length time.Duration) {
	for end := l.now + length; l.now < end; {
		l.step()
	}
}

func (l *life) step() {
	l.now += tickInterval
	if l.now%lifeReport == 0 {
		for i := range l.servers {
			l.heartbeat(i)
		}
		l.renew("e1", "north")
		l.renew("e2", "south")
	}
	if l.onTick != nil {
		l.onTick()
	}
	for range maxTickRounds {
		l.supervision.judge(l.now, l.state, l.coordinator)
		l.hot.plan(l.now, l.state, l.homes, l.coordinator)
		commands := l.coordinator.Tick(l.now, l.state, l.homes)
		if len(commands) == 0 {
			return
		}
		l.commit(commands)
	}
}

func (l *life) commit(commands []ownership.Command) {
	l.index++
	for _, command := range commands {
		l.state.Apply(l.index, command)
	}
}

// heartbeat renews a server's session. The server gives back at once what it is
// asked for, and starts a new incarnation when its session has ended.
func (l *life) heartbeat(i int) {
	beat := ownership.Heartbeat{Server: l.servers[i], Session: l.sessions[i], Released: l.releasing(l.sessions[i])}
	answer, commands := l.coordinator.Heartbeat(l.now, l.state, beat)
	l.commit(commands)
	if answer.Session == 0 && len(commands) > 0 {
		answer, _ = l.coordinator.Heartbeat(l.now, l.state, beat)
	}
	if answer.Session == 0 {
		l.servers[i].Incarnation += "'"
	}
	l.sessions[i] = answer.Session
	l.supervision.judged.Heartbeat(l.now, answer.Session, 0)
}

func (l *life) releasing(session uint64) []ownership.SlotGrant {
	var grants []ownership.SlotGrant
	service := l.state.Service(lifeService)
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
func (l *life) renew(host, domain string) {
	version := l.state.Version() // applied, and no request runs under an older grant
	r := wire.Renewal{Group: lifeRegion, Name: host, Domain: domain, Version: version, Confirmed: version}
	for i, session := range l.sessions {
		evidence := wire.Evidence{Session: session, ProbesAnswered: 1}
		if l.state.HeldSlotCount(session) > 0 && i == l.silent {
			evidence.TimedOut = 5
		} else if l.state.HeldSlotCount(session) > 0 {
			evidence.Answered = 5
		}
		r.Evidence = append(r.Evidence, evidence)
	}
	if l.onRenewal != nil {
		l.onRenewal(&r)
	}
	l.supervision.observe(l.now, r)
	l.hot.observe(l.now, l.state, r)
	observeLoads(l.coordinator, l.now, r.Loads)
	answer := l.coordinator.RenewEntryHost(l.now, ownership.EntryHostRenewal{Host: r.Name, Version: r.Version, Confirmed: r.Confirmed})
	if answer.Lease > 0 {
		l.hostsUntil = l.now + answer.Lease
	}
}

// ownedElsewhere reports whether every slot has an owner, none of them the server.
func (l *life) ownedElsewhere(server string) bool {
	for _, slot := range l.state.Service(lifeService).Slots[:lifeSlots] {
		owner, ok := l.state.Server(slot.Owner)
		if slot.Status != ownership.Owned || !ok || owner.Name == server {
			return false
		}
	}
	return true
}

// TestSilentOwnerLosesItsSlots lets an owner heartbeat and answer probes but no
// request. Its slots are served elsewhere within the documented sum, and it gets
// none back while it stays so.
func TestSilentOwnerLosesItsSlots(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		t.Run(fmt.Sprint("fencing=", fencing), func(t *testing.T) {
			l := newLife(t, fencing)
			// The sum of docs/design/health.md, from the first request that times out.
			// The leader ticks after a verdict, and once for each of the steps of a loss.
			sum := health.DefaultSettings().MaxDetectionTime(lifeReport) + lease.WithDrift(lifeSettings.Lease) + 3*tickInterval
			if !fencing {
				sum += lifeSettings.RevocationGracePeriod()
			}
			l.silent = 0
			start := l.now
			for !l.ownedElsewhere("a") {
				l.step()
				if l.now-start > sum {
					t.Fatalf("the slots are not owned elsewhere after %v", sum)
				}
			}
			t.Logf("owned elsewhere after %v of %v", l.now-start, sum)
			if l.now-start < lifeSettings.Lease {
				t.Fatalf("owned elsewhere after %v, before the lease could end", l.now-start)
			}
			for range 40 {
				l.step()
				if !l.ownedElsewhere("a") {
					t.Fatal("the server got slots back at once")
				}
			}
			l.silent = -1
			l.run(time.Minute)
			if l.ownedElsewhere("a") {
				t.Fatal("the server got no slots after its probation")
			}
		})
	}
}

// TestWithholdingShortensNoWait lets a session end whose renewal was withheld. It
// has its whole lease. Entry hosts that cannot confirm, since their tables are
// stuck and a request of theirs still runs, have theirs, and the longest deadline.
func TestWithholdingShortensNoWait(t *testing.T) {
	for name, stuck := range map[string]bool{"hosts confirm": false, "hosts are stuck": true} {
		t.Run(name, func(t *testing.T) {
			l := newLife(t, false)
			session := l.sessions[0]
			l.silent = 0
			if version := l.state.Version(); stuck {
				l.onRenewal = func(r *wire.Renewal) { r.Version, r.Confirmed = version, version }
			}
			var renewedAt time.Duration
			for {
				remaining := l.coordinator.Remaining(l.now, session)
				if remaining > 0 {
					renewedAt = l.now + remaining - lease.WithDrift(lifeSettings.Lease)
				}
				if _, ok := l.state.Server(session); !ok {
					break
				}
				l.step()
			}
			if waited := l.now - renewedAt; waited < lease.WithDrift(lifeSettings.Lease) {
				t.Errorf("the session ended %v after its last renewal", waited)
			}
			if waited := l.now - l.hostsUntil; stuck && waited < lifeSettings.MaxDeadline {
				t.Errorf("the session ended %v after the hosts' last lease", waited)
			}
		})
	}
}
