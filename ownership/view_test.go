package ownership

import (
	"math/rand/v2"
	"testing"
)

// grantsOf returns the grants of a session in a comparable form: the token and status of each slot.
func grantsOf(state *State, session uint64) [2 * testSlots]uint64 {
	var grants [2 * testSlots]uint64
	if service := state.Service(testService); service != nil {
		for number := range testSlots {
			if slot := service.Slots[number]; slot.heldBy(session) {
				grants[2*number], grants[2*number+1] = slot.Token, uint64(slot.Status)
			}
		}
	}
	return grants
}

// TestGrantsVersion applies random commands and checks that a session's grants never change without
// their version, and that the version usually stays the same when another session's grants change.
func TestGrantsVersion(t *testing.T) {
	const sessions, rounds = 4, 3000
	random := rand.New(rand.NewPCG(1, 0))
	state, view := NewState(), NewView()
	commands := []Command{{Adopt: &HomeSlots{Service: testService, Slots: testSlots}}}
	for slot := range testSlots {
		commands[0].Adopt.Moved = append(commands[0].Adopt.Moved, slot)
		commands[0].Adopt.Generations = append(commands[0].Adopt.Generations, 1)
	}
	for i := range sessions {
		commands = append(commands, Command{Register: &Server{Name: string(rune('a' + i)), Service: testService}})
	}
	held := map[uint64][2 * testSlots]uint64{}
	versions := map[uint64]uint64{}
	unchanged := 0
	for index := uint64(1); index <= rounds; index++ {
		command := randomCommand(random, state)
		if len(commands) > 0 {
			command, commands = commands[0], commands[1:]
		}
		from := state.Version()
		changes := state.Apply(index, command)
		if random.IntN(50) == 0 {
			from, changes = 0, state.Changes()
		}
		body, err := EncodeChanges(changes)
		if err != nil {
			t.Fatal(err)
		}
		if err := view.Update(from, state.Version(), body); err != nil {
			t.Fatal(err)
		}
		for id := range state.servers {
			grants, version := grantsOf(view.State(), id), view.GrantsVersion(id)
			if version < versions[id] || version > view.Version() || grants != held[id] && version == versions[id] {
				t.Fatalf("index %d, session %d: version %d after %d, grants %v after %v", index, id, version, versions[id], grants, held[id])
			}
			if version == versions[id] {
				unchanged++
			}
			held[id], versions[id] = grants, version
		}
	}
	if unchanged < rounds {
		t.Fatalf("the version was unchanged in only %d of %d checks", unchanged, sessions*rounds)
	}
}

// randomCommand assigns, releases or vacates a random slot or, rarely, ends a session.
func randomCommand(random *rand.Rand, state *State) Command {
	ids := state.sessionIDs()
	service := state.Service(testService)
	if service == nil || len(ids) == 0 {
		return Command{}
	}
	number := random.IntN(testSlots)
	slot := service.Slots[number]
	body := &SlotGrants{Service: testService, Grants: []SlotGrant{{Slot: number, Session: slot.Owner, Token: slot.Token}}}
	switch {
	case random.IntN(200) == 0 && len(ids) > 2:
		return Command{EndSessions: &Sessions{IDs: ids[:1]}}
	case slot.Status == Owned:
		return Command{Release: body}
	case slot.Status == Releasing:
		return Command{Released: body}
	default:
		body.Grants[0].Session = ids[random.IntN(len(ids))]
		return Command{Assign: body}
	}
}
