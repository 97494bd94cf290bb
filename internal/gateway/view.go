package gateway

import (
	"slices"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenalug/galenalug/dispatch"
	"github.com/galenalug/galenalug/evacuation"
	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/trace"
	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/lease"
	"github.com/galenalug/galenalug/routes"
)

// serverEntry is a backend server of the table.
type serverEntry struct {
	keyrange.Server
	term          uint64        // term of the leader that last sent it
	warmUntil     time.Duration // end of the warm-up that the entry states; 0 if it states none with an end
	drainingSince time.Duration // when it was first reported as draining; 0 if it was not
	// announcedAfter is a time before the announcement of the draining: the table was up to date then,
	// and did not have it. It is 0 if the table was never known to be up to date.
	announcedAfter time.Duration
}

// ownerRange is a range of keys with one owner.
type ownerRange struct {
	keyrange.Owner
	learnedAt time.Duration // when the gateway received it
}

// Stamp identifies a version of the view and states its age.
type Stamp struct {
	Config  uint64
	Term    uint64
	Version uint64
	Age     time.Duration
	// ConfigAge is the time since the configuration was last known to be the newest one.
	ConfigAge time.Duration
	// ConfigKnown tells whether the configuration was ever known to be the newest one.
	ConfigKnown bool
	// ConfigUsable tells whether the lease on the configuration is valid; see package rollout.
	ConfigUsable bool
}

// view is the gateway's copy of the routes, the servers and the owners of keys.
type view struct {
	drainTime time.Duration // how long a leaving server may still receive requests; see drainMargin

	// mostGateways is the highest gatewayCount since the start. The leader does not count gateways that it has
	// lost.
	mostGateways atomic.Int64

	mu           sync.RWMutex // guards the fields below
	routes       *routes.Table
	servers      map[string]*serverEntry
	byService    map[string][]*serverEntry // servers by service, in order of their IDs
	owners       map[string][]ownerRange   // by service; ascending and without overlaps
	controlHosts []string
	gatewayCount int64 // gateways connected to the leader
	partial      bool  // the table of a new leader may lack servers and owners
	term         uint64
	version      uint64
	updatedAt    time.Duration // time of the latest update
	changed      chan struct{} // closed at the next update

	// confirmedAt is the latest time at which the configuration in force is known to have been the
	// newest one; 0 if there is none.
	confirmedAt time.Duration
	configLease lease.Holder
	// tableConfirmedAt is the latest time at which the servers and owners are known to have been up to
	// date; 0 if there is none.
	tableConfirmedAt time.Duration
	configChanged    chan struct{} // signals that a new configuration, or new evacuations, are in force
	evacuations      evacuation.Follower

	evacuationTraffic evacuationTraffic // with a lock of its own
	evacuationTrace   trace.History[trace.Evacuation]

	versions trace.History[uint64] // versions of the configuration and when they took effect
}

func newView(drainTime time.Duration) *view {
	return &view{
		drainTime: drainTime, servers: map[string]*serverEntry{}, owners: map[string][]ownerRange{},
		gatewayCount: 1, changed: make(chan struct{}), configChanged: make(chan struct{}, 1),
	}
}

// apply applies an update from the leader.
func (v *view) apply(now time.Duration, u keyrange.TableUpdate) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if u.Term < v.term {
		return // from a former leader
	}
	if u.Full && !u.Partial {
		v.owners = map[string][]ownerRange{}
	}
	v.term, v.version, v.updatedAt = u.Term, u.Version, now
	v.controlHosts, v.partial = u.ControlHosts, u.Partial
	v.applyGatewayCount(u)
	v.applyServers(now, u)
	for _, o := range u.Owners {
		v.owners[o.Service] = overlay(v.owners[o.Service], ownerRange{o, now})
	}
	v.signalChange()
}

// applyGatewayCount updates the number of gateways, by which connections and retry budgets are
// divided. The gateways subscribe to a new leader one after another, so the count may not decrease
// while its table is partial.
func (v *view) applyGatewayCount(u keyrange.TableUpdate) {
	v.mostGateways.Store(max(v.mostGateways.Load(), u.EntryHosts))
	if u.Partial {
		v.gatewayCount = max(v.gatewayCount, u.EntryHosts)
		return
	}
	v.gatewayCount = max(u.EntryHosts, 1)
}

// applyServers adds, replaces and removes servers. A new leader knows all servers only when its
// table is no longer partial; until then the servers that the former leader sent are kept. A full
// table that is not partial lists all servers.
func (v *view) applyServers(now time.Duration, u keyrange.TableUpdate) {
	changed := len(u.Servers) > 0 || len(u.RemovedServers) > 0
	defer func() {
		if changed {
			v.indexServers()
		}
	}()
	for _, s := range u.Servers {
		entry := &serverEntry{Server: s, term: u.Term}
		if s.WarmupMillis > 0 && s.WarmupMillis != keyrange.SilentWarmupMillis {
			entry.warmUntil = now + time.Duration(s.WarmupMillis)*time.Millisecond
		}
		if old := v.servers[s.ID]; old != nil && old.StartMillis == s.StartMillis {
			entry.drainingSince, entry.announcedAfter = old.drainingSince, old.announcedAfter
		}
		if s.Draining && entry.drainingSince == 0 {
			entry.drainingSince, entry.announcedAfter = now, v.tableConfirmedAt
		}
		v.servers[s.ID] = entry
	}
	for _, id := range u.RemovedServers {
		delete(v.servers, id)
	}
	if u.Partial {
		return
	}
	listed := make(map[string]bool, len(u.Servers))
	for _, s := range u.Servers {
		listed[s.ID] = true
	}
	for id, s := range v.servers {
		if s.term != u.Term || u.Full && !listed[id] {
			delete(v.servers, id)
			changed = true
		}
	}
}

// indexServers updates byService. The caller holds mu.
func (v *view) indexServers() {
	v.byService = map[string][]*serverEntry{}
	for _, s := range v.servers {
		v.byService[s.Service] = append(v.byService[s.Service], s)
	}
	for _, servers := range v.byService {
		slices.SortFunc(servers, func(a, b *serverEntry) int { return strings.Compare(a.ID, b.ID) })
	}
}

// overlay replaces the owners of a range of keys in a list, in place.
func overlay(list []ownerRange, o ownerRange) []ownerRange {
	first := sort.Search(len(list), func(i int) bool { return list[i].To >= o.From })
	end := first + sort.Search(len(list)-first, func(i int) bool { return list[first+i].From > o.To })
	return keyrange.Overlay(list, first, end, o, (*ownerRange).keys)
}

func (o *ownerRange) keys() (from, to *int64) { return &o.From, &o.To }

// snapshot returns the routes, the stamp of the view, and a channel that is closed at the next
// update.
func (v *view) snapshot(now time.Duration) (*routes.Table, Stamp, <-chan struct{}) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	stamp := Stamp{
		Term: v.term, Version: v.version, Age: now - v.updatedAt,
		ConfigAge: now - v.confirmedAt, ConfigKnown: v.confirmedAt > 0, ConfigUsable: v.configLease.Valid(now),
	}
	if v.routes != nil {
		stamp.Config = v.routes.Version()
	}
	return v.routes, stamp, v.changed
}

// signalChange wakes the requests that wait for a change. The caller holds mu.
func (v *view) signalChange() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// owner returns the server that owns a key and when this gateway learned of it. It reports false if
// the key has no owner, or the owner gets no more requests at the given time.
func (v *view) owner(at time.Duration, service string, key int64) (owner keyrange.Server, learnedAt time.Duration, found bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	list := v.owners[service]
	i := sort.Search(len(list), func(i int) bool { return list[i].To >= key })
	if i >= len(list) || list[i].From > key || list[i].ServerID == "" {
		return keyrange.Server{}, 0, false
	}
	s := v.servers[list[i].ServerID]
	if s == nil || v.drained(at, s) || v.evacuations.Blocked(at, s.Domain, true) {
		return keyrange.Server{}, 0, false
	}
	return s.Server, list[i].learnedAt, true
}

// connectionLimit returns the number of connections that this gateway may open to a server.
func (v *view) connectionLimit(s keyrange.Server) int {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if v.routes == nil || v.routes.Service(s.Service) == nil {
		return 1
	}
	return dispatch.ConnectionLimit(v.routes.Service(s.Service).MaxConnections, v.gatewayCount, int(s.Slots))
}

// dumpOwners returns all owners for the state dump.
func (v *view) dumpOwners(now time.Duration) []trace.Owner {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var dump []trace.Owner
	for service, owners := range v.owners {
		for _, o := range owners {
			since := time.Now().Add(o.learnedAt - now)
			dump = append(dump, trace.Owner{Service: service, From: o.From, To: o.To, Server: o.ServerID, Since: since})
		}
	}
	return dump
}

// has reports whether the view contains a server.
func (v *view) has(id string) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.servers[id] != nil
}

// controlAddresses returns the addresses of the control hosts.
func (v *view) controlAddresses() []string {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return slices.Clone(v.controlHosts)
}

// gateways returns the number of connected gateways.
func (v *view) gateways() int64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.gatewayCount
}

// ready reports whether requests can be served.
func (v *view) ready() bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.routes != nil && len(v.servers) > 0
}

// clockNow returns the time, since a fixed origin, on which all decisions of the gateway are based.
func clockNow() time.Duration { return clock.Now() }
