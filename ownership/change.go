package ownership

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// ErrInvalidTable is returned for a snapshot or a list of changes that is malformed.
var ErrInvalidTable = errors.New("invalid ownership table")

// noSlot in a HotKeyChange means that the key no longer has a dedicated slot.
const noSlot = -1

// Change is one change of a region's ownership table. Exactly one field is set.
type Change struct {
	Server *Server      `cbor:"1,keyasint,omitempty"` // session added or changed
	Ended  uint64       `cbor:"2,keyasint,omitempty"` // ID of a session that has ended
	Slots  *SlotChanges `cbor:"3,keyasint,omitempty"`
}

// SlotChanges holds the new states of the changed slots and hot keys of one service.
type SlotChanges struct {
	Service   string         `cbor:"1,keyasint"`
	BaseSlots int            `cbor:"2,keyasint"` // number of base slots
	Slots     []SlotChange   `cbor:"3,keyasint,omitempty"`
	HotKeys   []HotKeyChange `cbor:"4,keyasint,omitempty"`
}

// SlotChange is the new state of one slot.
type SlotChange struct {
	_          struct{} `cbor:",toarray"`
	Slot       int
	Status     Status
	Owner      uint64
	Token      uint64
	Generation uint64
}

// HotKeyChange sets the dedicated slot of a key; -1 removes it.
type HotKeyChange struct {
	_    struct{} `cbor:",toarray"`
	Key  string
	Slot int
}

// EncodeChanges encodes changes as CBOR.
func EncodeChanges(changes []Change) ([]byte, error) {
	data, err := cbor.Marshal(changes)
	return data, errors.Wrap(err, "encode ownership changes")
}

// DecodeChanges decodes changes. All its errors wrap ErrInvalidTable.
func DecodeChanges(data []byte) ([]Change, error) {
	var changes []Change
	if err := cbor.Unmarshal(data, &changes); err != nil {
		return nil, errors.Wrap(ErrInvalidTable, err.Error())
	}
	return changes, nil
}

// Changes returns the full state as changes to an empty state.
func (s *State) Changes() []Change {
	var changes []Change
	for _, server := range s.Servers() {
		changes = append(changes, Change{Server: copyOf(server)})
	}
	for _, name := range s.ServiceNames() {
		changes = append(changes, Change{Slots: s.services[name].allChanges()})
	}
	return changes
}

func (s *Service) allChanges() *SlotChanges {
	all := SlotChanges{Service: s.Name, BaseSlots: s.BaseSlots}
	for number := range s.Slots {
		if s.Slots[number] != (Slot{}) {
			all.Slots = append(all.Slots, s.change(number))
		}
	}
	for _, key := range sortedKeys(s.HotKeys) {
		all.HotKeys = append(all.HotKeys, HotKeyChange{Key: key, Slot: s.HotKeys[key]})
	}
	return &all
}

// snapshot is the stored form of a State.
type snapshot struct {
	Version uint64   `cbor:"1,keyasint"`
	Changes []Change `cbor:"2,keyasint"`
}

// Snapshot encodes the state as CBOR.
func (s *State) Snapshot() ([]byte, error) {
	data, err := cbor.Marshal(snapshot{Version: s.version, Changes: s.Changes()})
	return data, errors.Wrap(err, "encode ownership snapshot")
}

// RestoreState decodes a snapshot. All its errors wrap ErrInvalidTable.
func RestoreState(data []byte) (*State, error) {
	var decoded snapshot
	if err := cbor.Unmarshal(data, &decoded); err != nil {
		return nil, errors.Wrap(ErrInvalidTable, err.Error())
	}
	s := NewState()
	s.version = decoded.Version
	for _, change := range decoded.Changes {
		if err := s.applyChange(change); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// applyChange applies a change that Apply returned for the original state.
func (s *State) applyChange(change Change) error {
	switch {
	case change.Server != nil:
		s.setServer(*change.Server)
	case change.Ended != 0:
		s.removeServer(change.Ended)
	case change.Slots != nil:
		return s.applySlots(*change.Slots)
	}
	return nil
}

// maxSlots is the largest number of base slots of a service. It bounds the memory that a decoded
// message can make the receiver allocate.
const maxSlots = 1 << 20

func (s *State) applySlots(change SlotChanges) error {
	if change.BaseSlots <= 0 || change.BaseSlots > maxSlots {
		return errors.Wrapf(ErrInvalidTable, "service %q has %d base slots, want 1 to %d", change.Service, change.BaseSlots, maxSlots)
	}
	service := s.services[change.Service]
	if service == nil {
		service = &Service{
			Name:      change.Service,
			BaseSlots: change.BaseSlots,
			Slots:     make([]Slot, change.BaseSlots+HotKeySlots),
			HotKeys:   map[string]int{},
		}
		s.services[change.Service] = service
	}
	for _, slot := range change.Slots {
		if !service.hasSlot(slot.Slot) || slot.Status > Releasing {
			return errors.Wrapf(ErrInvalidTable, "service %q: slot %d is out of range or has the unknown status %d", change.Service, slot.Slot, slot.Status)
		}
		service.Slots[slot.Slot] = Slot{Status: slot.Status, Owner: slot.Owner, Token: slot.Token, Generation: slot.Generation}
	}
	for _, hot := range change.HotKeys {
		if hot.Slot == noSlot {
			delete(service.HotKeys, hot.Key)
			continue
		}
		if !service.hasSlot(hot.Slot) {
			return errors.Wrapf(ErrInvalidTable, "service %q: dedicated slot %d of a hot key is out of range", change.Service, hot.Slot)
		}
		service.HotKeys[hot.Key] = hot.Slot
	}
	return nil
}
