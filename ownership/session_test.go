package ownership

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/galenalug/galenalug/placement"
)

// script runs one test script against a State and its Coordinator.
type script struct {
	t           *testing.T
	now         time.Duration
	index       uint64
	state       *State
	coordinator *Coordinator
	homes       scriptHomes
	log         strings.Builder
}

// scriptHomes implements Homes for the one service of the scripts.
type scriptHomes []Home

func (scriptHomes) ServiceNames() []string { return []string{testService} }

func (h scriptHomes) Of(string) []Home { return h }

// TestSessions runs the scripts in testdata/sessions and compares the committed commands and the
// replies with the expected ones. The scripts have these commands:
//
//	homes region=R [to=R] [generation=N]      sets the homes of all 8 slots
//	heartbeat name=N [incarnation=I] [session=S] [unfenced] [draining] [released=slot:token;...]
//	                                          sends a server's heartbeat; an unfenced server does
//	                                          not check tokens
//	renew version=V [host=H] [confirmed=V]    renews an entry host's session
//	advance 100ms [alive=(session,...)]       advances time in steps of 25 ms, each with a tick;
//	                                          the listed sessions send heartbeats every 100 ms
//	elect                                     starts a new term with a new Coordinator
//	isolate KEY, return KEY                   requests a key's isolation, or its end
//	state                                     prints sessions and slots
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, path string) {
		s := &script{t: t, state: NewState(), homes: make(scriptHomes, testSlots)}
		s.elect()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.t = t
			s.log.Reset()
			s.run(d)
			return s.log.String()
		})
	})
}

func (s *script) run(d *datadriven.TestData) {
	switch d.Cmd {
	case "homes":
		s.setHomes(d)
	case "heartbeat":
		s.heartbeat(d)
	case "renew":
		renewal := EntryHostRenewal{Host: "e1"}
		d.ScanArgs(s.t, "version", &renewal.Version)
		d.MaybeScanArgs(s.t, "host", &renewal.Host)
		d.MaybeScanArgs(s.t, "confirmed", &renewal.Confirmed)
		fmt.Fprintf(&s.log, "lease %v\n", s.coordinator.RenewEntryHost(s.now, renewal).Lease)
	case "advance":
		s.advance(d)
	case "elect":
		s.elect()
	case "isolate":
		s.coordinator.IsolateKey(testService, d.CmdArgs[0].Key)
	case "return":
		s.coordinator.ReturnKey(testService, d.CmdArgs[0].Key)
	case "state":
		s.print()
	default:
		d.Fatalf(s.t, "unknown command %q", d.Cmd)
	}
}

func (s *script) elect() {
	settings := Settings{Region: testRegion, Lease: 800 * time.Millisecond, MaxDeadline: 2 * time.Second}
	planner := placement.NewPlanner(placement.DefaultSettings(placement.Availability))
	s.coordinator = NewCoordinator(settings, planner, s.now, s.state)
}

func (s *script) setHomes(d *datadriven.TestData) {
	home := Home{Generation: 1}
	d.ScanArgs(s.t, "region", &home.Region)
	if d.HasArg("to") {
		d.ScanArgs(s.t, "to", &home.To)
	}
	if d.HasArg("generation") {
		d.ScanArgs(s.t, "generation", &home.Generation)
	}
	s.homes = make(scriptHomes, testSlots)
	for i := range s.homes {
		s.homes[i] = home
	}
}

func (s *script) heartbeat(d *datadriven.TestData) {
	heartbeat := Heartbeat{Server: Server{
		Incarnation: "1", Service: testService, Region: testRegion, Keyed: true,
		Fencing: !d.HasArg("unfenced"), Draining: d.HasArg("draining"), Slots: 6,
	}}
	d.ScanArgs(s.t, "name", &heartbeat.Server.Name)
	heartbeat.Server.Domain = heartbeat.Server.Name
	d.MaybeScanArgs(s.t, "incarnation", &heartbeat.Server.Incarnation)
	d.MaybeScanArgs(s.t, "session", &heartbeat.Session)
	var released string
	if d.MaybeScanArgs(s.t, "released", &released) {
		heartbeat.Released = s.parseGrants(released)
	}
	s.sendHeartbeat(heartbeat)
}

func (s *script) parseGrants(text string) []SlotGrant {
	var grants []SlotGrant
	for _, part := range strings.Split(text, ";") {
		var grant SlotGrant
		if _, err := fmt.Sscanf(part, "%d:%d", &grant.Slot, &grant.Token); err != nil {
			s.t.Fatal(err)
		}
		grant.Token |= s.state.Service(testService).Slots[grant.Slot].Generation << generationShift
		grants = append(grants, grant)
	}
	return grants
}

func (s *script) sendHeartbeat(heartbeat Heartbeat) {
	reply, commands := s.coordinator.Heartbeat(s.now, s.state, heartbeat)
	s.commit(commands)
	if reply.Session == 0 && len(commands) > 0 {
		reply, commands = s.coordinator.Heartbeat(s.now, s.state, heartbeat)
		s.commit(commands)
	}
	fmt.Fprintf(&s.log, "%s: session %d lease %v\n", heartbeat.Server.Name, reply.Session, reply.Lease)
}

// advance runs the advance command.
func (s *script) advance(d *datadriven.TestData) {
	length, err := time.ParseDuration(d.CmdArgs[0].Key)
	if err != nil {
		d.Fatalf(s.t, "%v", err)
	}
	var alive []uint64
	if arg, ok := d.Arg("alive"); ok {
		for _, value := range arg.Vals {
			var id uint64
			if _, err := fmt.Sscan(value, &id); err != nil {
				d.Fatalf(s.t, "%v", err)
			}
			alive = append(alive, id)
		}
	}
	const interval = 25 * time.Millisecond
	for end := s.now + length; s.now < end; {
		s.now += interval
		if s.now%(100*time.Millisecond) == 0 {
			s.renewAll(alive)
		}
		s.tick()
	}
}

func (s *script) renewAll(alive []uint64) {
	for _, id := range alive {
		if server, ok := s.state.Server(id); ok {
			_, commands := s.coordinator.Heartbeat(s.now, s.state, Heartbeat{Session: id, Server: server})
			s.commit(commands)
		}
	}
}

func (s *script) tick() {
	for range 10 {
		commands := s.coordinator.Tick(s.now, s.state, s.homes)
		if len(commands) == 0 {
			return
		}
		s.commit(commands)
	}
	s.t.Fatalf("at %v: Tick still returns commands after 10 commits", s.now)
}

func (s *script) commit(commands []Command) {
	if len(commands) == 0 {
		return
	}
	s.index++
	for _, command := range commands {
		fmt.Fprintf(&s.log, "%v #%d %s\n", s.now, s.index, describe(command))
		s.state.Apply(s.index, command)
	}
}

// describe formats a command for the scripts. Tokens are printed without their generation.
func describe(c Command) string {
	switch {
	case c.Register != nil:
		return "register " + c.Register.Name
	case c.SetDraining != nil:
		return fmt.Sprint("drain ", c.SetDraining.IDs)
	case c.Suspend != nil:
		return fmt.Sprint("suspend ", c.Suspend.IDs)
	case c.EndSessions != nil:
		return fmt.Sprint("end ", c.EndSessions.IDs)
	case c.Assign != nil:
		return "assign " + describeGrants(c.Assign, func(g SlotGrant) uint64 { return g.Session })
	case c.Release != nil:
		return "release " + describeGrants(c.Release, func(g SlotGrant) uint64 { return g.Token })
	case c.Released != nil:
		return "released " + describeGrants(c.Released, func(g SlotGrant) uint64 { return g.Token })
	case c.Adopt != nil:
		return fmt.Sprint("adopt ", c.Adopt.Moved)
	case c.Retire != nil:
		return fmt.Sprint("retire ", c.Retire.Moved)
	case c.Isolate != nil:
		return fmt.Sprint("isolate ", c.Isolate.Keys)
	default:
		return fmt.Sprint("return ", c.Return.Keys)
	}
}

func describeGrants(body *SlotGrants, value func(SlotGrant) uint64) string {
	var parts []string
	for _, grant := range body.Grants {
		parts = append(parts, fmt.Sprintf("%d:%d", grant.Slot, value(grant)&(1<<generationShift-1)))
	}
	return strings.Join(parts, " ")
}

func (s *script) print() {
	for _, server := range s.state.Servers() {
		flags := ""
		if server.Draining {
			flags += " draining"
		}
		if server.Suspended {
			flags += " suspended"
		}
		fmt.Fprintf(&s.log, "session %d %s/%s%s\n", server.Session, server.Name, server.Incarnation, flags)
	}
	service := s.state.Service(testService)
	if service == nil {
		return
	}
	for number, slot := range service.Slots {
		if slot.Status != Absent {
			fmt.Fprintf(&s.log, "slot %d %s owner %d token %d\n", number, slot.Status, slot.Owner, slot.Token&(1<<generationShift-1))
		}
	}
	if len(service.HotKeys) > 0 {
		keys := sortedKeys(service.HotKeys)
		fmt.Fprintf(&s.log, "hot keys %v\n", slices.Clip(keys))
	}
}
