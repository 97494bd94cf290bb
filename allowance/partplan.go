package allowance

import (
	"cmp"
	"slices"
	"time"
)

// Settings of PartPlanner.
const (
	minShiftUnits     = TotalPartUnits / 10 // smaller shifts are not worth their commits
	minPartUnits      = TotalPartUnits / 20 // kept by each region, to serve new demand at once
	highUsage         = 0.9                 // fraction of its part above which a region needs more
	minReportedDemand = 0.05                // fraction of the limit above which demand is reported
	maxShifts         = 100                 // per call of Plan
	planInterval      = time.Second         // minimum time between calls of Plan that return shifts
	demandMaxAge      = 4 * time.Second     // age above which a region's report is outdated
	maxReportedPairs  = 1000                // per report
)

// Demand is the demand of a pair in one region.
type Demand struct {
	Pair Pair
	Rate float64 // requests per second
}

// ReportableDemands returns the demands to report to a PartPlanner: the largest in proportion to
// their limits.
func ReportableDemands(demands []Demand, limit func(Pair) float64) []Demand {
	weights := make(map[Pair]float64, len(demands))
	var kept []Demand
	for _, d := range demands {
		pairLimit := limit(d.Pair)
		if pairLimit > 0 && d.Rate > minReportedDemand*pairLimit {
			weights[d.Pair] = d.Rate / pairLimit
			kept = append(kept, d)
		}
	}
	slices.SortFunc(kept, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(weights[b.Pair], weights[a.Pair]), comparePairs(a.Pair, b.Pair))
	})
	return kept[:min(len(kept), maxReportedPairs)]
}

// PartPlanner chooses the parts to shift from the demands that regions report. The leader of the
// global log uses it.
type PartPlanner struct {
	regions  []string
	demands  map[string]regionDemand
	lastPlan time.Duration // time of the last call of Plan that returned shifts
}

type regionDemand struct {
	at    time.Duration
	rates map[Pair]float64
}

// NewPartPlanner returns a planner without demands. It plans no shifts before all regions have
// reported.
func NewPartPlanner(regions []string) *PartPlanner {
	return &PartPlanner{regions: regions, demands: map[string]regionDemand{}, lastPlan: -planInterval}
}

// Report replaces the demands of a region.
func (p *PartPlanner) Report(now time.Duration, region string, demands []Demand) {
	rates := make(map[Pair]float64, len(demands))
	for _, d := range demands {
		rates[d.Pair] = d.Rate
	}
	p.demands[region] = regionDemand{at: now, rates: rates}
}

// Plan returns the shifts to commit. It returns none within planInterval of the last call that
// returned some, and none while a region does not report, for example because it is partitioned.
func (p *PartPlanner) Plan(now time.Duration, parts *Parts, limit func(Pair) float64) []PartShift {
	if now-p.lastPlan < planInterval || !p.allReported(now) {
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
		p.lastPlan = now
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
		for pair := range p.demands[region].rates {
			if !seen[pair] {
				seen[pair] = true
				pairs = append(pairs, pair)
			}
		}
	}
	slices.SortFunc(pairs, comparePairs)
	return pairs
}

// shiftOf returns a shift from the region furthest above its target to the region furthest below
// its target that uses nearly all of its part. It returns false if the shift would be too small or
// another shift of the pair is pending.
func (p *PartPlanner) shiftOf(pair Pair, parts *Parts, limit float64) (PartShift, bool) {
	if parts.Pending(pair) || !(limit > 0) {
		return PartShift{}, false
	}
	shift := PartShift{Customer: pair.Customer, Service: pair.Service, Regions: p.regions}
	surplus, deficit := 0, 0
	for i, target := range p.targets(pair) {
		region := p.regions[i]
		units := parts.Part(pair, region, len(p.regions)).Units
		needsMore := p.demands[region].rates[pair] > highUsage*limit*float64(units)/TotalPartUnits
		if over := units - target; over > surplus {
			shift.From, surplus = region, over
		}
		if under := target - units; needsMore && under > deficit {
			shift.To, deficit = region, under
		}
	}
	shift.Units = min(surplus, deficit)
	return shift, shift.Units >= minShiftUnits
}

// targets gives each region a minimum of units and divides the rest in proportion to demand.
func (p *PartPlanner) targets(pair Pair) []int {
	sum := 0.0
	for _, region := range p.regions {
		sum += p.demands[region].rates[pair]
	}
	rest := float64(max(0, TotalPartUnits-minPartUnits*len(p.regions)))
	targets := make([]int, len(p.regions))
	for i, region := range p.regions {
		targets[i] = minPartUnits + int(rest*p.demands[region].rates[pair]/sum)
	}
	return targets
}
