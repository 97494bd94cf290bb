package admitshare

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// model is a service, its gateways and the leader, in virtual time. The servers are one queue for all slots: how
// requests are spread over servers is not what this package decides.
type model struct {
	rng      *rand.Rand
	now      time.Duration
	slots    int
	work     time.Duration // of a request
	believed time.Duration // that gateways expect
	planner  *Planner
	leader   bool
	gateways []*modelGateway

	running   []time.Duration // ends
	waiting   []modelRequest
	admitted  map[int64]int // by priority
	arrived   map[int64]int
	finished  int
	longest   time.Duration // wait for a slot
	nextPlan  time.Duration
	lastSlots float64 // slots busy, summed over steps
}

type modelGateway struct {
	counter  Counter
	limiter  Limiter
	throttle Throttle
	weight   float64 // part of the requests
	reportAt time.Duration
	arrived  int
	admitted int
}

type modelRequest struct {
	gateway *modelGateway
	group   Group
	at      time.Duration
}

const (
	modelStep    = time.Millisecond
	modelReport  = 250 * time.Millisecond
	modelQueue   = 4                      // requests per slot beyond which the servers refuse
	modelTarget  = 600 * time.Millisecond // latency target
	modelService = "bookings"
)

func newModel(gateways, slots int, work time.Duration) *model {
	m := &model{
		rng: rand.New(rand.NewPCG(1, uint64(gateways))), now: time.Second, slots: slots, work: work, believed: work, planner: NewPlanner(false), leader: true,
		admitted: map[int64]int{}, arrived: map[int64]int{},
	}
	total := 0.0
	for i := range gateways {
		g := &modelGateway{
			weight:   1 + 9*float64(i%2), // half of the gateways are ten times as busy
			reportAt: m.now + time.Duration(i)*modelReport/time.Duration(gateways),
		}
		total += g.weight
		m.gateways = append(m.gateways, g)
	}
	for _, g := range m.gateways {
		g.weight /= total
	}
	return m
}

// run lets requests arrive for a time, at a rate per second for each priority.
func (m *model) run(d time.Duration, rates ...float64) {
	m.admitted, m.arrived, m.finished, m.longest, m.lastSlots = map[int64]int{}, map[int64]int{}, 0, 0, 0
	for _, g := range m.gateways {
		g.arrived, g.admitted = 0, 0
	}
	for end := m.now + d; m.now < end; m.now += modelStep {
		m.serve()
		for priority, rate := range rates {
			for _, g := range m.gateways {
				if m.rng.Float64() < rate*g.weight*modelStep.Seconds() {
					m.arrive(g, int64(priority))
				}
			}
		}
		m.report()
		if m.now >= m.nextPlan {
			m.nextPlan = m.now + modelReport
			m.plan()
		}
	}
}

func (m *model) arrive(g *modelGateway, priority int64) {
	group := Group{Service: modelService, Priority: priority}
	g.counter.Add(group, m.believed)
	g.arrived++
	m.arrived[priority]++
	switch {
	case !g.limiter.Admit(m.now, group, m.rng.Float64()):
		return
	case !m.leader && !g.limiter.Fresh(m.now) && !g.throttle.Admit(m.now, group, m.rng.Float64()):
		return
	case len(m.waiting) >= modelQueue*m.slots:
		g.throttle.Ended(m.now, group, false)
		return
	}
	g.admitted++
	m.admitted[priority]++
	m.waiting = append(m.waiting, modelRequest{gateway: g, group: group, at: m.now})
}

func (m *model) serve() {
	still := m.running[:0]
	for _, end := range m.running {
		if end > m.now {
			still = append(still, end)
		} else {
			m.finished++
		}
	}
	m.running = still
	for len(m.running) < m.slots && len(m.waiting) > 0 {
		r := m.waiting[0]
		m.waiting = m.waiting[1:]
		m.longest = max(m.longest, m.now-r.at)
		r.gateway.throttle.Ended(m.now, r.group, true)
		m.running = append(m.running, m.now+time.Duration(m.rng.ExpFloat64()*float64(m.work)))
	}
	m.lastSlots += float64(len(m.running))
}

// report sends the demand of the gateways whose turn it is.
func (m *model) report() {
	for _, g := range m.gateways {
		if m.leader && m.now >= g.reportAt {
			g.reportAt += modelReport
			m.planner.Report(m.now, g.counter.Take())
		}
	}
}

func (m *model) plan() {
	if !m.leader {
		return
	}
	load := float64(len(m.running)+len(m.waiting)) / float64(m.slots)
	plan := m.planner.Plan(m.now, []Capacity{{Service: modelService, Region: "r1", Slots: float64(m.slots), Load: load}})
	for _, g := range m.gateways {
		g.limiter.Update(m.now, plan)
	}
}

// utilization returns the part of the slots that were busy in the last run.
func (m *model) utilization(d time.Duration) float64 {
	return m.lastSlots / float64(m.slots) / float64(d/modelStep)
}

// More is demanded than the servers can run, over 59 gateways of which each sees a few requests a second. The slots must
// be used, and what is admitted must not wait long; a second after the load nothing may be refused any more.
func TestOverloadFillsTheSlotsWithoutAQueue(t *testing.T) {
	for _, believed := range []float64{0.7, 1, 1.4} { // error of the estimate of work
		m := newModel(59, 72, 160*time.Millisecond)
		m.believed = time.Duration(believed * float64(m.work))
		m.run(2*time.Second, 300)
		if m.admitted[0] != m.arrived[0] {
			t.Errorf("estimate %.1f: %d of %d requests admitted although there is capacity", believed, m.admitted[0], m.arrived[0])
		}
		m.run(4*time.Second, 765) // 1.7 times the capacity
		m.run(4*time.Second, 765)
		if got := m.utilization(4 * time.Second); got < 0.9 {
			t.Errorf("estimate %.1f: %.2f of the slots are used during the overload, want 0.9", believed, got)
		}
		if longest := modelTarget - m.work; m.longest > longest {
			t.Errorf("estimate %.1f: an admitted request waited %v, want %v at most", believed, m.longest, longest)
		}
		m.run(time.Second, 200)
		m.run(time.Second, 200)
		if m.admitted[0] != m.arrived[0] {
			t.Errorf("estimate %.1f: %d of %d requests admitted a second after the overload", believed, m.admitted[0], m.arrived[0])
		}
	}
}

// Urgent requests and others that can wait compete for the same servers in an overload. The urgent ones fit and must
// all be admitted, and the others get what is left.
func TestUrgentRequestsGoFirst(t *testing.T) {
	m := newModel(59, 72, 160*time.Millisecond)
	m.run(2*time.Second, 300, 400)
	m.run(6*time.Second, 300, 400)
	if urgent := float64(m.admitted[0]) / float64(m.arrived[0]); urgent < 0.99 {
		t.Errorf("%.2f of the urgent requests admitted, want all", urgent)
	}
	if other := float64(m.admitted[1]) / float64(m.arrived[1]); other < 0.2 || other > 0.5 {
		t.Errorf("%.2f of the other requests admitted, want about a third", other)
	}
}

// Half of the gateways have ten times as many clients. In an overload the clients of all must be served alike.
func TestQuietAndBusyGatewaysAdmitTheSamePart(t *testing.T) {
	m := newModel(20, 72, 160*time.Millisecond)
	m.run(2*time.Second, 765)
	m.run(10*time.Second, 765)
	var parts [2]float64
	for kind := range parts {
		arrived, admitted := 0, 0
		for i, g := range m.gateways {
			if i%2 == kind {
				arrived, admitted = arrived+g.arrived, admitted+g.admitted
			}
		}
		parts[kind] = float64(admitted) / float64(arrived)
	}
	if math.Abs(parts[0]-parts[1]) > 0.06 {
		t.Errorf("quiet gateways admit %.2f, busy ones %.2f; want the same", parts[0], parts[1])
	}
}

// The leader is lost in the middle of an overload. Gateways must go on by what servers accept, and neither refuse
// everything nor fill the queues of the servers for good.
func TestGatewaysLimitThemselvesWithoutLeader(t *testing.T) {
	m := newModel(59, 72, 160*time.Millisecond)
	m.run(2*time.Second, 765)
	m.leader = false
	m.run(4*time.Second, 765)
	m.run(4*time.Second, 765)
	if got := m.utilization(4 * time.Second); got < 0.9 {
		t.Errorf("%.2f of the slots are used without a leader, want 0.9", got)
	}
	m.run(4*time.Second, 200)
	m.run(2*time.Second, 200)
	if m.admitted[0] < m.arrived[0]*98/100 {
		t.Errorf("%d of %d requests admitted some seconds after the overload", m.admitted[0], m.arrived[0])
	}
}

// Bookings may be served in one of two regions only, lookups of the same priority in both. The region that both may use
// must not be given to lookups that have room elsewhere.
func TestGroupWithFewerRegionsGoesFirst(t *testing.T) {
	p := NewPlanner(false)
	bookings, lookups := Group{Service: "s", Regions: "r1"}, Group{Service: "s"}
	p.Report(time.Second, DemandReport{Groups: []Demand{
		{Group: bookings, WorkMicros: (10 * demandTime).Microseconds()},
		{Group: lookups, WorkMicros: (15 * demandTime).Microseconds()},
	}})
	plan := p.Plan(time.Second, []Capacity{{Service: "s", Region: "r1", Slots: 12, Load: -1}, {Service: "s", Region: "r2", Slots: 12, Load: -1}})
	if len(plan.Groups) != 1 || plan.Groups[0].Group != lookups || plan.Groups[0].Permille < 800 {
		t.Errorf("plan %+v, want a limit for lookups only, at what bookings leave", plan)
	}
}

// A gateway has just started without a leader, or gets its first requests after a pause. That none of them has been
// answered yet must not count against them.
func TestThrottleAdmitsRequestsWithoutResults(t *testing.T) {
	var throttle Throttle
	for i := range 20 {
		if !throttle.Admit(time.Second, Group{Service: "s"}, 0) {
			t.Fatalf("request %d refused before any result is known", i+1)
		}
	}
}

// Guards against returns of refused clients that come all together, or too late to be served.
func TestReturnsAreSpread(t *testing.T) {
	left := time.Second
	first, last := RetryAfter(left, 0, 0), RetryAfter(left, 0, 0.999)
	if first < 50*time.Millisecond || last > left/3 || last-first < left/5 {
		t.Errorf("returns from %v to %v of %v left", first, last, left)
	}
	slack := 400 * time.Millisecond
	if first, last := RetryAfter(left, slack, 0), RetryAfter(left, slack, 0.999); first < slack/20 || last > slack/2 {
		t.Errorf("returns from %v to %v of %v until the target", first, last, slack)
	}
	if RetryAfter(-left, 0, 0.5) != 0 {
		t.Error("a delay for a client without time")
	}
}
