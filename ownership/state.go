package ownership

import (
	"slices"

	"github.com/galenalug/galenalug/placement"
)

// HotKeySlots is the number of slots of a service that are reserved for hot keys. They are numbered
// after the service's base slots.
const HotKeySlots = 256

// generationShift is the number of low bits of a fencing token that hold the log index; the slot's
// home generation is above them. Tokens thus keep increasing when the slot moves to another
// region, which has a log of its own.
const generationShift = 40

// Status is the state of a slot in one region.
type Status uint8

// Values of Status.
const (
	Absent    Status = iota // the region is not the slot's home
	Vacant                  // no owner; the slot may be assigned
	Owned                   // the owner may execute requests under its grant
	Releasing               // the owner must finish its running requests and release the grant
)

func (s Status) String() string {
	return [...]string{"absent", "vacant", "owned", "releasing"}[s]
}

// Slot is the ownership state of one slot.
type Slot struct {
	Status     Status
	Owner      uint64 // session
	Token      uint64 // fencing token of the current or last grant
	Generation uint64 // home generation; see Home
}

// Service is the ownership state of one service.
type Service struct {
	Name      string
	BaseSlots int            // number of base slots, to which keys are hashed
	Slots     []Slot         // base slots, then HotKeySlots slots for hot keys
	HotKeys   map[string]int // dedicated slot of each hot key
}

// SlotOf returns the slot that a key belongs to: its dedicated slot if it is a hot key, else its
// base slot.
func (s *Service) SlotOf(key string) int {
	if slot, ok := s.HotKeys[key]; ok {
		return slot
	}
	return placement.SlotOf(s.Name, key, s.BaseSlots)
}

// State is the replicated ownership state of one region. It is not safe for concurrent use.
type State struct {
	version       uint64
	servers       map[uint64]*Server
	services      map[string]*Service
	byIncarnation map[incarnationKey]uint64 // session of each incarnation
}

// incarnationKey identifies one incarnation of a server.
type incarnationKey struct {
	name        string
	incarnation string
}

// NewState returns an empty state, as before the first command.
func NewState() *State {
	return &State{servers: map[uint64]*Server{}, services: map[string]*Service{}, byIncarnation: map[incarnationKey]uint64{}}
}

// setServer adds a session or replaces the registration of an existing one.
func (s *State) setServer(server Server) {
	s.servers[server.Session] = &server
	s.byIncarnation[incarnationKey{server.Name, server.Incarnation}] = server.Session
}

func (s *State) removeServer(session uint64) {
	if server, ok := s.servers[session]; ok {
		delete(s.byIncarnation, incarnationKey{server.Name, server.Incarnation})
		delete(s.servers, session)
	}
}

// Version returns the log index of the last command that changed the state.
func (s *State) Version() uint64 { return s.version }

// Server returns the registration of a session.
func (s *State) Server(session uint64) (Server, bool) {
	server, ok := s.servers[session]
	if !ok {
		return Server{}, false
	}
	return *server, true
}

// Servers returns all registrations, ordered by session.
func (s *State) Servers() []Server {
	all := make([]Server, 0, len(s.servers))
	for _, id := range s.sessionIDs() {
		all = append(all, *s.servers[id])
	}
	return all
}

// Service returns the state of a service, or nil if it is unknown. The caller must not modify it.
func (s *State) Service(name string) *Service { return s.services[name] }

// ServiceNames returns the names of all services in ascending order.
func (s *State) ServiceNames() []string { return sortedKeys(s.services) }

func (s *State) sessionIDs() []uint64 {
	ids := make([]uint64, 0, len(s.servers))
	for id := range s.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// HeldSlotCount returns the number of slots that a session owns, including those being released.
func (s *State) HeldSlotCount(session uint64) int {
	server, ok := s.servers[session]
	if !ok {
		return 0
	}
	service := s.services[server.Service]
	if service == nil {
		return 0
	}
	count := 0
	for i := range service.Slots {
		if service.Slots[i].heldBy(session) {
			count++
		}
	}
	return count
}

func (s *Slot) heldBy(session uint64) bool {
	return s.Owner == session && (s.Status == Owned || s.Status == Releasing)
}
