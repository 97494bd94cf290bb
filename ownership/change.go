package ownership

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// ErrInvalidTable means that a snapshot or a list of changes could not be decoded.
var ErrInvalidTable = errors.New("invalid ownership table")

// noSlot in a HotKeyChange means that the key has no slot of its own any more.
const noSlot = -1

// Change is one change of a region's table. Exactly one field is set.
type Change struct {
	Server *Server      `cbor:"1,keyasint,omitempty"` // added or changed
	Ended  uint64       `cbor:"2,keyasint,omitempty"` // session that ended
	Slots  *SlotChanges `cbor:"3,keyasint,omitempty"`
}

// SlotChanges are the new states of slots and hot keys of one service.
type SlotChanges struct {
	Service   string         `cbor:"1,keyasint"`
	BaseSlots int            `cbor:"2,keyasint"` // number of ordinary slots
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

// HotKeyChange gives a key a slot of its own, or none (-1).
type HotKeyChange struct {
	_    struct{} `cbor:",toarray"`
	Key  string
	Slot int
}

// EncodeChanges returns the CBOR form of changes.
func EncodeChanges(changes []Change) ([]byte, error) {
	data, err := cbor.Marshal(changes)
	return data, errors.Wrap(err, "encode ownership changes")
}

// DecodeChanges decodes changes. It fails with ErrInvalidTable.
func DecodeChanges(data []byte) ([]Change, error) {
	var changes []Change
	if err := cbor.Unmarshal(data, &changes); err != nil {
		return nil, errors.Wrap(ErrInvalidTable, err.Error())
	}
	return changes, nil
}

// Changes returns the whole state as changes from nothing.
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

// snapshot is the durable form of a State.
type snapshot struct {
	Version uint64   `cbor:"1,keyasint"`
	Changes []Change `cbor:"2,keyasint"`
}

// Snapshot returns the state's CBOR form.
func (s *State) Snapshot() ([]byte, error) {
	data, err := cbor.Marshal(snapshot{Version: s.version, Changes: s.Changes()})
	return data, errors.Wrap(err, "encode ownership snapshot")
}

// RestoreState returns the state of a snapshot. It fails with ErrInvalidTable.
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

// applyChange brings a state to where a change left the original.
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

// maxSlots bounds the table that a decoded message may ask for.
const maxSlots = 1 << 20

func (s *State) applySlots(change SlotChanges) error {
	if change.BaseSlots <= 0 || change.BaseSlots > maxSlots {
		return errors.Wrapf(ErrInvalidTable, "service %q: %d slots", change.Service, change.BaseSlots)
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
		if !service.has(slot.Slot) || slot.Status > Releasing {
			return errors.Wrapf(ErrInvalidTable, "service %q: slot %d", change.Service, slot.Slot)
		}
		service.Slots[slot.Slot] = Slot{Status: slot.Status, Owner: slot.Owner, Token: slot.Token, Generation: slot.Generation}
	}
	for _, hot := range change.HotKeys {
		if hot.Slot == noSlot {
			delete(service.HotKeys, hot.Key)
			continue
		}
		if !service.has(hot.Slot) {
			return errors.Wrapf(ErrInvalidTable, "service %q: hot key slot %d", change.Service, hot.Slot)
		}
		service.HotKeys[hot.Key] = hot.Slot
	}
	return nil
}
