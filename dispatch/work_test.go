package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against gateways that go through the servers in the same order: all start at once, and each sends 3.5
// requests a second.
func TestWorkSpreadsTheStartOfAllGateways(t *testing.T) {
	before, after := compare(t, "start", model{
		gateways: 114, servers: 59, slots: 6, queue: 24, length: 1500 * ms,
		classes: []modelClass{{rate: 398, work: 390 * ms, target: 1500 * ms, deadline: 6 * time.Second, priority: 1}},
	})
	if after.busiest > 2 || after.busiest > before.busiest || after.late > before.late {
		t.Errorf("busiest server has %.2f times the mean load, late %d; before %.2f, %d", after.busiest, after.late, before.busiest, before.late)
	}
}

// Guards against slow servers that are filled like fast ones, and against short overload that lasts.
func TestWorkUsesFastServersMore(t *testing.T) {
	for _, m := range []struct {
		name string
		model
	}{
		{"speeds differ by 3", model{speeds: func(i int) float64 { return 0.5 + float64(i%11)/10 }}},
		{"neighbors", model{neighbors: true}},
		{"waves", model{wave: 1.5, speeds: func(i int) float64 { return 0.5 + float64(i%11)/10 }}},
	} {
		m.gateways, m.servers, m.slots, m.queue, m.length = 59, 64, 4, 8, 12*time.Second
		m.classes = []modelClass{{rate: 1100, work: 120 * ms, target: 400 * ms, deadline: time.Second}}
		before, after := compare(t, m.name, m.model)
		if after.late > before.late*3/4 {
			t.Errorf("%s: late %d of %d, before %d", m.name, after.late, after.total, before.late)
		}
	}
}

// Guards against queues at near servers while far ones are idle, and against bytes between failure domains without
// need.
func TestWorkSpillsBeforeTheTargetIsMissed(t *testing.T) {
	candidates := func(nearLoad int) []Candidate {
		var all []Candidate
		for i := range 8 {
			c := Candidate{Load: loaded(0, 0, 100*ms), Slots: 4, ConnectionLimit: 20, MeanWork: 100 * ms}
			if i < 4 {
				c.Load = loaded(1, nearLoad-1, 100*ms)
				c.WorkLeft = 100 * ms
			} else {
				c.Distance = SameRegion
			}
			all = append(all, c)
		}
		return all
	}
	r := Request{UntilDeadline: time.Second, UntilTarget: 500 * ms, Work: 100 * ms}
	for _, c := range []struct {
		nearLoad int
		want     Basis
	}{{3, BasisNear}, {4, BasisNear}, {6, BasisSpill}} {
		for range 20 {
			if got := ChooseByWork(time.Second, candidates(c.nearLoad), r, rand.Float64); got.Basis != c.want {
				t.Fatalf("%d requests at 4 slots of each near server: %v, want %v", c.nearLoad, got.Basis, c.want)
			}
		}
	}
}

// Guards against a slow host that counts for longer than neighbors stay the same.
func TestHostPercentFadesWithin400Milliseconds(t *testing.T) {
	var l Load
	l.ObserveReport(time.Second, Report{HostPercent: 300})
	for age, want := range map[time.Duration]float64{0: 3, 200 * ms: 2, 400 * ms: 1, time.Second: 1} {
		if got := l.HostFactor(time.Second + age); got != want {
			t.Errorf("after %v: factor %v, want %v", age, got, want)
		}
	}
}

func BenchmarkChooseByWork(b *testing.B) {
	var candidates []Candidate
	for i := range 126 {
		candidates = append(candidates, Candidate{Load: loaded(i%3, i%8, 100*ms), Slots: 6, ConnectionLimit: 20, MeanWork: 300 * ms, Speed: 0.5 + float64(i%10)/10, Distance: Distance(i % 3)})
	}
	r := Request{UntilDeadline: 4 * time.Second, UntilTarget: time.Second, Work: 310 * ms, HighWork: time.Second}
	b.ReportAllocs()
	for b.Loop() {
		ChooseByWork(time.Second, candidates, r, rand.Float64)
	}
}
