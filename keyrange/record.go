package keyrange

import (
	"slices"
	"sort"
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

// overlay puts a grant over the keys that it names.
func (r *Record) overlay(g Assignment) {
	first := sort.Search(len(r.assignments), func(i int) bool { return !r.assignments[i].before(g) })
	end := first
	for end < len(r.assignments) && r.assignments[end].overlaps(g) {
		end++
	}
	r.assignments = Overlay(r.assignments, first, end, g, (*Assignment).keys)
	r.join(max(first-1, 0), min(first+maxAffected, len(r.assignments)))
}

// mostTouched bounds the entries from the place of a grant that may have become
// joinable: its own, what is left on both sides of it, and a neighbour.
const maxAffected = 4

// join joins neighbours of one holder between two places. The higher token counts
// for both: nobody else was granted these keys since.
func (r *Record) join(first, end int) {
	joined := r.assignments[first:first:end]
	for _, next := range r.assignments[first:end] {
		if last := len(joined) - 1; last >= 0 && joined[last].continuedBy(next) {
			joined[last].To = next.To
			joined[last].Token = max(joined[last].Token, next.Token)
			continue
		}
		joined = append(joined, next)
	}
	r.assignments = slices.Delete(r.assignments, first+len(joined), end)
}

func (a *Assignment) keys() (from, to *int64) { return &a.From, &a.To }

// before tells whether all keys of a are before those of b.
func (a Assignment) before(b Assignment) bool {
	return a.Service < b.Service || a.Service == b.Service && a.To < b.From
}

func (a Assignment) overlaps(b Assignment) bool {
	return a.Service == b.Service && a.From <= b.To && a.To >= b.From
}

func (a Assignment) continuedBy(b Assignment) bool {
	return a.Service == b.Service && a.ServerID == b.ServerID && a.StartMillis == b.StartMillis && a.To+1 == b.From
}

// All returns the newest grants, by service and key.
func (r *Record) All() []Assignment { return slices.Clone(r.assignments) }

// Restore replaces the record.
func (r *Record) Restore(all []Assignment) { r.assignments = slices.Clone(all) }
