package ownership

// scan is the cached result of a scan over all slots of a service. It is valid while the state's
// version stays the same, which is the case for most calls of Tick.
type scan struct {
	version   uint64
	releasing bool   // at least one slot is Releasing
	urgent    bool   // at least one slot is vacant or has a draining owner
	homes     []Home // homes with which the slots are in step; nil if not known
}

// scanOf returns the scan of a service, from the cache if the version has not changed.
func (c *Coordinator) scanOf(state *State, service *Service) *scan {
	if last := c.scans[service.Name]; last != nil && last.version == state.Version() {
		return last
	}
	fresh := &scan{version: state.Version()}
	for number := range service.Slots {
		slot := &service.Slots[number]
		switch slot.Status {
		case Vacant:
			fresh.urgent = true
		case Releasing:
			fresh.releasing = true
		case Owned:
			fresh.urgent = fresh.urgent || state.servers[slot.Owner].Draining
		}
	}
	c.scans[service.Name] = fresh
	return fresh
}

// follows reports whether the slots are known to be in step with homes. It compares the slices by
// identity, since Homes returns a new slice for changed homes.
func (s *scan) follows(homes []Home) bool {
	return len(homes) > 0 && len(s.homes) == len(homes) && &s.homes[0] == &homes[0]
}
