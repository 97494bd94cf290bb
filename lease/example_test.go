package lease_test

import (
	"fmt"
	"time"

	"github.com/galenalug/galenalug/lease"
)

func Example() {
	const length = 800 * time.Millisecond
	tracker := lease.NewTracker(length, 0, nil)
	var holder lease.Holder

	// The holder sends its request at 100 ms; the granting side renews the lease at 120 ms.
	tracker.Renew(120*time.Millisecond, 7)
	holder.Renewed(7, 100*time.Millisecond, length)

	fmt.Println(holder.Valid(899*time.Millisecond), tracker.Live(899*time.Millisecond, 7))
	fmt.Println(holder.Valid(901*time.Millisecond), tracker.Live(901*time.Millisecond, 7))
	fmt.Println(tracker.Live(928*time.Millisecond, 7))
	// Output:
	// true true
	// false true
	// false
}
