package membership_test

import (
	"fmt"

	"github.com/galenalug/galenalug/membership"
)

func ExamplePlan() {
	for _, group := range membership.Plan([]membership.Host{
		{Name: "n1", Region: "norte", Domain: "norte-a"},
		{Name: "n2", Region: "norte", Domain: "norte-b"},
		{Name: "l1", Region: "lisboa", Domain: "lisboa-a"},
	}) {
		fmt.Println(group.Name, group.Voters)
	}
	// Output:
	// global [l1 n1 n2]
	// lisboa [l1 n1 n2]
	// norte [l1 n1 n2]
}
