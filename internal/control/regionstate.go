package control

import (
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/allowance"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/ledger"
	"github.com/galenalug/galenalug/ownership"
)

// Errors returned by applying a log entry.
var (
	// errInvalidEntry means that a log entry could not be decoded.
	errInvalidEntry = errors.New("invalid log entry")
	// errStaleTerm means that ownership commands were decided in an earlier leader term. They are
	// rejected, because a later leader may have renewed the sessions that they end.
	errStaleTerm = errors.New("ownership commands were decided in an earlier leader term")
)

// regionEntry is one entry of a region's log.
type regionEntry struct {
	Ownership  []ownership.Command      `cbor:"1,keyasint,omitempty"`
	Ledger     [][]byte                 `cbor:"2,keyasint,omitempty"` // list of ledger.Command
	Parts      []allowance.AcceptedPart `cbor:"3,keyasint,omitempty"`
	Term       uint64                   `cbor:"4,keyasint,omitempty"` // in which Ownership was decided
	StartsTerm bool                     `cbor:"5,keyasint,omitempty"` // marks the first entry of the leader of Term
}

// regionSnapshot is the encoded form of a region's state.
type regionSnapshot struct {
	Ownership []byte `cbor:"1,keyasint"`
	Ledger    []byte `cbor:"2,keyasint"`
	Parts     []byte `cbor:"3,keyasint"`
	Term      uint64 `cbor:"4,keyasint"`
}

// regionState is the replicated state of one region's group: slot ownership, the run ledger, and
// the parts of allowances that the region has accepted.
//
// Lock order: regionGroup.mu, regionState.mu, feed.mu. While regionGroup.mu is held, globalState.mu and
// the mutex of the group's runner are also acquired, but neither while regionState.mu is held.
type regionState struct {
	feed *feed

	mu        sync.RWMutex
	term      uint64 // latest term whose first entry was applied
	ownership *ownership.State
	runs      *ledger.Ledger
	accepted  *allowance.AcceptedParts
}

func newRegionState(group string) *regionState {
	return &regionState{
		feed:      newFeed(group),
		ownership: ownership.NewState(),
		runs:      ledger.New(),
		accepted:  allowance.NewAcceptedParts(),
	}
}

// Apply applies one log entry. It returns errStaleTerm, or an error that wraps errInvalidEntry.
// For an entry with ledger commands it returns the ledger.Reply of the first refused command, or
// of the last one if none is refused.
func (s *regionState) Apply(index uint64, data []byte) any {
	var entry regionEntry
	if err := cbor.Unmarshal(data, &entry); err != nil {
		return errors.Wrap(errInvalidEntry, err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if entry.StartsTerm {
		s.term = max(s.term, entry.Term)
		return nil
	}
	if len(entry.Ownership) > 0 && entry.Term != s.term {
		return errStaleTerm
	}
	s.applyOwnership(index, entry.Ownership)
	for _, part := range entry.Parts {
		s.accepted.Apply(part)
	}
	if len(entry.Ledger) == 0 {
		return nil
	}
	return s.applyLedger(index, entry.Ledger)
}

func (s *regionState) applyLedger(index uint64, commands [][]byte) any {
	var result ledger.Reply
	for _, encoded := range commands {
		command, err := ledger.DecodeCommand(encoded)
		if err != nil {
			return errors.Wrap(errInvalidEntry, err.Error())
		}
		if reply := s.applyLedgerCommand(index, command); result.Refusal == "" {
			result = reply
		}
	}
	return result
}

func (s *regionState) applyLedgerCommand(index uint64, command ledger.Command) ledger.Reply {
	if begin := command.Begin; begin != nil && !s.isHome(begin.Service, begin.Slot) {
		return ledger.Reply{Refusal: ledger.RefusedSealed}
	}
	return s.runs.Apply(index, command)
}

func (s *regionState) applyOwnership(index uint64, commands []ownership.Command) {
	var changes []ownership.Change
	for _, command := range commands {
		changes = append(changes, s.ownership.Apply(index, command)...)
		if command.Retire != nil {
			s.sealRetired(index, *command.Retire)
		}
	}
	if len(changes) == 0 {
		return
	}
	body, err := ownership.EncodeChanges(changes)
	if err != nil {
		return
	}
	s.feed.publish(s.ownership.Version(), body)
}

// sealRetired seals the run records of slots that the region has given up, so that no new ones
// are added.
func (s *regionState) sealRetired(index uint64, retired ownership.HomeSlots) {
	service := s.ownership.Service(retired.Service)
	if service == nil {
		return
	}
	for i, number := range retired.Moved {
		if service.Slots[number].Status != ownership.Absent {
			continue
		}
		seal := ledger.Seal{Service: retired.Service, Slot: number, Move: retired.Generations[i]}
		s.runs.Apply(index, ledger.Command{Seal: &seal})
	}
}

// isHome reports whether the region is the home of a slot. Unkeyed services have no slots; the
// entry host selects the ledger of their runs by the idempotency key.
func (s *regionState) isHome(name string, slot int) bool {
	service := s.ownership.Service(name)
	if service == nil {
		return slot == wire.NoSlot
	}
	if slot < 0 || slot >= len(service.Slots) {
		return false
	}
	return service.Slots[slot].Status != ownership.Absent
}

// Snapshot encodes the state.
func (s *regionState) Snapshot() ([]byte, error) {
	encode, err := s.Freeze()
	if err != nil {
		return nil, err
	}
	return encode()
}

// Freeze implements group.Freezer. It returns a function that encodes the state as of the call to
// Freeze. The run ledger may be large, so the function encodes it without holding the lock and on
// another goroutine than the one that applies log entries.
func (s *regionState) Freeze() (func() ([]byte, error), error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	ownershipData, err := s.ownership.Snapshot()
	if err != nil {
		return nil, err
	}
	partsData, err := s.accepted.Snapshot()
	if err != nil {
		return nil, err
	}
	frozen := s.runs.Freeze()
	term := s.term
	return func() ([]byte, error) {
		runs, err := frozen.Encode()
		if err != nil {
			return nil, err
		}
		return cbor.Marshal(regionSnapshot{Ownership: ownershipData, Ledger: runs, Parts: partsData, Term: term})
	}, nil
}

// Restore replaces the state with a snapshot.
func (s *regionState) Restore(_ uint64, data []byte) error {
	var decoded regionSnapshot
	if err := cbor.Unmarshal(data, &decoded); err != nil {
		return errors.Wrap(errInvalidEntry, err.Error())
	}
	owned, err := ownership.RestoreState(decoded.Ownership)
	if err != nil {
		return err
	}
	runs, err := ledger.Restore(decoded.Ledger)
	if err != nil {
		return err
	}
	accepted, err := allowance.RestoreAcceptedParts(decoded.Parts)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.term = decoded.Term
	s.ownership = owned
	s.runs = runs
	s.accepted = accepted
	s.feed.reset(owned.Version(), s.encodeTable())
	return nil
}

// encodeTable returns the encoded region table. The caller holds mu.
func (s *regionState) encodeTable() []byte {
	body, err := ownership.EncodeChanges(s.ownership.Changes())
	if err != nil {
		return nil
	}
	return body
}

// watch adds a watcher of the region's table.
func (s *regionState) watch(w watcher, heldVersion uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	s.feed.watch(w, heldVersion, s.encodeTable)
}
