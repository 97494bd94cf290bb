package choice_test

import (
	"fmt"
	"math/rand/v2"

	"github.com/galenalug/galenalug/choice"
)

func Example() {
	chooser := choice.New(choice.DefaultSettings("norte"))
	random := rand.New(rand.NewPCG(1, 1))
	servers := []choice.Candidate{
		{ID: 1, Region: "norte", Capacity: 6},
		{ID: 2, Region: "norte", Capacity: 6},
	}
	for range 6 {
		chooser.Started(0, 1)
	}
	picked, ok := chooser.Pick(0, servers, random)
	fmt.Println(servers[picked].ID, ok)
	// Output: 2 true
}
