package gateway

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenalug/galenalug/dispatch"
	"github.com/galenalug/galenalug/internal/bodybuffer"
	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/quarantine"
	"github.com/galenalug/galenalug/ratelimit"
)

// refusedPeriod is how long a server gets no requests after its host refused a connection.
const refusedPeriod = 150 * time.Millisecond

// backend holds the connections to one incarnation of a backend server and the gateway's estimates
// of its load.
type backend struct {
	id, address     string
	startMillis     int64            // start time of the incarnation, Unix milliseconds; 0 if unknown
	meanServiceTime *meanServiceTime // of the service
	noticeCounter   prometheus.Counter
	dial            dialFunc
	onCrash         func(quarantine.Crash) // called when the process has ended with requests
	buffers         *bodybuffer.Pool       // shared with the other servers
	conns           *connCount             // shared with the other servers
	closeOldest     func()                 // closes the oldest idle connection of any server

	mu          sync.Mutex // guards the fields below
	idle        []*conn    // the most recently used last
	load        dispatch.Load
	queue       dispatch.WaitQueue // requests that wait for capacity
	share       dispatch.Share
	notices     dispatch.Notices
	tokens      ratelimit.Holder    // for the rate limit that the server has named
	observed    keyrange.ServerLoad // not yet reported to the leader
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
	noticeCounter    prometheus.Counter
	// dial opens connections to backend servers. Tests simulate slow links with it.
	dial    dialFunc
	onCrash func(quarantine.Crash)
	buffers *bodybuffer.Pool // for the response bodies of all servers
	conns   *connCount       // of all servers
}

func newBackends(noticeCounter prometheus.Counter, buffers *bodybuffer.Pool, maxConns int) *backends {
	return &backends{
		byID: map[string]*backend{}, meanServiceTimes: map[string]*meanServiceTime{}, noticeCounter: noticeCounter,
		dial: dialTCP, buffers: buffers, conns: &connCount{max: int64(maxConns)},
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
		}
		server = &backend{
			id: s.ID, address: s.Address, startMillis: s.StartMillis, meanServiceTime: b.meanServiceTime(s.Service),
			noticeCounter: b.noticeCounter, dial: b.dial, onCrash: b.onCrash, buffers: b.buffers,
			conns: b.conns, closeOldest: b.closeOldest,
		}
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

// sweep closes expired idle connections, and removes the servers that are not listed, unless their
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

// send sends a request once and updates the load estimates.
func (b *backend) send(ctx context.Context, req *backendRequest, dialect Dialect) (*backendResponse, error) {
	b.mu.Lock()
	now := clockNow()
	queued := b.load.Requests(now) >= float64(req.slots)
	hadFreeSlot := b.load.HasFreeSlot(now, req.slots)
	b.load.Start()
	b.mu.Unlock()
	started := time.Now()
	resp, err := b.connectAndExchange(ctx, req, dialect)
	b.recordBroken(err, req)
	b.mu.Lock()
	defer b.mu.Unlock()
	defer b.load.End()
	if err != nil {
		b.recordFailure(err, time.Since(started), hadFreeSlot)
		return nil, err
	}
	if resp.info.Load != nil {
		b.load.ObserveReport(clockNow(), *resp.info.Load)
	}
	b.recordNotice(resp.info.Notice)
	b.recordResponse(resp, time.Since(started), queued)
	return resp, nil
}

// errDrained is the error of a request for which a connection opened only at the end of its server's drain time.
var errDrained = errors.New("the server's drain time has passed")

func (b *backend) connectAndExchange(ctx context.Context, req *backendRequest, dialect Dialect) (*backendResponse, error) {
	mark(&req.progress.startedAt)
	dialContext, cancel := context.WithTimeout(ctx, min(req.dialTimeout, time.Until(req.deadline)))
	defer cancel()
	defer context.AfterFunc(req.client, cancel)()
	c, err := b.connect(dialContext, req.once, req.id)
	if req.clientLeft() {
		b.returnUnused(c, err)
		return nil, &exchangeError{reason: reasonCanceled, err: context.Canceled}
	}
	if err != nil {
		return nil, &exchangeError{reason: reasonConnect, connRefused: errors.Is(err, syscall.ECONNREFUSED), err: err}
	}
	if req.tooLate() {
		b.returnUnused(c, nil)
		return nil, &exchangeError{reason: reasonConnect, err: errDrained}
	}
	if c.dialTook > 0 && req.onDial != nil {
		req.onDial(c.dialTook)
	}
	c.dialTook = 0
	return exchange(ctx, c, req, dialect, b.release)
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
func (b *backend) enqueue(priority int64) dispatch.Ticket {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queue.Enqueue(priority)
}

func (b *backend) dequeue(t dispatch.Ticket) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue.Remove(t)
}

// ahead returns the number of queued requests that are served before the ticket, or before a new
// request if the ticket is nil.
func (b *backend) ahead(t *dispatch.Ticket, priority int64) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t != nil {
		return b.queue.Ahead(*t)
	}
	return b.queue.AheadOfNew(priority)
}
