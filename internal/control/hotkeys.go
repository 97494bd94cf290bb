package control

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/ownership"
	"github.com/galenalug/galenalug/placement"
)

// Parameters of hot key detection.
const (
	// isolationInterval is the time between two planning rounds for hot keys.
	isolationInterval = time.Second
	// rateHalfLife is the half-life of the decaying request rates.
	rateHalfLife = 2 * time.Second
	// keptKeyRates is the number of keys of a service whose rates survive an eviction.
	keptKeyRates = 2 * placement.MaxIsolatedKeys
	// minKeyRate is the rate in requests per second below which a key is no longer tracked.
	minKeyRate = 0.5
)

// hotKeys aggregates the key loads that entry hosts report, and asks the coordinator to isolate
// hot keys, that is, to give them dedicated slots.
type hotKeys struct {
	// isolateUnfenced allows isolating keys of servers that do not check tokens, although each
	// handover then has to wait for the entry hosts.
	isolateUnfenced bool
	services        map[string]*serviceKeys
	lastPlanned     time.Duration
}

// serviceKeys tracks the key loads and the isolated keys of one service.
type serviceKeys struct {
	total    decayingRate // of the service
	rates    map[string]*decayingRate
	planner  *placement.IsolationPlanner
	isolated map[string]bool // keys that planner has isolated; true once seen in the state
}

// decayingRate is an exponentially decaying request rate.
type decayingRate struct {
	rate float64 // requests per second at time at
	at   time.Duration
}

func (r *decayingRate) add(now time.Duration, requests int) {
	r.rate = r.current(now) + float64(requests)*math.Ln2/rateHalfLife.Seconds()
	r.at = now
}

func (r *decayingRate) current(now time.Duration) float64 {
	return r.rate * math.Exp2(-(now-r.at).Seconds()/rateHalfLife.Seconds())
}

func newHotKeys(isolateUnfenced bool) *hotKeys {
	return &hotKeys{isolateUnfenced: isolateUnfenced, services: map[string]*serviceKeys{}}
}

// observe records the loads in an entry host's renewal. Services without slots in the region are
// ignored.
func (h *hotKeys) observe(now time.Duration, state *ownership.State, r wire.Renewal) {
	for _, load := range r.Loads {
		if service := h.service(now, state, load.Service); service != nil && load.Total > 0 {
			service.total.add(now, load.Total)
		}
	}
	for _, load := range r.KeyLoads {
		if service := h.service(now, state, load.Service); service != nil && load.Requests > 0 {
			service.observe(now, load.Key, load.Requests)
		}
	}
}

// service returns the tracked keys of a service, or nil if the state does not have the service.
// Keys that an earlier leader isolated stay isolated until their load has dropped.
func (h *hotKeys) service(now time.Duration, state *ownership.State, name string) *serviceKeys {
	if found := h.services[name]; found != nil {
		return found
	}
	owned := state.Service(name)
	if owned == nil {
		return nil
	}
	keys := &serviceKeys{
		rates:    map[string]*decayingRate{},
		planner:  placement.NewIsolationPlanner(placement.DefaultIsolationSettings()),
		isolated: map[string]bool{},
	}
	for key := range owned.HotKeys {
		keys.isolated[key] = true
	}
	keys.planner.Restore(now, keys.keys())
	h.services[name] = keys
	return keys
}

func (s *serviceKeys) keys() []string {
	keys := make([]string, 0, len(s.isolated))
	for key := range s.isolated {
		keys = append(keys, key)
	}
	return keys
}

func (s *serviceKeys) observe(now time.Duration, key string, requests int) {
	rate := s.rates[key]
	if rate == nil {
		rate = &decayingRate{}
		s.rates[key] = rate
	}
	rate.add(now, requests)
	if len(s.rates) >= 2*keptKeyRates {
		s.evictColdest(now)
	}
}

// evictColdest discards all but the keptKeyRates hottest keys.
func (s *serviceKeys) evictColdest(now time.Duration) {
	for _, load := range s.loads(now)[keptKeyRates:] {
		delete(s.rates, load.Key)
	}
}

// loads returns the current rates of the keys, the hottest first.
func (s *serviceKeys) loads(now time.Duration) []placement.KeyLoad {
	loads := make([]placement.KeyLoad, 0, len(s.rates))
	for key, rate := range s.rates {
		loads = append(loads, placement.KeyLoad{Key: key, Load: rate.current(now)})
	}
	slices.SortFunc(loads, func(a, b placement.KeyLoad) int {
		return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Key, b.Key))
	})
	return loads
}

// plan asks the coordinator to isolate hot keys and to return cold ones to their base slots.
func (h *hotKeys) plan(now time.Duration, state *ownership.State, homes ownership.Homes, c *ownership.Coordinator) {
	if now-h.lastPlanned < isolationInterval {
		return
	}
	h.lastPlanned = now
	for _, name := range state.ServiceNames() {
		if service := h.service(now, state, name); service != nil {
			h.planService(now, state, homes.Of(name), c, name, service)
		}
	}
}

func (h *hotKeys) planService(
	now time.Duration, state *ownership.State, homes []ownership.Home, c *ownership.Coordinator, name string, s *serviceKeys,
) {
	owned := state.Service(name)
	s.syncIsolated(now, owned)
	s.dropCold(now)
	var candidates []placement.KeyLoad
	for _, load := range s.loads(now) {
		_, isolated := owned.HotKeys[load.Key]
		if isolated || h.canIsolate(state, owned, homes, load.Key) {
			candidates = append(candidates, load)
		}
	}
	plan := s.planner.Plan(now, candidates, s.fairLoad(now, state, name))
	for _, key := range plan.Isolate {
		s.isolated[key] = false
		c.IsolateKey(name, key)
	}
	for _, key := range plan.Return {
		delete(s.isolated, key)
		c.ReturnKey(name, key)
	}
}

// syncIsolated removes keys whose isolation ended for a reason other than a lower load, such as
// the move of their slot to another region.
func (s *serviceKeys) syncIsolated(now time.Duration, owned *ownership.Service) {
	ended := false
	for key, had := range s.isolated {
		_, has := owned.HotKeys[key]
		if had && !has {
			delete(s.isolated, key)
			ended = true
		}
		if has {
			s.isolated[key] = true
		}
	}
	if ended {
		s.planner.Restore(now, s.keys())
	}
}

func (s *serviceKeys) dropCold(now time.Duration) {
	for key, rate := range s.rates {
		if rate.current(now) < minKeyRate {
			delete(s.rates, key)
		}
	}
}

// canIsolate reports whether a key may get a dedicated slot. The home of its base slot must be this
// region and must not be moving. The slot's owner, if it has one, must check tokens unless
// isolateUnfenced is set.
func (h *hotKeys) canIsolate(state *ownership.State, owned *ownership.Service, homes []ownership.Home, key string) bool {
	number := placement.SlotOf(owned.Name, key, owned.BaseSlots)
	slot := owned.Slots[number]
	if slot.Status == ownership.Absent || number >= len(homes) || homes[number].To != "" {
		return false
	}
	owner, ok := state.Server(slot.Owner)
	return h.isolateUnfenced || !ok || owner.Fencing
}

// fairLoad returns the mean load per available server of a service, in requests per second.
func (s *serviceKeys) fairLoad(now time.Duration, state *ownership.State, name string) float64 {
	servers := 0
	for _, server := range state.Servers() {
		if server.Service == name && !server.Draining && !server.Suspended {
			servers++
		}
	}
	return s.total.current(now) / float64(max(1, servers))
}

// observeKeys records the key loads in an entry host's renewal. The caller holds mu.
func (g *regionGroup) observeKeys(leader *leadership, now time.Duration, r wire.Renewal) {
	g.state.mu.RLock()
	defer g.state.mu.RUnlock()
	leader.hotKeys.observe(now, g.state.ownership, r)
}
