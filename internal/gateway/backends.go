package gateway

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenalug/galenalug/dispatch"
	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/ratelimit"
)

const (
	// defaultIdleTime is how long an idle connection is kept if the server names no keep-alive
	// timeout.
	defaultIdleTime = 8 * time.Second
	// idleFraction is the fraction of the server's keep-alive timeout for which an idle connection
	// is used. The margin avoids sending on a connection that the server is about to close.
	idleFraction = 0.75
	// maxIdleForOnce is the longest idle time of a connection that is used for a request that may
	// run only once. If the server closes the connection while the request is sent, such a request
	// can't be sent again.
	maxIdleForOnce = 4 * time.Second
	// suspectPeriod is how long after a failure a server is used only if there is no other.
	suspectPeriod = 1500 * time.Millisecond
)

// refusedPeriod is how long a server gets no requests after its host refused a connection.
const refusedPeriod = 150 * time.Millisecond

// keepAliveTime returns how long an idle connection to the server may be used.
func keepAliveTime(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(float64(seconds) * idleFraction * float64(time.Second))
		}
	}
	return defaultIdleTime
}

// backend holds the connections to one incarnation of a backend server and the gateway's estimates
// of its load.
type backend struct {
	id, address     string
	startMillis     int64            // start time of the incarnation, Unix milliseconds; 0 if unknown
	meanServiceTime *meanServiceTime // of the service
	noticeCounter   prometheus.Counter

	mu        sync.Mutex // guards the fields below
	idle      []*conn    // the most recently used last
	load      dispatch.Load
	queue     dispatch.WaitQueue // requests that wait for capacity
	share     dispatch.Share
	notices   dispatch.Notices
	tokens    ratelimit.Holder    // for the rate limit that the server has named
	observed  keyrange.ServerLoad // not yet reported to the leader
	failedAt  time.Duration       // time of the last failure; 0 for none
	refusedAt time.Duration       // time of the last refused connection; 0 for none
	replaced  bool                // another incarnation answered at the address
	closed    bool                // connections are closed when their exchange ends
}

// meanServiceTime is the mean service time of a service's requests at all of its servers. It is the
// estimate for a server that has not answered a request yet.
type meanServiceTime struct {
	mu   sync.Mutex // guards mean; no other lock is acquired while it is held
	mean dispatch.MeanServiceTime
}

func (t *meanServiceTime) observe(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mean.Observe(took)
}

func (t *meanServiceTime) value() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mean.Value()
}

// backends holds the backend servers and the mean service times of their services.
type backends struct {
	mu               sync.Mutex // guards the fields below
	byID             map[string]*backend
	meanServiceTimes map[string]*meanServiceTime // by service
	noticeCounter    prometheus.Counter
}

func newBackends(noticeCounter prometheus.Counter) *backends {
	return &backends{byID: map[string]*backend{}, meanServiceTimes: map[string]*meanServiceTime{}, noticeCounter: noticeCounter}
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
			id: s.ID, address: s.Address, startMillis: s.StartMillis, meanServiceTime: b.meanServiceTime(s.Service), noticeCounter: b.noticeCounter,
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

// sweep closes expired idle connections, and removes the servers for which keep returns false.
func (b *backends) sweep(keep func(id string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, server := range b.byID {
		if !keep(id) {
			server.close()
			delete(b.byID, id)
			continue
		}
		server.closeIdle()
	}
}

// takeObservations returns what was observed of each server since the last call.
func (b *backends) takeObservations() []keyrange.ServerLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	var observed []keyrange.ServerLoad
	for id, server := range b.byID {
		if s := server.takeObserved(); s != (keyrange.ServerLoad{}) {
			s.ServerID, s.StartMillis = id, server.startMillis
			observed = append(observed, s)
		}
	}
	return observed
}

func (b *backend) takeObserved() keyrange.ServerLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	observed := b.observed
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

func (b *backend) closeIdle() {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := b.idle[:0]
	for _, c := range b.idle {
		if time.Since(c.lastUsed) > c.maxIdle {
			_ = c.Close() // no request is in flight on it
			continue
		}
		kept = append(kept, c)
	}
	b.idle = kept
}

// connect returns an open idle connection, or dials a new one. A request that may run only once
// gets an idle connection only if that was used within maxIdleForOnce.
func (b *backend) connect(ctx context.Context, once bool, id string) (*conn, error) {
	for {
		c := b.takeIdle(once, id)
		if c == nil {
			return dial(ctx, b.address)
		}
		if c.reusable() {
			return c, nil
		}
		_ = c.Close() // no request is in flight on it
	}
}

// takeIdle takes the most recently used idle connection that may carry the request, or returns nil.
func (b *backend) takeIdle(once bool, id string) *conn {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := len(b.idle) - 1; i >= 0; i-- {
		c := b.idle[i]
		if once && time.Since(c.lastUsed) > maxIdleForOnce {
			return nil
		}
		if c.mayCarry(id) {
			b.idle = slices.Delete(b.idle, i, i+1)
			return c
		}
	}
	return nil
}

// release returns a connection to the idle list, or closes it.
func (b *backend) release(c *conn, keep bool) {
	c.lastUsed = time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if !keep || b.closed {
		_ = c.Close() // the exchange has ended
		return
	}
	b.idle = append(b.idle, c)
}

// send sends a request once and updates the load estimates.
func (b *backend) send(ctx context.Context, req *backendRequest, once bool, dialect Dialect) (*backendResponse, error) {
	b.mu.Lock()
	now := clockNow()
	queued := b.load.Requests(now) >= float64(req.slots)
	hadFreeSlot := b.load.HasFreeSlot(now, req.slots)
	b.load.Start()
	b.mu.Unlock()
	started := time.Now()
	resp, err := b.connectAndExchange(ctx, req, once, dialect)
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

func (b *backend) connectAndExchange(ctx context.Context, req *backendRequest, once bool, dialect Dialect) (*backendResponse, error) {
	dialContext, cancel := context.WithDeadline(ctx, req.deadline)
	defer cancel()
	c, err := b.connect(dialContext, once, req.id)
	if err != nil {
		return nil, &exchangeError{reason: reasonConnect, connRefused: errors.Is(err, syscall.ECONNREFUSED), err: err}
	}
	return exchange(ctx, c, req, dialect, b.release)
}

// recordFailure updates the estimates after a failed attempt. The caller holds b.mu. If the request
// certainly did not queue at the server, the time until it timed out or was canceled is a lower
// bound of its service time.
func (b *backend) recordFailure(err error, took time.Duration, hadFreeSlot bool) {
	var e *exchangeError
	if !errors.As(err, &e) {
		return
	}
	unanswered := e.reason == reasonTimeout || e.reason == reasonCanceled
	if unanswered && hadFreeSlot && took > b.load.ServiceTime() {
		b.recordServiceTime(took)
	}
	if e.reason == reasonCanceled {
		return
	}
	b.failedAt = clockNow()
	if e.connRefused {
		b.refusedAt = b.failedAt
		b.observed.Refused++
	}
}

// recordResponse updates the estimates after a response. The caller holds b.mu. The response time
// of a request that probably queued at the server is no measure of its service time.
func (b *backend) recordResponse(resp *backendResponse, took time.Duration, queued bool) {
	switch {
	case resp.info.NotOwner && resp.info.ServerID != "" && resp.info.ServerID != b.id:
		b.observed.Misdirected++
		b.replaced = true
	case resp.info.NotExecuted, queued, resp.info.Load != nil && resp.info.Load.Waiting > 0:
	default:
		b.recordServiceTime(took)
	}
}

// recordServiceTime updates the estimates with a measured service time. The caller holds b.mu.
func (b *backend) recordServiceTime(took time.Duration) {
	b.load.SetExpectedServiceTime(b.meanServiceTime.value())
	b.load.ObserveServiceTime(took)
	b.meanServiceTime.observe(took)
	b.observed.Count++
	b.observed.ServiceTimeMicros += took.Microseconds()
}

// expectedTime returns the expected response time of a request that is sent now, and whether any
// service time is known.
func (b *backend) expectedTime(now time.Duration, slots int) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load.SetExpectedServiceTime(b.meanServiceTime.value())
	return b.load.ExpectedWait(now, slots) + b.load.ServiceTime(), b.load.HasServiceTime()
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

// candidate returns the backend as a candidate for dispatch.Choose.
func (b *backend) candidate(now time.Duration, s keyrange.Server, connectionLimit int, distance dispatch.Distance) dispatch.Candidate {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load.SetExpectedServiceTime(b.meanServiceTime.value())
	load := b.load
	limit, _ := b.notices.RateLimit()
	return dispatch.Candidate{
		ID: s.ID, Load: &load, Slots: int(s.Slots), ConnectionLimit: connectionLimit, Distance: distance,
		Suspect:   b.failedAt != 0 && now-b.failedAt < suspectPeriod,
		PausedFor: b.notices.PausedFor(now), Limited: limit > 0, Tokens: b.tokens.Available(now),
	}
}

// enqueue adds a request to the queue for the server.
func (b *backend) enqueue(priority int64) dispatch.Ticket {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queue.Enqueue(priority)
}

// expectedWait returns how long a request that is not sent for the given reason would wait for the
// server, with the given number of others ahead of it.
func (b *backend) expectedWait(now time.Duration, slots, ahead int, reason dispatch.Reason) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch reason {
	case dispatch.RateLimited:
		return b.tokens.Wait(now, ahead)
	case dispatch.Paused:
		return b.notices.PausedFor(now)
	}
	return dispatch.EstimatedQueueWait(now, &b.load, slots, ahead)
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

// hopByHop lists the headers that apply to a single connection (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// endToEnd returns a copy of the header without the hop-by-hop fields.
func endToEnd(header http.Header) http.Header {
	out := header.Clone()
	for _, named := range header.Values("Connection") {
		for _, name := range strings.Split(named, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}
