package allowance

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"strings"
)

// historyLength is the number of recent changes kept for each list, to distinguish a retried change
// from a stale one.
const historyLength = 256

// change records an accepted version of a list.
type change struct {
	Version  uint64
	Operator string
	Sum      [sha256.Size]byte
}

// history contains the most recent changes of one list, the newest last.
type history struct{ changes []change }

func (h *history) add(c change) {
	if len(h.changes) == historyLength {
		h.changes = append(h.changes[:0], h.changes[1:]...)
	}
	h.changes = append(h.changes, c)
}

func (h *history) find(version uint64) (change, bool) {
	for _, c := range h.changes {
		if c.Version == version {
			return c, true
		}
	}
	return change{}, false
}

// decide returns the result for a proposal whose version is not higher than the current one. It
// returns false if the version number does not decide the outcome.
func (h *history) decide(current, version uint64, sum [sha256.Size]byte) (Result, bool) {
	if version > current || version == 0 {
		return Result{}, false
	}
	earlier, known := h.find(version)
	same := known && bytes.Equal(earlier.Sum[:], sum[:])
	result := Result{Outcome: OutcomeStale, Version: current}
	switch {
	case same && version == current:
		result.Outcome = OutcomeRepeated
	case same:
		result.Outcome = OutcomeSuperseded
	case version == current:
		result.Outcome = OutcomeConflict
	}
	if known && !same {
		result.Winner = &Winner{Version: version, Operator: earlier.Operator}
	}
	return result, true
}

// maxDifferences bounds the differences reported for a conflicting change.
const maxDifferences = 10

func comparePlans(winner, loser PlanList) []Difference {
	describe := func(list PlanList) map[string]string {
		entries := make(map[string]string, len(list.Plans))
		for _, entry := range list.Plans {
			entries[entry.Customer] = entry.Plan
		}
		return entries
	}
	names := make([]string, 0, len(winner.Plans)+len(loser.Plans))
	for _, entry := range append(append([]CustomerPlan{}, winner.Plans...), loser.Plans...) {
		names = append(names, entry.Customer)
	}
	return compare(names, describe(winner), describe(loser))
}

func compareAllowances(winner, loser LimitList) []Difference {
	describe := func(list LimitList) map[string]string {
		entries := make(map[string]string, len(list.Allowances))
		for _, entry := range list.Allowances {
			entries[entry.Plan] = describeLimits(entry.Limits)
		}
		return entries
	}
	names := make([]string, 0, len(winner.Allowances)+len(loser.Allowances))
	for _, entry := range append(append([]PlanAllowance{}, winner.Allowances...), loser.Allowances...) {
		names = append(names, entry.Plan)
	}
	return compare(names, describe(winner), describe(loser))
}

func describeLimits(limits []Limit) string {
	parts := make([]string, 0, len(limits))
	for _, limit := range limits {
		parts = append(parts, fmt.Sprintf("%s %g/s burst %g", limit.Service, limit.RequestsPerSecond, limit.Burst))
	}
	return strings.Join(parts, ", ")
}

// compare returns the first differences, in the order of names.
func compare(names []string, winner, loser map[string]string) []Difference {
	var differences []Difference
	seen := make(map[string]bool)
	for _, name := range names {
		if seen[name] || len(differences) == maxDifferences {
			continue
		}
		seen[name] = true
		if winner[name] != loser[name] {
			differences = append(differences, Difference{Entry: name, Winner: winner[name], Loser: loser[name]})
		}
	}
	return differences
}
