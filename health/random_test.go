package health_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/galenalug/galenalug/health"
)

// liar reports whatever may do the most harm: failures, floods, other sessions.
func liar(random *rand.Rand, servers []health.Server) []health.Report {
	var reports []health.Report
	for _, server := range servers {
		if random.IntN(3) > 0 {
			reports = append(reports, health.Report{
				Session: server.Session, TimedOut: random.IntN(1000), ConnectionErrors: random.IntN(1000),
				ProbesFailed: random.IntN(5), Answered: random.IntN(2) * random.IntN(2),
			})
		}
	}
	return reports
}

// TestOneHostNeverWithholds lets one host lie beside hosts that see little, some
// answers, or nothing at all, and that come and go.
func TestOneHostNeverWithholds(t *testing.T) {
	const schedules, rounds = 25, 400
	for seed := range uint64(schedules) {
		random := rand.New(rand.NewPCG(seed, 0))
		judge := health.New(health.DefaultSettings())
		servers := fleet(2 + random.IntN(8))
		for round := range rounds {
			now := time.Duration(round) * 50 * time.Millisecond
			judge.Observe(now, health.Host{Name: "liar", Domain: fmt.Sprint("domain-", random.IntN(3))}, liar(random, servers))
			for i := range random.IntN(4) {
				server := servers[random.IntN(len(servers))].Session
				report := health.Report{Session: server, Answered: random.IntN(2), ProbesAnswered: random.IntN(2)}
				judge.Observe(now, health.Host{Name: fmt.Sprint("e", i), Domain: fmt.Sprint("domain-", i)}, []health.Report{report})
			}
			for _, verdict := range judge.Evaluate(now, servers) {
				if verdict.State == health.Failed || verdict.Quarantined {
					t.Fatalf("seed %d, %v: %+v", seed, now, verdict)
				}
			}
		}
	}
}

func fleet(count int) []health.Server {
	var servers []health.Server
	for i := range count {
		servers = append(servers, health.Server{
			Session: uint64(i + 1), Name: fmt.Sprint("s", i), Address: fmt.Sprint("10.0.0.", i), Service: "orders", Capacity: 6,
		})
	}
	return servers
}

// TestBoundHolds lets many hosts see random servers fail, restarts those that
// failed, and checks that never more than a third of the capacity is out.
func TestBoundHolds(t *testing.T) {
	const schedules, rounds, count = 10, 600, 9
	failures := 0
	for seed := range uint64(schedules) {
		random := rand.New(rand.NewPCG(seed, 1))
		judge := health.New(health.DefaultSettings())
		servers := fleet(count)
		next := uint64(100)
		failing := map[string]bool{}
		for round := range rounds {
			now := time.Duration(round) * 100 * time.Millisecond
			if random.IntN(10) == 0 {
				name := servers[random.IntN(count)].Name
				failing[name] = !failing[name]
			}
			for host := range 6 {
				from := health.Host{Name: fmt.Sprint("e", host), Domain: fmt.Sprint("domain-", host%3)}
				judge.Observe(now, from, honest(servers, failing))
				if wanted := judge.ProbeTargets(now, from); len(wanted) > count {
					t.Fatalf("seed %d: %d probes wanted of %d servers", seed, len(wanted), count)
				}
			}
			out := 0
			for _, verdict := range judge.Evaluate(now, servers) {
				if verdict.State == health.Failed {
					failures++
					servers = restart(servers, verdict.Session, next)
					next++
				}
				if verdict.State == health.Failed || verdict.Quarantined {
					out++
				}
			}
			if out > count/3 {
				t.Fatalf("seed %d, %v: %d of %d servers are out", seed, now, out, count)
			}
		}
	}
	if failures < schedules {
		t.Fatalf("only %d failures in %d schedules", failures, schedules)
	}
}

func honest(servers []health.Server, failing map[string]bool) []health.Report {
	var reports []health.Report
	for _, server := range servers {
		report := health.Report{Session: server.Session, ProbesAnswered: 1, Answered: 1}
		if failing[server.Name] {
			report = health.Report{Session: server.Session, ProbesFailed: 1, TimedOut: 1}
		}
		reports = append(reports, report)
	}
	return reports
}

// restart replaces a session by the next one of its server.
func restart(servers []health.Server, session, next uint64) []health.Server {
	var kept []health.Server
	var again health.Server
	for _, server := range servers {
		if server.Session == session {
			again = server
			again.Session = next
			continue
		}
		kept = append(kept, server)
	}
	return append(kept, again)
}
