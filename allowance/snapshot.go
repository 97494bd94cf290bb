package allowance

import (
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/envelope"
)

// Errors of RestoreLists. RestoreParts and RestoreAcceptedParts fail only with ErrSnapshotCorrupt.
var (
	// ErrSnapshotCorrupt means that the snapshot is damaged or inconsistent.
	ErrSnapshotCorrupt = errors.New("allowance snapshot is corrupt")
	// ErrSnapshotVersion means that the snapshot has an unsupported format or version.
	ErrSnapshotVersion = errors.New("allowance snapshot version is not supported")
)

const (
	snapshotFormat  = "galenalug/allowance"
	snapshotVersion = 1
)

type storedChange struct {
	_        struct{} `cbor:",toarray"`
	Version  uint64
	Operator string
	Sum      []byte
}

type snapshot struct {
	Plans            PlanList       `cbor:"p"`
	Allowances       LimitList      `cbor:"a"`
	PlanHistory      []storedChange `cbor:"ph"`
	AllowanceHistory []storedChange `cbor:"ah"`
}

// Snapshot encodes the state. Equal states give equal bytes.
func (l *Lists) Snapshot() ([]byte, error) {
	data, err := envelope.Encode(snapshotFormat, snapshotVersion, snapshot{
		Plans:            l.plans.sorted(),
		Allowances:       l.allowances.sorted(),
		PlanHistory:      l.planHistory.stored(),
		AllowanceHistory: l.allowanceHistory.stored(),
	})
	return data, errors.Wrap(err, "encode allowance snapshot")
}

// RestoreLists decodes a snapshot. It fails with ErrSnapshotCorrupt or ErrSnapshotVersion.
func RestoreLists(data []byte) (*Lists, error) {
	var s snapshot
	err := envelope.Decode(data, snapshotFormat, snapshotVersion, &s)
	switch {
	case errors.Is(err, envelope.ErrVersion), errors.Is(err, envelope.ErrFormat):
		return nil, errors.Wrap(ErrSnapshotVersion, err.Error())
	case err != nil:
		return nil, errors.Wrap(ErrSnapshotCorrupt, err.Error())
	}
	l := &Lists{plans: s.Plans.sorted(), allowances: s.Allowances.sorted()}
	l.index()
	if err := l.checkRestored(); err != nil {
		return nil, err
	}
	if err := l.planHistory.restore(s.PlanHistory, l.plans.Version); err != nil {
		return nil, err
	}
	if err := l.allowanceHistory.restore(s.AllowanceHistory, l.allowances.Version); err != nil {
		return nil, err
	}
	return l, nil
}

func (l *Lists) checkRestored() error {
	var problems Problems
	if l.plans.Version > 0 {
		problems = append(problems, l.plans.Check()...)
	}
	if l.allowances.Version > 0 {
		problems = append(problems, l.allowances.Check()...)
	}
	l.checkPlansKnown(l.plans, &problems)
	if problems != nil {
		return errors.Wrap(ErrSnapshotCorrupt, problems.Error())
	}
	return nil
}

func (h *history) stored() []storedChange {
	changes := make([]storedChange, 0, len(h.changes))
	for _, c := range h.changes {
		changes = append(changes, storedChange{Version: c.Version, Operator: c.Operator, Sum: c.Sum[:]})
	}
	return changes
}

// restore requires that versions increase and end at the version of the current list.
func (h *history) restore(changes []storedChange, current uint64) error {
	last := uint64(0)
	for _, s := range changes {
		c := change{Version: s.Version, Operator: s.Operator}
		if s.Version <= last || len(s.Sum) != len(c.Sum) || len(h.changes) == historyLength {
			return errors.Wrapf(ErrSnapshotCorrupt, "invalid history entry of version %d", s.Version)
		}
		copy(c.Sum[:], s.Sum)
		h.changes = append(h.changes, c)
		last = s.Version
	}
	if last != current {
		return errors.Wrapf(ErrSnapshotCorrupt, "history ends at version %d, current list has version %d", last, current)
	}
	return nil
}
