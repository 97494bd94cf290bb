package ownership

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// ErrInvalidCommand is returned for a command that cannot be decoded.
var ErrInvalidCommand = errors.New("invalid ownership command")

// Server is a backend server's registration. The dump of a control host encodes it as JSON under
// the Go names of its fields.
type Server struct {
	Session     uint64 `cbor:"1,keyasint"` // log index of its Register command
	Name        string `cbor:"2,keyasint"`
	Incarnation string `cbor:"3,keyasint"`
	Service     string `cbor:"4,keyasint"`
	Address     string `cbor:"5,keyasint"` // IP:port
	Region      string `cbor:"6,keyasint"`
	Domain      string `cbor:"7,keyasint"`
	Keyed       bool   `cbor:"8,keyasint"`  // the service is keyed
	Fencing     bool   `cbor:"9,keyasint"`  // the server checks fencing tokens
	Slots       int    `cbor:"10,keyasint"` // maximum number of concurrent requests
	Connections int    `cbor:"11,keyasint"` // maximum number of open connections
	Draining    bool   `cbor:"12,keyasint"`
	Suspended   bool   `cbor:"13,keyasint"` // lease expired; entry hosts must not send to it
}

// SlotGrant identifies the grant of one slot.
type SlotGrant struct {
	_       struct{} `cbor:",toarray"`
	Slot    int
	Session uint64 // Assign: the new owner; Released: the present owner
	Token   uint64 // Release and Released: fencing token of the grant
}

// Command is one ownership command in a region's log. Exactly one field is set.
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

// Sessions is the body of the commands that apply to sessions.
type Sessions struct {
	IDs []uint64 `cbor:"1,keyasint"`
}

// SlotGrants is the body of the commands that assign or release slots of one service.
type SlotGrants struct {
	Service string      `cbor:"1,keyasint"`
	Grants  []SlotGrant `cbor:"2,keyasint"`
}

// HomeSlots is the body of Adopt and Retire: the region becomes the home of slots, or ceases to be.
// Slots is the service's number of base slots, Moved the slots concerned, and Generations the home
// generation of each slot in Moved.
type HomeSlots struct {
	Service     string   `cbor:"1,keyasint"`
	Slots       int      `cbor:"2,keyasint"`
	Moved       []int    `cbor:"3,keyasint"`
	Generations []uint64 `cbor:"4,keyasint"`
}

// HotKeySet is the body of Isolate and Return: keys get dedicated slots, or go back to their base
// slots.
type HotKeySet struct {
	Service string   `cbor:"1,keyasint"`
	Keys    []string `cbor:"2,keyasint"`
}

// Encode encodes the command as CBOR.
func (c Command) Encode() ([]byte, error) {
	data, err := cbor.Marshal(c)
	return data, errors.Wrap(err, "encode ownership command")
}

// DecodeCommand decodes a command. All its errors wrap ErrInvalidCommand.
func DecodeCommand(data []byte) (Command, error) {
	var c Command
	if err := cbor.Unmarshal(data, &c); err != nil {
		return c, errors.Wrap(ErrInvalidCommand, err.Error())
	}
	return c, nil
}
