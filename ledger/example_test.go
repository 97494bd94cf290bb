package ledger_test

import (
	"fmt"

	"github.com/galenalug/galenalug/ledger"
)

// A resend through another entry host gets the response of the first attempt.
func Example() {
	runs := ledger.New()
	begin := ledger.Begin{
		Service: "orders", Slot: 5, Customer: "uniform", Key: "order-1", Digest: []byte("sha-256 of the request"),
		Host: "entry-1", Nonce: []byte("random-1"), DeadlineMillis: 5000, At: 1000,
	}
	first := runs.Apply(1, ledger.Command{Begin: &begin})
	fmt.Println(first.State)
	finish := ledger.Finish{
		Service: "orders", Customer: "uniform", Key: "order-1", Attempt: first.Attempt,
		State: ledger.StateAnswered, Status: 201, Body: []byte("order 7 is placed"), At: 1020,
	}
	runs.Apply(2, ledger.Command{Finish: &finish})

	begin.Host, begin.Nonce, begin.At = "entry-2", []byte("random-2"), 1500
	second := runs.Apply(3, ledger.Command{Begin: &begin})
	fmt.Println(second.State, second.Status, string(second.Body))
	// Output:
	// new
	// answered 201 order 7 is placed
}
