package admitshare

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// demandTime is the time constant of the exponential decay of demand. A limit must end soon after the load
	// that it answers.
	demandTime = 400 * time.Millisecond
	// minPermille is the lowest fraction of a group, thousandths. A few of its requests show when there is capacity.
	minPermille = 20
	// usableFraction is the part of the slots that is planned for. Arrivals vary, so that a queue grows without
	// bound as the utilization approaches one.
	usableFraction = 0.95
	// targetLoad is the number of requests per slot, running and waiting, to which a plan is corrected. Each server has
	// a queue of its own: with a shorter one, slots of some servers are idle while requests wait at others.
	targetLoad = 1.8
	// correctionGain is the relative change of the planned capacity at one correction, for a deviation of one request
	// per slot. It is low, since a correction shows in the load only some reports later.
	correctionGain = 0.3
	// maxIncrease and maxDecrease bound that change. A queue that is too long harms more than some idle slots.
	maxIncrease, maxDecrease = 0.25, 0.15
	// minCorrection and maxCorrection bound the planned capacity, relative to the slots. Servers that refuse requests
	// take far more of them than their slots can run.
	minCorrection, maxCorrection = 0.6, 4
	// forgetTime is the time without demand after which a group is forgotten.
	forgetTime = 10 * time.Second
	// queueFrom and queueUntil are the utilizations of the slots that a group with restricted regions may use from which
	// its service is queued at the leader, and below which that ends. Below, gateways find free slots by themselves.
	queueFrom, queueUntil = 0.65, 0.4
	// maxQueuedPerSecond is the number of requests a second for a service up to which they are queued at the leader: each
	// costs it three messages.
	maxQueuedPerSecond = 1000
)

// Capacity is what the servers of a service in one region can run.
type Capacity struct {
	Service string
	Region  string
	Slots   float64 // requests that run at the same time
	Load    float64 // requests per slot, running and waiting; negative if that is not known
}

// Planner is the leader's record of the demand of all gateways. It is not safe for concurrent use.
type Planner struct {
	demand      map[Group]*demandRate
	corrections map[place]*correction // of the planned capacity
	limited     map[string]bool       // services that the last plan limits
	queued      map[string]bool       // services that the last plan queues
	mayQueue    bool
}

// place is the servers of a service in one region.
type place struct{ service, region string }

// correction relates the capacity that is planned for a place to its slots.
type correction struct {
	factor float64
	load   float64 // requests per slot at the last correction
}

// demandRate is work demanded per second, decayed.
type demandRate struct {
	work       float64 // slots that the demand keeps busy
	requests   float64 // per second
	updatedAt  time.Duration
	reportedAt time.Duration
}

// NewPlanner returns a planner without demand. mayQueue tells whether the leader has a queue for scarce services.
func NewPlanner(mayQueue bool) *Planner {
	return &Planner{
		demand: map[Group]*demandRate{}, corrections: map[place]*correction{}, limited: map[string]bool{}, queued: map[string]bool{},
		mayQueue: mayQueue,
	}
}

// Report adds a gateway's demand since its last report.
func (p *Planner) Report(now time.Duration, report DemandReport) {
	for _, d := range report.Groups {
		rate := p.demand[d.Group]
		if rate == nil {
			rate = &demandRate{updatedAt: now}
			p.demand[d.Group] = rate
		}
		rate.decay(now)
		rate.reportedAt = now
		rate.work += float64(max(d.WorkMicros, 0)) / float64(demandTime.Microseconds())
		rate.requests += float64(max(d.Requests, 0)) / demandTime.Seconds()
	}
}

func (r *demandRate) decay(now time.Duration) {
	factor := math.Exp(-float64(now-r.updatedAt) / float64(demandTime))
	r.work *= factor
	r.requests *= factor
	r.updatedAt = now
}

// Plan returns the services that are queued at the leader, and the fractions of the groups of others that can't all be
// served. Each server's capacity belongs to the most urgent groups first, and within a priority to those that may be served in
// the fewest regions.
func (p *Planner) Plan(now time.Duration, capacities []Capacity) Plan {
	groups := p.groups(now)
	p.updateQueued(groups, capacities)
	free := p.plannedCapacity(capacities)
	plan := Plan{Groups: []Fraction{}, Queued: slices.Sorted(maps.Keys(p.queued))}
	clear(p.limited)
	p.forgetCorrections(groups, free)
	for _, group := range groups {
		regions := free[group.Service]
		if len(regions) == 0 || p.queued[group.Service] {
			continue // no server is known, so that there is nothing to share, or the queue decides
		}
		work := p.demand[group].work
		served := take(regions, group, work)
		if served >= work {
			continue
		}
		p.limited[group.Service] = true
		permille := int64(1000 * served / work)
		plan.Groups = append(plan.Groups, Fraction{Group: group, Permille: max(permille, minPermille)})
	}
	return plan
}

// forgetCorrections drops the corrections of services without demand that have no capacity any more.
func (p *Planner) forgetCorrections(groups []Group, capacity map[string]map[string]float64) {
	demanded := map[string]bool{}
	for _, group := range groups {
		demanded[group.Service] = true
	}
	maps.DeleteFunc(p.corrections, func(at place, _ *correction) bool { return !demanded[at.service] && len(capacity[at.service]) == 0 })
}

// groups returns the groups with demand in the order in which capacity is given to them.
func (p *Planner) groups(now time.Duration) []Group {
	var groups []Group
	for group, rate := range p.demand {
		if now-rate.reportedAt > forgetTime {
			delete(p.demand, group)
			continue
		}
		rate.decay(now)
		groups = append(groups, group)
	}
	slices.SortFunc(groups, func(a, b Group) int {
		return cmp.Or(
			cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Breadth(), b.Breadth()),
			cmp.Compare(a.Service, b.Service), cmp.Compare(a.Regions, b.Regions),
		)
	})
	return groups
}

// plannedCapacity returns the slots to plan for by service and region, and corrects them by the measured load.
func (p *Planner) plannedCapacity(capacities []Capacity) map[string]map[string]float64 {
	slots, known, requests := map[place]float64{}, map[place]float64{}, map[place]float64{}
	for _, c := range capacities {
		at := place{c.Service, c.Region}
		slots[at] += c.Slots
		if c.Load >= 0 {
			known[at] += c.Slots
			requests[at] += c.Load * c.Slots
		}
	}
	free := map[string]map[string]float64{}
	for at, n := range slots {
		if free[at.service] == nil {
			free[at.service] = map[string]float64{}
		}
		free[at.service][at.region] = usableFraction * p.correct(at, known[at], requests[at]) * n
	}
	return free
}

// correct changes the planned capacity of a place by one step, and returns its factor. slots are those whose requests
// are known.
func (p *Planner) correct(at place, slots, requests float64) float64 {
	c := p.corrections[at]
	if c == nil {
		c = &correction{factor: 1}
		p.corrections[at] = c
	}
	if !p.limited[at.service] || slots == 0 { // returns to what the slots say
		c.change(1 - c.factor)
		return c.factor
	}
	load := requests / slots
	draining := load < c.load
	c.load = load
	if load <= targetLoad || !draining { // the end of a queue that was built before needs no correction
		c.change(correctionGain * (targetLoad - load))
	}
	return c.factor
}

func (c *correction) change(relative float64) {
	c.factor *= 1 + min(max(relative, -maxDecrease), maxIncrease)
	c.factor = min(max(c.factor, minCorrection), maxCorrection)
}

// take takes up to the given work from the regions of a group, from each in proportion to what is free there, and
// returns how much there was.
func take(free map[string]float64, group Group, work float64) float64 {
	total := 0.0
	for region, slots := range free {
		if group.Allows(region) {
			total += slots
		}
	}
	taken := min(total, work)
	if taken <= 0 {
		return 0
	}
	for region, slots := range free {
		if group.Allows(region) {
			free[region] -= taken * slots / total
		}
	}
	return taken
}

// Allows reports whether the requests of a group may be served in a region.
func (g Group) Allows(region string) bool {
	if g.Regions == "" {
		return true
	}
	for allowed := range strings.SplitSeq(g.Regions, regionSeparator) {
		if allowed == region {
			return true
		}
	}
	return false
}

// Breadth returns the number of regions of a group.
func (g Group) Breadth() int {
	if g.Regions == "" {
		return math.MaxInt
	}
	return strings.Count(g.Regions, regionSeparator) + 1
}

const regionSeparator = ","

// RegionList returns the value of Group.Regions for a list of regions.
func RegionList(regions []string) string {
	if len(regions) <= 1 {
		return strings.Join(regions, "")
	}
	return strings.Join(slices.Sorted(slices.Values(regions)), regionSeparator)
}
