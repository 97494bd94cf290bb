package catalog

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Decoding errors.
var (
	// ErrInvalidCommand means that a command could not be decoded.
	ErrInvalidCommand = errors.New("invalid catalog command")
	// ErrInvalidTable means that an encoded table could not be decoded.
	ErrInvalidTable = errors.New("invalid catalog table")
)

// Home is the home region of one slot.
type Home struct {
	Region     string // empty if the slot has no home yet
	To         string // destination of the move in progress; empty if there is none
	Generation uint64 // number of home regions that the slot has had, including the current one
}

// Service is one service and the homes of its slots. A service that is not keyed has no slots.
type Service struct {
	Name  string
	Keyed bool
	Homes []Home
}

// Command is one entry of the global group's log that concerns services. Exactly one field is set.
type Command struct {
	AddService *AddService `cbor:"1,keyasint,omitempty"`
	MoveHomes  *MoveHomes  `cbor:"2,keyasint,omitempty"`
	Retired    *Retired    `cbor:"3,keyasint,omitempty"`
}

// AddService adds a service. It has no effect if a service of that name exists.
type AddService struct {
	Name  string `cbor:"1,keyasint"`
	Keyed bool   `cbor:"2,keyasint"`
	Slots int    `cbor:"3,keyasint"`
}

// HomeMove is the destination region of one slot.
type HomeMove struct {
	_    struct{} `cbor:",toarray"`
	Slot int
	To   string
}

// MoveHomes sets the homes of slots that have none and starts a move of other slots.
type MoveHomes struct {
	Service string     `cbor:"1,keyasint"`
	Moves   []HomeMove `cbor:"2,keyasint"`
}

// Retired confirms that a region has given up slots, which completes their moves. Generations holds
// the generation of each of Slots; a slot whose generation differs is skipped.
type Retired struct {
	Service     string   `cbor:"1,keyasint"`
	Region      string   `cbor:"2,keyasint"`
	Slots       []int    `cbor:"3,keyasint"`
	Generations []uint64 `cbor:"4,keyasint"`
}

// Encode returns the command in CBOR.
func (c Command) Encode() ([]byte, error) {
	data, err := cbor.Marshal(c)
	return data, errors.Wrap(err, "encode catalog command")
}

// DecodeCommand decodes a command. Errors wrap ErrInvalidCommand.
func DecodeCommand(data []byte) (Command, error) {
	var c Command
	if err := cbor.Unmarshal(data, &c); err != nil {
		return c, errors.Wrap(ErrInvalidCommand, err.Error())
	}
	return c, nil
}

// State is the replicated state. It is not safe for concurrent use.
type State struct {
	version  uint64
	services map[string]*Service
}

// NewState returns the state before the first command.
func NewState() *State { return &State{services: map[string]*Service{}} }

// Version returns the log index of the last command that changed a service.
func (s *State) Version() uint64 { return s.version }

// Service returns the service of that name, or nil if there is none. The caller must not modify it.
func (s *State) Service(name string) *Service { return s.services[name] }

// Names returns the names of all services in ascending order.
func (s *State) Names() []string {
	names := make([]string, 0, len(s.services))
	for name := range s.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Apply applies the command of a log entry and returns the names of the changed services.
func (s *State) Apply(index uint64, c Command) []string {
	changed := s.applyCommand(c)
	if len(changed) > 0 {
		s.version = index
	}
	return changed
}

func (s *State) applyCommand(c Command) []string {
	switch {
	case c.AddService != nil:
		return s.addService(*c.AddService)
	case c.MoveHomes != nil:
		return s.moveHomes(*c.MoveHomes)
	case c.Retired != nil:
		return s.retired(*c.Retired)
	}
	return nil
}

func (s *State) addService(c AddService) []string {
	if _, ok := s.services[c.Name]; ok || c.Slots < 0 || c.Slots > maxSlots {
		return nil
	}
	service := &Service{Name: c.Name, Keyed: c.Keyed}
	if c.Keyed {
		service.Homes = make([]Home, c.Slots)
	}
	s.services[c.Name] = service
	return []string{c.Name}
}

func (s *State) moveHomes(c MoveHomes) []string {
	service := s.services[c.Service]
	if service == nil {
		return nil
	}
	changed := false
	for _, move := range c.Moves {
		if move.Slot < 0 || move.Slot >= len(service.Homes) {
			continue
		}
		changed = service.Homes[move.Slot].moveTo(move.To) || changed
	}
	if !changed {
		return nil
	}
	return []string{c.Service}
}

// moveTo sets the first home or starts a move, and reports whether the home changed.
func (h *Home) moveTo(region string) bool {
	if h.Region == "" {
		*h = Home{Region: region, Generation: 1}
		return true
	}
	if h.To != "" || h.Region == region {
		return false
	}
	h.To = region
	return true
}

func (s *State) retired(c Retired) []string {
	service := s.services[c.Service]
	if service == nil {
		return nil
	}
	changed := false
	for i, slot := range c.Slots {
		if slot < 0 || slot >= len(service.Homes) || i >= len(c.Generations) {
			continue
		}
		home := &service.Homes[slot]
		if home.To == "" || home.Region != c.Region || home.Generation != c.Generations[i] {
			continue
		}
		*home = Home{Region: home.To, Generation: home.Generation + 1}
		changed = true
	}
	if !changed {
		return nil
	}
	return []string{c.Service}
}

// Destination returns the region that the slot is moving to, or its home region if it is not
// moving.
func (h Home) Destination() string {
	if h.To != "" {
		return h.To
	}
	return h.Region
}
