package ownership

import "github.com/pkg/errors"

// ErrGap is returned for an update that starts after the held version; the reader must request the
// full table.
var ErrGap = errors.New("gap between the held table version and the update")

// View is a read-only copy of a region's ownership table, kept current by updates. It is not safe
// for concurrent use.
type View struct {
	state *State
	// whole is the version of the last full table that was applied.
	whole uint64
	// touched holds the version of the last change since then to each session's grants.
	touched map[uint64]uint64
	// servers is the version of the last change to the sessions.
	servers uint64
}

// NewView returns an empty view at version 0.
func NewView() *View { return &View{state: NewState(), touched: map[uint64]uint64{}} }

// GrantsVersion returns a version since which a session's grants have not changed. It is an upper
// bound of the version of their last change, and never decreases.
func (v *View) GrantsVersion(session uint64) uint64 { return max(v.whole, v.touched[session]) }

// ServersVersion returns the version at which a session was last added, changed or ended.
func (v *View) ServersVersion() uint64 { return v.servers }

// Version returns the version of the table that the view holds.
func (v *View) Version() uint64 { return v.state.version }

// State returns the held table. The caller must not modify it.
func (v *View) State() *State { return v.state }

// Update applies encoded changes that lead from one table version to another. If from is 0, they
// replace the whole table. An update to a version that is not newer than the held one is ignored,
// so the version never decreases. Update fails with ErrGap or ErrInvalidTable.
func (v *View) Update(from, to uint64, body []byte) error {
	if to <= v.state.version {
		return nil
	}
	if from != 0 && from > v.state.version {
		return errors.Wrapf(ErrGap, "held version %d, update starts at version %d", v.state.version, from)
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

// note records which sessions a change affects. It must be called before the change is applied,
// since it looks up the previous owners of slots.
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
		if service != nil && service.hasSlot(slot.Slot) {
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

// touch records a change to a session's grants. Session 0 stands for no owner.
func (v *View) touch(to, session uint64) {
	if session != 0 {
		v.touched[session] = to
	}
}
