package ownership

import (
	"testing"

	"github.com/pkg/errors"
)

// FuzzView applies arbitrary updates to a view. They must fail only with the documented errors, and
// must not decrease the version.
func FuzzView(f *testing.F) {
	state := NewState()
	state.Apply(1, Command{Register: &Server{Name: "a", Incarnation: "1", Service: "orders", Keyed: true}})
	state.Apply(2, Command{Adopt: &HomeSlots{Service: "orders", Slots: 8, Moved: []int{0, 3}, Generations: []uint64{1, 1}}})
	state.Apply(3, Command{Assign: &SlotGrants{Service: "orders", Grants: []SlotGrant{{Slot: 3, Session: 1}}}})
	body, err := EncodeChanges(state.Changes())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(uint64(0), uint64(3), body)
	f.Add(uint64(2), uint64(1), []byte{0x80})
	f.Fuzz(func(t *testing.T, from, to uint64, body []byte) {
		view := NewView()
		before := view.Version()
		err := view.Update(from, to, body)
		if err != nil && !errors.Is(err, ErrInvalidTable) && !errors.Is(err, ErrGap) {
			t.Fatalf("undocumented error %v", err)
		}
		if view.Version() < before {
			t.Fatalf("version decreased from %d to %d", before, view.Version())
		}
	})
}

// FuzzRestoreState restores snapshots from arbitrary bytes, which must fail only with
// ErrInvalidTable.
func FuzzRestoreState(f *testing.F) {
	state := NewState()
	state.Apply(1, Command{Adopt: &HomeSlots{Service: "orders", Slots: 8, Moved: []int{1}, Generations: []uint64{1}}})
	data, err := state.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := RestoreState(data); err != nil && !errors.Is(err, ErrInvalidTable) {
			t.Fatalf("undocumented error %v", err)
		}
	})
}

// FuzzCommand decodes and applies arbitrary commands. Decoding must fail only with
// ErrInvalidCommand, and applying a decoded command must not panic.
func FuzzCommand(f *testing.F) {
	for _, command := range []Command{
		{Register: &Server{Name: "a", Service: "orders"}},
		{Adopt: &HomeSlots{Service: "orders", Slots: 8, Moved: []int{1}, Generations: []uint64{1}}},
		{Retire: &HomeSlots{Service: "orders", Moved: []int{1}}},
		{Isolate: &HotKeySet{Service: "orders", Keys: []string{"k"}}},
		{Assign: &SlotGrants{Service: "orders", Grants: []SlotGrant{{Slot: 1, Session: 1}}}},
	} {
		data, err := command.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		command, err := DecodeCommand(data)
		if err != nil {
			if !errors.Is(err, ErrInvalidCommand) {
				t.Fatalf("undocumented error %v", err)
			}
			return
		}
		state := NewState()
		state.Apply(1, Command{Register: &Server{Name: "a", Incarnation: "1", Service: "orders", Keyed: true}})
		state.Apply(2, Command{Adopt: &HomeSlots{Service: "orders", Slots: 8, Moved: []int{1}, Generations: []uint64{1}}})
		state.Apply(3, command)
	})
}
