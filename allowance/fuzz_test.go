package allowance

import (
	"bytes"
	"os"
	"testing"

	"github.com/pkg/errors"
)

func FuzzParse(f *testing.F) {
	for _, name := range []string{"race", "invalid"} {
		data, _ := os.ReadFile("testdata/lists/" + name)
		for _, list := range bytes.Split(data, []byte("----")) {
			f.Add(list)
		}
	}
	f.Add([]byte("version: 1\nplans:\n  - {customer: uniform, plan: gold}\n"))
	f.Add([]byte("version: 1\nallowances:\n  - plan: gold\n    limits: [{service: a, requests_per_second: 1, burst: 1}]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		l := NewLists()
		allowances, err := ParseAllowances(data)
		checkErrorType(t, err)
		if err == nil && !l.Apply(Command{Allowances: &allowances}).Succeeded() {
			t.Fatal("a list that parses was refused")
		}
		plans, err := ParsePlans(data)
		checkErrorType(t, err)
		if err == nil {
			l.Apply(Command{Plans: &plans})
		}
		roundTrip(t, l)
	})
}

func checkErrorType(t *testing.T, err error) {
	var problems Problems
	if err != nil && !errors.Is(err, ErrSyntax) && !errors.As(err, &problems) {
		t.Fatalf("error of unexpected type: %v", err)
	}
}

func newTestLists(t testing.TB) *Lists {
	l := NewLists()
	l.Apply(Command{Allowances: &LimitList{Version: 3, Allowances: []PlanAllowance{{Plan: "gold", Limits: []Limit{{Service: "orders", RequestsPerSecond: 500, Burst: 50}}}}}})
	if r := l.Apply(Command{Operator: "an", Plans: &PlanList{Version: 9, Plans: []CustomerPlan{{Customer: "uniform", Plan: "gold"}}}}); !r.Succeeded() {
		t.Fatal(formatResult(r))
	}
	return l
}

func FuzzRestoreLists(f *testing.F) {
	encoded, _ := newTestLists(f).Snapshot()
	f.Add(encoded)
	f.Add(encoded[:len(encoded)/2])
	f.Fuzz(func(t *testing.T, data []byte) {
		l, err := RestoreLists(data)
		if err != nil {
			if !errors.Is(err, ErrSnapshotCorrupt) && !errors.Is(err, ErrSnapshotVersion) {
				t.Fatalf("error of unexpected type: %v", err)
			}
			return
		}
		first, _ := l.Snapshot()
		second, _ := roundTrip(t, l).Snapshot()
		if !bytes.Equal(first, second) {
			t.Fatal("snapshot is not deterministic")
		}
	})
}

func FuzzListCommand(f *testing.F) {
	l := newTestLists(f)
	plans, allowances := l.Plans(), l.Allowances()
	for _, c := range []Command{{Operator: "an", Plans: &plans}, {Allowances: &allowances}} {
		data, _ := c.Encode()
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := DecodeCommand(data)
		if err != nil {
			if !errors.Is(err, ErrCommand) {
				t.Fatalf("error of unexpected type: %v", err)
			}
			return
		}
		l := newTestLists(t)
		l.Apply(c)
		roundTrip(t, l)
	})
}

func FuzzRestoreParts(f *testing.F) {
	p, a := NewParts(), NewAcceptedParts()
	p.Apply(3, PartCommand{Shifts: []PartShift{{
		Customer: "uniform", Service: "orders", Regions: []string{"lisboa", "norte"}, From: "norte", To: "lisboa", Units: 4500,
	}}})
	for _, lowered := range p.LoweredParts("norte") {
		a.Apply(lowered.AcceptedPart())
	}
	for _, state := range []interface{ Snapshot() ([]byte, error) }{p, a} {
		data, _ := state.Snapshot()
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		p, partsErr := RestoreParts(data)
		a, acceptedErr := RestoreAcceptedParts(data)
		for _, err := range []error{partsErr, acceptedErr} {
			if err != nil && !errors.Is(err, ErrSnapshotCorrupt) {
				t.Fatalf("error of unexpected type: %v", err)
			}
		}
		if partsErr == nil {
			first, _ := p.Snapshot()
			if _, err := RestoreParts(first); err != nil {
				t.Fatal(err)
			}
			checkParts(t, p, a)
		}
	})
}

// checkParts confirms every pending shift and checks that the parts stay valid and their sum does
// not exceed the whole limit.
func checkParts(t *testing.T, p *Parts, a *AcceptedParts) {
	for pair, parts := range p.pairs {
		for _, lowered := range p.LoweredParts(parts.From) {
			p.Apply(1, PartCommand{Confirmations: []PartConfirmation{lowered.Confirmation(parts.From)}})
		}
		sum := 0
		for _, part := range parts.Parts {
			sum += p.Part(pair, part.Region, len(parts.Parts)).Units
		}
		if sum > TotalPartUnits || p.Pending(pair) || !parts.valid() {
			t.Fatalf("invalid after all confirmations: %+v", parts)
		}
		if a != nil && a.EffectiveFraction(pair, Part{}) > 1 {
			t.Fatal("an accepted part exceeds the whole limit")
		}
	}
}
