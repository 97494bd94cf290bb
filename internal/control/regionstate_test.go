package control

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/ledger"
	"github.com/galenalug/galenalug/ownership"
)

// TestStaleTermChangesNothing applies the end of a session that a paused leader decided in an
// earlier term. A later leader may have renewed the session since, so the session must not end.
func TestStaleTermChangesNothing(t *testing.T) {
	g := newGroupStates(t, "norte")
	g.apply("norte", regionEntry{StartsTerm: true, Term: 4})
	register := ownership.Command{Register: &ownership.Server{Name: "a", Incarnation: "1", Service: "orders"}}
	g.apply("norte", regionEntry{Term: 4, Ownership: []ownership.Command{register}})
	session := g.index
	end := regionEntry{Term: 4, Ownership: []ownership.Command{{EndSessions: &ownership.Sessions{IDs: []uint64{session}}}}}
	g.apply("norte", regionEntry{StartsTerm: true, Term: 6})
	if result, _ := g.apply("norte", end).(error); !errors.Is(result, errStaleTerm) {
		t.Errorf("result %v, want errStaleTerm", result)
	}
	g.apply("norte", regionEntry{StartsTerm: true, Term: 5})
	restored := restoreState(t, g.states["norte"])
	for name, state := range map[string]*regionState{"the state": g.states["norte"], "its snapshot": restored} {
		if _, ok := state.ownership.Server(session); !ok {
			t.Errorf("%s lost the session", name)
		}
		if state.term != 6 {
			t.Errorf("%s has term %d, want 6", name, state.term)
		}
	}
	end.Term = 6
	g.apply("norte", end)
	if _, ok := g.states["norte"].ownership.Server(session); ok {
		t.Error("the command of the current leader did not end the session")
	}
}

func restoreState(t *testing.T, from *regionState) *regionState {
	t.Helper()
	data, err := from.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	to := newRegionState("norte")
	if err := to.Restore(0, data); err != nil {
		t.Fatal(err)
	}
	return to
}

// FuzzRegionEntry applies arbitrary entries of a region's log.
func FuzzRegionEntry(f *testing.F) {
	begin, err := ledger.Command{Begin: &ledger.Begin{Service: "orders", Key: "k", Nonce: make([]byte, 8)}}.Encode()
	if err != nil {
		f.Fatal(err)
	}
	adopt := ownership.HomeSlots{Service: "orders", Slots: 4, Moved: []int{1}, Generations: []uint64{1}}
	for _, entry := range []regionEntry{
		{StartsTerm: true, Term: 3},
		{Ownership: []ownership.Command{{Adopt: &adopt}, {Retire: &adopt}}},
		{Ledger: [][]byte{begin}},
	} {
		data, err := cbor.Marshal(entry)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		newRegionState("norte").Apply(1, data)
	})
}

// FuzzGlobalEntry applies arbitrary entries of the global log.
func FuzzGlobalEntry(f *testing.F) {
	f.Add([]byte{0xa0})
	f.Fuzz(func(_ *testing.T, data []byte) {
		newGlobalState("global").Apply(1, data)
	})
}

// TestEntryHostCallPermissions checks that entry hosts may only make calls for sessions and runs.
func TestEntryHostCallPermissions(t *testing.T) {
	for kind, want := range map[int]bool{
		wire.KindAnnounce: true, wire.KindRenew: true, wire.KindRunBegin: true, wire.KindRunFinish: true,
		wire.KindPropose: false, wire.KindJoin: false, wire.KindReport: false,
	} {
		if got := mayCall(peer.RoleEntry, kind); got != want {
			t.Errorf("entry host, call kind %d: got allowed=%v, want %v", kind, got, want)
		}
		if !mayCall(peer.RoleControl, kind) {
			t.Errorf("control host, call kind %d: refused, want allowed", kind)
		}
	}
}
