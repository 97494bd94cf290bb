package ownership

// scan is what a look at all slots of a service found. It holds as long as the
// state's version: most looks at what time makes due follow no change.
type scan struct {
	version   uint64
	releasing bool   // some slot is being released
	urgent    bool   // some slot has no owner, or one that drains
	homes     []Home // homes that the slots follow already; nil: not known
}

// scanOf returns the scan of a service at the state's version.
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

// follows reports whether the slots were found to follow these very homes.
func (s *scan) follows(homes []Home) bool {
	return len(homes) > 0 && len(s.homes) == len(homes) && &s.homes[0] == &homes[0]
}
