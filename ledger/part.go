package ledger

import "github.com/pkg/errors"

// ErrNotSealed means that a slot must be sealed before its part is extracted.
var ErrNotSealed = errors.New("the slot is not sealed")

// Part is a sealed slot's records on their way to another group.
type Part struct {
	Service     string         `cbor:"s"`
	Slot        int            `cbor:"p"`
	Move        uint64         `cbor:"m"` // number of the move
	LastAttempt uint64         `cbor:"l"` // no attempt of the source group is higher
	Records     []storedRecord `cbor:"r"` // sorted
}

// Slot is the move state of one slot.
type Slot struct {
	Move   uint64 // number of the last move; 0 for a slot that never moved
	Sealed bool
}

// Slot returns the move state of a slot.
func (l *Ledger) Slot(service string, slot int) Slot {
	s := l.slots[slotID{service, slot}]
	return Slot{Move: s.move, Sealed: s.sealed}
}

// Extract returns the part of a sealed slot for Adopt in another group. It
// changes nothing. It fails with ErrNotSealed.
func (l *Ledger) Extract(service string, slot int) (Part, error) {
	s := l.slots[slotID{service, slot}]
	if !s.sealed {
		return Part{}, ErrNotSealed
	}
	part := Part{Service: service, Slot: slot, Move: s.move, LastAttempt: l.lastAttempt}
	records := l.inSlot(service, slot)
	part.Records = make([]storedRecord, 0, len(records))
	for _, r := range records {
		part.Records = append(part.Records, r.stored(l.now))
	}
	return part, nil
}

// inSlot returns a slot's records, sorted.
func (l *Ledger) inSlot(service string, slot int) []*record {
	var records []*record
	for _, r := range l.records {
		if int(r.slot) == slot && r.account.service == service {
			records = append(records, r)
		}
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
	if current.sealed && current.move == s.Move {
		return Reply{}
	}
	if current.sealed || s.Move <= current.move {
		return Reply{Refusal: RefusedMove}
	}
	l.slots[id] = slotState{move: s.Move, sealed: true}
	return Reply{}
}

func (l *Ledger) drop(d *Drop) Reply {
	current := l.slots[slotID{d.Service, d.Slot}]
	if !current.sealed || current.move != d.Move {
		return Reply{Refusal: RefusedMove}
	}
	l.removeSlot(d.Service, d.Slot)
	return Reply{}
}

func (l *Ledger) removeSlot(service string, slot int) {
	for _, r := range l.inSlot(service, slot) {
		l.remove(r)
	}
}

// adopt takes a part over. The same part adopted again has no effect.
func (l *Ledger) adopt(part Part) Reply {
	if !l.validPart(part) {
		return Reply{Refusal: RefusedInvalid}
	}
	id := slotID{part.Service, part.Slot}
	current := l.slots[id]
	if part.Move == current.move && !current.sealed {
		return Reply{}
	}
	if part.Move <= current.move {
		return Reply{Refusal: RefusedMove}
	}
	l.slots[id] = slotState{move: part.Move}
	l.lastAttempt = max(l.lastAttempt, part.LastAttempt)
	l.removeSlot(part.Service, part.Slot) // left from an earlier stay of the slot
	for _, s := range part.Records {
		// The same run under another slot: the group recorded it itself.
		if l.find(s.Service, s.Customer, s.Key) == nil {
			l.insert(s.record(l.now), accountID{s.Service, s.Customer})
		}
	}
	return Reply{}
}

func (l *Ledger) validPart(part Part) bool {
	if !validName(part.Service) || !validSlot(part.Slot) || part.Move == 0 || part.LastAttempt > maxTime {
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
