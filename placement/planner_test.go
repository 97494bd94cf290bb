package placement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/galenalug/galenalug/placement"
)

// drawCluster draws servers and slots in arbitrary states.
func drawCluster(t *rapid.T) ([]placement.Slot, []placement.Server) {
	servers := make([]placement.Server, rapid.IntRange(0, 12).Draw(t, "servers"))
	for i := range servers {
		servers[i] = placement.Server{
			ID:       uint64(i) + 1,
			Capacity: float64(rapid.IntRange(0, 8).Draw(t, "capacity")),
			Draining: rapid.IntRange(0, 3).Draw(t, "draining") == 0,
			Age:      time.Duration(rapid.IntRange(0, 60).Draw(t, "age")) * time.Second,
			RampUp:   30 * time.Second,
		}
	}
	slots := make([]placement.Slot, rapid.IntRange(0, 60).Draw(t, "slots"))
	for i := range slots {
		slots[i] = placement.Slot{
			Owner:         rapid.Uint64Range(0, 14).Draw(t, "owner"), // some owners do not exist
			Moving:        rapid.IntRange(0, 9).Draw(t, "moving") == 0,
			Target:        rapid.Uint64Range(0, 14).Draw(t, "target"),
			Load:          rapid.Float64Range(-1, 1000).Draw(t, "load"),
			SinceLastMove: time.Duration(rapid.IntRange(0, 120).Draw(t, "moved")) * time.Second,
		}
	}
	return slots, servers
}

func TestPlanContract(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots, servers := drawCluster(t)
		settings := placement.DefaultSettings(placement.Goal(rapid.IntRange(0, 1).Draw(t, "goal")))
		plan := placement.NewPlanner(settings).Plan(slots, servers)
		again := placement.NewPlanner(settings).Plan(slots, servers)
		if !reflect.DeepEqual(plan, again) {
			t.Fatal("two calls with the same input returned different plans")
		}
		live, eligible := map[uint64]bool{}, map[uint64]bool{}
		for _, s := range servers {
			live[s.ID] = true
			eligible[s.ID] = !s.Draining && s.Capacity > 0
		}
		planned := map[int]bool{}
		markPlanned := func(slot int, to uint64) {
			if planned[slot] || slots[slot].Moving || !eligible[to] {
				t.Fatalf("slot %d (%+v) may not be planned for server %d", slot, slots[slot], to)
			}
			planned[slot] = true
		}
		for _, a := range plan.Assign {
			markPlanned(a.Slot, a.Server)
			if live[slots[a.Slot].Owner] {
				t.Fatalf("slot %d was assigned although it has an owner", a.Slot)
			}
		}
		for _, m := range plan.Move {
			markPlanned(m.Slot, m.To)
			if slots[m.Slot].Owner != m.From || m.From == m.To {
				t.Fatalf("invalid move %+v of slot %+v", m, slots[m.Slot])
			}
		}
		if len(plan.Move) > max(settings.MaxMoves, len(slots)/settings.DrainSteps) {
			t.Fatalf("%d concurrent moves exceed the limit", len(plan.Move))
		}
		for i, s := range slots {
			if !s.Moving && !live[s.Owner] && len(plan.Assign) > 0 && !planned[i] {
				t.Fatalf("vacant slot %d was not assigned", i)
			}
		}
	})
}

// cluster is a simulated service whose plans take effect immediately.
type cluster struct {
	planner *placement.Planner
	slots   []placement.Slot
	servers []placement.Server
}

// newCluster returns a cluster of warm servers and slots with Zipf loads, after 300 s of planning.
func newCluster(goal placement.Goal, servers, slots int, exponent float64) *cluster {
	c := &cluster{planner: placement.NewPlanner(placement.DefaultSettings(goal)), slots: make([]placement.Slot, slots)}
	for i := range c.slots {
		c.slots[i] = placement.Slot{Load: 1000 / math.Pow(float64(i+1), exponent), SinceLastMove: placement.NeverMoved}
	}
	for id := 1; id <= servers; id++ {
		c.servers = append(c.servers, placement.Server{ID: uint64(id), Capacity: 6, Age: time.Hour})
	}
	c.run(300)
	return c
}

// run simulates the given number of seconds and returns the moves.
func (c *cluster) run(seconds int) (moves []placement.Move) {
	for range seconds {
		moves = append(moves, c.step(c.slots)...)
	}
	return moves
}

// step simulates one second: it plans with the measured slots and applies the plan.
func (c *cluster) step(measured []placement.Slot) []placement.Move {
	for i := range c.servers {
		c.servers[i].Age += time.Second
	}
	for i := range c.slots {
		if c.slots[i].SinceLastMove < time.Hour {
			c.slots[i].SinceLastMove += time.Second
		}
	}
	plan := c.planner.Plan(measured, c.servers)
	for _, a := range plan.Assign {
		c.slots[a.Slot].Owner = a.Server
	}
	for _, m := range plan.Move {
		c.slots[m.Slot].Owner = m.To
		c.slots[m.Slot].SinceLastMove = 0
	}
	return plan.Move
}

func eachGoal(t *testing.T, test func(t *testing.T, goal placement.Goal)) {
	for _, goal := range []placement.Goal{placement.Availability, placement.Balance} {
		t.Run(fmt.Sprint(goal), func(t *testing.T) { test(t, goal) })
	}
}

func TestJoinMovesAtMostTheFairShare(t *testing.T) {
	eachGoal(t, func(t *testing.T, goal placement.Goal) {
		for _, servers := range []int{1, 2, 5, 26} {
			c := newCluster(goal, servers, 1024, 0.5)
			c.servers = append(c.servers, placement.Server{ID: 99, Capacity: 6, RampUp: 30 * time.Second})
			moves := c.run(300)
			for _, m := range moves {
				if m.To != 99 {
					t.Errorf("%d servers: move %+v is not to the new server", servers, m)
				}
			}
			fair := 1024/(servers+1) + 2
			if len(moves) > fair || len(moves) == 0 {
				t.Errorf("%d servers: %d moves, want 1 to %d", servers, len(moves), fair)
			}
		}
	})
}

func TestNoiseMovesNothing(t *testing.T) {
	const noise, settleSeconds, measuredSeconds = 0.2, 600, 1200
	eachGoal(t, func(t *testing.T, goal placement.Goal) {
		for seed, keys := range []struct {
			servers  int
			exponent float64
		}{{22, 0.5}, {22, 0.9}, {22, 1.2}, {150, 0.7}, {150, 0.9}} {
			random := rand.New(rand.NewPCG(uint64(seed), 0))
			c := newCluster(goal, keys.servers, 1024, keys.exponent)
			moves := 0
			for second := range settleSeconds + measuredSeconds {
				measured := append([]placement.Slot(nil), c.slots...)
				for i := range measured {
					measured[i].Load *= 1 + noise*(2*random.Float64()-1)
				}
				moved := c.step(measured)
				if second >= settleSeconds {
					moves += len(moved)
				}
			}
			if moves != 0 {
				t.Errorf("seed %d: %d moves caused by noise, want none", seed, moves)
			}
		}
	})
}

func TestLossAndDrainMoveOnlyThatServersSlots(t *testing.T) {
	eachGoal(t, func(t *testing.T, goal placement.Goal) {
		for _, drain := range []bool{false, true} {
			c := newCluster(goal, 22, 1024, 0.5)
			before := append([]placement.Slot(nil), c.slots...)
			if drain {
				c.servers[4].Draining = true
			} else {
				c.servers = append(c.servers[:4], c.servers[5:]...)
			}
			c.run(8)
			received := map[uint64]int{}
			for i := range c.slots {
				if before[i].Owner != 5 && c.slots[i].Owner != before[i].Owner {
					t.Errorf("slot %d of unaffected server %d was moved", i, before[i].Owner)
				}
				if c.slots[i].Owner == 5 {
					t.Errorf("slot %d is still owned by server 5", i)
				}
				if before[i].Owner == 5 {
					received[c.slots[i].Owner]++
				}
			}
			if len(received) < 15 {
				t.Errorf("the slots were spread over %d servers, want at least 15", len(received))
			}
		}
	})
}

func TestCooldownBlocksMoves(t *testing.T) {
	c := newCluster(placement.Balance, 3, 64, 0.5)
	for i := range c.slots {
		c.slots[i].SinceLastMove = time.Second
		c.slots[i].Owner = 1
	}
	if moves := c.run(50); len(moves) != 0 {
		t.Errorf("%d moves within the cooldown, want none", len(moves))
	}
	if moves := c.run(60); len(moves) == 0 {
		t.Error("no moves after the cooldown")
	}
}
