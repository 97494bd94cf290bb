package gateway

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenalug/galenalug/cost"
	"github.com/galenalug/galenalug/dispatch"
	"github.com/galenalug/galenalug/internal/bodybuffer"
	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/quarantine"
	"github.com/galenalug/galenalug/ratelimit"
	"github.com/galenalug/galenalug/serverload"
	"github.com/galenalug/galenalug/warmup"
)

// refusedPeriod is how long a server gets no requests after its host refused a connection.
const refusedPeriod = 150 * time.Millisecond

// backend holds the connections to one incarnation of a backend server and the gateway's estimates
// of its load.
type backend struct {
	id, address     string
	service         string
	startMillis     int64            // start time of the incarnation, Unix milliseconds; 0 if unknown
	meanServiceTime *meanServiceTime // of the service
	noticeCounter   prometheus.Counter
	warmup          *warmupContext
	dial            dialFunc
	onCrash         func(quarantine.Crash) // called when the process has ended with requests
	buffers         *bodybuffer.Pool       // shared with the other servers
	byWork          bool                   // balance: work
	hash            uint32                 // stands for the server in digests
	slots           int64
	costs           *costs // shared with the other servers
	state           *serviceState
	conns           *connCount // shared with the other servers
	closeOldest     func()     // closes the oldest idle connection of any server

	mu          sync.Mutex // guards the fields below
	idle        []*conn    // the most recently used last
	load        dispatch.Load
	queue       dispatch.WaitQueue // requests that wait for capacity
	share       dispatch.Share
	notices     dispatch.Notices
	backoff     dispatch.Backoff  // after refusals
	failures    dispatch.Failures // of requests that the server ran
	speed       cost.Speed
	newsAt      time.Duration       // when the server last answered, or failed to
	factor      float64             // speed, also according to shared
	roundTrip   time.Duration       // of the network, from the opening of connections; 0 if not known
	shared      serverload.Estimate // what the leader says of the server
	observedAt  time.Duration       // time of the load report in observed
	tokens      ratelimit.Holder    // for the rate limit that the server has named
	observed    keyrange.ServerLoad // not yet reported to the leader
	coldTokens  warmup.Holder       // while the server is cold
	warmth      warmup.Evidence     // that the server is cold
	countdown   warmup.Countdown    // of the time for which it is slower, with balance: work
	nearbyAt    time.Duration       // when the server was last a candidate of the own region
	failedAt    time.Duration       // time of the last failure; 0 for none
	refusedAt   time.Duration       // time of the last refused connection; 0 for none
	replaced    bool                // another incarnation answered at the address
	broken      []func() string     // fingerprints of requests whose exchange broke, until checkEnd
	checkingEnd bool
	closed      bool // connections are closed when their exchange ends
}

// backends holds the backend servers and the mean service times of their services.
type backends struct {
	mu               sync.Mutex // guards the fields below
	byID             map[string]*backend
	meanServiceTimes map[string]*meanServiceTime // by service
	services         map[string]*serviceState
	digests          serverload.View

	// The fields below don't change once requests are served.

	noticeCounter prometheus.Counter
	digestBytes   prometheus.Counter
	warmup        *warmupContext
	// dial opens connections to backend servers. Tests simulate slow links with it.
	dial    dialFunc
	onCrash func(quarantine.Crash)
	buffers *bodybuffer.Pool // for the response bodies of all servers
	byWork  bool             // balance: work
	costs   *costs
	conns   *connCount // of all servers
}

// backendOptions are the parameters of newBackends.
type backendOptions struct {
	notices, digestBytes prometheus.Counter
	warmup               *warmupContext
	buffers              *bodybuffer.Pool
	maxConns             int // open connections to all servers
}

func newBackends(o backendOptions) *backends {
	return &backends{
		byID: map[string]*backend{}, meanServiceTimes: map[string]*meanServiceTime{}, noticeCounter: o.notices, warmup: o.warmup, dial: dialTCP,
		buffers: o.buffers, conns: &connCount{max: int64(o.maxConns)}, costs: &costs{}, digestBytes: o.digestBytes, services: map[string]*serviceState{},
	}
}

// get returns the backend of a server. It creates the backend if there is none, or if the server has
// another address or has started again under the same ID.
func (b *backends) get(s keyrange.Server) *backend {
	b.mu.Lock()
	defer b.mu.Unlock()
	server := b.byID[s.ID]
	if server == nil || server.address != s.Address || server.startMillis != s.StartMillis {
		if server != nil {
			server.close()
			b.digests.Forget(server.hash) // it says how loaded the former process was
		}
		server = &backend{
			id: s.ID, address: s.Address, service: s.Service, startMillis: s.StartMillis, meanServiceTime: b.meanServiceTime(s.Service),
			noticeCounter: b.noticeCounter, warmup: b.warmup, dial: b.dial, onCrash: b.onCrash, buffers: b.buffers,
			byWork: b.byWork, hash: serverload.Hash(s.ID), slots: s.Slots, costs: b.costs, state: b.serviceStateLocked(s.Service),
			conns: b.conns, closeOldest: b.closeOldest,
		}
		server.useShared(b.digests.Server(server.hash))
		b.byID[s.ID] = server
	}
	return server
}

// meanServiceTime returns the mean service time of a service. The caller holds b.mu.
func (b *backends) meanServiceTime(service string) *meanServiceTime {
	mean := b.meanServiceTimes[service]
	if mean == nil {
		mean = &meanServiceTime{}
		b.meanServiceTimes[service] = mean
	}
	return mean
}

// serviceState returns the state of a service.
func (b *backends) serviceState(service string) *serviceState {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.serviceStateLocked(service)
}

// serviceStateLocked does the work of serviceState. The caller holds b.mu.
func (b *backends) serviceStateLocked(service string) *serviceState {
	state := b.services[service]
	if state == nil {
		state = &serviceState{}
		b.services[service] = state
	}
	return state
}

// sweep closes expired idle connections, forgets what was learned too long ago, and removes the servers that are not listed, unless their
// notices still count.
func (b *backends) sweep(now time.Duration, listed func(id string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, server := range b.byID {
		if !listed(id) && server.noticesOutdated(now) {
			server.close()
			delete(b.byID, id)
			continue
		}
		server.closeIdle()
		server.forgetSpeed(now)
	}
	if b.digests.Expire(now) {
		b.useDigests()
	}
}

// takeObservations returns what was observed of each server since the last call. That a server is
// leaving is repeated: a new leader has not been told.
func (b *backends) takeObservations(now time.Duration) []keyrange.ServerLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	var observed []keyrange.ServerLoad
	for id, server := range b.byID {
		if s := server.takeObserved(now); s != (keyrange.ServerLoad{}) {
			s.ServerID, s.StartMillis = id, server.startMillis
			observed = append(observed, s)
		}
	}
	return observed
}

func (b *backend) takeObserved(now time.Duration) keyrange.ServerLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	observed := b.observed
	observed.Leaving = b.notices.LeavingFor(now) > 0
	if b.observedAt != 0 {
		observed.ReportAge, b.observedAt = (now-b.observedAt).Milliseconds()+1, 0
	}
	b.observed = keyrange.ServerLoad{}
	return observed
}

func (b *backend) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	for _, c := range b.idle {
		_ = c.Close() // no request is in flight on it
	}
	b.idle = nil
}

// allow reports whether a request is within the fraction of requests, in thousandths, that may be
// sent to an overloaded server.
func (b *backend) allow(permille, priority int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.share.Allow(permille, priority)
}

// unavailable reports whether the server's process has ended, or its host refused a connection
// within refusedPeriod.
func (b *backend) unavailable(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.replaced || b.refusedAt != 0 && now-b.refusedAt < refusedPeriod
}

// queues reports whether the server runs as many requests as it can, so that others wait there.
func (b *backend) queues(now time.Duration, slots int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.load.ExpectedWait(now, slots) > 0
}

// enqueue adds a request to the queue for the server.
func (b *backend) enqueue(now time.Duration, priority int64) dispatch.Ticket {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byWork {
		return b.queue.EnqueueAging(now, priority)
	}
	return b.queue.Enqueue(priority)
}

func (b *backend) dequeue(t dispatch.Ticket) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue.Remove(t)
}

// ahead returns the number of queued requests that are served before the ticket, or before a new
// request if the ticket is nil.
func (b *backend) ahead(now time.Duration, t *dispatch.Ticket, priority int64) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t != nil {
		return b.queue.Ahead(*t)
	}
	if b.byWork {
		return b.queue.AheadOfNewAging(now, priority)
	}
	return b.queue.AheadOfNew(priority)
}
