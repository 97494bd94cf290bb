package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/galenalug/galenalug/catalog"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/ownership"
)

const (
	benchRegion  = "mien-trung"
	benchService = "wheel-swap"
)

// benchTable returns a table whose slots are assigned to the servers in turn, and the region's
// ownership state.
func benchTable(b *testing.B, servers, slots int) (*Table, *ownership.State) {
	b.Helper()
	t := newTable([]string{benchRegion}, func() time.Duration { return 0 })
	services := catalog.NewState()
	services.Apply(1, catalog.Command{AddService: &catalog.AddService{Name: benchService, Keyed: true, Slots: slots}})
	homes := catalog.MoveHomes{Service: benchService}
	adopt := ownership.HomeSlots{Service: benchService, Slots: slots}
	assign := ownership.SlotGrants{Service: benchService}
	for slot := range slots {
		homes.Moves = append(homes.Moves, catalog.HomeMove{Slot: slot, To: benchRegion})
		adopt.Moved = append(adopt.Moved, slot)
		adopt.Generations = append(adopt.Generations, 1)
		assign.Grants = append(assign.Grants, ownership.SlotGrant{Slot: slot, Session: uint64(1 + slot%servers)})
	}
	services.Apply(2, catalog.Command{MoveHomes: &homes})
	body, err := services.Encode()
	if err != nil {
		b.Fatal(err)
	}
	t.update(wire.TableUpdate{Group: wire.GroupGlobal, Version: 2, Body: body})
	state := ownership.NewState()
	for i := range servers {
		server := ownership.Server{
			Name: benchName(i), Incarnation: "1", Service: benchService, Address: "10.0.0.1:8080",
			Region: benchRegion, Domain: "mien-trung-1", Keyed: true, Fencing: true, Slots: 6, Connections: 110,
		}
		state.Apply(uint64(1+i), ownership.Command{Register: &server})
	}
	state.Apply(uint64(servers+1), ownership.Command{Adopt: &adopt})
	state.Apply(uint64(servers+2), ownership.Command{Assign: &assign})
	t.update(benchUpdate(b, 0, state.Version(), state.Changes()))
	return t, state
}

func benchUpdate(b *testing.B, from, to uint64, changes []ownership.Change) wire.TableUpdate {
	body, err := ownership.EncodeChanges(changes)
	if err != nil {
		b.Fatal(err)
	}
	return wire.TableUpdate{Group: benchRegion, From: from, Version: to, Body: body}
}

func forSizes(b *testing.B, run func(b *testing.B, servers, slots int)) {
	for _, slots := range []int{4096, 16384} {
		for _, servers := range []int{27, 110, 440} {
			b.Run(fmt.Sprintf("servers=%d/slots=%d", servers, slots), func(b *testing.B) { run(b, servers, slots) })
		}
	}
}

// BenchmarkUpdate measures a table update that moves one slot.
func BenchmarkUpdate(b *testing.B) {
	forSizes(b, func(b *testing.B, servers, slots int) {
		t, state := benchTable(b, servers, slots)
		update := benchUpdate(b, state.Version(), state.Version()+1, []ownership.Change{moveSlot(slots, 1)})
		for b.Loop() {
			if !t.update(update) {
				b.Fatal("table update rejected")
			}
			update.From++
			update.Version++
		}
	})
}

// BenchmarkPollRound measures the cost of one table change that moves one slot, at an entry host that
// holds a long poll for grants of every server.
func BenchmarkPollRound(b *testing.B) {
	forSizes(b, func(b *testing.B, servers, slots int) {
		t, state := benchTable(b, servers, slots)
		to := state.Version()
		for b.Loop() {
			b.StopTimer()
			change := moveSlot(slots, 1+to%2)
			t.update(benchUpdate(b, to, to+1, []ownership.Change{change}))
			held := to
			to++
			b.StartTimer()
			for i := range servers {
				name, session := benchName(i), uint64(1+i)
				if group, _ := t.groupOf(name, session); t.grantsVersion(group, session) > held {
					t.grants(group, name, session)
				}
			}
		}
	})
}

func benchName(i int) string { return fmt.Sprintf("wheel-swap-%03d", i) }

func moveSlot(slots int, owner uint64) ownership.Change {
	slot := ownership.SlotChange{Status: ownership.Owned, Owner: owner, Token: 1 << 40, Generation: 1}
	return ownership.Change{Slots: &ownership.SlotChanges{Service: benchService, BaseSlots: slots, Slots: []ownership.SlotChange{slot}}}
}

// BenchmarkRoute measures the look-up of a key's owner and the check before a request's first byte.
func BenchmarkRoute(b *testing.B) {
	forSizes(b, func(b *testing.B, servers, slots int) {
		t, _ := benchTable(b, servers, slots)
		for b.Loop() {
			route, err := t.Route(benchService, "pram-7")
			if err != nil || !route.Writable() {
				b.Fatal("no route")
			}
		}
	})
}
