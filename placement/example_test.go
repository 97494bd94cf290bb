package placement_test

import (
	"fmt"
	"time"

	"github.com/galenalug/galenalug/placement"
)

func ExamplePlanner_Plan() {
	planner := placement.NewPlanner(placement.DefaultSettings(placement.Availability))
	servers := []placement.Server{
		{ID: 1, Capacity: 6, Age: time.Hour},
		{ID: 2, Capacity: 6, Age: time.Hour, Draining: true},
	}
	slots := []placement.Slot{
		{Load: 20},           // vacant
		{Owner: 2, Load: 10}, // owner is draining
		{Owner: 1, Load: 30, SinceLastMove: placement.NeverMoved},
	}
	plan := planner.Plan(slots, servers)
	fmt.Println(plan.Assign, plan.Move)
	// Output: [{0 1}] [{1 2 1}]
}
