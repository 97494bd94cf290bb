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

// session is a region's life: what each host sees of each server, again and again.
type session struct {
	judge   *health.Detector
	now     time.Duration
	servers []health.Server
	hosts   []health.Host
	seen    map[string][]health.Report // by host
	probes  map[string]bool            // answered or not, by host or "*", and session
	wanted  map[string][]uint64
	last    map[uint64]health.Assessment
	loads   map[uint64]int // reported by servers; noHeartbeat for silence
}

const noHeartbeat = -1

func newSession() *session {
	return &session{
		judge: health.New(health.DefaultSettings()), seen: map[string][]health.Report{},
		probes: map[string]bool{}, wanted: map[string][]uint64{}, last: map[uint64]health.Assessment{},
		loads: map[uint64]int{},
	}
}

// TestSession plays the files of testdata. Commands, with one item a line:
// servers (session name address capacity), hosts (name domain region), sees (host session
// counts; each 100 ms from then on), probes (host or * and session: ok or fail),
// load session= value= (-1: no
// heartbeats), run ms=, which prints each change of a verdict.
func TestSession(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newSession()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return s.command(t, d) })
	})
}

func (s *session) command(t *testing.T, d *datadriven.TestData) string {
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
		s.seen = map[string][]health.Report{}
		for _, line := range lines {
			var host string
			var r health.Report
			scan(t, line, &host, &r.Session, &r.Answered, &r.TimedOut)
			s.seen[host] = append(s.seen[host], r)
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
		t.Fatalf("%q: %v", line, err)
	}
}

func (s *session) run(length time.Duration) string {
	var out strings.Builder
	for end := s.now + length; s.now < end; s.now += reportInterval {
		for _, host := range s.hosts {
			s.report(host)
		}
		for _, v := range s.judge.Evaluate(s.now, s.servers) {
			if last := s.last[v.Session]; v.State != last.State || v.Reason != last.Reason || v.Quarantined != last.Quarantined {
				fmt.Fprintf(&out, "%v session %d: %v quarantined=%v %s\n", s.now, v.Session, v.State, v.Quarantined, v.Reason)
				s.last[v.Session] = v
			}
		}
	}
	return out.String()
}

// report passes what a host sees, and the results of the probes it was asked for.
func (s *session) report(host health.Host) {
	reports := append([]health.Report{}, s.seen[host.Name]...)
	for _, id := range s.wanted[host.Name] {
		answered, own := s.probes[fmt.Sprint(host.Name, id)]
		if !own {
			answered = s.probes[fmt.Sprint("*", id)]
		}
		if answered {
			reports = append(reports, health.Report{Session: id, ProbesAnswered: 1})
		} else {
			reports = append(reports, health.Report{Session: id, ProbesFailed: 1})
		}
	}
	s.judge.Observe(s.now, host, reports)
	s.wanted[host.Name] = s.judge.ProbeTargets(s.now, host)
	for _, server := range s.servers {
		if load := s.loads[server.Session]; load != noHeartbeat {
			s.judge.Heartbeat(s.now, server.Session, load)
		}
	}
}
