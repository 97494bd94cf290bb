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

// Guards against short urgent requests that wait behind long ones, and against slots that stay idle when there are no
// urgent requests.
func TestWorkKeepsUrgentRequestsFromWaitingBehindLongOnes(t *testing.T) {
	short := modelClass{rate: 180, work: 210 * ms, target: 800 * ms, deadline: 3 * time.Second}
	long := modelClass{rate: 60, work: 1200 * ms, target: 4 * time.Second, deadline: 15 * time.Second, priority: 2}
	m := model{gateways: 30, servers: 24, slots: 6, queue: 24, length: 20 * time.Second, classes: []modelClass{short, long}}
	before, after := compare(t, "short urgent and long", m)
	if after.lateByClass[0] > before.lateByClass[0]/4 || after.lateByClass[1] > after.byClass[1]/10 {
		t.Errorf("late %v of %v, before %v", after.lateByClass, after.byClass, before.lateByClass)
	}
	m.wave, m.silent = 1.55, true
	m.classes[0].rate, m.classes[1].rate = 160, 76
	before, after = compare(t, "1.25 times the capacity in waves", m)
	if after.lateByClass[0] > after.byClass[0]/8 || after.lost > 0 {
		t.Errorf("overload: late %v of %v, lost %d; before %v, %d", after.lateByClass, after.byClass, after.lost, before.lateByClass, before.lost)
	}
	m.wave, m.silent = 0, false
	long.rate *= 1.7
	m.classes = []modelClass{long}
	before, after = compare(t, "long only", m)
	if after.late > before.late {
		t.Errorf("without urgent requests: late %d of %d, before %d", after.late, after.total, before.late)
	}
}

// Guards against room that is not left for urgent requests, or that is left without any.
func TestUsablePartShrinksWithWork(t *testing.T) {
	var u Urgency
	if got := u.Usable(time.Second, 2, 1200*ms, 0, time.Second); got != 1 {
		t.Errorf("without urgent requests: %.2f of each server, want all", got)
	}
	u.Seen(time.Second, 0, 200*ms)
	for _, c := range []struct {
		now      time.Duration
		priority int64
		waited   time.Duration
		min, max float64
	}{
		{time.Second, 2, 0, 0.3, 0.4},
		{time.Second, 2, time.Second, maxAgedUsable, maxAgedUsable},
		{time.Second, 0, 0, 1, 1},
		{5 * time.Second, 2, 0, 1, 1},
	} {
		if got := u.Usable(c.now, c.priority, 1200*ms, c.waited, time.Second); got < c.min || got > c.max {
			t.Errorf("%+v: %.2f of each server", c, got)
		}
	}
}

// Guards against less urgent requests that never get their turn, and against aging that hides urgent requests from the
// demand for tokens.
func TestWaitQueueAges(t *testing.T) {
	var q WaitQueue
	old := q.EnqueueAging(0, 2)
	if newer := q.EnqueueAging(time.Second, 0); q.Ahead(newer) != 0 || q.Ahead(old) != 1 || q.UrgentLen() != 1 {
		t.Errorf("after 1 s: %d ahead of the urgent request, %d urgent; want 0 and 1", q.Ahead(newer), q.UrgentLen())
	}
	if ahead := q.AheadOfNewAging(2*time.Second, 0); ahead != 2 {
		t.Errorf("after 2 s: %d ahead of a new urgent request, want 2", ahead)
	}
}

// Guards against servers that don't answer when they are full and are filled beyond their queue by gateways that don't
// know of each other's requests, in waves of demand.
func TestWorkDoesNotOverfillSilentServers(t *testing.T) {
	before, after := compare(t, "silent", model{
		gateways: 114, servers: 59, slots: 6, queue: 24, length: 20 * time.Second, wave: 2, silent: true,
		speeds:  func(i int) float64 { return 0.5 + float64(i%11)/10 },
		classes: []modelClass{{rate: 560, work: 390 * ms, target: 1500 * ms, deadline: 6 * time.Second, priority: 1}},
	})
	if after.lost > before.lost/100 || after.late > before.late/2 {
		t.Errorf("lost %d, late %d; before %d, %d", after.lost, after.late, before.lost, before.late)
	}
	before, after = compare(t, "silent, few and many clients", model{
		gateways: 114, servers: 59, slots: 6, queue: 24, length: 12 * time.Second, skew: true, silent: true,
		classes: []modelClass{{rate: 630, work: 390 * ms, target: 1500 * ms, deadline: 6 * time.Second, priority: 1}},
	})
	if after.lost > before.lost/100 || after.late > after.total/20 {
		t.Errorf("three quarters of the capacity in use: lost %d, late %d; before %d, %d", after.lost, after.late, before.lost, before.late)
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

// Guards against servers that join under load and get their normal part of the requests at once while they need twice
// the time, and against ones that get nearly none.
func TestWorkSparesServersThatWarmUp(t *testing.T) {
	late, longest, soon := map[bool]int{}, map[bool]int{}, map[bool]int{}
	for seed := range uint64(4) {
		for _, unaware := range []bool{true, false} {
			m := (&model{
				gateways: 114, servers: 64, slots: 4, queue: 8, length: 7 * time.Second, byWork: true, digests: true,
				joiners: 16, joinAt: 4 * time.Second, joinWarmup: 3 * time.Second, unaware: unaware, seed: seed,
				classes: []modelClass{{rate: 1300, work: 120 * ms, target: 400 * ms, deadline: time.Second}},
			}).run()
			late[unaware] += m.lateAfterJoin
			longest[unaware] += m.longest
			soon[unaware] += m.soon
		}
	}
	t.Logf("4 runs, before and with the rules: late %d, %d; sum of the longest queues %d, %d; first second %d, %d", late[true], late[false], longest[true], longest[false], soon[true], soon[false])
	if late[false] > late[true]*6/10 || longest[false] > longest[true]/2 {
		t.Errorf("late %d, sum of the longest queues %d; before %d, %d", late[false], longest[false], late[true], longest[true])
	}
	if soon[false] < 4*2*16 || soon[false] > soon[true]/2 {
		t.Errorf("%d requests at 16 joining servers in their first second, 4 runs; before %d", soon[false], soon[true])
	}
}

// Guards against several requests of one gateway at a server of which it knows nothing, and against requests that are
// refused although it is the only one.
func TestUnknownServerGetsOneRequestAtATime(t *testing.T) {
	r := Request{UntilDeadline: time.Second, UntilTarget: 500 * ms, Work: 100 * ms}
	for name, c := range map[string]struct {
		change func(joining, other *Candidate)
		want   bool // whether the joining server may get another request
	}{
		"full":       {func(_, o *Candidate) { o.Load.inFlight = 90 }, false},
		"far":        {func(_, o *Candidate) { o.Distance = OtherRegion }, false},
		"claimed":    {func(j, _ *Candidate) { j.Load.inFlight = 0; j.Load.Claim(time.Second - claimLifetime/2) }, false},
		"claim over": {func(j, _ *Candidate) { j.Load.inFlight = 0; j.Load.Claim(time.Second - claimLifetime) }, true},
		"answered":   {func(j, _ *Candidate) { j.Load.SetKnown() }, true},
		"in digest":  {func(j, _ *Candidate) { j.Load.ObserveShared(time.Second-ms, 0) }, true},
		"failing":    {func(_, o *Candidate) { o.Suspect = true }, true},
		"avoided":    {func(_, o *Candidate) { o.Avoid = true }, true},
		"no token":   {func(_, o *Candidate) { o.Limited = true }, true},
	} {
		joining := Candidate{Load: &Load{inFlight: 1}, Slots: 4, ConnectionLimit: 20, MeanWork: 100 * ms}
		other := Candidate{Load: loaded(0, 0, 100*ms), Slots: 4, ConnectionLimit: 20, MeanWork: 100 * ms}
		other.Load.SetKnown()
		c.change(&joining, &other)
		got := false
		for range 100 {
			choice := ChooseByWork(time.Second, []Candidate{joining, other}, r, rand.Float64)
			got = got || choice.Index == 0
			if choice.Index < 0 && choice.Reason != QueueFull {
				t.Errorf("%s: refused as %q, want to wait", name, choice.Reason)
			}
		}
		if got != c.want {
			t.Errorf("%s: a second request chosen: %v, want %v", name, got, c.want)
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
