package gateway

import (
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/galenalug/galenalug/dispatch"
	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/trace"
	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/routes"
)

// knownServer is a backend server of the view.
type knownServer struct {
	keyrange.Server
	term       uint64        // of the leader that told of it last
	leavesFrom time.Duration // when it was first told to leave; 0 if it was not
}

// ownership is an owner's run of keys and when it was told.
type ownership struct {
	keyrange.Owner
	since time.Duration
}

// Stamp says how new a view is.
type Stamp struct {
	Config  uint64
	Term    uint64
	Version uint64
	Age     time.Duration
}

// view is what a gateway knows of routes, servers and owners.
type view struct {
	drain time.Duration // how long a leaving server gets requests

	mu       sync.RWMutex // guards the fields below
	routes   *routes.Table
	servers  map[string]*knownServer
	owners   map[string][]ownership // by service, ascending, without overlap
	controls []string
	entries  int64 // gateways that are connected
	term     uint64
	version  uint64
	heard    time.Duration
	changed  chan struct{} // closed at the next change

	versions trace.History[uint64] // configurations as they came into force
}

func newView(drain time.Duration) *view {
	return &view{
		drain: drain, servers: map[string]*knownServer{}, owners: map[string][]ownership{},
		entries: 1, changed: make(chan struct{}),
	}
}

// apply takes in an update of the leader.
func (v *view) apply(now time.Duration, u keyrange.TableUpdate) {
	config := decodeConfig(u.Config)
	v.mu.Lock()
	defer v.mu.Unlock()
	if u.Term < v.term {
		return // of a leader that was replaced
	}
	if u.Full && !u.Partial {
		v.owners = map[string][]ownership{}
	}
	v.term, v.version, v.heard = u.Term, u.Version, now
	v.controls = u.ControlHosts
	v.takeGateways(u)
	if config != nil && (v.routes == nil || config.Version > v.routes.Version()) {
		v.routes = routes.NewTable(*config)
		v.versions.Add(time.Now(), config.Version)
		log.WithField("version", config.Version).Info("route configuration in force")
	}
	v.takeServers(now, u)
	for _, o := range u.Owners {
		v.owners[o.Service] = overlay(v.owners[o.Service], ownership{o, now})
	}
	close(v.changed)
	v.changed = make(chan struct{})
}

// takeGateways takes in the number of gateways, by which connections and budgets
// are shared. To a new leader they come one by one.
func (v *view) takeGateways(u keyrange.TableUpdate) {
	if u.Partial {
		v.entries = max(v.entries, u.EntryHosts)
		return
	}
	v.entries = max(u.EntryHosts, 1)
}

func decodeConfig(data []byte) *routes.Config {
	if len(data) == 0 {
		return nil
	}
	var config routes.Config
	if err := cbor.Unmarshal(data, &config); err != nil {
		log.WithError(err).Error("route configuration can't be read; the one before stays in force")
		return nil
	}
	return &config
}

// takeServers takes in servers. A new leader knows all of them only when its
// table is no longer partial; until then those of the one before stay.
func (v *view) takeServers(now time.Duration, u keyrange.TableUpdate) {
	for _, s := range u.Servers {
		known := &knownServer{Server: s, term: u.Term}
		if old := v.servers[s.ID]; old != nil && old.StartMillis == s.StartMillis {
			known.leavesFrom = old.leavesFrom
		}
		if s.Draining && known.leavesFrom == 0 {
			known.leavesFrom = now
		}
		v.servers[s.ID] = known
	}
	for _, id := range u.RemovedServers {
		delete(v.servers, id)
	}
	if u.Partial {
		return
	}
	for id, s := range v.servers {
		if s.term != u.Term {
			delete(v.servers, id)
		}
	}
}

// overlay puts an owner's run of keys over a list, in place.
func overlay(list []ownership, o ownership) []ownership {
	first := sort.Search(len(list), func(i int) bool { return list[i].To >= o.From })
	end := first + sort.Search(len(list)-first, func(i int) bool { return list[first+i].From > o.To })
	return keyrange.Overlay(list, first, end, o, (*ownership).keys)
}

func (o *ownership) keys() (from, to *int64) { return &o.From, &o.To }

// snapshot returns the routes, how new the view is, and a channel that is
// closed when it changes.
func (v *view) snapshot(now time.Duration) (*routes.Table, Stamp, <-chan struct{}) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	stamp := Stamp{Term: v.term, Version: v.version, Age: now - v.heard}
	if v.routes != nil {
		stamp.Config = v.routes.Version()
	}
	return v.routes, stamp, v.changed
}

// owner returns the server that owns a key, if one does that may get requests,
// and when it was told.
func (v *view) owner(now time.Duration, service string, key int64) (owner keyrange.Server, since time.Duration, known bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	list := v.owners[service]
	i := sort.Search(len(list), func(i int) bool { return list[i].To >= key })
	if i >= len(list) || list[i].From > key || list[i].ServerID == "" {
		return keyrange.Server{}, 0, false
	}
	s := v.servers[list[i].ServerID]
	if s == nil || v.ending(now, s) {
		return keyrange.Server{}, 0, false
	}
	return s.Server, list[i].since, true
}

// ending tells whether a leaving server gets no more requests.
func (v *view) ending(now time.Duration, s *knownServer) bool {
	return s.leavesFrom != 0 && now-s.leavesFrom >= v.drain-drainReserve
}

// drainReserve is how long before the end of its drain time a server gets no
// more requests: updates reach a gateway late by up to half of it.
const drainReserve = 1200 * time.Millisecond

// serversOf returns the servers of a service that may get new requests. Leaving
// ones are named only if there are no others.
func (v *view) serversOf(now time.Duration, service string) []keyrange.Server {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var staying, leaving []keyrange.Server
	for _, s := range v.servers {
		switch {
		case s.Service != service || v.ending(now, s):
		case s.Draining:
			leaving = append(leaving, s.Server)
		default:
			staying = append(staying, s.Server)
		}
	}
	if len(staying) == 0 {
		staying = leaving
	}
	slices.SortFunc(staying, func(a, b keyrange.Server) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return staying
}

// connections returns the number of connections that this gateway may open to a
// server.
func (v *view) connections(s keyrange.Server) int {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if v.routes == nil || v.routes.Service(s.Service) == nil {
		return 1
	}
	return dispatch.ConnectionLimit(v.routes.Service(s.Service).MaxConnections, v.entries, int(s.Slots))
}

// ownersKnown returns all owners, for the state dump.
func (v *view) ownersKnown(now time.Duration) []trace.Owner {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var known []trace.Owner
	for service, owners := range v.owners {
		for _, o := range owners {
			since := time.Now().Add(o.since - now)
			known = append(known, trace.Owner{Service: service, From: o.From, To: o.To, Server: o.ServerID, Since: since})
		}
	}
	return known
}

// has tells whether a server is in the view.
func (v *view) has(id string) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.servers[id] != nil
}

// contacts returns the addresses of control hosts.
func (v *view) contacts() []string {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return slices.Clone(v.controls)
}

// gateways returns the number of gateways that are connected.
func (v *view) gateways() int64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.entries
}

// complete tells whether requests can be served.
func (v *view) complete() bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.routes != nil && len(v.servers) > 0
}

// clockNow is the clock of a gateway's decisions.
func clockNow() time.Duration { return clock.Now() }
