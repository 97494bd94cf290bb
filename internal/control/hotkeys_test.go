package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/ownership"
	"github.com/galenalug/galenalug/placement"
)

const (
	hotKey      = "hot"
	hotRequests = 40 // of 100 that each host sends in a report interval
)

// slotOf returns the slot of the hot key.
func (l *life) slotOf() int { return l.state.Service(lifeService).SlotOf(hotKey) }

// setHome changes the home of the hot key's ordinary slot. A list of homes that was
// handed out does not change.
func (l *life) setHome(home ownership.Home) {
	list := slices.Clone(l.homes[lifeService])
	list[placement.SlotOf(lifeService, hotKey, lifeSlots)] = home
	l.homes = homes{lifeService: list}
}

// load lets a renewal carry 100 requests; the hot key's share is given. The keys
// are reported each 500 ms, as entry hosts do.
func (l *life) load(r *wire.Renewal, hot int) {
	const others = 60
	loads := wire.ServiceLoads{Service: lifeService, Total: others + hot}
	for i := range others {
		loads.Slots = append(loads.Slots, placement.SlotOf(lifeService, fmt.Sprint("key-", i), lifeSlots))
		loads.Requests = append(loads.Requests, 1)
	}
	loads.Slots = append(loads.Slots, l.slotOf())
	loads.Requests = append(loads.Requests, hot)
	r.Loads = append(r.Loads, loads)
	if hot == 0 {
		return
	}
	if l.now%(500*time.Millisecond) == 0 {
		r.KeyLoads = append(r.KeyLoads, wire.KeyLoad{Service: lifeService, Key: hotKey, Requests: 5 * hot})
	}
}

// TestHotKeyIsIsolatedAndReturned follows a key that takes 40% of the load and
// then cools. No slot is without an owner for longer than one handover takes.
func TestHotKeyIsIsolatedAndReturned(t *testing.T) {
	l := newLife(t, true)
	hot := hotRequests
	l.onRenewal = func(r *wire.Renewal) { l.load(r, hot) }
	// The owner gives a slot back with a heartbeat; the leader moves it on in the
	// ticks after it.
	const handover = lifeReport + 2*tickInterval
	without := map[int]time.Duration{}
	longest := time.Duration(0)
	l.onTick = func() {
		for number, slot := range l.state.Service(lifeService).Slots {
			if slot.Status == ownership.Owned || slot.Status == ownership.Absent {
				without[number] = 0
				continue
			}
			without[number] += tickInterval
			longest = max(longest, without[number])
		}
	}
	isolation := placement.DefaultIsolationSettings()
	l.run(isolation.IsolateAfter + 3*time.Second)
	own := l.slotOf()
	if own < lifeSlots || l.state.Service(lifeService).Slots[own].Status != ownership.Owned {
		t.Fatalf("the hot key stands in slot %d: %+v", own, l.state.Service(lifeService).Slots[own])
	}
	if len(l.state.Service(lifeService).HotKeys) != 1 {
		t.Fatalf("isolated: %v", l.state.Service(lifeService).HotKeys)
	}
	hot = 0
	l.run(isolation.ReturnAfter - 10*time.Second)
	if l.slotOf() < lifeSlots {
		t.Fatal("the key returned before it was cool for long")
	}
	l.run(40 * time.Second)
	if l.slotOf() >= lifeSlots || l.state.Service(lifeService).Slots[own].Status != ownership.Absent {
		t.Fatalf("the cool key still stands in slot %d", l.slotOf())
	}
	if longest > handover {
		t.Fatalf("a slot had no owner for %v; a handover takes %v", longest, handover)
	}
	t.Logf("longest time of a slot without owner: %v", longest)
}

// TestHotKeyStaysPut checks what is not isolated: keys of owners that do not check
// tokens unless balance is favoured, keys whose slot moves to another region, and
// keys of slots whose home is elsewhere.
func TestHotKeyStaysPut(t *testing.T) {
	tests := map[string]struct {
		fencing, balance bool
		home             ownership.Home // of the key's slot; zero: as it is
		isolated         int
	}{
		"fenced":              {fencing: true, isolated: 1},
		"unfenced":            {},
		"unfenced by balance": {balance: true, isolated: 1},
		"moving":              {fencing: true, home: ownership.Home{Region: lifeRegion, To: "sur", Generation: 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLife(t, test.fencing)
			l.hot = newHotKeys(test.balance)
			if test.home.Region != "" {
				l.setHome(test.home)
			}
			l.onRenewal = func(r *wire.Renewal) { l.load(r, hotRequests) }
			l.run(12 * time.Second)
			if got := len(l.state.Service(lifeService).HotKeys); got != test.isolated {
				t.Fatalf("%d keys isolated, want %d", got, test.isolated)
			}
		})
	}
}

// TestNewLeaderKeepsIsolatedKeys checks that a new leader returns a key that an
// earlier one isolated only after it was cool for long.
func TestNewLeaderKeepsIsolatedKeys(t *testing.T) {
	l := newLife(t, true)
	hot := hotRequests
	l.onRenewal = func(r *wire.Renewal) { l.load(r, hot) }
	l.run(10 * time.Second)
	l.hot = newHotKeys(false)
	l.coordinator = ownership.NewCoordinator(lifeSettings, newPlanner(""), l.now, l.state)
	l.supervision = newSupervision(lifeSettings)
	hot = 0
	l.run(time.Minute)
	if l.slotOf() < lifeSlots {
		t.Fatal("the new leader returned the key at once")
	}
}

// TestMovedKeyIsIsolatedAgain lets the hot key's slot move to another region, which
// ends the isolation, and come back.
func TestMovedKeyIsIsolatedAgain(t *testing.T) {
	l := newLife(t, true)
	l.onRenewal = func(r *wire.Renewal) { l.load(r, hotRequests) }
	l.run(10 * time.Second)
	for _, step := range []struct {
		home     ownership.Home
		isolated int
	}{
		{ownership.Home{Region: lifeRegion, To: "sur", Generation: 1}, 0},
		{ownership.Home{Region: lifeRegion, Generation: 2}, 1},
	} {
		l.setHome(step.home)
		l.run(10 * time.Second)
		if got := len(l.state.Service(lifeService).HotKeys); got != step.isolated {
			t.Fatalf("%d keys isolated with home %+v, want %d", got, step.home, step.isolated)
		}
	}
}
