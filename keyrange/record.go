package keyrange

import (
	"slices"
	"sort"
)

// Record is the replicated, durable state of key ownership: the newest grant of each key. It
// is a deterministic state machine: each replica must call Apply with the same grants in the
// same order. A grant is recorded before it is sent to its server, so that a new leader knows
// the only server that may hold a key.
type Record struct {
	assignments []Assignment // sorted by service and key, without overlap
}

// Apply records grants.
func (r *Record) Apply(grants []Assignment) {
	for _, g := range grants {
		r.overlay(g)
	}
}

// overlay replaces the recorded grants of the keys of g.
func (r *Record) overlay(g Assignment) {
	first := sort.Search(len(r.assignments), func(i int) bool { return !r.assignments[i].before(g) })
	end := first
	for end < len(r.assignments) && r.assignments[end].overlaps(g) {
		end++
	}
	r.assignments = Overlay(r.assignments, first, end, g, (*Assignment).keys)
	r.mergeAdjacent(max(first-1, 0), min(first+maxAffected, len(r.assignments)))
}

// maxAffected bounds the number of entries, from the position of a grant, that may need to be
// merged: the grant itself, the remainders on both sides of it, and one adjacent entry.
const maxAffected = 4

// mergeAdjacent merges adjacent entries of one holder in [first, end). The merged entry gets
// the higher token, which is safe since no other server was granted these keys in between.
func (r *Record) mergeAdjacent(first, end int) {
	merged := r.assignments[first:first:end]
	for _, next := range r.assignments[first:end] {
		if last := len(merged) - 1; last >= 0 && merged[last].continuedBy(next) {
			merged[last].To = next.To
			merged[last].Token = max(merged[last].Token, next.Token)
			merged[last].Sequence = max(merged[last].Sequence, next.Sequence)
			continue
		}
		merged = append(merged, next)
	}
	r.assignments = slices.Delete(r.assignments, first+len(merged), end)
}

func (a *Assignment) keys() (from, to *int64) { return &a.From, &a.To }

// before reports whether a sorts before b and shares no key with it.
func (a Assignment) before(b Assignment) bool {
	return a.Service < b.Service || a.Service == b.Service && a.To < b.From
}

func (a Assignment) overlaps(b Assignment) bool {
	return a.Service == b.Service && a.From <= b.To && a.To >= b.From
}

func (a Assignment) continuedBy(b Assignment) bool {
	return a.Service == b.Service && a.ServerID == b.ServerID && a.StartMillis == b.StartMillis && a.To+1 == b.From
}

// All returns the newest grants, sorted by service and key.
func (r *Record) All() []Assignment { return slices.Clone(r.assignments) }

// Restore replaces the state by a copy of all.
func (r *Record) Restore(all []Assignment) { r.assignments = slices.Clone(all) }
