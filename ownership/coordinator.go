package ownership

import (
	"time"

	"github.com/galenalug/galenalug/lease"
	"github.com/galenalug/galenalug/placement"
)

// Planner decides which slots go where; placement.Planner is one.
type Planner interface {
	Plan(slots []placement.Slot, servers []placement.Server) placement.Plan
}

// Settings of a Coordinator.
type Settings struct {
	Region string
	// Lease is the lease of servers' and entry hosts' sessions.
	Lease time.Duration
	// MaxDeadline is the longest deadline of a request.
	MaxDeadline time.Duration
	// RampUp is the age at which a server counts with its whole capacity.
	RampUp time.Duration
}

// Heartbeat is a server's registration and renewal.
type Heartbeat struct {
	Server   Server      // as the server describes itself
	Session  uint64      // session held, 0 for none
	Released []SlotGrant // grants given back; only Slot and Token are used
}

// RenewalResponse answers a Heartbeat or an entry host's renewal.
type RenewalResponse struct {
	Session uint64        // 0: the session has ended, or is not yet registered
	Lease   time.Duration // from the moment the heartbeat was sent
}

// Coordinator is the leader's part of ownership. A new one is made for each term
// of leadership, once every entry of earlier terms is applied. It is not safe for
// concurrent use.
type Coordinator struct {
	settings Settings
	planner  Planner
	tracker  *lease.Tracker
	loads    *loadTable
	// withheld holds sessions that are not renewed any more.
	withheld map[uint64]bool
	// quarantined holds sessions that are renewed but get no slots.
	quarantined map[uint64]bool
	// hosts holds the entry hosts that this leader renewed; others may have been
	// renewed by an earlier leader until unknownHostsUntil.
	hosts             map[string]*entryHost
	unknownHostsUntil time.Duration
	// waits holds the table version of each revocation that entry hosts have
	// stopped sending to an owner that does not check tokens.
	waits map[waitKey]uint64
	// releases holds when each slot began to be released.
	releases map[slotKey]time.Duration
	// moves holds when each slot last got an owner.
	moves map[slotKey]time.Duration
	// plans holds when each service was last planned.
	plans map[string]time.Duration
	// targets holds where released slots shall go.
	targets map[slotKey]uint64
	// joined holds when this coordinator first saw each session.
	joined map[uint64]time.Duration
	// isolate and unisolate hold the keys to give a slot of their own, or to
	// return, by service.
	isolate   map[string]map[string]bool
	unisolate map[string]map[string]bool
	// scans holds what the last look at each service's slots found.
	scans map[string]*scan
	// barrier is the table version that an entry host must have applied for its
	// session to be renewed.
	barrier uint64
}

type slotKey struct {
	service string
	slot    int
}

type waitKey struct {
	session uint64
	slot    int // wholeSession for a session
}

const wholeSession = -1

// NewCoordinator returns a coordinator that takes over at now.
func NewCoordinator(settings Settings, planner Planner, now time.Duration, state *State) *Coordinator {
	return &Coordinator{
		settings:          settings,
		planner:           planner,
		tracker:           lease.NewTracker(settings.Lease, now, state.sessionIDs()),
		loads:             newLoadTable(),
		withheld:          map[uint64]bool{},
		waits:             map[waitKey]uint64{},
		hosts:             map[string]*entryHost{},
		unknownHostsUntil: now + settings.RevocationGracePeriod(),
		releases:          map[slotKey]time.Duration{},
		moves:             map[slotKey]time.Duration{},
		plans:             map[string]time.Duration{},
		targets:           map[slotKey]uint64{},
		joined:            map[uint64]time.Duration{},
		isolate:           map[string]map[string]bool{},
		unisolate:         map[string]map[string]bool{},
		scans:             map[string]*scan{},
		barrier:           state.Version(),
	}
}

// Heartbeat renews a server's session. The commands must be committed; when they
// hold a registration, the heartbeat is passed again after that.
func (c *Coordinator) Heartbeat(now time.Duration, state *State, h Heartbeat) (RenewalResponse, []Command) {
	session := h.Session
	if session == 0 {
		found, ok := state.FindSession(h.Server.Name, h.Server.Incarnation)
		if !ok {
			server := h.Server
			return RenewalResponse{}, []Command{{Register: &server}}
		}
		session = found
	}
	server, ok := state.servers[session]
	if !ok || server.Incarnation != h.Server.Incarnation || !c.renew(now, session, server) {
		return RenewalResponse{}, nil
	}
	return RenewalResponse{Session: session, Lease: c.settings.Lease}, c.follow(state, server, h)
}

// renew lengthens a lease that is not over. One that is over is never renewed:
// its end may already be on its way through the log.
func (c *Coordinator) renew(now time.Duration, session uint64, server *Server) bool {
	c.tracker.Ensure(now, session)
	if server.Suspended || c.withheld[session] || !c.tracker.Live(now, session) {
		return false
	}
	c.tracker.Renew(now, session)
	return true
}

// follow returns the commands that a live server's heartbeat asks for.
func (c *Coordinator) follow(state *State, server *Server, h Heartbeat) []Command {
	var commands []Command
	if h.Server.Draining && !server.Draining {
		commands = append(commands, Command{SetDraining: &Sessions{IDs: []uint64{server.Session}}})
	}
	service := state.services[server.Service]
	if service == nil || !server.Fencing {
		// An owner that does not check tokens cannot give a grant back: entry hosts
		// with an older table may still send to it, and it would execute.
		return commands
	}
	var released []SlotGrant
	for _, grant := range h.Released {
		if !service.has(grant.Slot) {
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

// entryHost is what the leader knows of one start of an entry host.
type entryHost struct {
	expires   time.Duration // end of its session's lease
	confirmed uint64        // latest table version that it confirmed
}

// EntryHostRenewal is an entry host's renewal of its session.
type EntryHostRenewal struct {
	Host    string // unique to one start of the host
	Version uint64 // table version applied
	// Confirmed is a table version. No request of the host runs any more under a
	// grant of a server without token checks that was revoked up to it.
	Confirmed uint64
}

// RenewEntryHost renews an entry host's session, which lets it send to servers that
// do not check tokens. A host that has not applied the latest revocation gets no
// lease.
func (c *Coordinator) RenewEntryHost(now time.Duration, r EntryHostRenewal) RenewalResponse {
	host := c.hosts[r.Host]
	if host == nil {
		host = &entryHost{}
		c.hosts[r.Host] = host
	}
	host.confirmed = max(host.confirmed, r.Confirmed)
	if r.Version < c.barrier {
		return RenewalResponse{}
	}
	host.expires = now + lease.WithDrift(c.settings.Lease)
	return RenewalResponse{Lease: c.settings.Lease}
}

// StopRenewing stops the renewal of a session, so that it ends with its lease.
func (c *Coordinator) StopRenewing(session uint64) { c.withheld[session] = true }

// SetQuarantined names the sessions that are renewed but get no slots, in place of
// those named before. Slots that they have stay theirs.
func (c *Coordinator) SetQuarantined(sessions []uint64) {
	c.quarantined = make(map[uint64]bool, len(sessions))
	for _, id := range sessions {
		c.quarantined[id] = true
	}
}

// ObserveLoad counts requests for a slot over an interval.
func (c *Coordinator) ObserveLoad(now time.Duration, service string, slot, requests int) {
	c.loads.observe(now, slotKey{service, slot}, requests)
}

// Remaining returns the time left of a session's lease.
func (c *Coordinator) Remaining(now time.Duration, session uint64) time.Duration {
	return c.tracker.Remaining(now, session)
}

// IsolateKey asks for a slot of the key's own.
func (c *Coordinator) IsolateKey(service, key string) { addKey(c.isolate, service, key) }

// ReturnKey asks for the end of the key's isolation.
func (c *Coordinator) ReturnKey(service, key string) { addKey(c.unisolate, service, key) }

func addKey(keys map[string]map[string]bool, service, key string) {
	if keys[service] == nil {
		keys[service] = map[string]bool{}
	}
	keys[service][key] = true
}

// Tick returns the commands that time makes due. They must be committed before
// the next call of Tick.
func (c *Coordinator) Tick(now time.Duration, state *State, homes Homes) []Command {
	c.track(now, state)
	commands := c.endLost(now, state)
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

// track starts the leases of new sessions and forgets ended ones.
func (c *Coordinator) track(now time.Duration, state *State) {
	for id := range state.servers {
		c.tracker.Ensure(now, id)
		if _, ok := c.joined[id]; !ok {
			c.joined[id] = now
		}
	}
	for id := range c.joined {
		if _, ok := state.servers[id]; !ok {
			delete(c.joined, id)
			delete(c.withheld, id)
			delete(c.waits, waitKey{id, wholeSession})
			c.tracker.Remove(id)
		}
	}
}
