package workload

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/galenalug/galenalug/choice"
)

// Picker chooses a server for a request at one entry host.
type Picker interface {
	Pick(now time.Duration, candidates []choice.Candidate, random *rand.Rand) (index int, ok bool)
	Started(now time.Duration, id uint64)
	Finished(now time.Duration, id uint64, latency time.Duration, ok bool)
}

// RandomOfTwo is the baseline: the one of two random servers at which the host
// has fewer requests outstanding (Mitzenmacher, "The power of two choices in
// randomized load balancing", 2001).
type RandomOfTwo struct {
	region      string // the only one picked from; empty for all
	outstanding map[uint64]int
}

// NewRandomOfTwo returns the baseline picker for the servers of one region, or of
// all regions if it is empty.
func NewRandomOfTwo(region string) *RandomOfTwo {
	return &RandomOfTwo{region: region, outstanding: make(map[uint64]int)}
}

// Pick implements Picker.
func (r *RandomOfTwo) Pick(_ time.Duration, candidates []choice.Candidate, random *rand.Rand) (int, bool) {
	var eligible []int
	for i := range candidates {
		if r.region == "" || candidates[i].Region == r.region {
			eligible = append(eligible, i)
		}
	}
	if len(eligible) == 0 {
		return 0, false
	}
	a := eligible[random.IntN(len(eligible))]
	b := eligible[random.IntN(len(eligible))]
	if r.outstanding[candidates[b].ID] < r.outstanding[candidates[a].ID] {
		return b, true
	}
	return a, true
}

// Started implements Picker.
func (r *RandomOfTwo) Started(_ time.Duration, id uint64) { r.outstanding[id]++ }

// Finished implements Picker.
func (r *RandomOfTwo) Finished(_ time.Duration, id uint64, _ time.Duration, _ bool) {
	r.outstanding[id]--
}

// QueueSettings describe a service that is not divided by key.
type QueueSettings struct {
	Hosts, Servers int // both split over two regions by turns
	Capacity       int // requests a server runs at one time
	Work           time.Duration
	Load           float64 // part of all capacity that is asked for
	Requests       int
	Slow           int           // number of servers that take SlowFactor times the work
	SlowFactor     float64       // of Slow servers
	FreezeEvery    time.Duration // 0 for never; one server at a time, by turns
	FreezeFor      time.Duration
	Deadline       time.Duration
	RegionTrip     time.Duration // one way between regions
	LocalTrip      time.Duration // one way within a region
	Seed           uint64
}

// QueueResult holds the figures of one run.
type QueueResult struct {
	Mean, P99   time.Duration // latency, a failure counted as the deadline
	Failed      float64       // part of the requests that missed the deadline
	CrossRegion float64       // part of the requests that crossed the region link
	Imbalance   float64       // most requests of a server over the mean
}

type queueEventKind int

const (
	arrive  queueEventKind = iota // of a request at its host
	reach                         // of a request at its server
	done                          // of the work
	answer                        // back at the host
	expire                        // of the request's deadline
	unfroze                       // a server goes on
)

type queueEvent struct {
	at      time.Duration
	order   int // of equals
	kind    queueEventKind
	request *queueRequest
	server  *queueServer
}

type queueRequest struct {
	host   int
	start  time.Duration
	server *queueServer
	ended  bool
}

type queueServer struct {
	id          uint64
	region      int
	factor      float64
	running     int
	waiting     []*queueRequest
	served      int
	frozenUntil time.Duration
}

type queueEvents []queueEvent

func (q queueEvents) Len() int { return len(q) }
func (q queueEvents) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q queueEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is part of heap.Interface.
func (q *queueEvents) Push(x any) { *q = append(*q, x.(queueEvent)) }

// Pop is part of heap.Interface.
func (q *queueEvents) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

var regionNames = []string{"a", "b"}

type queueModel struct {
	settings   QueueSettings
	random     *rand.Rand
	pickers    []Picker
	servers    []*queueServer
	candidates []choice.Candidate
	events     queueEvents
	order      int
	arrived    int
	nextFreeze time.Duration
	frozen     int
	latencies  []time.Duration
	failed     int
	crossed    int
}

// RunQueue plays the model with one picker for each host. The picker of a host
// is made for its region.
func RunQueue(settings QueueSettings, picker func(region string) Picker) QueueResult {
	m := &queueModel{settings: settings, random: rand.New(rand.NewPCG(settings.Seed, 1)), nextFreeze: settings.FreezeEvery}
	for host := range settings.Hosts {
		m.pickers = append(m.pickers, picker(regionNames[host%2]))
	}
	for i := range settings.Servers {
		server := &queueServer{id: uint64(i) + 1, region: i % 2, factor: 1}
		if i < settings.Slow {
			server.factor = settings.SlowFactor
		}
		m.servers = append(m.servers, server)
		m.candidates = append(m.candidates, choice.Candidate{
			ID: server.id, Region: regionNames[server.region], Capacity: float64(settings.Capacity),
		})
	}
	m.schedule(queueEvent{kind: arrive})
	for len(m.events) > 0 {
		m.handle(heap.Pop(&m.events).(queueEvent))
	}
	return m.result()
}

func (m *queueModel) schedule(event queueEvent) {
	m.order++
	event.order = m.order
	heap.Push(&m.events, event)
}

func (m *queueModel) handle(event queueEvent) {
	switch event.kind {
	case arrive:
		m.freeze(event.at)
		m.arrive(event.at)
	case reach:
		event.server.waiting = append(event.server.waiting, event.request)
		m.serve(event.at, event.server)
	case unfroze:
		m.serve(event.at, event.server)
	case done:
		m.finish(event)
	case answer:
		m.end(event.at, event.request, true)
	case expire:
		m.end(event.at, event.request, false)
	}
}

func (m *queueModel) arrive(now time.Duration) {
	s := m.settings
	request := &queueRequest{host: m.random.IntN(s.Hosts), start: now}
	picker := m.pickers[request.host]
	if i, ok := picker.Pick(now, m.candidates, m.random); ok {
		request.server = m.servers[i]
		request.server.served++
		if request.server.region != request.host%2 {
			m.crossed++
		}
		picker.Started(now, request.server.id)
		m.schedule(queueEvent{at: now + m.trip(request), kind: reach, request: request, server: request.server})
		m.schedule(queueEvent{at: now + s.Deadline, kind: expire, request: request})
	}
	m.arrived++
	if m.arrived < s.Requests {
		rate := s.Load * float64(s.Servers*s.Capacity) / s.Work.Seconds()
		gap := time.Duration(m.random.ExpFloat64() / rate * float64(time.Second))
		m.schedule(queueEvent{at: now + gap, kind: arrive})
	}
}

func (m *queueModel) trip(request *queueRequest) time.Duration {
	if request.server.region != request.host%2 {
		return m.settings.RegionTrip
	}
	return m.settings.LocalTrip
}

// serve starts waiting requests while the server has room. Requests past their
// deadline are dropped.
func (m *queueModel) serve(now time.Duration, server *queueServer) {
	if now < server.frozenUntil {
		return
	}
	for server.running < m.settings.Capacity && len(server.waiting) > 0 {
		request := server.waiting[0]
		server.waiting = server.waiting[1:]
		if request.ended {
			continue
		}
		server.running++
		work := time.Duration(m.random.ExpFloat64() * server.factor * float64(m.settings.Work))
		m.schedule(queueEvent{at: now + work, kind: done, request: request, server: server})
	}
}

// finish ends a request's work; a frozen server ends it once it goes on.
func (m *queueModel) finish(event queueEvent) {
	if event.at < event.server.frozenUntil {
		event.at = event.server.frozenUntil
		m.schedule(event)
		return
	}
	event.server.running--
	m.schedule(queueEvent{at: event.at + m.trip(event.request), kind: answer, request: event.request})
	m.serve(event.at, event.server)
}

func (m *queueModel) freeze(now time.Duration) {
	if m.settings.FreezeEvery == 0 || now < m.nextFreeze {
		return
	}
	m.nextFreeze += m.settings.FreezeEvery
	server := m.servers[m.frozen%len(m.servers)]
	m.frozen++
	server.frozenUntil = now + m.settings.FreezeFor
	m.schedule(queueEvent{at: server.frozenUntil, kind: unfroze, server: server})
}

func (m *queueModel) end(now time.Duration, request *queueRequest, ok bool) {
	if request.ended {
		return
	}
	request.ended = true
	latency := now - request.start
	m.pickers[request.host].Finished(now, request.server.id, latency, ok)
	m.latencies = append(m.latencies, latency)
	if !ok {
		m.failed++
	}
}

func (m *queueModel) result() QueueResult {
	slices.Sort(m.latencies)
	var sum time.Duration
	for _, latency := range m.latencies {
		sum += latency
	}
	most := 0
	for _, server := range m.servers {
		most = max(most, server.served)
	}
	n := len(m.latencies)
	return QueueResult{
		Mean:        sum / time.Duration(n),
		P99:         m.latencies[n*99/100],
		Failed:      float64(m.failed) / float64(n),
		CrossRegion: float64(m.crossed) / float64(n),
		Imbalance:   float64(most*len(m.servers)) / float64(n),
	}
}
