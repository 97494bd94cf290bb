package control

import (
	"context"
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/ledger"
	"github.com/galenalug/galenalug/ownership"
)

// groupStates holds region states without replicated logs. Proposals are applied immediately.
type groupStates struct {
	t             *testing.T
	states        map[string]*regionState
	index         uint64
	lostProposal  int // number of the proposal that fails, 0 for none
	proposalCount int // of proposals made by moves
}

func newGroupStates(t *testing.T, names ...string) *groupStates {
	g := &groupStates{t: t, states: map[string]*regionState{}}
	for _, name := range names {
		g.states[name] = newRegionState(name)
	}
	return g
}

func (g *groupStates) apply(group string, entry regionEntry) any {
	g.t.Helper()
	data, err := cbor.Marshal(entry)
	if err != nil {
		g.t.Fatal(err)
	}
	g.index++
	return g.states[group].Apply(g.index, data)
}

var errLost = errors.New("proposal lost")

// propose implements runMove.propose.
func (g *groupStates) propose(_ context.Context, group string, commands [][]byte) error {
	if g.proposalCount++; g.proposalCount == g.lostProposal {
		return errLost
	}
	reply, ok := g.apply(group, regionEntry{Ledger: commands}).(ledger.Reply)
	if !ok {
		g.t.Fatal("no reply")
	}
	return reply.Err()
}

func (g *groupStates) homes(group string, generation uint64, slots ...int) ownership.HomeSlots {
	h := ownership.HomeSlots{Service: "orders", Slots: 4, Moved: slots}
	for range slots {
		h.Generations = append(h.Generations, generation)
	}
	return h
}

func (g *groupStates) adopt(group string, generation uint64, slots ...int) {
	h := g.homes(group, generation, slots...)
	g.apply(group, regionEntry{Ownership: []ownership.Command{{Adopt: &h}}})
}

func (g *groupStates) retire(group string, generation uint64, slots ...int) {
	h := g.homes(group, generation, slots...)
	g.apply(group, regionEntry{Ownership: []ownership.Command{{Retire: &h}}})
}

func (g *groupStates) runs(group string, commands ...ledger.Command) ledger.Reply {
	g.t.Helper()
	var entry regionEntry
	for _, c := range commands {
		data, err := c.Encode()
		if err != nil {
			g.t.Fatal(err)
		}
		entry.Ledger = append(entry.Ledger, data)
	}
	reply, ok := g.apply(group, entry).(ledger.Reply)
	if !ok {
		g.t.Fatal("no reply")
	}
	return reply
}

// begin begins the run of a key with a new nonce, as a retry through another entry host does.
func (g *groupStates) begin(group string, slot int, key string) ledger.Reply {
	g.t.Helper()
	return g.runs(group, ledger.Command{Begin: &ledger.Begin{
		Service: "orders", Slot: slot, Customer: "uniform", Key: key, Digest: []byte("digest-of-request"),
		Host: "entry-1", Nonce: fmt.Appendf(nil, "nonce-%03d", g.index), DeadlineMillis: 5000,
	}})
}

func (g *groupStates) move(from, to string, generation uint64, slots ...int) error {
	homes := make([]ownership.Home, 4)
	for i := range homes {
		homes[i] = ownership.Home{Region: from, To: to, Generation: generation}
	}
	m := runMove{group: from, service: "orders", state: g.states[from], propose: g.propose}
	return m.move(context.Background(), slots, homes)
}

func (g *groupStates) want(got, want any) {
	g.t.Helper()
	if got != want {
		g.t.Fatalf("got %v, want %v", got, want)
	}
}

// If any proposal of a move is lost, the move must fail, and after a retry the new home must have
// every run record. The records are too large for one proposal.
func TestRunMoveSurvivesLostProposals(t *testing.T) {
	const proposals = 5 // four to adopt, one to drop
	for lostProposal := range proposals + 1 {
		g := newGroupStates(t, "norte", "lisboa")
		g.adopt("norte", 1, 0, 1, 2)
		for i := range 150 {
			key := fmt.Sprint("run-", i)
			reply := g.begin("norte", i%2, key)
			finish := ledger.Finish{Service: "orders", Customer: "uniform", Key: key, Attempt: reply.Attempt,
				State: ledger.StateAnswered, Status: 201, Body: make([]byte, ledger.MaxBodyBytes)}
			g.want(g.runs("norte", ledger.Command{Finish: &finish}).Refusal, ledger.Refusal(""))
		}
		g.retire("norte", 1, 0, 1, 2)
		g.lostProposal = lostProposal
		err := g.move("norte", "lisboa", 1, 0, 1, 2)
		g.want(errors.Is(err, errLost), lostProposal > 0)
		if lostProposal > 0 {
			g.want(g.move("norte", "lisboa", 1, 0, 1, 2), nil)
		} else {
			g.want(g.proposalCount, proposals)
		}
		g.want(g.states["norte"].runs.Len(), 0)
		g.adopt("lisboa", 2, 0, 1, 2)
		for i := range 150 {
			g.want(g.begin("lisboa", i%2, fmt.Sprint("run-", i)).State, ledger.StateAnswered)
		}
		g.want(g.begin("lisboa", 2, "other").State, ledger.StateNew)
	}
}

// A slot moves on before its new region has adopted it. The region then has the records of the
// former home only in its ledger, and must move them on with the slot.
func TestRunMoveThroughRegionThatNeverAdopted(t *testing.T) {
	g := newGroupStates(t, "norte", "lisboa", "sur")
	g.adopt("norte", 1, 3)
	g.want(g.begin("norte", 3, "k1").State, ledger.StateNew)
	g.retire("norte", 1, 3)
	g.want(g.move("norte", "lisboa", 1, 3), nil)
	g.want(g.move("lisboa", "sur", 2, 3), nil)
	g.adopt("sur", 3, 3)
	g.want(g.begin("sur", 3, "k1").State, ledger.StateRunning)
}

// A slot that moves back must be sealed again when it is retired, and a slot that was moved without
// records must accept new runs.
func TestRunMoveBack(t *testing.T) {
	g := newGroupStates(t, "norte", "lisboa")
	g.adopt("norte", 1, 3)
	g.retire("norte", 1, 3)
	g.want(g.move("norte", "lisboa", 1, 3), nil)
	g.adopt("lisboa", 2, 3)
	g.want(g.begin("lisboa", 3, "k1").State, ledger.StateNew)
	g.retire("lisboa", 2, 3)
	g.want(g.move("lisboa", "norte", 2, 3), nil)
	g.adopt("norte", 3, 3)
	g.want(g.begin("norte", 3, "k1").State, ledger.StateRunning)
	g.want(g.begin("norte", 3, "k2").State, ledger.StateNew)
}

// A refused seal, adoption or drop must fail the move, even if other commands of the same proposal
// are accepted.
func TestRefusedRunMoveFails(t *testing.T) {
	seal := func(slot int, move uint64) ledger.Command {
		return ledger.Command{Seal: &ledger.Seal{Service: "orders", Slot: slot, Move: move}}
	}
	g := newGroupStates(t, "norte", "lisboa")
	g.adopt("norte", 2, 0, 1, 2)
	g.runs("norte", seal(1, 1)) // left over from an earlier move
	g.retire("norte", 2, 0, 1, 2)
	g.want(errors.Is(g.move("norte", "lisboa", 2, 0, 1, 2), ledger.RefusedStaleMove), true)

	g = newGroupStates(t, "norte", "lisboa")
	g.adopt("norte", 1, 0, 2)
	g.begin("norte", 0, "k1")
	g.retire("norte", 1, 0, 2)
	g.runs("lisboa", seal(0, 8))
	g.want(errors.Is(g.move("norte", "lisboa", 1, 0, 2), ledger.RefusedStaleMove), true)
	g.want(g.states["norte"].runs.Len(), 1) // kept for the retry
}

// A snapshot must contain the state as of the call to Freeze.
func TestRegionSnapshotIsFrozen(t *testing.T) {
	g := newGroupStates(t, "norte")
	g.adopt("norte", 1, 0)
	g.begin("norte", 0, "k1")
	encode, err := g.states["norte"].Freeze()
	g.want(err, nil)
	g.begin("norte", 0, "k2")
	g.retire("norte", 1, 0)
	data, err := encode()
	g.want(err, nil)
	g.states["norte"] = newRegionState("norte")
	g.want(g.states["norte"].Restore(g.index, data), nil)
	g.want(g.states["norte"].runs.Len(), 1)
	g.want(g.begin("norte", 0, "k2").State, ledger.StateNew)
}
