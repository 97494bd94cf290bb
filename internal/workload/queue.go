package workload

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/galenalug/galenalug/choice"
)

// Picker chooses the servers for the requests at one entry host.
type Picker interface {
	Pick(now time.Duration, candidates []choice.Candidate, random *rand.Rand) (index int, ok bool)
	Started(now time.Duration, id uint64)
	Finished(now time.Duration, id uint64, latency time.Duration, ok bool)
}

// TwoChoices is the baseline picker. Of two random servers it picks the one with fewer outstanding
// requests of this host (Mitzenmacher, "The power of two choices in randomized load balancing", 2001).
type TwoChoices struct {
	region      string // picks only servers in this region; empty for all
	outstanding map[uint64]int
}

// NewTwoChoices returns a picker for the servers in a region, or in all regions if region is empty.
func NewTwoChoices(region string) *TwoChoices {
	return &TwoChoices{region: region, outstanding: make(map[uint64]int)}
}

// Pick implements Picker.
func (t *TwoChoices) Pick(_ time.Duration, candidates []choice.Candidate, random *rand.Rand) (int, bool) {
	var eligible []int
	for i := range candidates {
		if t.region == "" || candidates[i].Region == t.region {
			eligible = append(eligible, i)
		}
	}
	if len(eligible) == 0 {
		return 0, false
	}
	a := eligible[random.IntN(len(eligible))]
	b := eligible[random.IntN(len(eligible))]
	if t.outstanding[candidates[b].ID] < t.outstanding[candidates[a].ID] {
		return b, true
	}
	return a, true
}

// Started implements Picker.
func (t *TwoChoices) Started(_ time.Duration, id uint64) { t.outstanding[id]++ }

// Finished implements Picker.
func (t *TwoChoices) Finished(_ time.Duration, id uint64, _ time.Duration, _ bool) {
	t.outstanding[id]--
}

// QueueSettings describes a service without keys.
type QueueSettings struct {
	Hosts, Servers     int           // both alternate between two regions
	Capacity           int           // concurrent requests per server
	ServiceTime        time.Duration // mean
	Utilization        float64       // offered load as a fraction of the total capacity
	Requests           int
	SlowServers        int // number of servers whose service time is multiplied by SlowFactor
	SlowFactor         float64
	FreezeInterval     time.Duration // 0 for none; one server at a time, in turn
	FreezeDuration     time.Duration
	Deadline           time.Duration
	CrossRegionLatency time.Duration // one way between regions
	LocalLatency       time.Duration // one way within a region
	Seed               uint64
}

// QueueResult holds the results of the queueing model.
type QueueResult struct {
	Mean, P99   time.Duration // latency; a failed request counts with its deadline
	Failed      float64       // fraction of requests that missed the deadline
	CrossRegion float64       // fraction of requests sent to a server in the other region
	Imbalance   float64       // highest number of requests of a server over the mean
}

type queueEventKind int

const (
	arriveAtHost queueEventKind = iota // a request arrives at its entry host
	reachServer                        // a request arrives at its server
	finishWork                         // a server finishes a request
	reachHost                          // a response arrives at the entry host
	missDeadline                       // a request's deadline passes
	unfreeze                           // a frozen server resumes
)

type queueEvent struct {
	at       time.Duration
	sequence int // orders events with equal times
	kind     queueEventKind
	request  *queueRequest
	server   *queueServer
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
	slowdown    float64
	running     int
	waiting     []*queueRequest
	requests    int // requests that were sent to the server
	frozenUntil time.Duration
}

type queueEvents []queueEvent

func (q queueEvents) Len() int { return len(q) }
func (q queueEvents) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
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
	settings    QueueSettings
	random      *rand.Rand
	pickers     []Picker
	servers     []*queueServer
	candidates  []choice.Candidate
	events      queueEvents
	sequence    int
	arrived     int
	nextFreeze  time.Duration
	freezes     int // freezes so far
	latencies   []time.Duration
	failed      int
	crossRegion int
}

// RunQueue simulates the queueing model. Each entry host gets its own picker for its region.
func RunQueue(settings QueueSettings, picker func(region string) Picker) QueueResult {
	m := &queueModel{settings: settings, random: rand.New(rand.NewPCG(settings.Seed, 1)), nextFreeze: settings.FreezeInterval}
	for host := range settings.Hosts {
		m.pickers = append(m.pickers, picker(regionNames[host%2]))
	}
	for i := range settings.Servers {
		server := &queueServer{id: uint64(i) + 1, region: i % 2, slowdown: 1}
		if i < settings.SlowServers {
			server.slowdown = settings.SlowFactor
		}
		m.servers = append(m.servers, server)
		m.candidates = append(m.candidates, choice.Candidate{
			ID: server.id, Region: regionNames[server.region], Capacity: float64(settings.Capacity),
		})
	}
	m.schedule(queueEvent{kind: arriveAtHost})
	for len(m.events) > 0 {
		m.handle(heap.Pop(&m.events).(queueEvent))
	}
	return m.result()
}

func (m *queueModel) schedule(event queueEvent) {
	m.sequence++
	event.sequence = m.sequence
	heap.Push(&m.events, event)
}

func (m *queueModel) handle(event queueEvent) {
	switch event.kind {
	case arriveAtHost:
		m.freeze(event.at)
		m.arrive(event.at)
	case reachServer:
		event.server.waiting = append(event.server.waiting, event.request)
		m.serve(event.at, event.server)
	case unfreeze:
		m.serve(event.at, event.server)
	case finishWork:
		m.finish(event)
	case reachHost:
		m.end(event.at, event.request, true)
	case missDeadline:
		m.end(event.at, event.request, false)
	}
}

func (m *queueModel) arrive(now time.Duration) {
	s := m.settings
	request := &queueRequest{host: m.random.IntN(s.Hosts), start: now}
	picker := m.pickers[request.host]
	if i, ok := picker.Pick(now, m.candidates, m.random); ok {
		request.server = m.servers[i]
		request.server.requests++
		if request.server.region != request.host%2 {
			m.crossRegion++
		}
		picker.Started(now, request.server.id)
		m.schedule(queueEvent{at: now + m.oneWayLatency(request), kind: reachServer, request: request, server: request.server})
		m.schedule(queueEvent{at: now + s.Deadline, kind: missDeadline, request: request})
	}
	m.arrived++
	if m.arrived < s.Requests {
		rate := s.Utilization * float64(s.Servers*s.Capacity) / s.ServiceTime.Seconds()
		gap := time.Duration(m.random.ExpFloat64() / rate * float64(time.Second))
		m.schedule(queueEvent{at: now + gap, kind: arriveAtHost})
	}
}

func (m *queueModel) oneWayLatency(request *queueRequest) time.Duration {
	if request.server.region != request.host%2 {
		return m.settings.CrossRegionLatency
	}
	return m.settings.LocalLatency
}

// serve starts queued requests while the server has capacity. Requests past their deadline are
// dropped.
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
		duration := time.Duration(m.random.ExpFloat64() * server.slowdown * float64(m.settings.ServiceTime))
		m.schedule(queueEvent{at: now + duration, kind: finishWork, request: request, server: server})
	}
}

// finish completes a request on its server. On a frozen server it is postponed until the server
// resumes.
func (m *queueModel) finish(event queueEvent) {
	if event.at < event.server.frozenUntil {
		event.at = event.server.frozenUntil
		m.schedule(event)
		return
	}
	event.server.running--
	m.schedule(queueEvent{at: event.at + m.oneWayLatency(event.request), kind: reachHost, request: event.request})
	m.serve(event.at, event.server)
}

// freeze freezes the next server if a freeze is due.
func (m *queueModel) freeze(now time.Duration) {
	if m.settings.FreezeInterval == 0 || now < m.nextFreeze {
		return
	}
	m.nextFreeze += m.settings.FreezeInterval
	server := m.servers[m.freezes%len(m.servers)]
	m.freezes++
	server.frozenUntil = now + m.settings.FreezeDuration
	m.schedule(queueEvent{at: server.frozenUntil, kind: unfreeze, server: server})
}

// end records a response or, if ok is false, a missed deadline. The later of the two is ignored.
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
	maxRequests := 0
	for _, server := range m.servers {
		maxRequests = max(maxRequests, server.requests)
	}
	n := len(m.latencies)
	return QueueResult{
		Mean:        sum / time.Duration(n),
		P99:         m.latencies[n*99/100],
		Failed:      float64(m.failed) / float64(n),
		CrossRegion: float64(m.crossRegion) / float64(n),
		Imbalance:   float64(maxRequests*len(m.servers)) / float64(n),
	}
}
