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

// Table is the routing table of an entry host, made of the tables of all groups. It is safe for
// concurrent use.
type Table struct {
	now     func() time.Duration // monotonic
	regions []string             // group names, one per region, in ascending order

	mu             sync.RWMutex
	catalog        *catalog.State
	views          map[string]*ownership.View
	leases         map[string]*lease.Holder // of this host's session with each region's leader, by group
	joinedAt       map[sessionKey]time.Time // when each server session was first seen
	joinedVersions map[string]uint64        // ServersVersion that joinedAt reflects, by group
	changed        chan struct{}            // closed and replaced at each update
	running        map[*attempt]struct{}    // attempts to owners that do not check tokens
	confirmed      map[string]uint64        // last result of confirmVersion, by group
	received       map[string]bool          // whether a table was received, by group
}

// sessionKey identifies a backend server's session.
type sessionKey struct {
	group   string
	session uint64
}

// newTable returns a table without services or servers.
func newTable(regions []string, now func() time.Duration) *Table {
	t := &Table{
		now:            now,
		regions:        regions,
		catalog:        catalog.NewState(),
		views:          map[string]*ownership.View{},
		leases:         map[string]*lease.Holder{},
		joinedAt:       map[sessionKey]time.Time{},
		joinedVersions: map[string]uint64{},
		changed:        make(chan struct{}),
		running:        map[*attempt]struct{}{},
		confirmed:      map[string]uint64{},
		received:       map[string]bool{},
	}
	for _, region := range regions {
		t.views[region] = ownership.NewView()
		t.leases[region] = &lease.Holder{}
	}
	return t
}

// update applies an update of a group's table. It returns false if the update does not fit the table
// held, in which case the full table must be requested.
func (t *Table) update(u wire.TableUpdate) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	err := t.apply(u)
	if err != nil {
		log.WithError(err).WithField("group", u.Group).Warn("table update rejected; requesting the full table")
		return false
	}
	t.received[u.Group] = true
	close(t.changed)
	t.changed = make(chan struct{})
	return true
}

// hasReceived reports whether the tables of all the given groups have been received.
func (t *Table) hasReceived(groups ...string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, group := range groups {
		if !t.received[group] {
			return false
		}
	}
	return true
}

// apply applies an update. The caller holds mu.
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
		joinedAt = time.Time{} // servers in the first table may have been running for any time
	}
	if err := view.Update(u.From, u.Version, u.Body); err != nil {
		return err
	}
	t.updateJoined(u.Group, view, joinedAt)
	return nil
}

// updateJoined records the time at which new sessions were first seen and removes ended sessions. The
// caller holds mu.
func (t *Table) updateJoined(group string, view *ownership.View, joinedAt time.Time) {
	if t.joinedVersions[group] == view.ServersVersion() {
		return
	}
	t.joinedVersions[group] = view.ServersVersion()
	live := map[uint64]bool{}
	for _, server := range view.State().Servers() {
		live[server.Session] = true
		key := sessionKey{group, server.Session}
		if _, ok := t.joinedAt[key]; !ok {
			t.joinedAt[key] = joinedAt
		}
	}
	for key := range t.joinedAt {
		if key.group == group && !live[key.session] {
			delete(t.joinedAt, key)
		}
	}
}

// version returns the version of a group's table that this host holds.
func (t *Table) version(group string) uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if group == wire.GroupGlobal {
		return t.catalog.Version()
	}
	return t.views[group].Version()
}

// renewLease extends the lease of this host's session with a group, counted from the time at which the
// renewal was sent.
func (t *Table) renewLease(group string, sentAt, length time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	const session = 1 // the host has one session with each group
	t.leases[group].Renewed(session, sentAt, length)
}

// IsKeyed reports whether a service is keyed, that is, whether each key has an owner.
func (t *Table) IsKeyed(name string) (bool, error) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	service := t.catalog.Service(name)
	if service == nil {
		return false, errors.Wrap(entry.ErrUnknownService, name)
	}
	return service.Keyed, nil
}

// Home returns the group whose ledger holds the runs of a key, and the key's slot. For a service that
// is not keyed, the key is the idempotency key, and the slot is wire.NoSlot.
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

// Route returns the route to the owner of a key.
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
	if !server.Fencing && !t.leases[group].Valid(t.now()) {
		return entry.Route{}, errors.Wrapf(entry.ErrViewExpired, "group %q", group)
	}
	a := &attempt{group: group, server: server, slot: number, token: slot.Token}
	return entry.Route{
		Slot:         number,
		Token:        slot.Token,
		Server:       t.entryServer(group, server),
		Writable:     func() bool { return t.writable(a) },
		AttemptEnded: func(until time.Time) { t.endAttempt(a, until) },
	}, nil
}

// entryServer converts a server to an entry.Server. The caller holds mu.
func (t *Table) entryServer(group string, s ownership.Server) entry.Server {
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
		JoinedAt:    t.joinedAt[sessionKey{group, s.Session}],
	}
}

// Servers returns the servers of a service that accept new requests.
func (t *Table) Servers(service string) []entry.Server {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var servers []entry.Server
	for _, group := range t.regions {
		for _, s := range t.views[group].State().Servers() {
			if s.Service == service && !s.Draining && !s.Suspended {
				servers = append(servers, t.entryServer(group, s))
			}
		}
	}
	return servers
}

// Changed returns a channel that is closed at the next update of any group's table.
func (t *Table) Changed() <-chan struct{} {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.changed
}

// grantsVersion returns a version since which a session's grants have not changed in this host's table.
func (t *Table) grantsVersion(group string, session uint64) uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.views[group].GrantsVersion(session)
}

// grants returns the grants of a session in this host's table. They are empty if the session is not
// that of the named server.
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

// hotKeys returns the keys of a service that have a dedicated slot, by slot.
func hotKeys(service *ownership.Service) []wire.HotKey {
	var keys []wire.HotKey
	for key, slot := range service.HotKeys {
		keys = append(keys, wire.HotKey{Service: service.Name, Key: key, Slot: slot})
	}
	slices.SortFunc(keys, func(a, b wire.HotKey) int { return a.Slot - b.Slot })
	return keys
}

// serverBySession returns the server of a session.
func (t *Table) serverBySession(group string, session uint64) (entry.Server, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	server, ok := t.views[group].State().Server(session)
	return t.entryServer(group, server), ok
}

// groupOf returns the group that holds the session of the named server.
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
