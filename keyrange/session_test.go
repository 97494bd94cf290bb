package keyrange

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

const (
	testKeys    = 1000
	testService = "stock"
)

// session runs one scripted session against a Coordinator.
type session struct {
	t           *testing.T
	now         time.Duration
	coord       *Coordinator
	startMillis map[string]int64
	seq         map[string]int64
	holds       map[string][]Range // last grants of each server
	record      Record
	domains     map[string]string // failure domain of each server
	evacuated   map[string]time.Duration
}

// TestSessions runs the scripted sessions in testdata. Commands:
//
//	elect term=N [lease=D]                  starts a new leader; without lease there are no earlier
//	                                        terms
//	advance D                               advances the time
//	heartbeat id=S [born=N] [seq=N] [address=A] [draining] [holds=(f-t:token,...)]
//	          [released=(f-t,...)] [lost] [unrecorded] [domain=D]
//	                                        sends a heartbeat; a new value of born (the start time)
//	                                        starts a new incarnation; the server accepts the grants
//	                                        unless the reply is lost or they could not be recorded
//	allow [regions=(R,...)]                 sets the regions whose servers may have keys; without regions, all.
//	                                        Failure domains d1 and d2 are in region r1, d3 is in r2
//	evacuate [domains=(D,...)]              sets the evacuated failure domains, from now on unless they were before
//	leave id=S                              sends a Leave message
//	left-before id=S                        restores a Leave message that an earlier leader received
//	says-leaving id=S [born=N]              reports a response of S which says that it is about to stop
//	load from=K to=K rate=N                 reports N requests for each key
//	table                                   prints servers and owners
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, path string) {
		s := &session{domains: map[string]string{}, startMillis: map[string]int64{}, seq: map[string]int64{}, holds: map[string][]Range{}}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.t = t
			return s.run(d)
		})
	})
}

func (s *session) run(d *datadriven.TestData) string {
	switch d.Cmd {
	case "elect":
		return s.elect(d)
	case "advance":
		step, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			d.Fatalf(s.t, "%v", err)
		}
		s.now += step
		s.coord.Tick(s.now)
		return ""
	case "heartbeat":
		return s.heartbeat(d)
	case "evacuate":
		since := map[string]time.Duration{}
		for _, domain := range values(d, "domains") {
			since[domain] = s.now
			if before, evacuated := s.evacuated[domain]; evacuated {
				since[domain] = before
			}
		}
		s.evacuated = since
		s.coord.SetEvacuated(since)
		s.coord.Tick(s.now)
		return ""
	case "allow":
		s.coord.SetServices([]KeyedService{{Name: testService, Regions: values(d, "regions"), Restricted: d.HasArg("regions")}})
		return ""
	case "leave", "left-before":
		var id string
		d.ScanArgs(s.t, "id", &id)
		if d.Cmd == "leave" {
			s.coord.Leave(s.now, Leave{ID: id, StartMillis: s.startMillis[id]})
		} else {
			s.coord.RestoreLeave(s.now, Leave{ID: id, StartMillis: s.startMillis[id]})
		}
		return ""
	case "says-leaving":
		return s.saysLeaving(d)
	case "load":
		return s.load(d)
	case "table":
		return s.table()
	}
	d.Fatalf(s.t, "unknown command %s", d.Cmd)
	return ""
}

func (s *session) elect(d *datadriven.TestData) string {
	var term uint64
	d.ScanArgs(s.t, "term", &term)
	o := Options{Term: term, Keys: testKeys, Lease: 4 * time.Second, DrainPeriod: 2500 * time.Millisecond, HeartbeatTimeout: 8 * time.Second}
	o.HeartbeatInterval = 500 * time.Millisecond
	o.Regions = map[string]string{"d1": "r1", "d2": "r1", "d3": "r2"}
	if d.HasArg("lease") {
		var text string
		d.ScanArgs(s.t, "lease", &text)
		lease, err := time.ParseDuration(text)
		if err != nil {
			d.Fatalf(s.t, "%v", err)
		}
		o.InheritedLeasesEnd = s.now + LeaseBound(lease)
		o.RecordedGrants = s.record.All()
	}
	s.coord = New(o)
	s.coord.SetServices([]KeyedService{{Name: testService}})
	return ""
}

func (s *session) heartbeat(d *datadriven.TestData) string {
	var id, address string
	d.ScanArgs(s.t, "id", &id)
	address = id + ":80"
	if d.HasArg("address") {
		d.ScanArgs(s.t, "address", &address)
	}
	if d.HasArg("born") {
		var startMillis int64
		d.ScanArgs(s.t, "born", &startMillis)
		if startMillis != s.startMillis[id] {
			s.startMillis[id], s.seq[id], s.holds[id] = startMillis, 0, nil
		}
	}
	s.seq[id]++
	if d.HasArg("domain") {
		var domain string
		d.ScanArgs(s.t, "domain", &domain)
		s.domains[id] = domain
	}
	if d.HasArg("seq") {
		var seq int64
		d.ScanArgs(s.t, "seq", &seq)
		s.seq[id] = seq
	}
	hb := Heartbeat{
		Server: Server{
			ID: id, StartMillis: s.startMillis[id], Service: testService, Address: address, Slots: 6,
			Draining: d.HasArg("draining"), Domain: s.domains[id],
		},
		Sequence: s.seq[id], Holds: s.holds[id],
	}
	if d.HasArg("holds") {
		hb.Holds = nil
		for _, text := range values(d, "holds") {
			var r Range
			scan(d, s.t, text, "%d-%d:%d", &r.From, &r.To, &r.Token)
			hb.Holds = append(hb.Holds, r)
		}
	}
	for _, text := range values(d, "released") {
		r := Release{Handover: "h-" + id}
		scan(d, s.t, text, "%d-%d", &r.From, &r.To)
		hb.Released = append(hb.Released, r)
	}
	reply := s.coord.Heartbeat(s.now, hb)
	granted := s.coord.TakePendingGrants()
	s.coord.ResolveGrants(s.now, granted, !d.HasArg("unrecorded"))
	if d.HasArg("unrecorded") {
		return "no reply\n"
	}
	s.record.Apply(granted)
	if !reply.Renewed {
		return "not renewed\n"
	}
	if !d.HasArg("lost") {
		s.holds[id] = nil
	}
	var out strings.Builder
	for _, g := range reply.Grants {
		fmt.Fprintf(&out, "%d-%d token=%d.%d", g.From, g.To, g.Token>>tokenCounterBits, g.Token&(1<<tokenCounterBits-1))
		if g.Handover != "" {
			fmt.Fprintf(&out, " handover=%s", g.Handover)
		}
		out.WriteByte('\n')
		if !d.HasArg("lost") {
			s.holds[id] = append(s.holds[id], Range{From: g.From, To: g.To, Token: g.Token})
		}
	}
	if out.Len() == 0 {
		return "nothing\n"
	}
	return out.String()
}

func values(d *datadriven.TestData, name string) []string {
	for _, arg := range d.CmdArgs {
		if arg.Key == name && !slices.Equal(arg.Vals, []string{""}) {
			return arg.Vals
		}
	}
	return nil
}

func scan(d *datadriven.TestData, t *testing.T, text, format string, fields ...any) {
	if _, err := fmt.Sscanf(text, format, fields...); err != nil {
		d.Fatalf(t, "%q: %v", text, err)
	}
}

func (s *session) load(d *datadriven.TestData) string {
	var from, to, count int64
	d.ScanArgs(s.t, "from", &from)
	d.ScanArgs(s.t, "to", &to)
	d.ScanArgs(s.t, "rate", &count)
	report := LoadReport{Services: []ServiceLoad{{Service: testService}}}
	for key := from; key <= to; key++ {
		report.Services[0].Keys = append(report.Services[0].Keys, KeyLoad{Key: key, Count: count})
	}
	s.coord.Report(s.now, "gateway", report)
	return ""
}

func (s *session) table() string {
	s.coord.Changes(s.now)
	table := s.coord.Snapshot()
	var lines []string
	for _, v := range table.Servers {
		line := fmt.Sprintf("server %s draining=%t", v.ID, v.Draining)
		if v.AdmitPermille > 0 {
			line += fmt.Sprintf(" admit=%d", v.AdmitPermille)
		}
		lines = append(lines, line)
	}
	for _, id := range table.RemovedServers {
		lines = append(lines, "gone "+id)
	}
	slices.Sort(lines)
	for _, o := range table.Owners {
		lines = append(lines, fmt.Sprintf("%d-%d %s", o.From, o.To, o.ServerID))
	}
	if table.Partial {
		lines = append(lines, "partial")
	}
	return strings.Join(lines, "\n") + "\n"
}

func (s *session) saysLeaving(d *datadriven.TestData) string {
	var id string
	d.ScanArgs(s.t, "id", &id)
	born := s.startMillis[id]
	if d.HasArg("born") {
		d.ScanArgs(s.t, "born", &born)
	}
	s.coord.Report(s.now, "gateway", LoadReport{Servers: []ServerLoad{{ServerID: id, StartMillis: born, Leaving: true}}})
	return ""
}
