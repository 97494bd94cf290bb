package catalog

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Errors of decoding.
var (
	// ErrInvalidCommand means that a command could not be decoded.
	ErrInvalidCommand = errors.New("invalid catalog command")
	// ErrInvalidTable means that a snapshot or table could not be decoded.
	ErrInvalidTable = errors.New("invalid catalog table")
)

// Home is the home of one slot.
type Home struct {
	Region     string // empty: none yet
	To         string // region that the home moves to; empty: it stays
	Generation uint64 // number of homes the slot has had
}

// Service is one service and the homes of its slots. A service that is not
// divided by key has no slots.
type Service struct {
	Name  string
	Keyed bool
	Homes []Home
}

// Command is one entry of the global log about services. Exactly one field is set.
type Command struct {
	AddService *AddService `cbor:"1,keyasint,omitempty"`
	MoveHomes  *MoveHomes  `cbor:"2,keyasint,omitempty"`
	Retired    *Retired    `cbor:"3,keyasint,omitempty"`
}

// AddService adds a service. The first addition wins; a later one changes nothing.
type AddService struct {
	Name  string `cbor:"1,keyasint"`
	Keyed bool   `cbor:"2,keyasint"`
	Slots int    `cbor:"3,keyasint"`
}

// HomeMove is the region that one slot's home goes to.
type HomeMove struct {
	_    struct{} `cbor:",toarray"`
	Slot int
	To   string
}

// MoveHomes sets the first homes of slots, or starts to move them.
type MoveHomes struct {
	Service string     `cbor:"1,keyasint"`
	Moves   []HomeMove `cbor:"2,keyasint"`
}

// Retired says that a region has given up slots of the given generations.
type Retired struct {
	Service     string   `cbor:"1,keyasint"`
	Region      string   `cbor:"2,keyasint"`
	Slots       []int    `cbor:"3,keyasint"`
	Generations []uint64 `cbor:"4,keyasint"`
}

// Encode returns the command's CBOR form.
func (c Command) Encode() ([]byte, error) {
	data, err := cbor.Marshal(c)
	return data, errors.Wrap(err, "encode catalog command")
}

// DecodeCommand decodes a command. It fails with ErrInvalidCommand.
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

// Service returns a service, nil for an unknown one. The caller must not change it.
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

// Apply executes the command of one log entry and returns the names of the
// services it changed.
func (s *State) Apply(index uint64, c Command) []string {
	changed := s.execute(c)
	if len(changed) > 0 {
		s.version = index
	}
	return changed
}

func (s *State) execute(c Command) []string {
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

func (s *State) addService(body AddService) []string {
	if _, ok := s.services[body.Name]; ok || body.Slots < 0 || body.Slots > maxSlots {
		return nil
	}
	service := &Service{Name: body.Name, Keyed: body.Keyed}
	if body.Keyed {
		service.Homes = make([]Home, body.Slots)
	}
	s.services[body.Name] = service
	return []string{body.Name}
}

func (s *State) moveHomes(body MoveHomes) []string {
	service := s.services[body.Service]
	if service == nil {
		return nil
	}
	changed := false
	for _, move := range body.Moves {
		if move.Slot < 0 || move.Slot >= len(service.Homes) {
			continue
		}
		changed = service.Homes[move.Slot].moveTo(move.To) || changed
	}
	if !changed {
		return nil
	}
	return []string{body.Service}
}

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

func (s *State) retired(body Retired) []string {
	service := s.services[body.Service]
	if service == nil {
		return nil
	}
	changed := false
	for i, number := range body.Slots {
		if number < 0 || number >= len(service.Homes) || i >= len(body.Generations) {
			continue
		}
		home := &service.Homes[number]
		if home.To == "" || home.Region != body.Region || home.Generation != body.Generations[i] {
			continue
		}
		*home = Home{Region: home.To, Generation: home.Generation + 1}
		changed = true
	}
	if !changed {
		return nil
	}
	return []string{body.Service}
}

// Destination returns the region that the home is in or moves to.
func (h Home) Destination() string {
	if h.To != "" {
		return h.To
	}
	return h.Region
}
