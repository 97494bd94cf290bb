package allowance

import (
	"slices"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/envelope"
)

// AcceptedPart is a lowered part that a region has taken on. It stands in the
// region's own log before the region confirms it.
type AcceptedPart struct {
	_        struct{} `cbor:",toarray"`
	Customer string
	Service  string
	Number   uint64 // of the shift
	Units    int
}

// AcceptedPart returns the entry for the region's own log.
func (l LoweredPart) AcceptedPart() AcceptedPart {
	return AcceptedPart{Customer: l.Pair.Customer, Service: l.Pair.Service, Number: l.Part.Number, Units: l.Part.Units}
}

// Confirmation returns the region's confirmation.
func (l LoweredPart) Confirmation(region string) PartConfirmation {
	return PartConfirmation{Customer: l.Pair.Customer, Service: l.Pair.Service, Region: region, Number: l.Part.Number}
}

// AcceptedParts is the replicated state of one region's accepted parts. It keeps
// a new leader of the region, whose copy of Parts may be old, from using a part
// that another region has by then. Use NewAcceptedParts or RestoreAcceptedParts.
type AcceptedParts struct {
	parts map[Pair]Part
}

// NewAcceptedParts returns the state before the first part was accepted.
func NewAcceptedParts() *AcceptedParts { return &AcceptedParts{parts: map[Pair]Part{}} }

// Apply accepts a part. An earlier one has no effect.
func (a *AcceptedParts) Apply(p AcceptedPart) {
	pair := Pair{p.Customer, p.Service}
	if p.Number > a.parts[pair].Number {
		a.parts[pair] = Part{Number: p.Number, Units: p.Units}
	}
}

// HasAccepted reports whether a lowered part, or a later one, was accepted.
func (a *AcceptedParts) HasAccepted(l LoweredPart) bool {
	return a.parts[l.Pair].Number >= l.Part.Number
}

// EffectiveFraction returns the fraction of the limit that the region may use. part is what
// the region's copy of Parts shows, which may be old.
func (a *AcceptedParts) EffectiveFraction(pair Pair, part Part) float64 {
	if accepted := a.parts[pair]; part.Number < accepted.Number {
		part = accepted
	}
	return float64(part.Units) / TotalPartUnits
}

// Snapshot returns the whole state. Equal states give equal bytes.
func (a *AcceptedParts) Snapshot() ([]byte, error) {
	all := make([]AcceptedPart, 0, len(a.parts))
	for pair, part := range a.parts {
		all = append(all, AcceptedPart{Customer: pair.Customer, Service: pair.Service, Number: part.Number, Units: part.Units})
	}
	slices.SortFunc(all, func(a, b AcceptedPart) int {
		return comparePairs(Pair{a.Customer, a.Service}, Pair{b.Customer, b.Service})
	})
	data, err := envelope.Marshal(all)
	return data, errors.Wrap(err, "encode accepted parts")
}

// RestoreAcceptedParts returns the state of a snapshot; no bytes stand for the
// first state. It fails with ErrSnapshotCorrupt.
func RestoreAcceptedParts(data []byte) (*AcceptedParts, error) {
	a := NewAcceptedParts()
	if len(data) == 0 {
		return a, nil
	}
	var all []AcceptedPart
	if err := envelope.Unmarshal(data, &all); err != nil {
		return nil, errors.Wrap(ErrSnapshotCorrupt, err.Error())
	}
	for i, part := range all {
		if part.Units < 0 || part.Units > TotalPartUnits {
			return nil, errors.Wrapf(ErrSnapshotCorrupt, "entry %d", i)
		}
		a.Apply(part)
	}
	return a, nil
}
