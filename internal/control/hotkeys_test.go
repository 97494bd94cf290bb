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
	hotRequests = 40 // of 100 requests that each entry host sends per report interval
)

// hotKeySlot returns the current slot of the hot key.
func (s *regionSim) hotKeySlot() int { return s.state.Service(simService).SlotOf(hotKey) }

// setHome changes the home of the hot key's base slot. It copies the list of homes, because
// lists passed to the coordinator must not change.
func (s *regionSim) setHome(home ownership.Home) {
	list := slices.Clone(s.homes[simService])
	list[placement.SlotOf(simService, hotKey, simSlots)] = home
	s.homes = homes{simService: list}
}

// addLoad adds the loads of 60 ordinary requests and of hot requests of the hot key to a renewal.
// Key loads are reported every 500 ms, as by entry hosts.
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

// TestHotKeyIsIsolatedAndReturned simulates a key that takes 40% of the load and then none. The key
// must be isolated and later returned, with no slot unowned for longer than one handover takes.
func TestHotKeyIsIsolatedAndReturned(t *testing.T) {
	s := newRegionSim(t, true)
	hot := hotRequests
	s.onRenewal = func(r *wire.Renewal) { s.addLoad(r, hot) }
	// The owner releases a slot with a heartbeat, and the leader reassigns it in the next ticks.
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
		t.Fatalf("the hot key is in slot %d, want an owned dedicated slot: %+v", own, s.state.Service(simService).Slots[own])
	}
	if len(s.state.Service(simService).HotKeys) != 1 {
		t.Fatalf("isolated keys are %v, want one", s.state.Service(simService).HotKeys)
	}
	hot = 0
	s.run(isolation.ReturnAfter - 10*time.Second)
	if s.hotKeySlot() < simSlots {
		t.Fatal("the key was returned before ReturnAfter")
	}
	s.run(40 * time.Second)
	if s.hotKeySlot() >= simSlots || s.state.Service(simService).Slots[own].Status != ownership.Absent {
		t.Fatalf("the cold key is still in slot %d, or its dedicated slot is not absent", s.hotKeySlot())
	}
	if longest > handover {
		t.Fatalf("a slot had no owner for %v; a handover takes %v", longest, handover)
	}
	t.Logf("longest time that a slot had no owner: %v", longest)
}

// TestIneligibleKeysAreNotIsolated checks which keys are not isolated: keys of owners that do not
// check tokens, unless placement prefers balance, and keys whose slot moves to another region.
func TestIneligibleKeysAreNotIsolated(t *testing.T) {
	tests := map[string]struct {
		fencing, balance bool
		home             ownership.Home // of the key's slot; zero for no change
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

// TestNewLeaderKeepsIsolatedKeys checks that a new leader does not return a key that an earlier
// leader isolated before its load has been low for ReturnAfter.
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
		t.Fatal("the new leader returned the key within a minute")
	}
}

// TestMovedKeyIsIsolatedAgain moves the hot key's slot to another region, which ends the isolation,
// and back. The key must then be isolated again.
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
