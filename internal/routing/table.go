package routing

import (
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/catalog"
	"github.com/galenalug/galenalug/internal/entry"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/lease"
	"github.com/galenalug/galenalug/ownership"
	"github.com/galenalug/galenalug/placement"
)

// Table is the routing table of an entry host.
type Table struct {
	now     func() time.Duration // monotonic
	regions []string             // groups of the regions, in ascending order

	mu      sync.RWMutex
	catalog *catalog.State
	views   map[string]*ownership.View
	holders map[string]*lease.Holder // this host's session with each region's leader
	joined  map[sessionKey]time.Time
	tracked map[string]uint64 // version of the set of sessions that joined holds, by group
	changed chan struct{}
	// running holds the attempts at owners that do not check tokens, confirmed the
	// last answer of confirm by group.
	running   map[*attempt]struct{}
	confirmed map[string]uint64
	received  map[string]bool // groups whose table has come at least once
}

type sessionKey struct {
	group   string
	session uint64
}

// newTable returns an empty table of the given regions' groups.
func newTable(regions []string, now func() time.Duration) *Table {
	t := &Table{
		now:       now,
		regions:   regions,
		catalog:   catalog.NewState(),
		views:     map[string]*ownership.View{},
		holders:   map[string]*lease.Holder{},
		joined:    map[sessionKey]time.Time{},
		tracked:   map[string]uint64{},
		changed:   make(chan struct{}),
		running:   map[*attempt]struct{}{},
		confirmed: map[string]uint64{},
		received:  map[string]bool{},
	}
	for _, region := range regions {
		t.views[region] = ownership.NewView()
		t.holders[region] = &lease.Holder{}
	}
	return t
}

// update takes one step of a group's table. It returns false when the whole table
// must be asked for.
func (t *Table) update(u wire.TableUpdate) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	err := t.apply(u)
	if err != nil {
		log.WithError(err).WithField("group", u.Group).Warn("table update refused; asking for the whole table")
		return false
	}
	t.received[u.Group] = true
	close(t.changed)
	t.changed = make(chan struct{})
	return true
}

// complete reports whether the tables of all the groups have come at least once.
func (t *Table) complete(groups ...string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, group := range groups {
		if !t.received[group] {
			return false
		}
	}
	return true
}

func (t *Table) apply(u wire.TableUpdate) error {
	if u.Group == wire.GroupGlobal {
		return t.catalog.Update(u.Body)
	}
	view, ok := t.views[u.Group]
	if !ok {
		return errors.Errorf("unknown group %q", u.Group)
	}
	joinedAt := time.Now()
	if view.Version() == 0 {
		joinedAt = time.Time{} // in the first table, servers may be of any age
	}
	if err := view.Update(u.From, u.Version, u.Body); err != nil {
		return err
	}
	t.track(u.Group, view, joinedAt)
	return nil
}

// track notes when sessions were first seen, and forgets ended ones.
func (t *Table) track(group string, view *ownership.View, joinedAt time.Time) {
	if t.tracked[group] == view.ServersVersion() {
		return
	}
	t.tracked[group] = view.ServersVersion()
	live := map[uint64]bool{}
	for _, server := range view.State().Servers() {
		live[server.Session] = true
		key := sessionKey{group, server.Session}
		if _, ok := t.joined[key]; !ok {
			t.joined[key] = joinedAt
		}
	}
	for key := range t.joined {
		if key.group == group && !live[key.session] {
			delete(t.joined, key)
		}
	}
}

// version returns the version held of a group's table.
func (t *Table) version(group string) uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if group == wire.GroupGlobal {
		return t.catalog.Version()
	}
	return t.views[group].Version()
}

// renewed takes the answer to a renewal of this host's session.
func (t *Table) renewed(group string, sentAt, length time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	const session = 1 // the host has one session with each group
	t.holders[group].Renewed(session, sentAt, length)
}

// Service reports whether a service is divided by key.
func (t *Table) Service(name string) (bool, error) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	service := t.catalog.Service(name)
	if service == nil {
		return false, errors.Wrap(entry.ErrUnknownService, name)
	}
	return service.Keyed, nil
}

// Home returns the group and slot whose ledger holds the runs of a key. For a
// service that is not divided by key, the key is the idempotency key.
func (t *Table) Home(name, key string) (string, int, error) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	service := t.catalog.Service(name)
	if service == nil {
		return "", 0, errors.Wrap(entry.ErrUnknownService, name)
	}
	if !service.Keyed {
		region := xxhash.Sum64String(key) % uint64(len(t.regions))
		return t.regions[region], wire.NoSlot, nil
	}
	slot := placement.SlotOf(name, key, len(service.Homes))
	home := service.Homes[slot].Region
	if home == "" {
		return "", 0, errors.Wrapf(entry.ErrNoOwner, "service %q slot %d has no home yet", name, slot)
	}
	return home, slot, nil
}

// Route returns the owner of a key.
func (t *Table) Route(name, key string) (entry.Route, error) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	service := t.catalog.Service(name)
	if service == nil {
		return entry.Route{}, errors.Wrap(entry.ErrUnknownService, name)
	}
	group := service.Homes[placement.SlotOf(name, key, len(service.Homes))].Region
	view, ok := t.views[group]
	if !ok {
		return entry.Route{}, errors.Wrapf(entry.ErrNoOwner, "service %q", name)
	}
	owned := view.State().Service(name)
	if owned == nil {
		return entry.Route{}, errors.Wrapf(entry.ErrNoOwner, "service %q", name)
	}
	number := owned.SlotOf(key)
	return t.routeTo(group, view, owned.Slots[number], number)
}

// routeTo returns the route to a slot's owner. The caller holds mu.
func (t *Table) routeTo(group string, view *ownership.View, slot ownership.Slot, number int) (entry.Route, error) {
	server, ok := view.State().Server(slot.Owner)
	if slot.Status != ownership.Owned || !ok || server.Suspended {
		return entry.Route{}, errors.Wrapf(entry.ErrNoOwner, "slot %d", number)
	}
	if !server.Fencing && !t.holders[group].Valid(t.now()) {
		return entry.Route{}, errors.Wrapf(entry.ErrViewExpired, "group %q", group)
	}
	a := &attempt{group: group, server: server, slot: number, token: slot.Token}
	return entry.Route{
		Slot:         number,
		Token:        slot.Token,
		Server:       t.server(group, server),
		Writable:     func() bool { return t.writable(a) },
		AttemptEnded: func(until time.Time) { t.ended(a, until) },
	}, nil
}

// server converts a session's server. The caller holds mu.
func (t *Table) server(group string, s ownership.Server) entry.Server {
	return entry.Server{
		Session:     s.Session,
		Group:       group,
		Name:        s.Name,
		Service:     s.Service,
		Address:     s.Address,
		Region:      s.Region,
		Domain:      s.Domain,
		Slots:       s.Slots,
		Connections: s.Connections,
		Fencing:     s.Fencing,
		Draining:    s.Draining,
		JoinedAt:    t.joined[sessionKey{group, s.Session}],
	}
}

// Servers returns the servers of a service that take new requests.
func (t *Table) Servers(service string) []entry.Server {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var servers []entry.Server
	for _, group := range t.regions {
		for _, s := range t.views[group].State().Servers() {
			if s.Service == service && !s.Draining && !s.Suspended {
				servers = append(servers, t.server(group, s))
			}
		}
	}
	return servers
}

// Changed returns a channel that is closed at the next change of any table.
func (t *Table) Changed() <-chan struct{} {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.changed
}

// grantsVersion returns the version from which on a session's grants have been
// what this host's table shows.
func (t *Table) grantsVersion(group string, session uint64) uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.views[group].GrantsVersion(session)
}

// grants returns the grants of a session as this host's table shows them.
func (t *Table) grants(group, name string, session uint64) wire.Grants {
	t.mu.RLock()
	defer t.mu.RUnlock()
	state := t.views[group].State()
	grants := wire.Grants{Session: session, Version: state.Version()}
	server, ok := state.Server(session)
	if !ok || server.Name != name {
		return grants
	}
	service := state.Service(server.Service)
	if service == nil {
		return grants
	}
	for number, slot := range service.Slots {
		if slot.Owner != session {
			continue
		}
		grant := wire.Grant{Slot: number, Token: slot.Token}
		switch slot.Status {
		case ownership.Owned:
			grants.Held = append(grants.Held, grant)
		case ownership.Releasing:
			grants.Releasing = append(grants.Releasing, grant)
		}
	}
	grants.HotKeys = hotKeys(service)
	return grants
}

func hotKeys(service *ownership.Service) []wire.HotKey {
	var keys []wire.HotKey
	for key, slot := range service.HotKeys {
		keys = append(keys, wire.HotKey{Service: service.Name, Key: key, Slot: slot})
	}
	slices.SortFunc(keys, func(a, b wire.HotKey) int { return a.Slot - b.Slot })
	return keys
}

// session returns a session's server.
func (t *Table) session(group string, session uint64) (entry.Server, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	server, ok := t.views[group].State().Server(session)
	return t.server(group, server), ok
}

// groupOf returns the group that holds a server's session.
func (t *Table) groupOf(name string, session uint64) (string, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, group := range t.regions {
		if server, ok := t.views[group].State().Server(session); ok && server.Name == name {
			return group, true
		}
	}
	return "", false
}
