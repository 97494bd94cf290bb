package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Home is the home region of one slot.
type Home struct {
	Region string // empty if the slot has no home yet
	// CallerRegion is the region that a clear majority of the slot's requests come from (two thirds
	// of its load over minutes), or empty. Slots of many keys rarely have one, isolated keys often do.
	CallerRegion string
}

// Region is one region that may be the home of slots.
type Region struct {
	Name string
	// Capacity is the summed capacity of the region's servers. An unreachable region keeps its last
	// known capacity; it is 0 only if the region itself reports that it has no servers.
	Capacity float64
	// EmptyFor is the time for which Capacity has been 0.
	EmptyFor time.Duration
}

// HomeMove gives a slot another home region.
type HomeMove struct {
	Slot int
	To   string
}

// HomeSettings are the thresholds of PlanHomes.
type HomeSettings struct {
	// Threshold is the relative deviation from which slots change their home. It compares a region's
	// number of slots with its quota, which is in proportion to its capacity.
	Threshold float64
	// ReassignAfter is the time after which a region without capacity loses its slots.
	ReassignAfter time.Duration
	// MaxCallerMoves bounds the slots that one call moves to the region of their callers.
	MaxCallerMoves int
}

// Defaults of HomeSettings.
const (
	defaultHomeThreshold     = 0.25
	defaultHomeReassignAfter = 5 * time.Minute
	defaultMaxCallerMoves    = 16
)

// DefaultHomeSettings returns the default settings.
func DefaultHomeSettings() HomeSettings {
	return HomeSettings{
		Threshold:      defaultHomeThreshold,
		ReassignAfter:  defaultHomeReassignAfter,
		MaxCallerMoves: defaultMaxCallerMoves,
	}
}

// PlanHomes decides which slots change their home region, in ascending order of slots. Slots
// without a home, or whose home region has no quota, are distributed in proportion to capacity.
// Other slots move only if the number of slots of some region deviates from its quota by the
// threshold or more, and then no more of them than necessary. A region that has been empty for a
// short time keeps its slots. If there is nothing else to move, slots move to the region of their
// callers as long as the numbers of slots stay within half the threshold. PlanHomes returns nil if
// no region has capacity.
func PlanHomes(slots []Home, regions []Region, settings HomeSettings) []HomeMove {
	counts := make(map[string]int, len(regions))
	for _, home := range slots {
		counts[home.Region]++
	}
	quotas := homeQuotas(len(slots), counts, regions, settings)
	if quotas == nil {
		return nil
	}
	balanced := !deviationExceeds(counts, quotas, settings.Threshold)
	var moves []HomeMove
	for slot, home := range slots {
		quota, known := quotas[home.Region]
		if known && (balanced || counts[home.Region] <= quota) {
			continue
		}
		to := furthestBelowQuota(counts, quotas)
		counts[home.Region]--
		counts[to]++
		moves = append(moves, HomeMove{Slot: slot, To: to})
	}
	if len(moves) > 0 {
		return moves
	}
	return moveToCallers(slots, counts, quotas, settings)
}

// moveToCallers moves slots to the region that most of their requests come from. It uses half the
// threshold, which leaves the other half as room for changes of capacity.
func moveToCallers(slots []Home, counts, quotas map[string]int, settings HomeSettings) []HomeMove {
	tolerance := settings.Threshold / 2
	var moves []HomeMove
	for slot, home := range slots {
		to := home.CallerRegion
		if to == "" || to == home.Region || quotas[to] == 0 || len(moves) >= settings.MaxCallerMoves {
			continue
		}
		destinationFits := float64(counts[to]+1) <= (1+tolerance)*float64(quotas[to])
		sourceFits := float64(counts[home.Region]-1) >= (1-tolerance)*float64(quotas[home.Region])
		if !destinationFits || !sourceFits {
			continue
		}
		counts[home.Region]--
		counts[to]++
		moves = append(moves, HomeMove{Slot: slot, To: to})
	}
	return moves
}

// homeQuotas returns the number of slots per region, in proportion to capacity. A region that has
// been empty for less than ReassignAfter keeps the slots it has. Regions with neither capacity nor
// slots to keep are omitted.
func homeQuotas(slots int, counts map[string]int, regions []Region, settings HomeSettings) map[string]int {
	sorted := slices.Clone(regions)
	slices.SortFunc(sorted, func(a, b Region) int { return cmp.Compare(a.Name, b.Name) })
	quotas := make(map[string]int, len(sorted))
	var capacity float64
	for _, region := range sorted {
		if region.Capacity > 0 {
			capacity += region.Capacity
		} else if region.EmptyFor < settings.ReassignAfter && counts[region.Name] > 0 {
			quotas[region.Name] = counts[region.Name]
			slots -= counts[region.Name]
		}
	}
	if capacity == 0 {
		return nil
	}
	// Rounding the running sum instead of each quota makes the quotas add up to slots.
	var sum float64
	assigned := 0
	for _, region := range sorted {
		if region.Capacity <= 0 {
			continue
		}
		sum += region.Capacity
		upTo := int(math.Round(float64(slots) * sum / capacity))
		quotas[region.Name] = upTo - assigned
		assigned = upTo
	}
	return quotas
}

// deviationExceeds reports whether any region's number of slots differs from its quota by the
// threshold or more.
func deviationExceeds(counts, quotas map[string]int, threshold float64) bool {
	for region, quota := range quotas {
		difference := math.Abs(float64(counts[region] - quota))
		if difference > 0 && difference >= threshold*float64(quota) {
			return true
		}
	}
	return false
}

// furthestBelowQuota returns the region that is missing the most slots; the first by name wins a tie.
func furthestBelowQuota(counts, quotas map[string]int) string {
	best := ""
	for region := range quotas {
		missing, mostMissing := quotas[region]-counts[region], quotas[best]-counts[best]
		if best == "" || missing > mostMissing || missing == mostMissing && region < best {
			best = region
		}
	}
	return best
}
