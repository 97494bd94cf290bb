package ownership

import "github.com/pkg/errors"

// ErrGap means that an update does not follow the version held; the reader must
// ask for the whole table.
var ErrGap = errors.New("table update does not follow the version held")

// View is a reader's copy of a region's table. It is not safe for concurrent use.
type View struct {
	state *State
}

// NewView returns an empty view at version 0.
func NewView() *View { return &View{state: NewState()} }

// Version returns the version of the view.
func (v *View) Version() uint64 { return v.state.version }

// State returns the view's content. The caller must not change it.
func (v *View) State() *State { return v.state }

// Update applies an encoded update that moves the table from one version to
// another; from 0 replaces the whole table. An update that does not lead beyond
// the version held is ignored, so the view never goes back. It fails with ErrGap
// or ErrInvalidTable.
func (v *View) Update(from, to uint64, body []byte) error {
	if to <= v.state.version {
		return nil
	}
	if from != 0 && from > v.state.version {
		return errors.Wrapf(ErrGap, "held %d, update from %d", v.state.version, from)
	}
	changes, err := DecodeChanges(body)
	if err != nil {
		return err
	}
	next := v.state
	if from == 0 {
		next = NewState()
	}
	for _, change := range changes {
		if err := next.applyChange(change); err != nil {
			return err
		}
	}
	next.version = to
	v.state = next
	return nil
}
