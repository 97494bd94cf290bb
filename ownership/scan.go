package ownership

// slotScan is the cached result of a scan over all slots of a service. It is valid while the
// state's version stays the same, which is the case for most calls of Tick.
type slotScan struct {
	version      uint64
	hasReleasing bool   // at least one slot is Releasing
	needsPlan    bool   // at least one slot is vacant or has a draining owner
	syncedHomes  []Home // homes for which no slot needs a command; nil if not known
}

// scanSlots returns the scan of a service, from the cache if the version has not changed.
func (c *Coordinator) scanSlots(state *State, service *Service) *slotScan {
	if last := c.slotScans[service.Name]; last != nil && last.version == state.Version() {
		return last
	}
	fresh := &slotScan{version: state.Version()}
	for number := range service.Slots {
		slot := &service.Slots[number]
		switch slot.Status {
		case Vacant:
			fresh.needsPlan = true
		case Releasing:
			fresh.hasReleasing = true
		case Owned:
			fresh.needsPlan = fresh.needsPlan || state.servers[slot.Owner].Draining
		}
	}
	c.slotScans[service.Name] = fresh
	return fresh
}

// syncedWith reports whether a scan found that no slot needs a command for these homes. It
// compares the slices by identity, since Homes returns a new slice for changed homes.
func (s *slotScan) syncedWith(homes []Home) bool {
	return len(homes) > 0 && len(s.syncedHomes) == len(homes) && &s.syncedHomes[0] == &homes[0]
}
