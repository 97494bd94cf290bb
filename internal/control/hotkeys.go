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

// Constants of the search for hot keys.
const (
	// isolationInterval is the time between two looks at a region's hot keys.
	isolationInterval = time.Second
	// keyHalfLife is the time after which half of an old rate is forgotten.
	keyHalfLife = 2 * time.Second
	// maxKeyRates bounds the keys watched of one service.
	maxKeyRates = 2 * placement.MaxIsolatedKeys
	// minKeyRate is the rate below which a key is forgotten, requests a second.
	minKeyRate = 0.5
)

// hotKeys merges what entry hosts report of the hottest keys, and asks the
// coordinator to give hot keys slots of their own.
type hotKeys struct {
	// unfenced reports whether keys are isolated also at servers that do not check
	// tokens, where each handover takes the entry hosts' wait.
	isolateUnfenced bool
	services        map[string]*serviceKeys
	lastPlanned     time.Duration
}

// serviceKeys are the hot keys of one service.
type serviceKeys struct {
	total    keyRate // of the whole service
	rates    map[string]*keyRate
	planner  *placement.IsolationPlanner
	isolated map[string]bool // what planner holds; true once the state had it
}

// keyRate is an exponentially decaying rate.
type keyRate struct {
	rate float64 // requests a second
	at   time.Duration
}

func (k *keyRate) add(now time.Duration, requests int) {
	k.rate = k.current(now) + float64(requests)*math.Ln2/keyHalfLife.Seconds()
	k.at = now
}

func (k *keyRate) current(now time.Duration) float64 {
	return k.rate * math.Exp2(-(now-k.at).Seconds()/keyHalfLife.Seconds())
}

func newHotKeys(isolateUnfenced bool) *hotKeys {
	return &hotKeys{isolateUnfenced: isolateUnfenced, services: map[string]*serviceKeys{}}
}

// observe takes an entry host's renewal. Services that the region has no slots of
// are passed over.
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

// service returns the keys of a service. Keys that are isolated already, as by
// an earlier leader, stay so until they cool.
func (h *hotKeys) service(now time.Duration, state *ownership.State, name string) *serviceKeys {
	if found := h.services[name]; found != nil {
		return found
	}
	owned := state.Service(name)
	if owned == nil {
		return nil
	}
	keys := &serviceKeys{
		rates:    map[string]*keyRate{},
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
		rate = &keyRate{}
		s.rates[key] = rate
	}
	rate.add(now, requests)
	if len(s.rates) >= 2*maxKeyRates {
		s.evictColdest(now)
	}
}

// shrink keeps the hottest keys.
func (s *serviceKeys) evictColdest(now time.Duration) {
	for _, load := range s.loads(now)[maxKeyRates:] {
		delete(s.rates, load.Key)
	}
}

// loads returns the keys' rates, the hottest first.
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

// plan asks for the isolation of hot keys and the return of cool ones.
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

// follow notes keys whose isolation ended for another reason than having cooled,
// as by a move of their slot to another region.
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

// canIsolate reports whether a key may get a slot of its own: its ordinary slot is
// here to stay, and its owner can hand it over in a moment.
func (h *hotKeys) canIsolate(state *ownership.State, owned *ownership.Service, homes []ownership.Home, key string) bool {
	number := placement.SlotOf(owned.Name, key, owned.BaseSlots)
	slot := owned.Slots[number]
	if slot.Status == ownership.Absent || number >= len(homes) || homes[number].To != "" {
		return false
	}
	owner, ok := state.Server(slot.Owner)
	return h.isolateUnfenced || !ok || owner.Fencing
}

// fairLoad returns the load of a service over its servers, requests a second.
func (s *serviceKeys) fairLoad(now time.Duration, state *ownership.State, name string) float64 {
	servers := 0
	for _, server := range state.Servers() {
		if server.Service == name && !server.Draining && !server.Suspended {
			servers++
		}
	}
	return s.total.current(now) / float64(max(1, servers))
}

// observeKeys takes an entry host's hottest keys. The caller holds mu.
func (g *regionGroup) observeKeys(lead *leadership, now time.Duration, r wire.Renewal) {
	g.state.mu.RLock()
	defer g.state.mu.RUnlock()
	lead.hotKeys.observe(now, g.state.ownership, r)
}
