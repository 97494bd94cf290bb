package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Home is the home region of one slot; empty when it has none yet.
type Home struct {
	Region string
	// CallerRegion is the region that a clear majority of the slot's requests
	// come from (two thirds of its load over minutes); empty when there is none.
	// Slots of many keys rarely have one, keys in slots of their own often do.
	CallerRegion string
}

// Region is one region that may be the home of slots.
type Region struct {
	Name string
	// Capacity is the sum of its servers' capacities. A region that cannot be
	// reached keeps the capacity last known: only a region that says itself that
	// it has no servers has capacity 0.
	Capacity float64
	// EmptyFor is the time since which Capacity is 0.
	EmptyFor time.Duration
}

// HomeMove gives a slot another home region.
type HomeMove struct {
	Slot int
	To   string
}

// HomeSettings are the thresholds of PlanHomes.
type HomeSettings struct {
	// Threshold is the part by which a region's share of the slots must differ
	// from its share of the capacity before slots change their home.
	Threshold float64
	// ReassignAfter is the time after which a region without capacity loses its
	// slots.
	ReassignAfter time.Duration
	// MaxCallerMoves bounds the slots that move to their callers in one call.
	MaxCallerMoves int
}

// Defaults of HomeSettings.
const (
	defaultHomeThreshold  = 0.25
	defaultHomeEmptyAfter = 5 * time.Minute
	defaultMaxCallerMoves = 16
)

// DefaultHomeSettings returns the defaults.
func DefaultHomeSettings() HomeSettings {
	return HomeSettings{
		Threshold:      defaultHomeThreshold,
		ReassignAfter:  defaultHomeEmptyAfter,
		MaxCallerMoves: defaultMaxCallerMoves,
	}
}

// PlanHomes decides which slots change their home region, the lowest slots
// first. A slot without a home gets one in proportion to capacity. Others move
// only if a region's share is off by the threshold or more, and then as few as
// reach the shares. A region that is empty for a short time keeps its slots.
// When nothing else is to do, slots move to the region of their callers as far
// as the shares stay within half the threshold. It returns nothing when no region has capacity.
func PlanHomes(slots []Home, regions []Region, settings HomeSettings) []HomeMove {
	counts := make(map[string]int, len(regions))
	for _, home := range slots {
		counts[home.Region]++
	}
	quotas := homeQuotas(len(slots), counts, regions, settings)
	if quotas == nil {
		return nil
	}
	settled := !homesOff(counts, quotas, settings.Threshold)
	var moves []HomeMove
	for slot, home := range slots {
		quota, known := quotas[home.Region]
		if known && (settled || counts[home.Region] <= quota) {
			continue
		}
		to := shortestOf(counts, quotas)
		counts[home.Region]--
		counts[to]++
		moves = append(moves, HomeMove{Slot: slot, To: to})
	}
	if len(moves) > 0 {
		return moves
	}
	return moveToCallers(slots, counts, quotas, settings)
}

// moveToCallers moves slots to the region that most of their requests come from.
// The narrower band leaves the wider one to changes of capacity.
func moveToCallers(slots []Home, counts, quotas map[string]int, settings HomeSettings) []HomeMove {
	band := settings.Threshold / 2
	var moves []HomeMove
	for slot, home := range slots {
		to := home.CallerRegion
		if to == "" || to == home.Region || quotas[to] == 0 || len(moves) >= settings.MaxCallerMoves {
			continue
		}
		fits := float64(counts[to]+1) <= (1+band)*float64(quotas[to])
		spared := float64(counts[home.Region]-1) >= (1-band)*float64(quotas[home.Region])
		if !fits || !spared {
			continue
		}
		counts[home.Region]--
		counts[to]++
		moves = append(moves, HomeMove{Slot: slot, To: to})
	}
	return moves
}

// homeQuotas divides the slots by capacity. A region that has been empty for
// less than ReassignAfter keeps what it has. Regions without a claim are left out.
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
	// Rounding the running sum gives whole numbers that add up.
	var sum float64
	given := 0
	for _, region := range sorted {
		if region.Capacity <= 0 {
			continue
		}
		sum += region.Capacity
		upTo := int(math.Round(float64(slots) * sum / capacity))
		quotas[region.Name] = upTo - given
		given = upTo
	}
	return quotas
}

// homesOff reports whether any region's number of slots differs from its quota
// by the threshold or more.
func homesOff(counts, quotas map[string]int, threshold float64) bool {
	for region, quota := range quotas {
		difference := math.Abs(float64(counts[region] - quota))
		if difference > 0 && difference >= threshold*float64(quota) {
			return true
		}
	}
	return false
}

// shortestOf returns the region that lacks the most of its quota, of equals the
// first by name.
func shortestOf(counts, quotas map[string]int) string {
	best := ""
	for region := range quotas {
		lack, most := quotas[region]-counts[region], quotas[best]-counts[best]
		if best == "" || lack > most || lack == most && region < best {
			best = region
		}
	}
	return best
}
