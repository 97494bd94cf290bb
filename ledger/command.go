package ledger

import (
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/envelope"
)

// Limits on the fields of commands.
const (
	MaxNameBytes      = 255      // service, customer, idempotency key or host
	MinDigestBytes    = 16       // the first 16 bytes of a digest are compared
	MaxDigestBytes    = 64       // length of a SHA-512
	MinNonceBytes     = 8        // shortest nonce
	MaxNonceBytes     = 16       // longest nonce
	MaxBodyBytes      = 16 << 10 // longest answer that is kept
	MaxContentType    = 255      // bytes
	MaxDeadlineMillis = 600_000  // longest deadline of a request
)

// ErrCommand means that bytes do not decode to exactly one command.
var ErrCommand = errors.New("not a ledger command")

// State is the state of a run.
type State string

// States of runs, in replies and in Finish.
const (
	StateNew      State = "new"      // the Begin created the record; its sender may send once
	StateRunning  State = "running"  // another try is in flight
	StateAnswered State = "answered" // the try was answered, and the answer is in the reply
	StateUnknown  State = "unknown"  // the outcome is not known, or its answer was not kept; see Reason
	StateConflict State = "conflict" // the same identity was used for another request
	StateNotRun   State = "not_run"  // the try did not run; the record is removed
	StateNotKept  State = "not_kept" // in Finish: answered, with an answer too large to send
)

// Reason says why a run's state is StateUnknown.
type Reason string

// Reasons.
const (
	ReasonNone          Reason = ""
	ReasonNoAnswer      Reason = "no_answer"       // the sender got no answer
	ReasonDeadline      Reason = "deadline"        // the sender did not finish in time
	ReasonAnswerNotKept Reason = "answer_not_kept" // it ran, and its answer was too large to keep
)

// Begin records a try before it is sent.
type Begin struct {
	Service        string `cbor:"s"`
	Slot           int    `cbor:"p"`
	Customer       string `cbor:"c"`
	Key            string `cbor:"i"` // idempotency key
	Digest         []byte `cbor:"d"` // of the method, path, request key and body
	Host           string `cbor:"e"` // entry host that will send it
	Nonce          []byte `cbor:"x"` // unique to the try
	DeadlineMillis int    `cbor:"t"` // milliseconds within which it is sent and answered
	At             uint64 `cbor:"a"` // logical time, milliseconds
}

// Finish records how a try ended.
type Finish struct {
	Service     string `cbor:"s"`
	Customer    string `cbor:"c"`
	Key         string `cbor:"i"` // idempotency key
	Attempt     uint64 `cbor:"n"` // from the reply to the Begin
	State       State  `cbor:"st"`
	Status      int    `cbor:"h"` // HTTP status
	ContentType string `cbor:"ct"`
	Body        []byte `cbor:"b"`
	At          uint64 `cbor:"a"` // logical time, milliseconds
}

// Seal stops new records and changes in a slot before it moves to another group.
// Move is the number of the move, higher than that of each earlier move of the
// slot between any groups.
type Seal struct {
	Service string `cbor:"s"`
	Slot    int    `cbor:"p"`
	Move    uint64 `cbor:"m"`
}

// Adopt takes over a slot that another group sealed.
type Adopt struct {
	Chunk SlotChunk `cbor:"p"`
}

// Drop removes the records of a sealed slot after its new group adopted it. The
// slot stays sealed.
type Drop struct {
	Service string `cbor:"s"`
	Slot    int    `cbor:"p"`
	Move    uint64 `cbor:"m"`
}

// Tick advances the logical time.
type Tick struct {
	At uint64 `cbor:"a"` // milliseconds
}

// Command is one entry of the log. Exactly one field is set.
type Command struct {
	Begin     *Begin  `cbor:"b,omitempty"`
	Finish    *Finish `cbor:"f,omitempty"`
	Seal      *Seal   `cbor:"s,omitempty"`
	Adopt     *Adopt  `cbor:"a,omitempty"`
	Drop      *Drop   `cbor:"d,omitempty"`
	Tick      *Tick   `cbor:"t,omitempty"`
	Configure *Limits `cbor:"c,omitempty"`
}

// Encode returns the command's CBOR.
func (c Command) Encode() ([]byte, error) {
	data, err := envelope.Marshal(c)
	return data, errors.Wrap(err, "encode ledger command")
}

// DecodeCommand decodes a command. It fails with ErrCommand.
func DecodeCommand(data []byte) (Command, error) {
	var c Command
	if err := envelope.Unmarshal(data, &c); err != nil {
		return Command{}, errors.Wrap(ErrCommand, err.Error())
	}
	set := 0
	for _, present := range []bool{
		c.Begin != nil, c.Finish != nil, c.Seal != nil, c.Adopt != nil, c.Drop != nil, c.Tick != nil, c.Configure != nil,
	} {
		if present {
			set++
		}
	}
	if set != 1 {
		return Command{}, errors.Wrapf(ErrCommand, "%d fields are set", set)
	}
	return c, nil
}

// Reply is the result of a command.
type Reply struct {
	State       State   `cbor:"st"`
	Reason      Reason  `cbor:"r,omitempty"`
	Refusal     Refusal `cbor:"f,omitempty"` // set when the command had no effect
	Attempt     uint64  `cbor:"n,omitempty"`
	Status      int     `cbor:"h,omitempty"`
	ContentType string  `cbor:"ct,omitempty"`
	Body        []byte  `cbor:"b,omitempty"`
}

// Err returns the reply's refusal as an error, or nil.
func (r Reply) Err() error {
	if r.Refusal == "" {
		return nil
	}
	return r.Refusal
}

// Refusal is the reason why a command had no effect. It is an error.
type Refusal string

// Refusals. After each, the command ran nothing and changed no record.
const (
	RefusedInvalid      Refusal = "invalid"       // a field is missing or out of range
	RefusedSealed       Refusal = "sealed"        // the slot moves or has moved to another group
	RefusedFull         Refusal = "full"          // the customer or the ledger has too many records
	RefusedStaleAttempt Refusal = "stale_attempt" // the attempt does not own the run, or the record has expired
	RefusedLate         Refusal = "late"          // not run came after the outcome was declared unknown
	RefusedStaleMove    Refusal = "stale_move"    // the move's number is not higher than the last one, or the slot is not sealed
)

// Error returns the refusal's text.
func (r Refusal) Error() string { return "ledger command refused: " + string(r) }
