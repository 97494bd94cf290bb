package ledger

import (
	"math"

	"github.com/pkg/errors"
)

// ErrNotSealed means that a slot must be sealed before its part is extracted.
var ErrNotSealed = errors.New("the slot is not sealed")

// SlotChunk is a sealed slot's records on their way to another group, or a run of
// them: see Split.
type SlotChunk struct {
	Service     string         `cbor:"s"`
	Slot        int            `cbor:"p"`
	Move        uint64         `cbor:"m"` // number of the move
	LastAttempt uint64         `cbor:"l"` // no attempt of the source group is higher
	Source      uint64         `cbor:"o"` // logical time of the source group at the extraction
	From        int            `cbor:"f"` // place of the first record among all of the slot's
	Total       int            `cbor:"t"` // number of the slot's records
	Records     []storedRecord `cbor:"r"` // sorted
}

// last reports whether no record follows the part's.
func (p SlotChunk) last() bool { return p.From+len(p.Records) == p.Total }

// recordOverhead is more than a stored record takes besides its strings, bytes.
const recordOverhead = 128

func (s *storedRecord) size() int {
	return recordOverhead + len(s.Service) + len(s.Customer) + len(s.Key) + len(s.Host) + len(s.ContentType) + len(s.Body)
}

// Split divides a part into parts of about maxBytes at most, but of one record at
// least, to be adopted in this order. The adopting ledger opens the slot with the
// last of them.
func (p SlotChunk) Split(maxBytes int) []SlotChunk {
	parts := []SlotChunk{p.at(0)}
	size := 0
	for i := range p.Records {
		size += p.Records[i].size()
		current := &parts[len(parts)-1]
		if size > maxBytes && len(current.Records) > 0 {
			parts = append(parts, p.at(i))
			current = &parts[len(parts)-1]
			size = p.Records[i].size()
		}
		current.Records = p.Records[current.From-p.From : i+1]
	}
	return parts
}

// at returns a part without records that begins at a record of p.
func (p SlotChunk) at(record int) SlotChunk {
	p.From += record
	p.Records = nil
	return p
}

// SlotStatus is the move state of one slot.
type SlotStatus struct {
	Move     uint64 // number of the last move; 0 for a slot that never moved
	Sealed   bool
	Adopting bool // parts of the last move's adoption are still missing; Sealed is set too
}

// SlotStatus returns the move state of a slot.
func (l *Ledger) SlotStatus(service string, slot int) SlotStatus {
	s := l.slots[slotID{service, slot}]
	return SlotStatus{Move: s.move, Sealed: s.sealed, Adopting: s.adopting}
}

// Extract returns the part of a sealed slot for Adopt in another group. It
// changes nothing. It fails with ErrNotSealed, also for a slot that is being
// adopted.
func (l *Ledger) Extract(service string, slot int) (SlotChunk, error) {
	s := l.slots[slotID{service, slot}]
	if !s.sealed || s.adopting {
		return SlotChunk{}, ErrNotSealed
	}
	records := l.inSlot(service, slot)
	part := SlotChunk{Service: service, Slot: slot, Move: s.move, LastAttempt: l.lastAttempt, Source: l.now, Total: len(records)}
	part.Records = make([]storedRecord, 0, len(records))
	for _, r := range records {
		part.Records = append(part.Records, r.stored(l.now))
	}
	return part, nil
}

// inSlot returns a slot's records, sorted.
func (l *Ledger) inSlot(service string, slot int) []*record {
	var records []*record
	for r := l.inSlots[slotID{service, slot}]; r != nil; r = r.slotAfter {
		records = append(records, r)
	}
	sortRecords(records)
	return records
}

// seal is idempotent for the same move.
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
	for _, r := range l.inSlot(service, slot) {
		l.remove(r)
	}
}

// adopt takes a part over. A part adopted again has no effect. The first part of
// an unfinished move begins it anew: the source may have been extracted again.
func (l *Ledger) adopt(part SlotChunk) Reply {
	if !l.validPart(part) {
		return Reply{Refusal: RefusedInvalid}
	}
	id := slotID{part.Service, part.Slot}
	current := l.slots[id]
	if part.Move == current.move && !current.sealed {
		return Reply{}
	}
	if part.Move < current.move || (part.Move == current.move && !current.adopting) {
		return Reply{Refusal: RefusedStaleMove}
	}
	started := current.adopting && part.Move == current.move && part.Source == current.source
	switch {
	case started && part.From+len(part.Records) <= current.adopted:
		return Reply{}
	case part.From == 0:
		l.removeSlot(part.Service, part.Slot) // left from an earlier stay or try
	case !started || part.From != current.adopted:
		return Reply{Refusal: RefusedStaleMove}
	}
	l.lastAttempt = max(l.lastAttempt, part.LastAttempt)
	for _, s := range part.Records {
		// The same run under another slot: the group recorded it itself.
		if l.find(s.Service, s.Customer, s.Key) == nil {
			l.insert(s.record(l.now), accountID{s.Service, s.Customer})
		}
	}
	l.slots[id] = adoptedState(part)
	return Reply{}
}

// adoptedState returns a slot's state after a part. The last part opens the slot.
func adoptedState(part SlotChunk) slotState {
	if part.last() {
		return slotState{move: part.Move}
	}
	return slotState{
		move:     part.Move,
		sealed:   true,
		adopting: true,
		source:   part.Source,
		adopted:  part.From + len(part.Records),
	}
}

// maxPartRecords bounds the number of a slot's records that a part may name.
const maxPartRecords = math.MaxInt32

func (l *Ledger) validPart(part SlotChunk) bool {
	if !validName(part.Service) || !validSlot(part.Slot) || part.Move == 0 || part.LastAttempt > maxTime {
		return false
	}
	if part.From < 0 || part.From > part.Total || part.Total > maxPartRecords || part.From+len(part.Records) > part.Total {
		return false
	}
	if len(part.Records) == 0 && part.Total > 0 {
		return false
	}
	seen := make(map[[2]string]bool, len(part.Records))
	for i := range part.Records {
		s := &part.Records[i]
		id := [2]string{s.Customer, s.Key}
		if s.Service != part.Service || s.Slot != part.Slot || seen[id] {
			return false
		}
		if !s.clampTimes(l.now).valid(l.now, part.LastAttempt) {
			return false
		}
		seen[id] = true
	}
	return true
}
