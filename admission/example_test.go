package admission_test

import (
	"fmt"

	"github.com/galenalug/galenalug/admission"
)

func Example() {
	queue := admission.New(admission.Config{Slots: 2, MaxLimit: 2, QueueLength: 10, Shares: admission.DefaultShares()})
	for id := admission.ID(1); id <= 3; id++ {
		queue.Enqueue(0, admission.Request{ID: id, Class: admission.Lookup, Customer: "depot"})
	}
	fmt.Println(queue.Next(0), queue.Waiting(admission.Lookup))
	queue.Finish(0, 1, admission.Succeeded, 0)
	fmt.Println(queue.Next(0), queue.Waiting(admission.Lookup))
	// Output:
	// [1 2] 1
	// [3] 0
}
