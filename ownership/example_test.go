package ownership_test

import (
	"fmt"
	"time"

	"github.com/galenalug/galenalug/ownership"
	"github.com/galenalug/galenalug/placement"
)

// homes makes one region the home of both slots of the service.
type homes struct{}

func (homes) ServiceNames() []string { return []string{"orders"} }

func (homes) Of(string) []ownership.Home {
	return []ownership.Home{{Region: "norte", Generation: 1}, {Region: "norte", Generation: 1}}
}

// Example runs a leader's coordinator and applies its commands directly, without a replicated log.
func Example() {
	state := ownership.NewState()
	settings := ownership.Settings{Region: "norte", Lease: 800 * time.Millisecond, MaxDeadline: 2 * time.Second}
	planner := placement.NewPlanner(placement.DefaultSettings(placement.Balance))
	leader := ownership.NewCoordinator(settings, planner, 0, state)
	index := uint64(0)
	commit := func(commands []ownership.Command) {
		index++
		for _, command := range commands {
			state.Apply(index, command)
		}
	}
	server := ownership.Server{Name: "a", Incarnation: "1", Service: "orders", Keyed: true, Fencing: true, Slots: 6}
	_, commands := leader.Heartbeat(0, state, ownership.Heartbeat{Server: server})
	commit(commands) // registers the server
	for range 2 {
		commit(leader.Tick(0, state, homes{})) // adopts the slots, then assigns them
	}
	fmt.Println(state.HeldSlotCount(1), "slots owned")
	commit(leader.Tick(time.Second, state, homes{})) // the lease has expired without a heartbeat
	fmt.Println(len(state.Servers()), "servers left;", state.Service("orders").Slots[0].Status)
	// Output:
	// 2 slots owned
	// 0 servers left; vacant
}
