package catalog_test

import (
	"fmt"

	"github.com/galenalug/galenalug/catalog"
)

func Example() {
	state := catalog.NewState()
	state.Apply(1, catalog.Command{AddService: &catalog.AddService{Name: "orders", Keyed: true, Slots: 2}})
	move := func(index uint64, to string) {
		moves := []catalog.HomeMove{{Slot: 0, To: to}}
		state.Apply(index, catalog.Command{MoveHomes: &catalog.MoveHomes{Service: "orders", Moves: moves}})
	}
	move(2, "norte")  // the first home takes effect at once
	move(3, "lisboa") // a later move waits until the old home region has given up the slot
	fmt.Println(state.Service("orders").Homes[0])
	retired := catalog.Retired{Service: "orders", Region: "norte", Slots: []int{0}, Generations: []uint64{1}}
	state.Apply(4, catalog.Command{Retired: &retired})
	fmt.Println(state.Service("orders").Homes[0])
	// Output:
	// {norte lisboa 1}
	// {lisboa  2}
}
