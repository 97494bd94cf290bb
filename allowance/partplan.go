package allowance

import (
	"cmp"
	"slices"
	"time"
)

// Settings of PartPlanner, in units of PartWhole where they are parts.
const (
	partStep      = TotalPartUnits / 10 // a smaller shift is not worth its commits
	partFloor     = TotalPartUnits / 20 // that each region keeps, to start from
	partSpent     = 0.9                 // fraction of its part from which on a region needs more
	reportedFrom  = 0.05                // fraction of the limit from which on demand is reported
	maxShifts     = 100                 // in one plan
	planInterval  = time.Second         // between plans with shifts
	demandMaxAge  = 4 * time.Second     // after which a region's demand says nothing any more
	maxReportSize = 1000                // pairs
)

// Demand is what a region wants of a pair.
type Demand struct {
	Pair Pair
	Rate float64 // requests a second
}

// ReportableDemands returns the demands that matter to a PartPlanner: the largest in
// proportion to their limits.
func ReportableDemands(demands []Demand, limit func(Pair) float64) []Demand {
	weights := make(map[Pair]float64, len(demands))
	var kept []Demand
	for _, d := range demands {
		of := limit(d.Pair)
		if of > 0 && d.Rate > reportedFrom*of {
			weights[d.Pair] = d.Rate / of
			kept = append(kept, d)
		}
	}
	slices.SortFunc(kept, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(weights[b.Pair], weights[a.Pair]), comparePairs(a.Pair, b.Pair))
	})
	return kept[:min(len(kept), maxReportSize)]
}

// PartPlanner says which parts to shift, from what the regions want. It belongs
// to the leader of the log that all regions share.
type PartPlanner struct {
	regions []string
	demands map[string]regionDemand
	planned time.Duration // time of the last plan with shifts
}

type regionDemand struct {
	at     time.Duration
	wanted map[Pair]float64
}

// NewPartPlanner returns a planner that knows no demand. It plans once all
// regions have reported.
func NewPartPlanner(regions []string) *PartPlanner {
	return &PartPlanner{regions: regions, demands: map[string]regionDemand{}, planned: -planInterval}
}

// Report takes all of a region's reportable demands.
func (p *PartPlanner) Report(now time.Duration, region string, demands []Demand) {
	wanted := make(map[Pair]float64, len(demands))
	for _, d := range demands {
		wanted[d.Pair] = d.Rate
	}
	p.demands[region] = regionDemand{at: now, wanted: wanted}
}

// Plan returns the shifts to commit, at most once in an interval. A region that
// does not report, as in a cut, keeps its parts, and so do all others.
func (p *PartPlanner) Plan(now time.Duration, parts *Parts, limit func(Pair) float64) []PartShift {
	if now-p.planned < planInterval || !p.allReported(now) {
		return nil
	}
	var shifts []PartShift
	for _, pair := range p.pairs() {
		if shift, ok := p.shiftOf(pair, parts, limit(pair)); ok {
			shifts = append(shifts, shift)
		}
	}
	slices.SortStableFunc(shifts, func(a, b PartShift) int { return cmp.Compare(b.Units, a.Units) })
	shifts = shifts[:min(len(shifts), maxShifts)]
	if len(shifts) > 0 {
		p.planned = now
	}
	return shifts
}

func (p *PartPlanner) allReported(now time.Duration) bool {
	for _, region := range p.regions {
		demand, ok := p.demands[region]
		if !ok || now-demand.at > demandMaxAge {
			return false
		}
	}
	return true
}

// pairs returns the pairs with reported demand, sorted.
func (p *PartPlanner) pairs() []Pair {
	seen := map[Pair]bool{}
	var pairs []Pair
	for _, region := range p.regions {
		for pair := range p.demands[region].wanted {
			if !seen[pair] {
				seen[pair] = true
				pairs = append(pairs, pair)
			}
		}
	}
	slices.SortFunc(pairs, comparePairs)
	return pairs
}

// shiftOf returns the shift from the region with the most to spare to the one
// that lacks most, if it lacks anything now.
func (p *PartPlanner) shiftOf(pair Pair, parts *Parts, limit float64) (PartShift, bool) {
	if parts.Pending(pair) || !(limit > 0) {
		return PartShift{}, false
	}
	shift := PartShift{Customer: pair.Customer, Service: pair.Service, Regions: p.regions}
	spare, lack := 0, 0
	for i, target := range p.targets(pair) {
		region := p.regions[i]
		units := parts.Part(pair, region, len(p.regions)).Units
		needs := p.demands[region].wanted[pair] > partSpent*limit*float64(units)/TotalPartUnits
		if over := units - target; over > spare {
			shift.From, spare = region, over
		}
		if under := target - units; needs && under > lack {
			shift.To, lack = region, under
		}
	}
	shift.Units = min(spare, lack)
	return shift, shift.Units >= partStep
}

// targets divides the whole in proportion to demand, above a floor for each region.
func (p *PartPlanner) targets(pair Pair) []int {
	sum := 0.0
	for _, region := range p.regions {
		sum += p.demands[region].wanted[pair]
	}
	rest := float64(max(0, TotalPartUnits-partFloor*len(p.regions)))
	targets := make([]int, len(p.regions))
	for i, region := range p.regions {
		targets[i] = partFloor + int(rest*p.demands[region].wanted[pair]/sum)
	}
	return targets
}
