package cost

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

const ms = time.Millisecond

// sampleTime returns a response time: 2 of 100 requests take six times as long as the others.
func sampleTime(random *rand.Rand, work time.Duration, speed float64) time.Duration {
	took := float64(work) * (0.7 + 0.6*random.Float64()) / speed
	if random.IntN(50) == 0 {
		took *= 6
	}
	return time.Duration(took)
}

// Guards against estimates that a heavy tail spoils, against a slow server that makes its requests count as large, and
// against large requests that make a server count as slow: some servers get one class only.
func TestWorkAndSpeedAreToldApart(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var m Model
	classes := []Class{{"fleetledger", "charge", 2, 1}, {"fleetledger", "history", 1, 1}}
	works := []time.Duration{210 * ms, 1200 * ms}
	truth, speeds := []float64{0.6, 0.9, 1.1, 1.4, 1, 1}, make([]Speed, 6)
	for i := range 1200 {
		server, class := i%6, random.IntN(2)
		if server == 0 || server == 5 {
			class = server % 2
		}
		m.Observe(classes[class], &speeds[server], 400*ms, sampleTime(random, works[class], truth[server]))
	}
	for i, c := range classes {
		w := m.Work(c, 400*ms)
		if off := float64(w.Expected) / float64(works[i]) / 1.1; off < 0.8 || off > 1.25 {
			t.Errorf("%s: expected work %v, want about 1.1 times %v", c.Route, w.Expected, works[i])
		}
		if w.High < works[i]*12/10 || w.High > works[i]*7 {
			t.Errorf("%s: high quantile %v of work %v", c.Route, w.High, works[i])
		}
	}
	for i, want := range truth {
		if got := speeds[i].Factor(); got < want*0.75 || got > want*1.33 {
			t.Errorf("server %d: speed %.2f, want about %.2f", i, got, want)
		}
	}
}

// Guards against servers that count as slow after their warm-up, against a work estimate that includes it, and against
// an assumed fraction that responses don't correct.
func TestWarmupDoesNotSpoilSpeedAndWork(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	var m Model
	var warm Speed
	joining := make([]Speed, 20)
	c := Class{Service: "s", Route: "r"}
	if got := m.WarmupSpeed("s"); got != 0.5 {
		t.Errorf("fraction %.2f before any response, want a half", got)
	}
	for i := range 6 * len(joining) {
		m.Observe(c, &warm, 300*ms, sampleTime(random, 300*ms, 1))
		m.ObserveWarmingUp(c, &joining[i/6], 300*ms, sampleTime(random, 300*ms, 0.3))
	}
	if got := m.WarmupSpeed("s"); got < 0.24 || got > 0.37 {
		t.Errorf("fraction %.2f, want about 0.3", got)
	}
	for i := range joining {
		if got := joining[i].Factor(); got < 0.65 || got < 0.8 && i >= 10 || got > 1.4 {
			t.Errorf("server %d: speed %.2f, want about 1", i, got)
		}
	}
	if got := m.Work(c, 0).Expected; got > 420*ms {
		t.Errorf("expected work %v, want about 330ms", got)
	}
}

// Guards against one request in the tail that makes a server count as several times slower.
func TestOneSampleHasBoundedInfluence(t *testing.T) {
	var m Model
	var speed Speed
	c := Class{Service: "s", Route: "r"}
	for range 30 {
		m.Observe(c, &speed, 100*ms, 100*ms)
	}
	before := m.Work(c, 0)
	m.Observe(c, &speed, 100*ms, time.Minute)
	after := m.Work(c, 0)
	if after.Expected > before.Expected*5/4 || speed.Factor() < 0.9 {
		t.Errorf("after one sample of a minute: work %v (before %v), speed %.2f", after.Expected, before.Expected, speed.Factor())
	}
}

// Guards against memory that grows with what clients send.
func TestMemoryIsBounded(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var m Model
	var speed Speed
	for i := range 20_000 {
		m.Observe(Class{"s", fmt.Sprint("r", i%1500), MethodOf("GET"), SizeOf(i * 1000)}, &speed, 100*ms, 100*ms)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if used := int64(after.HeapAlloc) - int64(before.HeapAlloc); used > 1<<20 || len(m.classes) > maxClasses {
		t.Errorf("%d classes in %d bytes, want at most 1 MB", len(m.classes), used)
	}
}
