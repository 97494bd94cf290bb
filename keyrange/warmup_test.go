package keyrange

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/galenalug/galenalug/warmup"
)

const beatInterval = time.Second

// coldFleet is a leader and servers that send heartbeats.
type coldFleet struct {
	coordinator *Coordinator
	now         time.Duration
	servers     []Server
	sequence    int64
}

func newColdFleet(servers int) *coldFleet {
	f := &coldFleet{now: time.Second, coordinator: New(Options{
		Term: 1, Keys: testKeys, Lease: 6 * time.Second, HeartbeatInterval: beatInterval, HeartbeatTimeout: 12 * time.Second,
	})}
	f.coordinator.SetServices(nil, "reserva")
	f.coordinator.SetWarmups(map[string]Warmup{"reserva": {Time: 3 * time.Second, PerSecond: 5.5}})
	for i := range servers {
		f.servers = append(f.servers, Server{
			ID: fmt.Sprint("s", i), Service: "reserva", Address: fmt.Sprint("10.0.0.1:", i+1), Domain: fmt.Sprint("d", i%2), Slots: 4, StartMillis: 1,
		})
	}
	return f
}

// run lets time pass in which all servers but the silent ones send heartbeats.
func (f *coldFleet) run(d time.Duration, silent ...string) {
	const step = 100 * time.Millisecond
	for end := f.now + d; f.now < end; f.now += step {
		for i, s := range f.servers {
			if (f.now/step)%(beatInterval/step) == time.Duration(i)%(beatInterval/step) && !slices.Contains(silent, s.ID) {
				f.sequence++
				f.coordinator.Heartbeat(f.now, Heartbeat{Server: s, Sequence: f.sequence})
			}
		}
		f.coordinator.Tick(f.now)
	}
}

// cold returns the causes of the cold servers of the table, by ID.
func (f *coldFleet) cold() map[string]warmup.Cause {
	causes := map[string]warmup.Cause{}
	for _, s := range f.coordinator.ColdServers() {
		causes[s.ServerID] = s.Cause
	}
	f.coordinator.Changes(f.now)
	for _, s := range f.coordinator.Snapshot().Servers {
		if _, cold := causes[s.ID]; cold != (s.WarmupMillis > 0) {
			causes[s.ID] = "differs from the table"
		}
	}
	return causes
}

// Guards against servers that get their usual load after a restart, because no heartbeat has reported it yet, and
// against warm servers that are limited because the leader itself heard of nobody.
func TestServersThatMayBeCold(t *testing.T) {
	all := []string{"s0", "s1", "s2", "s3", "s4", "s5"}
	for name, c := range map[string]struct {
		event func(f *coldFleet)
		want  map[string]warmup.Cause
	}{
		"new leader": {func(*coldFleet) {}, nil},
		"restarted under the same ID": {func(f *coldFleet) {
			f.servers[2].StartMillis = 2
			f.run(beatInterval)
		}, map[string]warmup.Cause{"s2": warmup.CauseRestarted}},
		"joined": {func(f *coldFleet) {
			f.servers = append(f.servers, Server{ID: "new", Service: "reserva", Address: "10.0.0.1:77", Slots: 4, StartMillis: 5})
			f.run(beatInterval)
		}, map[string]warmup.Cause{"new": warmup.CauseJoined}},
		"says so": {func(f *coldFleet) {
			f.servers[1].WarmupMillis = 2500
			f.run(beatInterval)
		}, map[string]warmup.Cause{"s1": warmup.CauseHeartbeat}},
		"domain without power": {func(f *coldFleet) { f.run(4*beatInterval, "s1", "s3", "s5") }, map[string]warmup.Cause{"s1": warmup.CauseSilent, "s3": warmup.CauseSilent, "s5": warmup.CauseSilent}},
		"domain back with the same processes": {func(f *coldFleet) {
			f.run(5*beatInterval, "s1", "s3", "s5")
			f.run(beatInterval)
		}, map[string]warmup.Cause{"s1": warmup.CauseReturned, "s3": warmup.CauseReturned, "s5": warmup.CauseReturned}},
		"domain warm again": {func(f *coldFleet) {
			f.run(5*beatInterval, "s1", "s3", "s5")
			f.run(2 * beatInterval)
		}, nil},
		"leader cut off": {func(f *coldFleet) {
			f.run(5*beatInterval, all...)
			f.run(beatInterval)
		}, nil},
		"refused a connection": {func(f *coldFleet) { f.coordinator.ReportCold(f.now, "s4", f.now, time.Hour, warmup.CauseRefused) }, map[string]warmup.Cause{"s4": warmup.CauseRefused}},
		"evacuation ended":     {func(f *coldFleet) { f.coordinator.MarkCold(f.now, "d0") }, map[string]warmup.Cause{"s0": warmup.CauseEvacuation, "s2": warmup.CauseEvacuation, "s4": warmup.CauseEvacuation}},
		"evacuation ended and heartbeats sent since": {func(f *coldFleet) {
			f.coordinator.MarkCold(f.now, "d0")
			f.run(2 * beatInterval)
		}, nil},
		"no limit any more": {func(f *coldFleet) {
			f.coordinator.MarkCold(f.now, "d0")
			f.coordinator.SetWarmups(nil)
		}, nil},
	} {
		f := newColdFleet(len(all))
		f.run(10 * beatInterval)
		c.event(f)
		if got := f.cold(); fmt.Sprint(got) != fmt.Sprint(c.want) {
			t.Errorf("%s: cold are %v, want %v", name, got, c.want)
		}
	}
}

// Guards against a message to all gateways for each server without a limit whose warm-up goes on or ends, against a
// table for new gateways that states it too long, and against such servers that count as cold.
func TestWarmupWithoutLimitNeedsNoUpdate(t *testing.T) {
	f := newColdFleet(3)
	f.coordinator.SetServices([]KeyedService{{Name: "keyed"}}, "reserva", "photos")
	f.run(2 * beatInterval)
	for i, service := range []string{"photos", "keyed"} {
		f.servers = append(f.servers, Server{ID: service, Service: service, Address: fmt.Sprint("10.0.0.2:", i+1), Slots: 4, StartMillis: 9, WarmupMillis: 3000})
	}
	f.run(beatInterval) // both send a heartbeat, photos 0.3 s after the start
	f.coordinator.Changes(f.now)
	left := func() string {
		left := map[string]int64{}
		for _, s := range f.coordinator.Snapshot().Servers {
			left[s.Service] = s.WarmupMillis
		}
		return fmt.Sprint(left["photos"], " ", left["keyed"])
	}
	if got := left(); got != "2300 0" || !f.coordinator.CountsDown() {
		t.Errorf("%s ms left for photos and keyed, want 2300 and 0", got)
	}
	f.servers[3].WarmupMillis, f.servers[4].WarmupMillis = 2000, 2000
	f.run(beatInterval)
	if update, changed := f.coordinator.Changes(f.now); changed || left() != "1300 0" {
		t.Errorf("an update of %+v; the full table has %s ms left, want no update, 1300 and 0", update.Servers, left())
	}
	f.servers[3].WarmupMillis, f.servers[4].WarmupMillis = 0, 0
	f.run(beatInterval)
	if update, _ := f.coordinator.Changes(f.now); len(update.Servers) > 0 { // the other server gets keys
		t.Errorf("an update of %+v at the end of the warm-up, want none", update.Servers)
	}
	f.servers[3].Draining = true
	f.run(beatInterval)
	if update, _ := f.coordinator.Changes(f.now); len(update.Servers) != 1 || update.Servers[0].WarmupMillis != 0 || f.coordinator.CountsDown() {
		t.Errorf("an update of %+v, want the one that drains, as warm", update.Servers)
	}
	if len(f.coordinator.ColdServers()) > 0 {
		t.Errorf("%+v count as cold", f.coordinator.ColdServers())
	}
}

// Guards against a new leader for which the servers of a domain are warm whose evacuation has just ended, while gateways
// suspect them, and against one that counts them as cold for longer than the heartbeats need to prove otherwise.
func TestNewLeaderKnowsEndedEvacuations(t *testing.T) {
	f := newColdFleet(4)
	options := f.coordinator.options
	options.EvacuationEnds = map[string]time.Duration{"d0": f.now}
	f.coordinator = New(options)
	f.coordinator.SetServices(nil, "reserva")
	f.coordinator.SetWarmups(map[string]Warmup{"reserva": {Time: 3 * time.Second, PerSecond: 5.5}})
	f.run(beatInterval / 4)
	if got, want := fmt.Sprint(f.cold()), fmt.Sprint(map[string]warmup.Cause{"s0": warmup.CauseEvacuation, "s2": warmup.CauseEvacuation}); got != want {
		t.Errorf("cold are %v after the first heartbeats, want %v", got, want)
	}
	f.run(2 * beatInterval)
	if got := f.cold(); len(got) > 0 {
		t.Errorf("cold are %v after two heartbeats, want none", got)
	}
}

// Guards against keys that go to a cold server as if it were warm.
func TestColdServerCountsWithItsRate(t *testing.T) {
	s := &server{info: Server{Slots: 4}, cold: true}
	if got := s.capacity(0.1, 5.5); got != 5.5 {
		t.Errorf("capacity %g while cold, want 5.5", got)
	}
	if s.cold = false; s.capacity(0.1, 5.5) < 39.9 {
		t.Errorf("capacity %g, want 4 slots of 0.1 s", s.capacity(0.1, 5.5))
	}
}
