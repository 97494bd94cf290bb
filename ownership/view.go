package ownership

import "github.com/pkg/errors"

// ErrGap means that an update does not follow the version held; the reader must
// ask for the whole table.
var ErrGap = errors.New("table update does not follow the version held")

// View is a reader's copy of a region's table. It is not safe for concurrent use.
type View struct {
	state *State
	// whole is the version of the last whole table taken, and touched that of the
	// last change after it of each session's grants. servers is the version at which
	// the set of sessions last changed.
	whole   uint64
	touched map[uint64]uint64
	servers uint64
}

// NewView returns an empty view at version 0.
func NewView() *View { return &View{state: NewState(), touched: map[uint64]uint64{}} }

// GrantsVersion returns a version from which on a session's grants have been what
// they are. It may be later than need be, and never goes back.
func (v *View) GrantsVersion(session uint64) uint64 { return max(v.whole, v.touched[session]) }

// ServersVersion returns the version at which the set of sessions last changed.
func (v *View) ServersVersion() uint64 { return v.servers }

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
		v.note(to, change)
		if err := next.applyChange(change); err != nil {
			return err
		}
	}
	next.version = to
	v.state = next
	if from == 0 {
		v.whole, v.servers = to, to
		clear(v.touched)
	}
	return nil
}

// note notes whose grants a change is about. It is called before the change.
func (v *View) note(to uint64, change Change) {
	switch {
	case change.Server != nil:
		v.touched[change.Server.Session] = to
		v.servers = to
	case change.Ended != 0:
		delete(v.touched, change.Ended)
		v.servers = to
	case change.Slots != nil:
		v.noteSlots(to, *change.Slots)
	}
}

func (v *View) noteSlots(to uint64, change SlotChanges) {
	service := v.state.services[change.Service]
	for _, slot := range change.Slots {
		if service != nil && service.has(slot.Slot) {
			v.touch(to, service.Slots[slot.Slot].Owner)
		}
		v.touch(to, slot.Owner)
	}
	if len(change.HotKeys) == 0 {
		return
	}
	for id, server := range v.state.servers {
		if server.Service == change.Service {
			v.touch(to, id)
		}
	}
}

// touch notes a change of a session's grants; session 0 is none.
func (v *View) touch(to, session uint64) {
	if session != 0 {
		v.touched[session] = to
	}
}
