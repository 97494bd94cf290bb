package keyrange

import (
	"slices"
	"strings"
)

// Record is the durable part of ownership: the newest grant of each key. It is a
// state machine: Apply must be called with the same grants in the same order on
// each replica. A grant is recorded before its server hears of it, so that a new
// leader knows which server alone may hold a key.
type Record struct {
	assignments []Assignment // by service and key, without overlap
}

// Apply takes in grants.
func (r *Record) Apply(grants []Assignment) {
	for _, g := range grants {
		r.overlay(g)
	}
}

func (r *Record) overlay(g Assignment) {
	out := make([]Assignment, 0, len(r.assignments)+2)
	for _, old := range r.assignments {
		if old.Service != g.Service || old.To < g.From || old.From > g.To {
			out = append(out, old)
			continue
		}
		if old.From < g.From {
			left := old
			left.To = g.From - 1
			out = append(out, left)
		}
		if old.To > g.To {
			right := old
			right.From = g.To + 1
			out = append(out, right)
		}
	}
	out = append(out, g)
	slices.SortFunc(out, compareAssignments)
	r.assignments = out
}

func compareAssignments(a, b Assignment) int {
	if order := strings.Compare(a.Service, b.Service); order != 0 {
		return order
	}
	return int(a.From - b.From)
}

// All returns the newest grants, by service and key.
func (r *Record) All() []Assignment { return slices.Clone(r.assignments) }

// Restore replaces the record.
func (r *Record) Restore(all []Assignment) { r.assignments = slices.Clone(all) }
