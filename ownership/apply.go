package ownership

import (
	"slices"

	"github.com/galenalug/galenalug/placement"
)

// Apply executes a command of the log entry at index and returns the resulting changes for views.
// Commands are validated again here, since they may have been proposed on an older state. The
// invalid parts of a command change nothing.
func (s *State) Apply(index uint64, c Command) []Change {
	changes := s.execute(index, c)
	if len(changes) > 0 {
		s.version = index
	}
	return changes
}

func (s *State) execute(index uint64, c Command) []Change {
	switch {
	case c.Register != nil:
		return s.register(index, *c.Register)
	case c.SetDraining != nil:
		return s.updateServers(c.SetDraining.IDs, func(server *Server) { server.Draining = true })
	case c.Suspend != nil:
		return s.updateServers(c.Suspend.IDs, func(server *Server) { server.Suspended = true })
	case c.EndSessions != nil:
		return s.endSessions(c.EndSessions.IDs)
	case c.Assign != nil:
		return s.assign(index, *c.Assign)
	case c.Release != nil:
		return s.release(*c.Release)
	case c.Released != nil:
		return s.released(*c.Released)
	case c.Adopt != nil:
		return s.adopt(*c.Adopt)
	case c.Retire != nil:
		return s.retire(*c.Retire)
	case c.Isolate != nil:
		return s.isolate(*c.Isolate)
	case c.Return != nil:
		return s.returnKeys(*c.Return)
	}
	return nil
}

// register adds a session. It is idempotent: an incarnation that already has a session keeps it.
func (s *State) register(index uint64, server Server) []Change {
	if _, ok := s.FindSession(server.Name, server.Incarnation); ok {
		return nil
	}
	server.Session = index
	server.Suspended = false
	s.setServer(server)
	return []Change{{Server: copyOf(server)}}
}

// FindSession returns the session of one incarnation of a server.
func (s *State) FindSession(name, incarnation string) (uint64, bool) {
	session, ok := s.byIncarnation[incarnationKey{name, incarnation}]
	return session, ok
}

func (s *State) updateServers(ids []uint64, set func(*Server)) []Change {
	var changes []Change
	for _, id := range ids {
		server, ok := s.servers[id]
		if !ok {
			continue
		}
		set(server)
		changes = append(changes, Change{Server: copyOf(*server)})
	}
	return changes
}

func (s *State) endSessions(ids []uint64) []Change {
	var changes []Change
	for _, id := range ids {
		server, ok := s.servers[id]
		if !ok {
			continue
		}
		changes = append(changes, s.vacateAll(server.Service, id)...)
		s.removeServer(id)
		changes = append(changes, Change{Ended: id})
	}
	return changes
}

// updateService calls change on a service and returns the changes that it recorded. For an unknown
// service it does nothing.
func (s *State) updateService(name string, change func(*Service, *changeRecorder)) []Change {
	service := s.services[name]
	if service == nil {
		return nil
	}
	recorder := newChangeRecorder(service)
	change(service, recorder)
	return recorder.changes()
}

func (s *State) vacateAll(name string, session uint64) []Change {
	return s.updateService(name, func(service *Service, recorder *changeRecorder) {
		for i := range service.Slots {
			if service.Slots[i].heldBy(session) {
				recorder.vacate(i)
			}
		}
	})
}

func (s *State) assign(index uint64, body SlotGrants) []Change {
	return s.updateService(body.Service, func(service *Service, recorder *changeRecorder) {
		for _, grant := range body.Grants {
			server, ok := s.servers[grant.Session]
			if !ok || server.Service != body.Service || server.Draining || server.Suspended {
				continue
			}
			if !service.hasSlot(grant.Slot) || service.Slots[grant.Slot].Status != Vacant {
				continue
			}
			slot := &service.Slots[grant.Slot]
			slot.Status = Owned
			slot.Owner = grant.Session
			slot.Token = slot.Generation<<generationShift | index
			recorder.recordSlot(grant.Slot)
		}
	})
}

func (s *Service) hasSlot(slot int) bool { return slot >= 0 && slot < len(s.Slots) }

func (s *State) release(body SlotGrants) []Change {
	return s.updateService(body.Service, func(service *Service, recorder *changeRecorder) {
		for _, grant := range body.Grants {
			if !service.hasSlot(grant.Slot) {
				continue
			}
			slot := &service.Slots[grant.Slot]
			if slot.Status == Owned && slot.Token == grant.Token {
				slot.Status = Releasing
				recorder.recordSlot(grant.Slot)
			}
		}
	})
}

func (s *State) released(body SlotGrants) []Change {
	return s.updateService(body.Service, func(service *Service, recorder *changeRecorder) {
		for _, grant := range body.Grants {
			if !service.hasSlot(grant.Slot) {
				continue
			}
			slot := &service.Slots[grant.Slot]
			if slot.heldBy(grant.Session) && slot.Token == grant.Token {
				recorder.vacate(grant.Slot)
			}
		}
	})
}

func (s *State) adopt(body HomeSlots) []Change {
	if body.Slots <= 0 || body.Slots > maxSlots {
		return nil
	}
	service := s.services[body.Service]
	if service == nil {
		service = &Service{
			Name:      body.Service,
			BaseSlots: body.Slots,
			Slots:     make([]Slot, body.Slots+HotKeySlots),
			HotKeys:   map[string]int{},
		}
		s.services[body.Service] = service
	}
	recorder := newChangeRecorder(service)
	for i, number := range body.Moved {
		if number < 0 || number >= service.BaseSlots || i >= len(body.Generations) {
			continue
		}
		slot := &service.Slots[number]
		if slot.Status != Absent || slot.Generation >= body.Generations[i] {
			continue
		}
		slot.Status = Vacant
		slot.Generation = body.Generations[i]
		recorder.recordSlot(number)
	}
	return recorder.changes()
}

func (s *State) retire(body HomeSlots) []Change {
	return s.updateService(body.Service, func(service *Service, recorder *changeRecorder) {
		for i, number := range body.Moved {
			if number < 0 || number >= service.BaseSlots || i >= len(body.Generations) || service.isBaseSlotOfHotKey(number) {
				continue
			}
			slot := &service.Slots[number]
			if slot.Status == Vacant && slot.Generation == body.Generations[i] {
				slot.Status = Absent
				recorder.recordSlot(number)
			}
		}
	})
}

func (s *Service) isBaseSlotOfHotKey(slot int) bool {
	for key := range s.HotKeys {
		if placement.SlotOf(s.Name, key, s.BaseSlots) == slot {
			return true
		}
	}
	return false
}

// isolate gives each key a dedicated slot. The key's base slot must be vacant, so that no owner can
// still be executing requests for the key.
func (s *State) isolate(body HotKeySet) []Change {
	return s.updateService(body.Service, func(service *Service, recorder *changeRecorder) {
		for _, key := range body.Keys {
			baseSlot := placement.SlotOf(service.Name, key, service.BaseSlots)
			dedicated, free := service.freeDedicatedSlot()
			if _, isolated := service.HotKeys[key]; isolated || !free || service.Slots[baseSlot].Status != Vacant {
				continue
			}
			service.HotKeys[key] = dedicated
			slot := &service.Slots[dedicated]
			slot.Status = Vacant
			slot.Generation = max(slot.Generation, service.Slots[baseSlot].Generation)
			recorder.recordSlot(dedicated)
			recorder.recordHotKey(key, dedicated)
		}
	})
}

func (s *Service) freeDedicatedSlot() (int, bool) {
	for number := s.BaseSlots; number < len(s.Slots); number++ {
		if s.Slots[number].Status == Absent {
			return number, true
		}
	}
	return 0, false
}

// returnKeys ends the isolation of keys. A key's dedicated slot and its base slot must both be
// vacant.
func (s *State) returnKeys(body HotKeySet) []Change {
	return s.updateService(body.Service, func(service *Service, recorder *changeRecorder) {
		for _, key := range body.Keys {
			dedicated, isolated := service.HotKeys[key]
			if !isolated {
				continue
			}
			baseSlot := placement.SlotOf(service.Name, key, service.BaseSlots)
			if service.Slots[dedicated].Status != Vacant || service.Slots[baseSlot].Status != Vacant {
				continue
			}
			delete(service.HotKeys, key)
			service.Slots[dedicated].Status = Absent
			recorder.recordSlot(dedicated)
			recorder.recordHotKey(key, noSlot)
		}
	})
}

// changeRecorder collects the changes that one command makes to a service.
type changeRecorder struct {
	service *Service
	slots   []int
	hotKeys []HotKeyChange
}

func newChangeRecorder(service *Service) *changeRecorder { return &changeRecorder{service: service} }

func (r *changeRecorder) recordSlot(slot int) { r.slots = append(r.slots, slot) }

func (r *changeRecorder) recordHotKey(key string, slot int) {
	r.hotKeys = append(r.hotKeys, HotKeyChange{Key: key, Slot: slot})
}

func (r *changeRecorder) vacate(number int) {
	slot := &r.service.Slots[number]
	slot.Status = Vacant
	slot.Owner = 0
	r.recordSlot(number)
}

func (r *changeRecorder) changes() []Change {
	if len(r.slots) == 0 && len(r.hotKeys) == 0 {
		return nil
	}
	slices.Sort(r.slots)
	change := SlotChanges{Service: r.service.Name, BaseSlots: r.service.BaseSlots, HotKeys: r.hotKeys}
	for _, number := range slices.Compact(r.slots) {
		change.Slots = append(change.Slots, r.service.change(number))
	}
	return []Change{{Slots: &change}}
}

func (s *Service) change(number int) SlotChange {
	slot := s.Slots[number]
	return SlotChange{Slot: number, Status: slot.Status, Owner: slot.Owner, Token: slot.Token, Generation: slot.Generation}
}

func copyOf(server Server) *Server { return &server }
