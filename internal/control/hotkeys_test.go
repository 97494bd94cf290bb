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
func (s *regionSim) hotKeySlot() int { return s.state.Service(simService).SlotOf(hotKey) }

// setHome changes the home of the hot key's ordinary slot. A list of homes that was
// handed out does not change.
func (s *regionSim) setHome(home ownership.Home) {
	list := slices.Clone(s.homes[simService])
	list[placement.SlotOf(simService, hotKey, simSlots)] = home
	s.homes = homes{simService: list}
}

// load lets a renewal carry 100 requests; the hot key's share is given. The keys
// are reported each 500 ms, as entry hosts do.
func (s *regionSim) addLoad(r *wire.Renewal, hot int) {
	const others = 60
	loads := wire.ServiceLoads{Service: simService, Total: others + hot}
	for i := range others {
		loads.Slots = append(loads.Slots, placement.SlotOf(simService, fmt.Sprint("key-", i), simSlots))
		loads.Requests = append(loads.Requests, 1)
	}
	loads.Slots = append(loads.Slots, s.hotKeySlot())
	loads.Requests = append(loads.Requests, hot)
	r.Loads = append(r.Loads, loads)
	if hot == 0 {
		return
	}
	if s.now%(500*time.Millisecond) == 0 {
		r.KeyLoads = append(r.KeyLoads, wire.KeyLoad{Service: simService, Key: hotKey, Requests: 5 * hot})
	}
}

// TestHotKeyIsIsolatedAndReturned follows a key that takes 40% of the load and
// then cools. No slot is without an owner for longer than one handover takes.
func TestHotKeyIsIsolatedAndReturned(t *testing.T) {
	s := newRegionSim(t, true)
	hot := hotRequests
	s.onRenewal = func(r *wire.Renewal) { s.addLoad(r, hot) }
	// The owner gives a slot back with a heartbeat; the leader moves it on in the
	// ticks after it.
	const handover = simReportInterval + 2*tickInterval
	unownedFor := map[int]time.Duration{}
	longest := time.Duration(0)
	s.onTick = func() {
		for number, slot := range s.state.Service(simService).Slots {
			if slot.Status == ownership.Owned || slot.Status == ownership.Absent {
				unownedFor[number] = 0
				continue
			}
			unownedFor[number] += tickInterval
			longest = max(longest, unownedFor[number])
		}
	}
	isolation := placement.DefaultIsolationSettings()
	s.run(isolation.IsolateAfter + 3*time.Second)
	own := s.hotKeySlot()
	if own < simSlots || s.state.Service(simService).Slots[own].Status != ownership.Owned {
		t.Fatalf("the hot key stands in slot %d: %+v", own, s.state.Service(simService).Slots[own])
	}
	if len(s.state.Service(simService).HotKeys) != 1 {
		t.Fatalf("isolated: %v", s.state.Service(simService).HotKeys)
	}
	hot = 0
	s.run(isolation.ReturnAfter - 10*time.Second)
	if s.hotKeySlot() < simSlots {
		t.Fatal("the key returned before it was cool for long")
	}
	s.run(40 * time.Second)
	if s.hotKeySlot() >= simSlots || s.state.Service(simService).Slots[own].Status != ownership.Absent {
		t.Fatalf("the cool key still stands in slot %d", s.hotKeySlot())
	}
	if longest > handover {
		t.Fatalf("a slot had no owner for %v; a handover takes %v", longest, handover)
	}
	t.Logf("longest time of a slot without owner: %v", longest)
}

// TestIneligibleKeysAreNotIsolated checks what is not isolated: keys of owners that do not check
// tokens unless balance is favoured, keys whose slot moves to another region, and
// keys of slots whose home is elsewhere.
func TestIneligibleKeysAreNotIsolated(t *testing.T) {
	tests := map[string]struct {
		fencing, balance bool
		home             ownership.Home // of the key's slot; zero: as it is
		isolated         int
	}{
		"fenced":              {fencing: true, isolated: 1},
		"unfenced":            {},
		"unfenced by balance": {balance: true, isolated: 1},
		"moving":              {fencing: true, home: ownership.Home{Region: simRegion, To: "sur", Generation: 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newRegionSim(t, test.fencing)
			s.hotKeys = newHotKeys(test.balance)
			if test.home.Region != "" {
				s.setHome(test.home)
			}
			s.onRenewal = func(r *wire.Renewal) { s.addLoad(r, hotRequests) }
			s.run(12 * time.Second)
			if got := len(s.state.Service(simService).HotKeys); got != test.isolated {
				t.Fatalf("%d keys isolated, want %d", got, test.isolated)
			}
		})
	}
}

// TestNewLeaderKeepsIsolatedKeys checks that a new leader returns a key that an
// earlier one isolated only after it was cool for long.
func TestNewLeaderKeepsIsolatedKeys(t *testing.T) {
	s := newRegionSim(t, true)
	hot := hotRequests
	s.onRenewal = func(r *wire.Renewal) { s.addLoad(r, hot) }
	s.run(10 * time.Second)
	s.hotKeys = newHotKeys(false)
	s.coordinator = ownership.NewCoordinator(simSettings, newPlanner(""), s.now, s.state)
	s.monitor = newHealthMonitor(simSettings)
	hot = 0
	s.run(time.Minute)
	if s.hotKeySlot() < simSlots {
		t.Fatal("the new leader returned the key at once")
	}
}

// TestMovedKeyIsIsolatedAgain lets the hot key's slot move to another region, which
// ends the isolation, and come back.
func TestMovedKeyIsIsolatedAgain(t *testing.T) {
	s := newRegionSim(t, true)
	s.onRenewal = func(r *wire.Renewal) { s.addLoad(r, hotRequests) }
	s.run(10 * time.Second)
	for _, step := range []struct {
		home     ownership.Home
		isolated int
	}{
		{ownership.Home{Region: simRegion, To: "sur", Generation: 1}, 0},
		{ownership.Home{Region: simRegion, Generation: 2}, 1},
	} {
		s.setHome(step.home)
		s.run(10 * time.Second)
		if got := len(s.state.Service(simService).HotKeys); got != step.isolated {
			t.Fatalf("%d keys isolated with home %+v, want %d", got, step.home, step.isolated)
		}
	}
}
