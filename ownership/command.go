package ownership

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// ErrInvalidCommand means that a command could not be decoded.
var ErrInvalidCommand = errors.New("invalid ownership command")

// Server is a backend server's registration.
type Server struct {
	Session     uint64 `cbor:"1,keyasint"` // log index of the registration
	Name        string `cbor:"2,keyasint"`
	Incarnation string `cbor:"3,keyasint"`
	Service     string `cbor:"4,keyasint"`
	Address     string `cbor:"5,keyasint"` // IP:port
	Region      string `cbor:"6,keyasint"`
	Domain      string `cbor:"7,keyasint"`
	Keyed       bool   `cbor:"8,keyasint"`
	Fencing     bool   `cbor:"9,keyasint"`
	Slots       int    `cbor:"10,keyasint"` // requests run at the same time
	Connections int    `cbor:"11,keyasint"` // open connections accepted
	Draining    bool   `cbor:"12,keyasint"`
	Suspended   bool   `cbor:"13,keyasint"` // judged lost: nothing may be sent to it
}

// SlotGrant names a grant of one slot.
type SlotGrant struct {
	_       struct{} `cbor:",toarray"`
	Slot    int
	Session uint64 // new owner, for an assignment
	Token   uint64 // token of the grant meant, for a release
}

// Command is one entry of a region's log. Exactly one field is set.
type Command struct {
	Register    *Server     `cbor:"1,keyasint,omitempty"`
	SetDraining *Sessions   `cbor:"2,keyasint,omitempty"`
	Suspend     *Sessions   `cbor:"3,keyasint,omitempty"`
	EndSessions *Sessions   `cbor:"4,keyasint,omitempty"`
	Assign      *SlotGrants `cbor:"5,keyasint,omitempty"`
	Release     *SlotGrants `cbor:"6,keyasint,omitempty"`
	Released    *SlotGrants `cbor:"7,keyasint,omitempty"`
	Adopt       *HomeSlots  `cbor:"8,keyasint,omitempty"`
	Retire      *HomeSlots  `cbor:"9,keyasint,omitempty"`
	Isolate     *HotKeySet  `cbor:"10,keyasint,omitempty"`
	Return      *HotKeySet  `cbor:"11,keyasint,omitempty"`
}

// Sessions is the body of commands about sessions.
type Sessions struct {
	IDs []uint64 `cbor:"1,keyasint"`
}

// SlotGrants is the body of commands about slots of one service.
type SlotGrants struct {
	Service string      `cbor:"1,keyasint"`
	Grants  []SlotGrant `cbor:"2,keyasint"`
}

// HomeSlots makes a region the home of slots, or ends that. Slots is the number
// of slots of the service, Generations the home generation of each moved slot.
type HomeSlots struct {
	Service     string   `cbor:"1,keyasint"`
	Slots       int      `cbor:"2,keyasint"`
	Moved       []int    `cbor:"3,keyasint"`
	Generations []uint64 `cbor:"4,keyasint"`
}

// HotKeySet isolates keys in slots of their own, or returns them.
type HotKeySet struct {
	Service string   `cbor:"1,keyasint"`
	Keys    []string `cbor:"2,keyasint"`
}

// Encode returns the command's CBOR form.
func (c Command) Encode() ([]byte, error) {
	data, err := cbor.Marshal(c)
	return data, errors.Wrap(err, "encode ownership command")
}

// DecodeCommand decodes a command. It fails with ErrInvalidCommand.
func DecodeCommand(data []byte) (Command, error) {
	var c Command
	if err := cbor.Unmarshal(data, &c); err != nil {
		return c, errors.Wrap(ErrInvalidCommand, err.Error())
	}
	return c, nil
}
