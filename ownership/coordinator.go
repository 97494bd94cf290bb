package ownership

import (
	"time"

	"github.com/galenalug/galenalug/lease"
	"github.com/galenalug/galenalug/placement"
)

// Planner decides which servers own which slots. placement.Planner implements it.
type Planner interface {
	Plan(slots []placement.Slot, servers []placement.Server) placement.Plan
}

// Settings holds the settings of a Coordinator.
type Settings struct {
	Region string
	// Lease is the duration of the leases of servers' and entry hosts' sessions.
	Lease time.Duration
	// MaxDeadline is the longest deadline that a request may have.
	MaxDeadline time.Duration
	// RampUp is the age from which a server's full capacity counts in plans.
	RampUp time.Duration
}

// Heartbeat registers a server or renews its session.
type Heartbeat struct {
	Server   Server      // as reported by the server
	Session  uint64      // current session, 0 if it has none
	Released []SlotGrant // released grants; only Slot and Token are used
}

// RenewalReply is the reply to a Heartbeat or an EntryHostRenewal.
type RenewalReply struct {
	Session uint64        // 0: ended or not yet registered; always 0 for an entry host
	Lease   time.Duration // counted from the sending of the request; 0: not renewed
}

// Coordinator is the leader's side of ownership. Each term of leadership uses a new Coordinator,
// created after all log entries of earlier terms have been applied. It is not safe for concurrent
// use.
type Coordinator struct {
	settings Settings
	planner  Planner
	tracker  *lease.Tracker
	loads    *loadTable
	// notRenewed holds the sessions that are no longer renewed.
	notRenewed map[uint64]bool
	// quarantined holds the sessions that are renewed but get no new slots.
	quarantined map[uint64]bool
	// entryHosts holds the entry hosts that this leader knows. Until unknownHostsUntil there may be
	// others, renewed by an earlier leader, with requests still running.
	entryHosts        map[string]*entryHost
	unknownHostsUntil time.Duration
	// waits holds the table version of each revocation from an owner that does not check tokens,
	// while requests under the revoked grants may still be running.
	waits map[waitKey]uint64
	// releaseStarts holds the time at which each Releasing slot was first seen in that state.
	releaseStarts map[slotKey]time.Duration
	// assignedAt holds the time at which each slot was last assigned.
	assignedAt map[slotKey]time.Duration
	// plannedAt holds the time of the last plan of each service.
	plannedAt map[string]time.Duration
	// moveTargets holds the session for which each slot being moved is planned. Plans count the
	// slot's load there until it is vacant. A new plan then assigns it, perhaps to another session.
	moveTargets map[slotKey]uint64
	// firstSeen holds the time at which this coordinator first saw each session.
	firstSeen map[uint64]time.Duration
	// keysToIsolate and keysToReturn hold, by service, the keys that are to get a dedicated slot
	// and the keys whose isolation is to end.
	keysToIsolate map[string]map[string]bool
	keysToReturn  map[string]map[string]bool
	// slotScans caches the last scan of each service's slots.
	slotScans map[string]*slotScan
	// minHostVersion is the oldest table version with which an entry host's session is renewed. It
	// is the version at the start of the term, raised by each revocation from an owner that does
	// not check tokens.
	minHostVersion uint64
}

type slotKey struct {
	service string
	slot    int
}

type waitKey struct {
	session uint64
	slot    int // wholeSession if the session is suspended
}

const wholeSession = -1

// NewCoordinator returns a Coordinator for a leader whose term starts at now. All sessions count as
// renewed at that time.
func NewCoordinator(settings Settings, planner Planner, now time.Duration, state *State) *Coordinator {
	return &Coordinator{
		settings:          settings,
		planner:           planner,
		tracker:           lease.NewTracker(settings.Lease, now, state.sessionIDs()),
		loads:             newLoadTable(),
		notRenewed:        map[uint64]bool{},
		waits:             map[waitKey]uint64{},
		entryHosts:        map[string]*entryHost{},
		unknownHostsUntil: now + settings.RevocationGracePeriod(),
		releaseStarts:     map[slotKey]time.Duration{},
		assignedAt:        map[slotKey]time.Duration{},
		plannedAt:         map[string]time.Duration{},
		moveTargets:       map[slotKey]uint64{},
		firstSeen:         map[uint64]time.Duration{},
		keysToIsolate:     map[string]map[string]bool{},
		keysToReturn:      map[string]map[string]bool{},
		slotScans:         map[string]*slotScan{},
		minHostVersion:    state.Version(),
	}
}

// Heartbeat handles a server's heartbeat: it renews the session, or registers the server if it has
// none. The caller must commit the returned commands. If the reply has no session although there
// are commands, they register the server, and the caller must pass the heartbeat again afterwards.
func (c *Coordinator) Heartbeat(now time.Duration, state *State, h Heartbeat) (RenewalReply, []Command) {
	session := h.Session
	if session == 0 {
		found, ok := state.FindSession(h.Server.Name, h.Server.Incarnation)
		if !ok {
			server := h.Server
			return RenewalReply{}, []Command{{Register: &server}}
		}
		session = found
	}
	server, ok := state.servers[session]
	if !ok || server.Incarnation != h.Server.Incarnation || !c.renew(now, session, server) {
		return RenewalReply{}, nil
	}
	return RenewalReply{Session: session, Lease: c.settings.Lease}, c.heartbeatCommands(state, server, h)
}

// renew extends a lease. An expired lease is never renewed, because the command that ends the
// session may already have been proposed.
func (c *Coordinator) renew(now time.Duration, session uint64, server *Server) bool {
	c.tracker.Ensure(now, session)
	if server.Suspended || c.notRenewed[session] || !c.tracker.Live(now, session) {
		return false
	}
	c.tracker.Renew(now, session)
	return true
}

// heartbeatCommands returns the commands for the draining flag and the released grants in a
// heartbeat.
func (c *Coordinator) heartbeatCommands(state *State, server *Server, h Heartbeat) []Command {
	var commands []Command
	if h.Server.Draining && !server.Draining {
		commands = append(commands, Command{SetDraining: &Sessions{IDs: []uint64{server.Session}}})
	}
	service := state.services[server.Service]
	if service == nil || !server.Fencing {
		// An owner that does not check tokens cannot release a grant itself: entry hosts with an
		// older table may still send requests, which it would execute.
		return commands
	}
	var released []SlotGrant
	for _, grant := range h.Released {
		if !service.hasSlot(grant.Slot) {
			continue
		}
		slot := service.Slots[grant.Slot]
		if slot.heldBy(server.Session) && slot.Token == grant.Token {
			released = append(released, SlotGrant{Slot: grant.Slot, Session: server.Session, Token: grant.Token})
		}
	}
	if len(released) > 0 {
		commands = append(commands, Command{Released: &SlotGrants{Service: server.Service, Grants: released}})
	}
	return commands
}

// entryHost is the session of one incarnation of an entry host.
type entryHost struct {
	expires   time.Duration // end of the lease
	confirmed uint64        // latest confirmed table version; see EntryHostRenewal
}

// EntryHostRenewal renews an entry host's session.
type EntryHostRenewal struct {
	Host    string // unique to one incarnation
	Version uint64 // latest applied table version
	// Confirmed is a table version such that the host has no request running under a grant that
	// was revoked at or before it. Only grants of servers that do not check tokens count.
	Confirmed uint64
}

// RenewEntryHost renews an entry host's session, during whose lease it may send requests to servers
// that do not check tokens. A host that has not applied the latest revocation gets no lease.
func (c *Coordinator) RenewEntryHost(now time.Duration, r EntryHostRenewal) RenewalReply {
	host := c.entryHosts[r.Host]
	if host == nil {
		host = &entryHost{}
		c.entryHosts[r.Host] = host
	}
	host.confirmed = max(host.confirmed, r.Confirmed)
	if r.Version < c.minHostVersion {
		return RenewalReply{}
	}
	host.expires = now + lease.WithDrift(c.settings.Lease)
	return RenewalReply{Lease: c.settings.Lease}
}

// StopRenewing makes the coordinator refuse to renew a session, which then ends when its lease
// expires.
func (c *Coordinator) StopRenewing(session uint64) { c.notRenewed[session] = true }

// SetQuarantined replaces the set of quarantined sessions. They are still renewed and keep the
// slots that they own, but get no new ones.
func (c *Coordinator) SetQuarantined(sessions []uint64) {
	c.quarantined = make(map[uint64]bool, len(sessions))
	for _, id := range sessions {
		c.quarantined[id] = true
	}
}

// ObserveLoad adds requests for a slot that an entry host reported at now.
func (c *Coordinator) ObserveLoad(now time.Duration, service string, slot, requests int) {
	c.loads.observe(now, slotKey{service, slot}, requests)
}

// Remaining returns the time until a session's lease expires.
func (c *Coordinator) Remaining(now time.Duration, session uint64) time.Duration {
	return c.tracker.Remaining(now, session)
}

// IsolateKey requests that a key be given a dedicated slot.
func (c *Coordinator) IsolateKey(service, key string) { addKey(c.keysToIsolate, service, key) }

// ReturnKey requests the end of a key's isolation.
func (c *Coordinator) ReturnKey(service, key string) { addKey(c.keysToReturn, service, key) }

func addKey(keys map[string]map[string]bool, service, key string) {
	if keys[service] == nil {
		keys[service] = map[string]bool{}
	}
	keys[service][key] = true
}

// Tick returns the commands that are due at now. The caller must commit them before it calls Tick
// again.
func (c *Coordinator) Tick(now time.Duration, state *State, homes Homes) []Command {
	c.trackSessions(now, state)
	commands := c.endExpiredSessions(now, state)
	commands = append(commands, c.finishReleases(now, state)...)
	for _, name := range homes.ServiceNames() {
		commands = append(commands, c.followHomes(state, name, homes.Of(name))...)
	}
	if len(commands) > 0 {
		return commands
	}
	for _, name := range state.ServiceNames() {
		commands = append(commands, c.planService(now, state, state.services[name], homes.Of(name))...)
	}
	return commands
}

// trackSessions starts the leases of new sessions and removes the entries of ended ones.
func (c *Coordinator) trackSessions(now time.Duration, state *State) {
	for id := range state.servers {
		c.tracker.Ensure(now, id)
		if _, ok := c.firstSeen[id]; !ok {
			c.firstSeen[id] = now
		}
	}
	for id := range c.firstSeen {
		if _, ok := state.servers[id]; !ok {
			delete(c.firstSeen, id)
			delete(c.notRenewed, id)
			delete(c.waits, waitKey{id, wholeSession})
			c.tracker.Remove(id)
		}
	}
}
