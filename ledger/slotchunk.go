package ledger

import (
	"math"

	"github.com/pkg/errors"
)

// ErrNotSealed means that a slot's records cannot be extracted before the slot is sealed.
var ErrNotSealed = errors.New("the slot is not sealed")

// SlotChunk holds the records of a sealed slot for transfer to another group: all of them, or
// consecutive ones as returned by Split.
type SlotChunk struct {
	Service     string         `cbor:"s"`
	Slot        int            `cbor:"p"`
	Move        uint64         `cbor:"m"` // number of the move
	LastAttempt uint64         `cbor:"l"` // upper bound of the source group's attempt numbers
	SourceTime  uint64         `cbor:"o"` // logical time of the source group at the extraction
	Offset      int            `cbor:"f"` // index of the first record among all records of the slot
	Total       int            `cbor:"t"` // number of records of the slot
	Records     []storedRecord `cbor:"r"` // in the order of sortRecords
}

// last reports whether the chunk contains the slot's last record.
func (c SlotChunk) last() bool { return c.Offset+len(c.Records) == c.Total }

// recordOverheadBytes is an upper bound on the encoded size of a record without its strings and
// body.
const recordOverheadBytes = 128

func (s *storedRecord) maxSizeBytes() int {
	return recordOverheadBytes + len(s.Service) + len(s.Customer) + len(s.Key) + len(s.Host) + len(s.ContentType) + len(s.Body)
}

// Split divides a chunk into chunks of about maxBytes at most, with at least one record each. They
// must be adopted in order; the slot accepts commands after the last one.
func (c SlotChunk) Split(maxBytes int) []SlotChunk {
	chunks := []SlotChunk{c.emptyAt(0)}
	size := 0
	for i := range c.Records {
		size += c.Records[i].maxSizeBytes()
		current := &chunks[len(chunks)-1]
		if size > maxBytes && len(current.Records) > 0 {
			chunks = append(chunks, c.emptyAt(i))
			current = &chunks[len(chunks)-1]
			size = c.Records[i].maxSizeBytes()
		}
		current.Records = c.Records[current.Offset-c.Offset : i+1]
	}
	return chunks
}

// emptyAt returns a chunk without records whose offset is that of the record of c at index.
func (c SlotChunk) emptyAt(index int) SlotChunk {
	c.Offset += index
	c.Records = nil
	return c
}

// SlotStatus is the status of a slot's last move.
type SlotStatus struct {
	Move     uint64 // number of the last move; 0 for a slot that never moved
	Sealed   bool
	Adopting bool // chunks of the last move are still missing; Sealed is also set
}

// SlotStatus returns the status of a slot's last move.
func (l *Ledger) SlotStatus(service string, slot int) SlotStatus {
	s := l.slots[slotID{service, slot}]
	return SlotStatus{Move: s.move, Sealed: s.sealed, Adopting: s.adopting}
}

// Extract returns all records of a sealed slot for Adopt in another group, without changing the
// ledger. It fails with ErrNotSealed, also while the slot is being adopted.
func (l *Ledger) Extract(service string, slot int) (SlotChunk, error) {
	s := l.slots[slotID{service, slot}]
	if !s.sealed || s.adopting {
		return SlotChunk{}, ErrNotSealed
	}
	records := l.recordsInSlot(service, slot)
	chunk := SlotChunk{
		Service: service, Slot: slot, Move: s.move,
		LastAttempt: l.lastAttempt, SourceTime: l.now, Total: len(records),
	}
	chunk.Records = make([]storedRecord, 0, len(records))
	for _, r := range records {
		chunk.Records = append(chunk.Records, r.stored(l.now))
	}
	return chunk, nil
}

// recordsInSlot returns a slot's records in the order of sortRecords.
func (l *Ledger) recordsInSlot(service string, slot int) []*record {
	var records []*record
	for r := l.slotRecords[slotID{service, slot}]; r != nil; r = r.slotNext {
		records = append(records, r)
	}
	sortRecords(records)
	return records
}

// seal has no effect when it is repeated for the same move.
func (l *Ledger) seal(s *Seal) Reply {
	if !validName(s.Service) || !validSlot(s.Slot) {
		return Reply{Refusal: RefusedInvalid}
	}
	id := slotID{s.Service, s.Slot}
	current := l.slots[id]
	if current.sealed && !current.adopting && current.move == s.Move {
		return Reply{}
	}
	if current.sealed || s.Move <= current.move {
		return Reply{Refusal: RefusedStaleMove}
	}
	l.slots[id] = slotState{move: s.Move, sealed: true}
	return Reply{}
}

func (l *Ledger) drop(d *Drop) Reply {
	current := l.slots[slotID{d.Service, d.Slot}]
	if !current.sealed || current.adopting || current.move != d.Move {
		return Reply{Refusal: RefusedStaleMove}
	}
	l.removeSlot(d.Service, d.Slot)
	return Reply{}
}

func (l *Ledger) removeSlot(service string, slot int) {
	for _, r := range l.recordsInSlot(service, slot) {
		l.remove(r)
	}
}

// adopt imports a chunk. A chunk that was already adopted has no effect. The first chunk of another
// extraction restarts an unfinished move.
func (l *Ledger) adopt(chunk SlotChunk) Reply {
	if !l.validChunk(chunk) {
		return Reply{Refusal: RefusedInvalid}
	}
	id := slotID{chunk.Service, chunk.Slot}
	current := l.slots[id]
	if chunk.Move == current.move && !current.sealed {
		return Reply{}
	}
	if chunk.Move < current.move || (chunk.Move == current.move && !current.adopting) {
		return Reply{Refusal: RefusedStaleMove}
	}
	resumed := current.adopting && chunk.Move == current.move && chunk.SourceTime == current.sourceTime
	switch {
	case resumed && chunk.Offset+len(chunk.Records) <= current.adopted:
		return Reply{}
	case chunk.Offset == 0:
		// Records may be left from an earlier move of the slot or an earlier extraction.
		l.removeSlot(chunk.Service, chunk.Slot)
	case !resumed || chunk.Offset != current.adopted:
		return Reply{Refusal: RefusedStaleMove}
	}
	l.lastAttempt = max(l.lastAttempt, chunk.LastAttempt)
	for _, s := range chunk.Records {
		// This group may have recorded the same run under another slot.
		if l.find(s.Service, s.Customer, s.Key) == nil {
			l.insert(s.record(l.now), accountID{s.Service, s.Customer})
		}
	}
	l.slots[id] = stateAfterChunk(chunk)
	return Reply{}
}

// stateAfterChunk returns a slot's state after a chunk was adopted. The last chunk unseals the
// slot.
func stateAfterChunk(chunk SlotChunk) slotState {
	if chunk.last() {
		return slotState{move: chunk.Move}
	}
	return slotState{
		move:       chunk.Move,
		sealed:     true,
		adopting:   true,
		sourceTime: chunk.SourceTime,
		adopted:    chunk.Offset + len(chunk.Records),
	}
}

// maxSlotRecords limits SlotChunk.Total.
const maxSlotRecords = math.MaxInt32

// validChunk reports whether the chunk can be adopted. It clamps the times of the chunk's records in
// place.
func (l *Ledger) validChunk(chunk SlotChunk) bool {
	if !validName(chunk.Service) || !validSlot(chunk.Slot) || chunk.Move == 0 || chunk.LastAttempt > maxTime {
		return false
	}
	if chunk.Offset < 0 || chunk.Offset > chunk.Total || chunk.Total > maxSlotRecords || chunk.Offset+len(chunk.Records) > chunk.Total {
		return false
	}
	if len(chunk.Records) == 0 && chunk.Total > 0 {
		return false
	}
	seen := make(map[[2]string]bool, len(chunk.Records))
	for i := range chunk.Records {
		s := &chunk.Records[i]
		id := [2]string{s.Customer, s.Key}
		if s.Service != chunk.Service || s.Slot != chunk.Slot || seen[id] {
			return false
		}
		if !s.clampTimes(l.now).valid(l.now, chunk.LastAttempt) {
			return false
		}
		seen[id] = true
	}
	return true
}
