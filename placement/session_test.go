package placement_test

import (
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/galenalug/galenalug/placement"
)

// session simulates one service. Isolated keys have slots behind the regular ones.
type session struct {
	cluster
	isolation *placement.IsolationPlanner
	slotCount int
	keys      []string // isolated keys, in the order of their slots
	hot       map[string]float64
	now       time.Duration
}

// TestSession runs testdata/life. The commands are:
//
//   - new value=: starts again without servers, with the given number of slots
//   - server id=, drain id=, lose id=: adds, drains or removes a server
//   - load slot= value=: sets the load of a slot, in requests/s
//   - key name= value=: sets the load of a key, in requests/s, as the isolation planner sees it
//   - run seconds=: simulates a time; prints the changes, and the loads of the servers at the end
func TestSession(t *testing.T) {
	s := newSession(0)
	datadriven.RunTest(t, "testdata/life", func(t *testing.T, d *datadriven.TestData) string {
		return s.command(t, d)
	})
}

func (s *session) command(t *testing.T, d *datadriven.TestData) string {
	var id, slot, value, seconds int
	var name string
	for _, arg := range []struct {
		name string
		to   any
	}{{"id", &id}, {"slot", &slot}, {"value", &value}, {"seconds", &seconds}, {"name", &name}} {
		d.MaybeScanArgs(t, arg.name, arg.to)
	}
	switch d.Cmd {
	case "new":
		*s = *newSession(value)
	case "server":
		s.servers = append(s.servers, placement.Server{ID: uint64(id), Capacity: 6, RampUp: 10 * time.Second})
	case "drain":
		s.servers[s.serverIndex(id)].Draining = true
	case "lose":
		i := s.serverIndex(id)
		s.servers = append(s.servers[:i], s.servers[i+1:]...)
	case "load":
		s.slots[slot].Load = float64(value)
	case "key":
		s.hot[name] = float64(value)
	case "run":
		return s.simulate(seconds)
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return ""
}

func newSession(slots int) *session {
	s := &session{slotCount: slots, hot: map[string]float64{}}
	s.planner = placement.NewPlanner(placement.DefaultSettings(placement.Balance))
	s.isolation = placement.NewIsolationPlanner(placement.DefaultIsolationSettings())
	for range slots {
		s.slots = append(s.slots, placement.Slot{Load: 10, SinceLastMove: placement.NeverMoved})
	}
	return s
}

func (s *session) serverIndex(id int) int {
	return sort.Search(len(s.servers), func(i int) bool { return s.servers[i].ID >= uint64(id) })
}

func (s *session) simulate(seconds int) string {
	var out strings.Builder
	for range seconds {
		s.now += time.Second
		s.isolate(&out)
		before := append([]placement.Slot(nil), s.slots...)
		s.step(s.slots)
		for i := range s.slots {
			if from, to := before[i].Owner, s.slots[i].Owner; from != to {
				fmt.Fprintf(&out, "%v slot %d: %d -> %d\n", s.now, i, from, to)
			}
		}
	}
	loads := map[uint64]float64{}
	for _, slot := range s.slots {
		loads[slot.Owner] += slot.Load
	}
	fmt.Fprintf(&out, "%v loads: %v\n", s.now, loads)
	return out.String()
}

func (s *session) isolate(out *strings.Builder) {
	var loads []placement.KeyLoad
	total := 0.0
	for key, load := range s.hot {
		loads = append(loads, placement.KeyLoad{Key: key, Load: load})
	}
	for i := range s.slots {
		total += s.slots[i].Load
	}
	plan := s.isolation.Plan(s.now, loads, total/float64(max(1, len(s.servers))))
	for _, key := range plan.Isolate {
		base := &s.slots[placement.SlotOf("orders", key, s.slotCount)]
		base.Load -= s.hot[key]
		s.slots = append(s.slots, placement.Slot{Owner: base.Owner, Load: s.hot[key], SinceLastMove: placement.NeverMoved})
		s.keys = append(s.keys, key)
		fmt.Fprintf(out, "%v isolate %s\n", s.now, key)
	}
	for _, key := range plan.Return {
		last := len(s.slots) - 1 // sessions have at most one isolated key
		s.slots[placement.SlotOf("orders", key, s.slotCount)].Load += s.slots[last].Load
		s.slots = s.slots[:last]
		fmt.Fprintf(out, "%v return %s\n", s.now, key)
	}
}
