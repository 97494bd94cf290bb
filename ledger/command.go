package ledger

import (
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/envelope"
)

// Limits on the fields of commands.
const (
	MaxNameBytes        = 255 // service, customer, idempotency key or host
	MinDigestBytes      = 16  // only this many leading bytes of a digest are compared
	MaxDigestBytes      = 64  // length of a SHA-512 digest
	MinNonceBytes       = 8
	MaxNonceBytes       = 16
	MaxBodyBytes        = 16 << 10 // largest response body that is kept
	MaxContentTypeBytes = 255
	MaxDeadlineMillis   = 600_000 // longest deadline of a request
)

// ErrInvalidCommand means that the data does not decode to exactly one command.
var ErrInvalidCommand = errors.New("invalid ledger command")

// State is the state of a run.
type State string

// States of runs in Reply and Finish.
const (
	StateNew      State = "new"      // the Begin created the record; the sender may send once
	StateRunning  State = "running"  // another attempt is in flight
	StateAnswered State = "answered" // the run has a response, which the reply contains
	StateUnknown  State = "unknown"  // the outcome is unknown or the response was not kept; see Reason
	StateConflict State = "conflict" // the run's identity was already used for another request
	StateNotRun   State = "not_run"  // the attempt did not run; its record is removed
	StateNotKept  State = "not_kept" // in Finish only: the response is too large for the command
)

// Reason explains StateUnknown.
type Reason string

// Reasons.
const (
	ReasonNone          Reason = ""
	ReasonNoAnswer      Reason = "no_answer"       // the sender received no response
	ReasonDeadline      Reason = "deadline"        // no Finish came within the deadline and slack
	ReasonAnswerNotKept Reason = "answer_not_kept" // the request ran, but its response exceeds a limit
)

// Begin records an attempt before its request is sent.
type Begin struct {
	Service        string `cbor:"s"`
	Slot           int    `cbor:"p"`
	Customer       string `cbor:"c"`
	Key            string `cbor:"i"` // idempotency key
	Digest         []byte `cbor:"d"` // of the method, path, request key and body
	Host           string `cbor:"e"` // entry host that sends the request
	Nonce          []byte `cbor:"x"` // unique to the attempt
	DeadlineMillis int    `cbor:"t"` // time within which the request is sent and answered
	At             uint64 `cbor:"a"` // logical time, milliseconds
}

// Finish records the outcome of an attempt.
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

// Seal prevents commands from adding or changing records of a slot, before it moves to another
// group.
type Seal struct {
	Service string `cbor:"s"`
	Slot    int    `cbor:"p"`
	Move    uint64 `cbor:"m"` // number of the move, above that of every earlier move of the slot
}

// Adopt imports records of a slot that another group sealed.
type Adopt struct {
	Chunk SlotChunk `cbor:"p"`
}

// Drop removes the records of a sealed slot after its new group has adopted them. The slot stays
// sealed.
type Drop struct {
	Service string `cbor:"s"`
	Slot    int    `cbor:"p"`
	Move    uint64 `cbor:"m"`
}

// Tick advances the logical time.
type Tick struct {
	At uint64 `cbor:"a"` // milliseconds
}

// Command is one log entry. Exactly one field is set.
type Command struct {
	Begin     *Begin  `cbor:"b,omitempty"`
	Finish    *Finish `cbor:"f,omitempty"`
	Seal      *Seal   `cbor:"s,omitempty"`
	Adopt     *Adopt  `cbor:"a,omitempty"`
	Drop      *Drop   `cbor:"d,omitempty"`
	Tick      *Tick   `cbor:"t,omitempty"`
	Configure *Limits `cbor:"c,omitempty"`
}

// Encode returns the command in CBOR.
func (c Command) Encode() ([]byte, error) {
	data, err := envelope.Marshal(c)
	return data, errors.Wrap(err, "encode ledger command")
}

// DecodeCommand decodes a command. Errors wrap ErrInvalidCommand.
func DecodeCommand(data []byte) (Command, error) {
	var c Command
	if err := envelope.Unmarshal(data, &c); err != nil {
		return Command{}, errors.Wrap(ErrInvalidCommand, err.Error())
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
		return Command{}, errors.Wrapf(ErrInvalidCommand, "%d fields are set, want 1", set)
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

// Refusal is an error that says why a command was rejected.
type Refusal string

// Refusals. A refused command neither permits a request to be sent nor changes a record.
const (
	RefusedInvalid      Refusal = "invalid"       // a field is missing or out of range
	RefusedSealed       Refusal = "sealed"        // the slot is moving or has moved to another group
	RefusedFull         Refusal = "full"          // the customer or the ledger has too many records
	RefusedStaleAttempt Refusal = "stale_attempt" // the record expired or belongs to another attempt
	RefusedLate         Refusal = "late"          // StateNotRun came after the outcome was decided
	// RefusedStaleMove means that the move's number is not above the last one, that the slot is not
	// sealed, or that a chunk is out of order.
	RefusedStaleMove Refusal = "stale_move"
)

// Error implements error.
func (r Refusal) Error() string { return "ledger command refused: " + string(r) }
