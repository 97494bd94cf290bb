package dispatch

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/galenalug/galenalug/cost"
	"github.com/galenalug/galenalug/warmup"
)

// The model runs requests of many gateways against servers with slots and queues, in virtual time and without a
// network. A gateway knows of a server only what its own requests and the reports with their responses tell.

// modelClass is a route.
type modelClass struct {
	rate             float64 // requests a second
	work             time.Duration
	target, deadline time.Duration
	priority         int64
}

type modelServer struct {
	speed, host float64 // host: by what factor work takes longer now
	running     int
	queue       []*modelRequest
	got         int
}

type modelRequest struct {
	class           *modelClass
	gateway, server int
	arrived, sent   time.Duration
	attempts        int
	ended, counted  bool
	expected        time.Duration
	took            time.Duration
	host            float64 // host factor that the gateway knew at the start
	warmingUp       bool    // that the gateway knew at the start
	refusedBy       []int
}

type modelGateway struct {
	loads   []Load
	mean    MeanServiceTime
	backoff []Backoff
	costs   cost.Model
	speeds  []cost.Speed
	urgency Urgency
	refused bool // a server refused
}

type model struct {
	gateways, servers, slots, queue int
	classes                         []modelClass
	silent                          bool // full servers don't answer
	speeds                          func(server int) float64
	neighbors                       bool // a fifth of the servers take three times as long, in turns
	wave                            float64
	skew                            bool // a third of the gateways has two thirds of the clients
	length                          time.Duration
	byWork                          bool
	digests                         bool // gateways tell each other the newest reports, twice a second
	distance                        func(gateway, server int) Distance
	joiners                         int // the last servers join at joinAt, and take twice the time for joinWarmup
	joinAt, joinWarmup              time.Duration
	unaware                         bool // gateways don't tell joined servers from others
	seed                            uint64

	random *rand.Rand
	now    time.Duration
	events modelEvents
	hosts  []modelServer
	gws    []modelGateway
	newest []struct {
		at       time.Duration
		requests float64
	}

	total, late, refused, lost int     // requests; late includes refused and lost ones
	lateByClass, byClass       []int   // the same by class
	overloaded                 int     // attempts that found the queue full
	busiest                    float64 // most requests of one server, by the mean
	longest                    int     // longest queue at a server that warms up
	lateAfterJoin              int     // late requests that arrived within joinWarmup after joinAt
	soon                       int     // requests at joined servers within the first second
}

type modelEvent struct {
	at  time.Duration
	run func()
}

type modelEvents []modelEvent

func (e modelEvents) Len() int           { return len(e) }
func (e modelEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e modelEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *modelEvents) Push(x any)        { *e = append(*e, x.(modelEvent)) }
func (e *modelEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (m *model) after(d time.Duration, run func()) { heap.Push(&m.events, modelEvent{m.now + d, run}) }

func (m *model) run() *model {
	m.random = rand.New(rand.NewPCG(7, 7+m.seed))
	m.hosts, m.gws = make([]modelServer, m.servers), make([]modelGateway, m.gateways)
	m.lateByClass, m.byClass = make([]int, len(m.classes)), make([]int, len(m.classes))
	for i := range m.hosts {
		m.hosts[i] = modelServer{speed: 1, host: 1}
		if m.speeds != nil {
			m.hosts[i].speed = m.speeds(i)
		}
	}
	for g := range m.gws {
		m.gws[g] = modelGateway{loads: make([]Load, m.servers), backoff: make([]Backoff, m.servers), speeds: make([]cost.Speed, m.servers)}
	}
	m.newest = append(m.newest, make([]struct {
		at       time.Duration
		requests float64
	}, m.servers)...)
	if m.digests && m.byWork {
		m.after(0, m.share)
	}
	for c := range m.classes {
		m.after(0, func() { m.arrive(c) })
	}
	if m.neighbors {
		m.after(0, m.moveNeighbors)
	}
	for len(m.events) > 0 && m.now < m.length+20*time.Second {
		e := heap.Pop(&m.events).(modelEvent)
		m.now = e.at
		e.run()
	}
	got := 0
	for _, h := range m.hosts {
		got += h.got
	}
	for _, h := range m.hosts {
		m.busiest = max(m.busiest, float64(h.got)*float64(m.servers)/float64(got))
	}
	return m
}

func (m *model) moveNeighbors() {
	for i := range m.hosts {
		m.hosts[i].host = 1
		if m.random.IntN(5) == 0 {
			m.hosts[i].host = 3
		}
	}
	if m.now < m.length {
		m.after(300*time.Millisecond, m.moveNeighbors)
	}
}

// share tells all gateways the newest report of each server, 100 ms late.
func (m *model) share() {
	news := slices.Clone(m.newest)
	m.after(100*time.Millisecond, func() {
		for _, g := range m.gws {
			for i, n := range news {
				if n.at > 0 && m.now-n.at < 3*time.Second {
					g.loads[i].ObserveShared(max(n.at, m.now-500*time.Millisecond), n.requests)
				}
			}
		}
	})
	if m.now < m.length {
		m.after(500*time.Millisecond, m.share)
	}
}

// arrive lets one request of a class arrive, and plans the next.
func (m *model) arrive(class int) {
	c := &m.classes[class]
	rate := c.rate
	if m.wave > 0 && m.now/(4*time.Second)%2 == 1 {
		rate *= m.wave
	}
	if m.now >= m.length {
		return
	}
	m.after(time.Duration(m.random.ExpFloat64()/rate*float64(time.Second)), func() { m.arrive(class) })
	r := &modelRequest{class: c, gateway: m.random.IntN(m.gateways), arrived: m.now}
	if m.skew && m.random.IntN(2) == 0 {
		r.gateway /= 3
	}
	m.total++
	m.byClass[class]++
	m.after(c.target, func() {
		if r.ended && !r.counted {
			return
		}
		m.late++
		m.lateByClass[class]++
		if r.arrived >= m.joinAt && r.arrived < m.joinAt+m.joinWarmup {
			m.lateAfterJoin++
		}
	})
	m.try(r)
}

// try sends a request, or lets it wait in its gateway.
func (m *model) try(r *modelRequest) {
	left := r.arrived + r.class.deadline - m.now
	if left <= 0 || m.now-r.arrived > r.class.deadline/3 && r.attempts == 0 || r.attempts == 2 {
		r.ended, r.counted = true, true
		m.refused++
		return
	}
	r.server = m.choose(r, left)
	if r.server < 0 {
		m.after(20*time.Millisecond, func() { m.try(r) })
		return
	}
	r.attempts++
	r.sent, r.host = m.now, m.gws[r.gateway].loads[r.server].HostFactor(m.now)
	l, h := &m.gws[r.gateway].loads[r.server], &m.hosts[r.server]
	l.Start()
	l.AddWork(r.expected)
	r.warmingUp = m.warmingUp(r.server)
	h.got++
	if r.server >= m.servers-m.joiners && m.now < m.joinAt+time.Second {
		m.soon++
	}
	switch {
	case h.running < m.slots:
		m.start(r)
	case len(h.queue) < m.queue:
		h.queue = append(h.queue, r)
		if m.warmingUp(r.server) {
			m.longest = max(m.longest, len(h.queue))
		}
	case m.silent:
		m.overloaded++
		m.lost++
		m.after(left, func() { m.end(r) })
	default:
		m.overloaded++
		r.refusedBy = append(r.refusedBy, r.server)
		m.gws[r.gateway].backoff[r.server].Refused(m.now)
		m.gws[r.gateway].refused = true
		m.report(r)
		m.end(r)
		m.after(2*time.Millisecond, func() { m.try(r) })
	}
}

func (m *model) start(r *modelRequest) {
	h := &m.hosts[r.server]
	h.running++
	r.took = time.Duration(float64(r.class.work) * (0.6 + 0.6*m.random.Float64()) / h.speed * h.host)
	if m.random.IntN(50) == 0 {
		r.took *= 6
	}
	if m.warmingUp(r.server) {
		r.took *= 2
	}
	m.after(r.took, func() {
		h.running--
		queued := r.sent+r.took < m.now
		if len(h.queue) > 0 {
			next := h.queue[0]
			h.queue = h.queue[1:]
			m.start(next)
		}
		m.report(r)
		g := &m.gws[r.gateway]
		g.backoff[r.server].Answered()
		if !queued {
			g.loads[r.server].SetExpectedServiceTime(g.mean.Value())
			g.loads[r.server].ObserveServiceTime(r.took)
			g.mean.Observe(r.took)
			if len(h.queue) == 0 {
				factor := (r.host + g.loads[r.server].HostFactor(m.now)) / 2
				m.learn(r, time.Duration(float64(r.took)/factor))
			}
		}
		m.end(r)
		r.ended = true
	})
}

func (m *model) warmingUp(server int) bool {
	return server >= m.servers-m.joiners && m.now < m.joinAt+m.joinWarmup
}

func (m *model) learn(r *modelRequest, took time.Duration) {
	g := &m.gws[r.gateway]
	phase := warmup.PhaseOf(r.warmingUp, m.warmingUp(r.server))
	switch {
	case phase == warmup.Warm || m.unaware:
		g.costs.Observe(r.class.class(), &g.speeds[r.server], r.class.prior(), took)
	case phase == warmup.WarmingUp:
		g.costs.ObserveWarmingUp(r.class.class(), &g.speeds[r.server], r.class.prior(), took)
	}
}

func (m *model) report(r *modelRequest) {
	h := &m.hosts[r.server]
	m.newest[r.server].at, m.newest[r.server].requests = m.now, float64(h.running+len(h.queue))
	m.gws[r.gateway].loads[r.server].ObserveReport(m.now, Report{Running: h.running, Waiting: len(h.queue), Slots: m.slots, HostPercent: int(100 * h.host)})
}

func (m *model) end(r *modelRequest) {
	l := &m.gws[r.gateway].loads[r.server]
	l.End()
	l.AddWork(-r.expected)
}

func (c *modelClass) class() cost.Class { return cost.Class{Service: "s", Route: c.work.String()} }

func (c *modelClass) prior() time.Duration { return c.target * 3 / 10 }

func (m *model) choose(r *modelRequest, left time.Duration) int {
	g := &m.gws[r.gateway]
	work := g.costs.Work(r.class.class(), r.class.prior())
	r.expected = work.Expected
	g.urgency.Seen(m.now, r.class.priority, work.Expected)
	mean := g.costs.Mean("s", work.Expected)
	candidates := make([]Candidate, m.servers)
	if m.now < m.joinAt {
		candidates = candidates[:m.servers-m.joiners]
	}
	for i := range candidates {
		l := &g.loads[i]
		if m.unaware {
			l.SetKnown()
		}
		l.SetExpectedServiceTime(g.mean.Value())
		c := Candidate{Load: l, Slots: m.slots, ConnectionLimit: ConnectionLimit(512, int64(m.gateways), m.slots), MeanWork: mean, WorkLeft: l.OwnWork(), Speed: g.speeds[i].Factor() / l.HostFactor(m.now),
			WarmingUp: !m.unaware && m.warmingUp(i)}
		if m.distance != nil {
			c.Distance = m.distance(r.gateway, i)
		}
		for _, s := range r.refusedBy {
			c.Avoid = c.Avoid || s == i
		}
		c.Avoid = c.Avoid || g.backoff[i].Active(m.now)
		candidates[i] = c
	}
	request := Request{WarmupSpeed: g.costs.WarmupSpeed("s"), Priority: r.class.priority, UntilDeadline: left, UntilTarget: r.arrived + r.class.target - m.now, Work: work.Expected, HighWork: work.High,
		Usable:      g.urgency.Usable(m.now, r.class.priority, work.Expected, m.now-r.arrived, r.class.target-work.Expected),
		MayBeSilent: !g.refused, Gateways: int64(m.gateways)}
	if !m.byWork {
		index, _ := Choose(m.now, candidates, request)
		return index
	}
	return ChooseByWork(m.now, candidates, request, m.random.Float64).Index
}

// compare runs a model with Choose and with ChooseByWork.
func compare(t *testing.T, name string, m model) (before, after *model) {
	t.Helper()
	old, work := m, m
	work.byWork, work.digests = true, true
	before, after = old.run(), work.run()
	for _, m := range []*model{before, after} {
		t.Logf("%s, by work %v: %d requests, late %d %v, refused %d, lost %d, full %d, busiest %.2f of the mean",
			name, m.byWork, m.total, m.late, m.lateByClass, m.refused, m.lost, m.overloaded, m.busiest)
	}
	return before, after
}
