package health_test

import (
	"fmt"
	"time"

	"github.com/galenalug/galenalug/health"
)

func Example() {
	detector := health.New(health.DefaultSettings())
	servers := []health.Server{
		{Session: 1, Name: "a", Address: "10.0.0.1:80", Service: "orders", Capacity: 6},
		{Session: 2, Name: "b", Address: "10.0.0.2:80", Service: "orders", Capacity: 6},
	}
	detector.Evaluate(0, servers)
	for now := time.Duration(0); now <= 2*time.Second; now += 100 * time.Millisecond {
		detector.Heartbeat(now, 1, 3)
		detector.Heartbeat(now, 2, 3)
		for _, host := range []health.Host{{Name: "e1", Domain: "north"}, {Name: "e2", Domain: "south"}} {
			detector.Observe(now, host, []health.Report{{Session: 1, TimedOut: 2}, {Session: 2, Answered: 9}})
		}
	}
	for _, assessment := range detector.Evaluate(2*time.Second, servers) {
		fmt.Println(assessment.Session, assessment.State, assessment.Reason)
	}
	// Output:
	// 1 failed requests or probes fail at several hosts
	// 2 healthy
}
