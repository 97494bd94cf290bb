package ownership

import (
	"slices"

	"github.com/galenalug/galenalug/placement"
)

// HotKeySlots is the number of slots of a service set aside for hot keys. They are
// numbered after the service's ordinary slots.
const HotKeySlots = 256

// generationShift places a slot's home generation above the log index in a
// fencing token, so that tokens grow over a move to another region's log.
const generationShift = 40

// Status is a slot's state in one region.
type Status uint8

// The states of a slot.
const (
	Absent    Status = iota // the region is not the slot's home
	Vacant                  // no owner; a grant may be given
	Owned                   // the owner may execute requests under its token
	Releasing               // the owner finishes running requests and gives the grant back
)

// String returns the state's name.
func (s Status) String() string {
	return [...]string{"absent", "vacant", "owned", "releasing"}[s]
}

// Slot is the ownership of one slot.
type Slot struct {
	Status     Status
	Owner      uint64 // session
	Token      uint64 // fencing token of the present or last grant
	Generation uint64 // home generation
}

// Service is the ownership of one service's slots.
type Service struct {
	Name      string
	BaseSlots int            // number of ordinary slots
	Slots     []Slot         // ordinary slots, then HotSlots slots for hot keys
	HotKeys   map[string]int // hot keys and the slots of their own
}

// SlotOf returns the slot of a key.
func (s *Service) SlotOf(key string) int {
	if slot, ok := s.HotKeys[key]; ok {
		return slot
	}
	return placement.SlotOf(s.Name, key, s.BaseSlots)
}

// State is a region's replicated ownership state. It is not safe for concurrent
// use.
type State struct {
	version  uint64
	servers  map[uint64]*Server
	services map[string]*Service
	// starts holds the session of each start of a server.
	starts map[serverStart]uint64
}

// serverStart identifies one start of a server.
type serverStart struct {
	name        string
	incarnation string
}

// NewState returns the state before the first command.
func NewState() *State {
	return &State{servers: map[uint64]*Server{}, services: map[string]*Service{}, starts: map[serverStart]uint64{}}
}

// setServer adds a session or replaces its server.
func (s *State) setServer(server Server) {
	s.servers[server.Session] = &server
	s.starts[serverStart{server.Name, server.Incarnation}] = server.Session
}

func (s *State) removeServer(session uint64) {
	if server, ok := s.servers[session]; ok {
		delete(s.starts, serverStart{server.Name, server.Incarnation})
		delete(s.servers, session)
	}
}

// Version returns the log index of the last command that changed the table.
func (s *State) Version() uint64 { return s.version }

// Server returns a session's server.
func (s *State) Server(session uint64) (Server, bool) {
	server, ok := s.servers[session]
	if !ok {
		return Server{}, false
	}
	return *server, true
}

// Servers returns all servers in the order of their sessions.
func (s *State) Servers() []Server {
	all := make([]Server, 0, len(s.servers))
	for _, id := range s.sessionIDs() {
		all = append(all, *s.servers[id])
	}
	return all
}

// Service returns a service's slots, nil for an unknown one. The caller must not
// change them.
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

// HeldSlotCount returns the number of slots that a session owns or releases.
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
