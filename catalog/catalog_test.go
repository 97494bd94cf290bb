package catalog

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/pkg/errors"
)

// TestSessions compares the state after each command of a script with the expected one. A reader
// that applies the update of each change must have the same services.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		state, reader := NewState(), NewState()
		index := uint64(0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd != "state" {
				index++
				changed := state.Apply(index, parseCommand(t, d))
				updateReader(t, state, reader, changed)
			}
			return format(state)
		})
	})
}

func parseCommand(t *testing.T, d *datadriven.TestData) Command {
	var service, region string
	var slot, slots int
	var generation uint64
	d.ScanArgs(t, "service", &service)
	d.MaybeScanArgs(t, "region", &region)
	d.MaybeScanArgs(t, "slot", &slot)
	d.MaybeScanArgs(t, "slots", &slots)
	d.MaybeScanArgs(t, "generation", &generation)
	switch d.Cmd {
	case "add":
		return Command{AddService: &AddService{Name: service, Keyed: slots > 0, Slots: slots}}
	case "move":
		return Command{MoveHomes: &MoveHomes{Service: service, Moves: []HomeMove{{Slot: slot, To: region}}}}
	case "retired":
		return Command{Retired: &Retired{Service: service, Region: region, Slots: []int{slot}, Generations: []uint64{generation}}}
	}
	d.Fatalf(t, "unknown command %q", d.Cmd)
	return Command{}
}

// updateReader updates the reader with the changed services, and checks that a table with a lower
// version has no effect on it.
func updateReader(t *testing.T, state, reader *State, changed []string) {
	if len(changed) == 0 {
		return
	}
	update, err := state.Encode(changed...)
	if err == nil {
		err = reader.Update(update)
	}
	if err != nil || format(reader) != format(state) {
		t.Fatalf("reader state %q (error %v), want %q", format(reader), err, format(state))
	}
	old, err := NewState().Encode()
	if err != nil || reader.Update(old) != nil || format(reader) != format(state) {
		t.Fatal("a table with a lower version changed the reader")
	}
}

func format(s *State) string {
	var out strings.Builder
	fmt.Fprintf(&out, "version %d\n", s.Version())
	for _, name := range s.Names() {
		service := s.Service(name)
		fmt.Fprintf(&out, "%s keyed=%v", name, service.Keyed)
		for _, home := range service.Homes {
			fmt.Fprintf(&out, " %s>%s/%d", home.Region, home.To, home.Generation)
		}
		out.WriteString("\n")
	}
	return out.String()
}

// FuzzUpdate checks that Update fails with ErrInvalidTable for arbitrary input, or not at all.
func FuzzUpdate(f *testing.F) {
	state := NewState()
	state.Apply(1, Command{AddService: &AddService{Name: "orders", Keyed: true, Slots: 4}})
	state.Apply(2, Command{MoveHomes: &MoveHomes{Service: "orders", Moves: []HomeMove{{Slot: 1, To: "norte"}}}})
	data, err := state.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := NewState()
		if err := reader.Update(data); err != nil && !errors.Is(err, ErrInvalidTable) {
			t.Fatalf("error %v does not wrap ErrInvalidTable", err)
		}
	})
}
