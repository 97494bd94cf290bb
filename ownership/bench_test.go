package ownership

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/galenalug/galenalug/placement"
)

// benchLease is long enough that no session expires during a benchmark.
const benchLease = 1000 * time.Hour

// benchHomes implements Homes for the one service of the benchmarks.
type benchHomes []Home

func (benchHomes) ServiceNames() []string { return []string{testService} }

func (h benchHomes) Of(string) []Home { return h }

// fleet is a region's leader and servers that own all slots of a service.
type fleet struct {
	now         time.Duration
	index       uint64
	state       *State
	coordinator *Coordinator
	homes       benchHomes
	sessions    []uint64
}

func benchServer(i int) Server {
	return Server{
		Name: fmt.Sprintf("wheel-swap-%03d", i), Incarnation: fmt.Sprintf("%032x", i), Service: testService,
		Address: fmt.Sprintf("10.0.%d.%d:8080", i/200, i%200), Region: testRegion, Domain: fmt.Sprintf("mien-trung-%d", i%3),
		Keyed: true, Fencing: true, Slots: 6, Connections: 110,
	}
}

func newFleet(servers, slots int) *fleet {
	f := &fleet{state: NewState(), homes: make(benchHomes, slots)}
	for i := range f.homes {
		f.homes[i] = Home{Region: testRegion, Generation: 1}
	}
	planner := placement.NewPlanner(placement.DefaultSettings(placement.Availability))
	f.coordinator = NewCoordinator(Settings{Region: testRegion, Lease: benchLease, MaxDeadline: time.Second}, planner, 0, f.state)
	for i := range servers {
		server := benchServer(i)
		f.commit([]Command{{Register: &server}})
		f.sessions = append(f.sessions, f.index)
	}
	f.commitDue()
	for slot := range slots {
		f.coordinator.ObserveLoad(f.now, testService, slot, 100)
	}
	return f
}

func (f *fleet) commit(commands []Command) []Change {
	f.index++
	var changes []Change
	for _, command := range commands {
		changes = append(changes, f.state.Apply(f.index, command)...)
	}
	return changes
}

// commitDue calls Tick and commits its commands until none are due. It returns the changes for views.
func (f *fleet) commitDue() []Change {
	var changes []Change
	for {
		commands := f.coordinator.Tick(f.now, f.state, f.homes)
		if len(commands) == 0 {
			return changes
		}
		changes = append(changes, f.commit(commands)...)
	}
}

// releaseSlots sends a heartbeat in which a server releases all its Releasing slots, and commits
// what is then due.
func (f *fleet) releaseSlots(i int) []Change {
	heartbeat := Heartbeat{Server: benchServer(i), Session: f.sessions[i]}
	for number, slot := range f.state.Service(testService).Slots {
		if slot.Owner == f.sessions[i] && slot.Status == Releasing {
			heartbeat.Released = append(heartbeat.Released, SlotGrant{Slot: number, Token: slot.Token})
		}
	}
	_, commands := f.coordinator.Heartbeat(f.now, f.state, heartbeat)
	return append(f.commit(commands), f.commitDue()...)
}

// drain drains a server, which releases its slots in batches, until it owns none.
func (f *fleet) drain(i int) []Change {
	changes := f.commit([]Command{{SetDraining: &Sessions{IDs: f.sessions[i : i+1]}}})
	changes = append(changes, f.commitDue()...)
	for f.state.HeldSlotCount(f.sessions[i]) > 0 {
		f.now += planInterval
		changes = append(changes, f.commitDue()...)
		changes = append(changes, f.releaseSlots(i)...)
	}
	return changes
}

// join adds a server and runs for one minute, in which slots move to it.
func (f *fleet) join() []Change {
	server := benchServer(len(f.sessions))
	changes := f.commit([]Command{{Register: &server}})
	f.sessions = append(f.sessions, f.index)
	for range 60 {
		f.now += planInterval
		changes = append(changes, f.commitDue()...)
		for i := range f.sessions {
			changes = append(changes, f.releaseSlots(i)...)
		}
	}
	return changes
}

func (f *fleet) lose(i int) []Change {
	changes := f.commit([]Command{{EndSessions: &Sessions{IDs: f.sessions[i : i+1]}}})
	return append(changes, f.commitDue()...)
}

func forSizes(b *testing.B, run func(b *testing.B, servers, slots int)) {
	for _, slots := range []int{4096, 16384} {
		for _, servers := range []int{27, 110, 440} {
			b.Run(fmt.Sprintf("servers=%d/slots=%d", servers, slots), func(b *testing.B) { run(b, servers, slots) })
		}
	}
}

// BenchmarkHeartbeat measures the heartbeat of a registered server, with its session and without
// it, as when the reply to the registration was lost.
func BenchmarkHeartbeat(b *testing.B) {
	for _, registered := range []bool{true, false} {
		for _, servers := range []int{27, 110, 440} {
			b.Run(fmt.Sprintf("session=%t/servers=%d", registered, servers), func(b *testing.B) {
				f := newFleet(servers, 4096)
				heartbeats := make([]Heartbeat, servers)
				for i := range heartbeats {
					heartbeats[i].Server = benchServer(i)
					if registered {
						heartbeats[i].Session = f.sessions[i]
					}
				}
				for i := 0; b.Loop(); i++ {
					if reply, _ := f.coordinator.Heartbeat(f.now, f.state, heartbeats[i%servers]); reply.Session == 0 {
						b.Fatal("heartbeat reply has no session")
					}
				}
			})
		}
	}
}

// BenchmarkEntryRenewal measures an entry host's renewal that reports the loads of slots.
func BenchmarkEntryRenewal(b *testing.B) {
	for _, loads := range []int{0, 256, 4096} {
		b.Run(fmt.Sprintf("loads=%d", loads), func(b *testing.B) {
			f := newFleet(27, 4096)
			for b.Loop() {
				f.now += 100 * time.Millisecond
				f.coordinator.RenewEntryHost(0, EntryHostRenewal{Host: "e1", Version: f.state.Version()})
				for slot := range loads {
					f.coordinator.ObserveLoad(f.now, testService, slot, 10)
				}
			}
		})
	}
}

// BenchmarkTickIdle measures Tick when no commands are due, every 25 ms of virtual time. Every 40th
// call makes a plan.
func BenchmarkTickIdle(b *testing.B) {
	forSizes(b, func(b *testing.B, servers, slots int) {
		f := newFleet(servers, slots)
		f.now += time.Minute
		f.commitDue()
		for b.Loop() {
			f.now += 25 * time.Millisecond
			f.commitDue()
		}
	})
}

// BenchmarkTickLoss measures the leader's computation from the end of a session until all its slots
// have new owners, without the latency of commits.
func BenchmarkTickLoss(b *testing.B) {
	forSizes(b, func(b *testing.B, servers, slots int) {
		for range b.N {
			b.StopTimer()
			f := newFleet(servers, slots)
			b.StartTimer()
			f.lose(0)
		}
	})
}

// BenchmarkTableBytes reports the encoded size of the full table, and of the changes when a server
// is lost, joins or drains.
func BenchmarkTableBytes(b *testing.B) {
	forSizes(b, func(b *testing.B, servers, slots int) {
		f := newFleet(servers, slots)
		for b.Loop() {
			reportBytes(b, "whole-bytes", f.state.Changes())
		}
		f.now += time.Minute
		reportBytes(b, "drain-bytes", f.drain(1))
		reportBytes(b, "loss-bytes", newFleet(servers, slots).lose(0))
		reportBytes(b, "join-bytes", newFleet(servers, slots).join())
	})
}

func reportBytes(b *testing.B, name string, changes []Change) {
	b.Helper()
	body, err := EncodeChanges(changes)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(body)), name)
}

// BenchmarkMemory reports the heap size of a view, and of a leader's coordinator together with its
// state.
func BenchmarkMemory(b *testing.B) {
	forSizes(b, func(b *testing.B, servers, slots int) {
		for b.Loop() {
			before := heapBytes()
			f := newFleet(servers, slots)
			leader := heapBytes()
			body, err := EncodeChanges(f.state.Changes())
			if err != nil {
				b.Fatal(err)
			}
			beforeView := heapBytes()
			view := NewView()
			if err := view.Update(0, f.index, body); err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(leader-before), "leader-bytes")
			b.ReportMetric(float64(heapBytes()-beforeView), "view-bytes")
			runtime.KeepAlive(f)
			runtime.KeepAlive(view)
			runtime.KeepAlive(body)
		}
	})
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
