package allowance

import (
	"slices"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/envelope"
)

// AcceptedPart is a lowered part that a region has accepted. The region commits it to its own log
// before it confirms the part.
type AcceptedPart struct {
	_        struct{} `cbor:",toarray"`
	Customer string
	Service  string
	Number   uint64 // log index of the shift that lowered the part
	Units    int
}

// AcceptedPart returns the entry by which the region accepts the part in its own log.
func (l LoweredPart) AcceptedPart() AcceptedPart {
	return AcceptedPart{Customer: l.Pair.Customer, Service: l.Pair.Service, Number: l.Part.Number, Units: l.Part.Units}
}

// Confirmation returns the confirmation of the part by region.
func (l LoweredPart) Confirmation(region string) PartConfirmation {
	return PartConfirmation{Customer: l.Pair.Customer, Service: l.Pair.Service, Region: region, Number: l.Part.Number}
}

// AcceptedParts is the replicated state of one region's accepted parts. It prevents a new leader of
// the region, whose copy of Parts may be stale, from using units that have since moved to another
// region. Use NewAcceptedParts or RestoreAcceptedParts.
type AcceptedParts struct {
	parts map[Pair]Part
}

// NewAcceptedParts returns the state without any accepted part.
func NewAcceptedParts() *AcceptedParts { return &AcceptedParts{parts: map[Pair]Part{}} }

// Apply accepts a part. It has no effect if the same or a later part was accepted before.
func (a *AcceptedParts) Apply(p AcceptedPart) {
	pair := Pair{p.Customer, p.Service}
	if p.Number > a.parts[pair].Number {
		a.parts[pair] = Part{Number: p.Number, Units: p.Units}
	}
}

// HasAccepted reports whether a lowered part or a later one of the same pair was accepted.
func (a *AcceptedParts) HasAccepted(l LoweredPart) bool {
	return a.parts[l.Pair].Number >= l.Part.Number
}

// EffectiveFraction returns the fraction of the limit that the region may use. part is from the
// region's copy of Parts, which may be older than the accepted part; the newer of the two applies.
func (a *AcceptedParts) EffectiveFraction(pair Pair, part Part) float64 {
	if accepted := a.parts[pair]; part.Number < accepted.Number {
		part = accepted
	}
	return float64(part.Units) / TotalPartUnits
}

// Snapshot encodes the state. Equal states give equal bytes.
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

// RestoreAcceptedParts decodes a snapshot. Empty data gives the state of NewAcceptedParts. It fails
// with ErrSnapshotCorrupt.
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
			return nil, errors.Wrapf(ErrSnapshotCorrupt, "invalid accepted part %d", i)
		}
		a.Apply(part)
	}
	return a, nil
}
