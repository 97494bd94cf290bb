package health_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/galenalug/galenalug/health"
)

// falseReports returns random reports that may do the most harm: many failures of most sessions.
func falseReports(random *rand.Rand, servers []health.Server) []health.Report {
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

// TestOneHostCannotCauseAFailure has one host send false reports, next to hosts that see
// some responses or nothing and do not always report. The reports of a single host must not withhold
// a server.
func TestOneHostCannotCauseAFailure(t *testing.T) {
	const schedules, rounds = 25, 400
	for seed := range uint64(schedules) {
		random := rand.New(rand.NewPCG(seed, 0))
		detector := health.New(health.DefaultSettings())
		servers := newServers(2 + random.IntN(8))
		for round := range rounds {
			now := time.Duration(round) * 50 * time.Millisecond
			detector.Observe(now, health.Host{Name: "liar", Domain: fmt.Sprint("domain-", random.IntN(3))}, falseReports(random, servers))
			for i := range random.IntN(4) {
				session := servers[random.IntN(len(servers))].Session
				report := health.Report{Session: session, Answered: random.IntN(2), ProbesAnswered: random.IntN(2)}
				detector.Observe(now, health.Host{Name: fmt.Sprint("e", i), Domain: fmt.Sprint("domain-", i)}, []health.Report{report})
			}
			for _, assessment := range detector.Evaluate(now, servers) {
				if assessment.State == health.Failed || assessment.Quarantined {
					t.Fatalf("seed %d, at %v: one host's false reports caused %+v", seed, now, assessment)
				}
			}
		}
	}
}

func newServers(count int) []health.Server {
	var servers []health.Server
	for i := range count {
		servers = append(servers, health.Server{
			Session: uint64(i + 1), Name: fmt.Sprint("s", i), Address: fmt.Sprint("10.0.0.", i), Service: "orders", Capacity: 6,
		})
	}
	return servers
}

// TestWithheldCapacityIsLimited has all hosts see random servers fail, and restarts the failed
// ones. At no time may more than a third of the capacity be withheld.
func TestWithheldCapacityIsLimited(t *testing.T) {
	const schedules, rounds, count = 10, 600, 9
	failures := 0
	for seed := range uint64(schedules) {
		random := rand.New(rand.NewPCG(seed, 1))
		detector := health.New(health.DefaultSettings())
		servers := newServers(count)
		nextSession := uint64(100)
		failing := map[string]bool{}
		for round := range rounds {
			now := time.Duration(round) * 100 * time.Millisecond
			if random.IntN(10) == 0 {
				name := servers[random.IntN(count)].Name
				failing[name] = !failing[name]
			}
			for host := range 6 {
				from := health.Host{Name: fmt.Sprint("e", host), Domain: fmt.Sprint("domain-", host%3)}
				detector.Observe(now, from, accurateReports(servers, failing))
				if targets := detector.ProbeTargets(now, from); len(targets) > count {
					t.Fatalf("seed %d: %d probe targets for %d servers", seed, len(targets), count)
				}
			}
			withheld := 0
			for _, assessment := range detector.Evaluate(now, servers) {
				if assessment.State == health.Failed {
					failures++
					servers = restart(servers, assessment.Session, nextSession)
					nextSession++
				}
				if assessment.State == health.Failed || assessment.Quarantined {
					withheld++
				}
			}
			if withheld > count/3 {
				t.Fatalf("seed %d, at %v: %d of %d servers are withheld", seed, now, withheld, count)
			}
		}
	}
	if failures < schedules {
		t.Fatalf("only %d detected failures in %d schedules, want at least one per schedule", failures, schedules)
	}
}

// accurateReports returns the reports of a host for which the failing servers fail and the others
// answer.
func accurateReports(servers []health.Server, failing map[string]bool) []health.Report {
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

// restart replaces a session by a new session of the same server.
func restart(servers []health.Server, session, nextSession uint64) []health.Server {
	var remaining []health.Server
	var restarted health.Server
	for _, server := range servers {
		if server.Session == session {
			restarted = server
			restarted.Session = nextSession
			continue
		}
		remaining = append(remaining, server)
	}
	return append(remaining, restarted)
}
