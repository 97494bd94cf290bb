package ledger

import (
	"sort"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/envelope"
)

// Errors of Restore.
var (
	// ErrSnapshotCorrupt means that the snapshot is damaged or inconsistent.
	ErrSnapshotCorrupt = errors.New("ledger snapshot is corrupt")
	// ErrSnapshotVersion means that the format or version of the snapshot is not supported.
	ErrSnapshotVersion = errors.New("ledger snapshot version is not supported")
)

const (
	snapshotFormat  = "galenalug/ledger"
	snapshotVersion = 2
)

type storedSlot struct {
	_          struct{} `cbor:",toarray"`
	Service    string
	Slot       int
	Move       uint64
	Sealed     bool
	Adopting   bool
	SourceTime uint64
	Adopted    int
}

type snapshot struct {
	Limits      Limits         `cbor:"l"`
	Now         uint64         `cbor:"n"`
	LastAttempt uint64         `cbor:"a"`
	Slots       []storedSlot   `cbor:"s"` // sorted
	Records     []storedRecord `cbor:"r"` // sorted
}

// Frozen is the state of a ledger at the time of Freeze. It may be encoded on another goroutine while
// the ledger applies further commands.
type Frozen struct {
	state   snapshot // Records is set by Encode
	records []*record
}

// Freeze returns the current state. It copies one pointer per record.
func (l *Ledger) Freeze() *Frozen {
	f := &Frozen{
		state:   snapshot{Limits: l.limits, Now: l.now, LastAttempt: l.lastAttempt, Slots: l.storedSlots()},
		records: make([]*record, 0, len(l.records)),
	}
	for _, r := range l.records {
		f.records = append(f.records, r)
	}
	return f
}

// Encode returns the encoded snapshot. Equal states give equal bytes. It must be called at most
// once.
func (f *Frozen) Encode() ([]byte, error) {
	sortRecords(f.records)
	f.state.Records = make([]storedRecord, 0, len(f.records))
	for _, r := range f.records {
		f.state.Records = append(f.state.Records, r.stored(f.state.Now))
	}
	data, err := envelope.Encode(snapshotFormat, snapshotVersion, f.state)
	return data, errors.Wrap(err, "encode ledger snapshot")
}

// Snapshot returns the encoded state. For a large ledger, Freeze blocks the caller for less time.
func (l *Ledger) Snapshot() ([]byte, error) { return l.Freeze().Encode() }

func (l *Ledger) storedSlots() []storedSlot {
	slots := make([]storedSlot, 0, len(l.slots))
	for id, s := range l.slots {
		slots = append(slots, storedSlot{
			Service: id.service, Slot: id.slot, Move: s.move,
			Sealed: s.sealed, Adopting: s.adopting, SourceTime: s.sourceTime, Adopted: s.adopted,
		})
	}
	sort.Slice(slots, func(i, j int) bool {
		if slots[i].Service != slots[j].Service {
			return slots[i].Service < slots[j].Service
		}
		return slots[i].Slot < slots[j].Slot
	})
	return slots
}

// Restore returns the ledger of a snapshot. Errors wrap ErrSnapshotCorrupt or ErrSnapshotVersion.
func Restore(data []byte) (*Ledger, error) {
	var s snapshot
	err := envelope.Decode(data, snapshotFormat, snapshotVersion, &s)
	switch {
	case errors.Is(err, envelope.ErrVersion), errors.Is(err, envelope.ErrFormat):
		return nil, errors.Wrap(ErrSnapshotVersion, err.Error())
	case err != nil:
		return nil, errors.Wrap(ErrSnapshotCorrupt, err.Error())
	}
	if !s.Limits.valid() || s.Now > maxTime || s.LastAttempt > maxTime {
		return nil, errors.Wrap(ErrSnapshotCorrupt, "limits or counters out of range")
	}
	l := New()
	l.limits, l.now, l.lastAttempt = s.Limits, s.Now, s.LastAttempt
	l.expiry.lowest = s.Now / bucketMillis
	if err := l.restoreSlots(s.Slots); err != nil {
		return nil, err
	}
	if err := l.restoreRecords(s.Records); err != nil {
		return nil, err
	}
	return l, nil
}

func (l *Ledger) restoreSlots(slots []storedSlot) error {
	for _, s := range slots {
		id := slotID{s.Service, s.Slot}
		if _, exists := l.slots[id]; exists || !validName(s.Service) || !validSlot(s.Slot) || s.Move == 0 {
			return errors.Wrapf(ErrSnapshotCorrupt, "service %q: slot %d is invalid or a duplicate", s.Service, s.Slot)
		}
		if s.Adopting && (!s.Sealed || s.Adopted <= 0) {
			return errors.Wrapf(ErrSnapshotCorrupt, "service %q: slot %d has an inconsistent adoption state", s.Service, s.Slot)
		}
		l.slots[id] = slotState{move: s.Move, sealed: s.Sealed, adopting: s.Adopting, sourceTime: s.SourceTime, adopted: s.Adopted}
	}
	return nil
}

func (l *Ledger) restoreRecords(records []storedRecord) error {
	for i := range records {
		s := &records[i]
		if !s.valid(l.now, l.lastAttempt) || l.find(s.Service, s.Customer, s.Key) != nil {
			return errors.Wrapf(ErrSnapshotCorrupt, "record %d is invalid or a duplicate", i)
		}
		l.insert(s.record(l.now), accountID{s.Service, s.Customer})
	}
	return nil
}
