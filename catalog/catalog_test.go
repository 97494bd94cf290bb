package catalog

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/pkg/errors"
)

// TestSessions plays golden sessions. A reader follows each change, and must end
// with the same services.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		state, reader := NewState(), NewState()
		index := uint64(0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd != "state" {
				index++
				changed := state.Apply(index, parseCommand(t, d))
				follow(t, state, reader, changed)
			}
			return print(state)
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

func follow(t *testing.T, state, reader *State, changed []string) {
	if len(changed) == 0 {
		return
	}
	update, err := state.Encode(changed...)
	if err == nil {
		err = reader.Update(update)
	}
	if err != nil || print(reader) != print(state) {
		t.Fatalf("the reader has %q (%v)", print(reader), err)
	}
	old, err := NewState().Encode()
	if err != nil || reader.Update(old) != nil || print(reader) != print(state) {
		t.Fatal("an older table changed the reader")
	}
}

func print(s *State) string {
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

// FuzzUpdate feeds a reader with arbitrary tables.
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
			t.Fatalf("untyped error %v", err)
		}
	})
}
