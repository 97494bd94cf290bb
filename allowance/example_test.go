package allowance_test

import (
	"fmt"
	"time"

	"github.com/galenalug/galenalug/allowance"
)

// Applies an operator's lists, leases a share of a customer's limit and admits requests with it.
func Example() {
	lists := allowance.NewLists()
	allowances, err := allowance.ParseAllowances([]byte(`
version: 1
allowances:
  - plan: gold
    limits:
      - {service: orders, requests_per_second: 100, burst: 2}
`))
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(lists.Apply(allowance.Command{Operator: "an", Allowances: &allowances}).Outcome)
	plans := allowance.PlanList{Version: 1, Plans: []allowance.CustomerPlan{{Customer: "uniform", Plan: "gold"}}}
	fmt.Println(lists.Apply(allowance.Command{Operator: "an", Plans: &plans}).Outcome)
	limit, _ := lists.Limit("uniform", "orders")

	const lease = 800 * time.Millisecond
	config := allowance.AllocatorConfig{Epoch: 1, Lease: lease, Drift: allowance.DefaultDrift, Floor: allowance.DefaultFloor}
	allocator := allowance.NewFirstAllocator(config, 0)
	var holder allowance.Holder
	sent := holder.Prepare(0, 0)
	grant := allocator.Renew(0, limit.RequestsPerSecond, allowance.Renewal{
		Child: "entry-1/7", Pair: allowance.Pair{Customer: "uniform", Service: "orders"}, Held: sent.Held, Demand: 80,
	})
	holder.Accept(0, sent, lease, grant)

	bucket := allowance.NewBucket(0)
	share := holder.Share(0)
	bucket.Set(0, share, allowance.BurstShare(limit, share), holder.Expiry())
	for range 2 {
		fmt.Println(bucket.Admit(0))
	}
	// Output:
	// accepted
	// accepted
	// true 0s
	// false 20ms
}
