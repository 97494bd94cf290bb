package ownership

import "github.com/pkg/errors"

// ErrGap is returned for an update that starts after the held version; the reader must request the
// full table.
var ErrGap = errors.New("gap between the held table version and the update")

// View is a read-only copy of a region's ownership table, kept current by updates. It is not safe
// for concurrent use.
type View struct {
	state *State
	// fullVersion is the version of the last full table that was applied.
	fullVersion uint64
	// grantsVersions holds, for each session whose grants have changed since fullVersion, the version
	// of their last change.
	grantsVersions map[uint64]uint64
	// serversVersion is the version of the last change to the sessions.
	serversVersion uint64
}

// NewView returns an empty view at version 0.
func NewView() *View { return &View{state: NewState(), grantsVersions: map[uint64]uint64{}} }

// GrantsVersion returns a version since which a session's grants have not changed. It is an upper
// bound of the version of their last change, and never decreases.
func (v *View) GrantsVersion(session uint64) uint64 {
	return max(v.fullVersion, v.grantsVersions[session])
}

// ServersVersion returns the version at which a session was last added, changed or ended.
func (v *View) ServersVersion() uint64 { return v.serversVersion }

// Version returns the version of the table that the view holds.
func (v *View) Version() uint64 { return v.state.version }

// State returns the held table. The caller must not modify it.
func (v *View) State() *State { return v.state }

// Update applies encoded changes that lead from one table version to another. If from is 0, they
// replace the full table. An update to a version that is not newer than the held one is ignored,
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
		v.recordChange(to, change)
		if err := next.applyChange(change); err != nil {
			return err
		}
	}
	next.version = to
	v.state = next
	if from == 0 {
		v.fullVersion, v.serversVersion = to, to
		clear(v.grantsVersions)
	}
	return nil
}

// recordChange records which sessions a change affects. It must be called before the change is
// applied, since it looks up the previous owners of slots.
func (v *View) recordChange(to uint64, change Change) {
	switch {
	case change.Server != nil:
		v.grantsVersions[change.Server.Session] = to
		v.serversVersion = to
	case change.Ended != 0:
		delete(v.grantsVersions, change.Ended)
		v.serversVersion = to
	case change.Slots != nil:
		v.recordSlotChanges(to, *change.Slots)
	}
}

func (v *View) recordSlotChanges(to uint64, change SlotChanges) {
	service := v.state.services[change.Service]
	for _, slot := range change.Slots {
		if service != nil && service.hasSlot(slot.Slot) {
			v.recordGrantsChange(to, service.Slots[slot.Slot].Owner)
		}
		v.recordGrantsChange(to, slot.Owner)
	}
	if len(change.HotKeys) == 0 {
		return
	}
	for id, server := range v.state.servers {
		if server.Service == change.Service {
			v.recordGrantsChange(to, id)
		}
	}
}

// recordGrantsChange records a change to a session's grants. Session 0 stands for no owner.
func (v *View) recordGrantsChange(to, session uint64) {
	if session != 0 {
		v.grantsVersions[session] = to
	}
}
