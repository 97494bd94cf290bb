package health_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/galenalug/galenalug/health"
)

const reportInterval = 100 * time.Millisecond

// scenario simulates the hosts and servers of a region. Each host reports the same observations in
// every reportInterval until they are changed.
type scenario struct {
	detector *health.Detector
	now      time.Duration
	servers  []health.Server
	hosts    []health.Host
	reports  map[string][]health.Report // by host
	probes   map[string]bool            // whether answered, by host or "*", and session
	targets  map[string][]uint64        // sessions to probe, by host
	last     map[uint64]health.Assessment
	loads    map[uint64]int // reported with heartbeats; noHeartbeat for a server that sends none
}

const noHeartbeat = -1

func newScenario() *scenario {
	return &scenario{
		detector: health.New(health.DefaultSettings()), reports: map[string][]health.Report{},
		probes: map[string]bool{}, targets: map[string][]uint64{}, last: map[uint64]health.Assessment{},
		loads: map[uint64]int{},
	}
}

// TestSession runs the files of testdata. The commands, with one item per line of input, are:
//
//   - servers: session, name, address and capacity of each server
//   - hosts: name, failure domain and region of each host
//   - sees: host, session, and the numbers of requests answered and timed out in each 100 ms
//   - probes: host or *, session, and the result of its probes: ok or fail
//   - load session= value=: the load that a server reports; -1 for no heartbeats
//   - run ms=: simulates a time and prints each change of an assessment
func TestSession(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newScenario()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return s.command(t, d) })
	})
}

func (s *scenario) command(t *testing.T, d *datadriven.TestData) string {
	lines := strings.Split(strings.TrimSpace(d.Input), "\n")
	switch d.Cmd {
	case "servers":
		s.servers = nil
		for _, line := range lines {
			server := health.Server{Service: "orders", Region: "norte"}
			scan(t, line, &server.Session, &server.Name, &server.Address, &server.Capacity)
			s.servers = append(s.servers, server)
		}
	case "hosts":
		s.hosts = nil
		for _, line := range lines {
			var host health.Host
			scan(t, line, &host.Name, &host.Domain, &host.Region)
			s.hosts = append(s.hosts, host)
		}
	case "sees":
		s.reports = map[string][]health.Report{}
		for _, line := range lines {
			var host string
			var r health.Report
			scan(t, line, &host, &r.Session, &r.Answered, &r.TimedOut)
			s.reports[host] = append(s.reports[host], r)
		}
	case "probes":
		for _, line := range lines {
			var host, result string
			var id uint64
			scan(t, line, &host, &id, &result)
			s.probes[fmt.Sprint(host, id)] = result == "ok"
		}
	case "load":
		var id uint64
		var value int
		d.ScanArgs(t, "session", &id)
		d.ScanArgs(t, "value", &value)
		s.loads[id] = value
	case "run":
		var ms int
		d.ScanArgs(t, "ms", &ms)
		return s.run(time.Duration(ms) * time.Millisecond)
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return ""
}

func scan(t *testing.T, line string, to ...any) {
	t.Helper()
	if n, err := fmt.Sscan(line, to...); n < len(to) {
		t.Fatalf("line %q: %v", line, err)
	}
}

func (s *scenario) run(duration time.Duration) string {
	var out strings.Builder
	for end := s.now + duration; s.now < end; s.now += reportInterval {
		for _, host := range s.hosts {
			s.report(host)
		}
		for _, v := range s.detector.Evaluate(s.now, s.servers) {
			if last := s.last[v.Session]; v.State != last.State || v.Reason != last.Reason || v.Quarantined != last.Quarantined {
				fmt.Fprintf(&out, "%v session %d: %v quarantined=%v %s\n", s.now, v.Session, v.State, v.Quarantined, v.Reason)
				s.last[v.Session] = v
			}
		}
	}
	return out.String()
}

// report passes a host's observations and the results of its probes to the detector, and the
// heartbeats of all servers.
func (s *scenario) report(host health.Host) {
	reports := append([]health.Report{}, s.reports[host.Name]...)
	for _, id := range s.targets[host.Name] {
		answered, found := s.probes[fmt.Sprint(host.Name, id)]
		if !found {
			answered = s.probes[fmt.Sprint("*", id)]
		}
		if answered {
			reports = append(reports, health.Report{Session: id, ProbesAnswered: 1})
		} else {
			reports = append(reports, health.Report{Session: id, ProbesFailed: 1})
		}
	}
	s.detector.Observe(s.now, host, reports)
	s.targets[host.Name] = s.detector.ProbeTargets(s.now, host)
	for _, server := range s.servers {
		if load := s.loads[server.Session]; load != noHeartbeat {
			s.detector.Heartbeat(s.now, server.Session, load)
		}
	}
}
