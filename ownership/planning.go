package ownership

import (
	"math"
	"time"

	"github.com/galenalug/galenalug/placement"
)

// Homes provides the home region of each slot, from the host's copy of the global state.
type Homes interface {
	// ServiceNames returns the names of the keyed services.
	ServiceNames() []string
	// Of returns the homes of a service's base slots. The slice is immutable: changed homes are
	// returned as a new slice.
	Of(service string) []Home
}

// Home is the home of one slot in the global state.
type Home struct {
	Region     string
	To         string // region to which the home is moving; empty if it is not moving
	Generation uint64 // number of home regions that the slot has had, including the current one
}

// followHomes adopts slots whose home the region has become. It releases the slots that move to
// another region, and retires them once they are vacant.
func (c *Coordinator) followHomes(state *State, name string, homes []Home) []Command {
	service := state.services[name]
	if service != nil && c.scanSlots(state, service).syncedWith(homes) {
		return nil
	}
	adopt := HomeSlots{Service: name, Slots: len(homes)}
	retire := HomeSlots{Service: name, Slots: len(homes)}
	release := SlotGrants{Service: name}
	for number, home := range homes {
		slot := Slot{}
		if service != nil {
			slot = service.Slots[number]
		}
		switch c.homeActionOf(slot, home) {
		case actionAdopt:
			adopt.Moved = append(adopt.Moved, number)
			adopt.Generations = append(adopt.Generations, home.Generation)
		case actionRelease:
			release.Grants = append(release.Grants, SlotGrant{Slot: number, Token: slot.Token})
		case actionRetire:
			if service.isBaseSlotOfHotKey(number) {
				continue // Apply would ignore it, and Tick returns the key only when no command is due here
			}
			retire.Moved = append(retire.Moved, number)
			retire.Generations = append(retire.Generations, home.Generation)
		}
	}
	c.returnMovingKeys(service, homes)
	commands := homeCommands(adopt, retire, release)
	if service != nil && len(commands) == 0 {
		c.scanSlots(state, service).syncedHomes = homes
	}
	return commands
}

// returnMovingKeys ends the isolation of keys whose base slot moves to another region: a slot moves
// only with all of its keys.
func (c *Coordinator) returnMovingKeys(service *Service, homes []Home) {
	if service == nil {
		return
	}
	for key := range service.HotKeys {
		if homes[placement.SlotOf(service.Name, key, service.BaseSlots)].To != "" {
			c.ReturnKey(service.Name, key)
		}
	}
}

type homeAction int

const (
	actionNone homeAction = iota
	actionAdopt
	actionRelease
	actionRetire
)

func (c *Coordinator) homeActionOf(slot Slot, home Home) homeAction {
	if home.Region != c.settings.Region {
		return actionNone
	}
	if slot.Status == Absent && slot.Generation < home.Generation && home.To == "" {
		return actionAdopt
	}
	if home.To == "" {
		return actionNone
	}
	if slot.Generation != home.Generation {
		return actionNone // this host's copy of the global state is older than the slot
	}
	switch slot.Status {
	case Owned:
		return actionRelease
	case Vacant:
		return actionRetire
	default:
		return actionNone
	}
}

func homeCommands(adopt, retire HomeSlots, release SlotGrants) []Command {
	var commands []Command
	if len(adopt.Moved) > 0 {
		commands = append(commands, Command{Adopt: &adopt})
	}
	if len(retire.Moved) > 0 {
		commands = append(commands, Command{Retire: &retire})
	}
	if len(release.Grants) > 0 {
		commands = append(commands, Command{Release: &release})
	}
	return commands
}

// RetiredSlots returns the moving slots of a service that the region has retired, or never adopted,
// while the global state still names the region as their home, and the generations of these homes.
// They must be reported to the global leader.
func (s *State) RetiredSlots(region, name string, homes []Home) (slots []int, generations []uint64) {
	service := s.services[name]
	for number, home := range homes {
		if home.Region != region || home.To == "" {
			continue
		}
		retired := service == nil || service.Slots[number].Status == Absent
		if retired {
			slots = append(slots, number)
			generations = append(generations, home.Generation)
		}
	}
	return slots, generations
}

// planInterval is the time between plans of a service that has no vacant slot and no draining
// owner.
const planInterval = time.Second

// planDue reports whether a service is to be planned now.
func (c *Coordinator) planDue(now time.Duration, state *State, service *Service) bool {
	last, planned := c.plannedAt[service.Name]
	if !planned || now-last >= planInterval {
		return true
	}
	return c.scanSlots(state, service).needsPlan
}

// planService returns the commands that carry out pending isolations and returns of keys or, if
// there are none, a new plan.
func (c *Coordinator) planService(now time.Duration, state *State, service *Service, homes []Home) []Command {
	if commands := c.moveHotKeys(service); len(commands) > 0 {
		return commands
	}
	if !c.planDue(now, state, service) {
		return nil
	}
	c.plannedAt[service.Name] = now
	servers := c.planningServers(now, state, service.Name)
	numbers, slots := c.planningSlots(now, service, homes, servers)
	if len(numbers) == 0 {
		return nil
	}
	plan := c.planner.Plan(slots, servers)
	assign := SlotGrants{Service: service.Name}
	for _, assignment := range plan.Assign {
		number := numbers[assignment.Slot]
		assign.Grants = append(assign.Grants, SlotGrant{Slot: number, Session: assignment.Server})
		c.assignedAt[slotKey{service.Name, number}] = now
		delete(c.moveTargets, slotKey{service.Name, number})
	}
	release := SlotGrants{Service: service.Name}
	for _, move := range plan.Move {
		number := numbers[move.Slot]
		release.Grants = append(release.Grants, SlotGrant{Slot: number, Token: service.Slots[number].Token})
		c.moveTargets[slotKey{service.Name, number}] = move.To
	}
	var commands []Command
	if len(assign.Grants) > 0 {
		commands = append(commands, Command{Assign: &assign})
	}
	if len(release.Grants) > 0 {
		commands = append(commands, Command{Release: &release})
	}
	return commands
}

// planningSlots returns the numbers of the slots to plan and the slots in the form that the planner
// takes. It leaves out absent slots, vacant slots that must stay vacant because their home or a hot
// key moves, and slots whose owner is not among servers: these become vacant only when the owner's
// session ends.
func (c *Coordinator) planningSlots(
	now time.Duration, service *Service, homes []Home, servers []placement.Server,
) ([]int, []placement.Slot) {
	var numbers []int
	var slots []placement.Slot
	reserved := c.reservedSlots(service)
	live := make(map[uint64]bool, len(servers))
	for _, server := range servers {
		live[server.ID] = true
	}
	for number := range service.Slots {
		slot := &service.Slots[number]
		if slot.Status == Absent {
			continue
		}
		moving := number < len(homes) && homes[number].To != ""
		if slot.Status == Vacant && (moving || reserved[number]) {
			continue
		}
		if slot.Status != Vacant && !live[slot.Owner] {
			continue
		}
		key := slotKey{service.Name, number}
		planned := placement.Slot{
			Owner:         slot.Owner,
			Moving:        slot.Status == Releasing,
			Target:        c.moveTargets[key],
			Load:          c.loads.rate(now, key),
			SinceLastMove: c.sinceAssigned(now, key),
		}
		numbers = append(numbers, number)
		slots = append(slots, planned)
	}
	return numbers, slots
}

// sinceAssigned returns the time since this leader last assigned a slot. It counts every assignment,
// also those that placement.Slot.SinceLastMove leaves out, such as after the loss of the owner.
func (c *Coordinator) sinceAssigned(now time.Duration, key slotKey) time.Duration {
	assigned, ok := c.assignedAt[key]
	if !ok {
		return placement.NeverMoved
	}
	return now - assigned
}

func (c *Coordinator) planningServers(now time.Duration, state *State, service string) []placement.Server {
	var servers []placement.Server
	for _, id := range state.sessionIDs() {
		server := state.servers[id]
		if server.Service != service || server.Suspended || c.notRenewed[id] || !c.tracker.Live(now, id) {
			continue
		}
		if c.quarantined[id] {
			continue
		}
		servers = append(servers, placement.Server{
			ID:       id,
			Domain:   server.Domain,
			Capacity: float64(server.Slots),
			Draining: server.Draining,
			Age:      now - c.firstSeen[id],
			RampUp:   c.settings.RampUp,
		})
	}
	return servers
}

// reservedSlots returns the dedicated and the base slots of keys whose isolation is to end. Once
// vacant, they must stay vacant until then.
func (c *Coordinator) reservedSlots(service *Service) map[int]bool {
	reserved := map[int]bool{}
	for key := range c.keysToReturn[service.Name] {
		if dedicated, isolated := service.HotKeys[key]; isolated {
			reserved[dedicated] = true
			reserved[placement.SlotOf(service.Name, key, service.BaseSlots)] = true
		}
	}
	return reserved
}

// moveHotKeys returns the commands for pending isolations and returns of keys: it releases the
// slots that must be vacant, and moves a key once they are.
func (c *Coordinator) moveHotKeys(service *Service) []Command {
	release := SlotGrants{Service: service.Name}
	toIsolate := HotKeySet{Service: service.Name}
	toReturn := HotKeySet{Service: service.Name}
	for _, key := range sortedKeys(c.keysToIsolate[service.Name]) {
		if _, done := service.HotKeys[key]; done {
			delete(c.keysToIsolate[service.Name], key)
			continue
		}
		if service.checkVacant(placement.SlotOf(service.Name, key, service.BaseSlots), &release) {
			toIsolate.Keys = append(toIsolate.Keys, key)
		}
	}
	for _, key := range sortedKeys(c.keysToReturn[service.Name]) {
		dedicated, isolated := service.HotKeys[key]
		if !isolated {
			delete(c.keysToReturn[service.Name], key)
			continue
		}
		baseVacant := service.checkVacant(placement.SlotOf(service.Name, key, service.BaseSlots), &release)
		if service.checkVacant(dedicated, &release) && baseVacant {
			toReturn.Keys = append(toReturn.Keys, key)
		}
	}
	return hotKeyCommands(toIsolate, toReturn, release)
}

// checkVacant reports whether a slot is vacant. It adds the slot to release if it is owned.
func (s *Service) checkVacant(number int, release *SlotGrants) bool {
	slot := s.Slots[number]
	if slot.Status == Owned {
		release.Grants = append(release.Grants, SlotGrant{Slot: number, Token: slot.Token})
	}
	return slot.Status == Vacant
}

func hotKeyCommands(toIsolate, toReturn HotKeySet, release SlotGrants) []Command {
	var commands []Command
	if len(toIsolate.Keys) > 0 {
		commands = append(commands, Command{Isolate: &toIsolate})
	}
	if len(toReturn.Keys) > 0 {
		commands = append(commands, Command{Return: &toReturn})
	}
	if len(release.Grants) > 0 {
		commands = append(commands, Command{Release: &release})
	}
	return commands
}

// loadTable holds the exponentially smoothed request rate of each slot.
type loadTable struct {
	slots map[slotKey]*slotLoad
}

type slotLoad struct {
	rate      float64 // requests/s at updatedAt
	updatedAt time.Duration
}

// loadHalfLife is the time in which the weight of past requests in a rate halves.
const loadHalfLife = 10 * time.Second

func newLoadTable() *loadTable { return &loadTable{slots: map[slotKey]*slotLoad{}} }

// observe adds requests to the rate of a slot.
func (t *loadTable) observe(now time.Duration, key slotKey, requests int) {
	load := t.slots[key]
	if load == nil {
		load = &slotLoad{updatedAt: now}
		t.slots[key] = load
	}
	load.rate = load.rateAt(now) + float64(requests)*math.Ln2/loadHalfLife.Seconds()
	load.updatedAt = now
}

func (l *slotLoad) rateAt(now time.Duration) float64 {
	halfLives := (now - l.updatedAt).Seconds() / loadHalfLife.Seconds()
	return l.rate * math.Exp2(-halfLives)
}

// rate returns the request rate of a slot, or placement.UnknownLoad if none was observed.
func (t *loadTable) rate(now time.Duration, key slotKey) float64 {
	load := t.slots[key]
	if load == nil {
		return placement.UnknownLoad
	}
	return load.rateAt(now)
}
