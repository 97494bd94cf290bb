package replog_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/galenalug/galenalug/replog"
)

// A group of one member elects itself and commits an entry. Production code must
// write and sync HardState, Snapshot and Entries before it calls Written.
func Example() {
	members := []replog.Member{{ID: 1, Name: "host-1"}}
	node, err := replog.New(replog.Config{
		ID: 1, Name: "host-1",
		ElectionTimeout: time.Second, HeartbeatInterval: 100 * time.Millisecond,
		Rand: rand.New(rand.NewPCG(1, 1)),
	}, replog.Bootstrap(members), 0)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := node.NextDeadline()
	node.Tick(now)
	if _, _, err := node.Propose(now, []byte("hello")); err != nil {
		fmt.Println(err)
		return
	}
	for ready := node.Ready(); !ready.Empty(); ready = node.Ready() {
		for _, entry := range ready.Committed {
			if entry.Kind == replog.EntryData {
				fmt.Printf("entry %d: %s\n", entry.Index, entry.Data)
			}
		}
		node.Advance()
		if ready.Writes() {
			node.Written(now)
		}
	}
	fmt.Println("leads:", node.HoldsLease(now))
	// Output:
	// entry 3: hello
	// leads: true
}
