package gateway

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/dispatch"
	"github.com/galenalug/galenalug/keyrange"
)

const (
	// defaultIdle is how long an unused connection is kept if its server does not
	// say how long it keeps it.
	defaultIdle = 8 * time.Second
	// idlePart is the part of the time that a server names for which an unused
	// connection is taken for open.
	idlePart = 0.75
	// provenFor is how long after an exchange a connection is used for a request
	// that may run once: a connection that the server closes meanwhile loses it.
	provenFor = 4 * time.Second
	// suspectFor is how long a server that failed gets requests only if no other
	// server is there.
	suspectFor = 1500 * time.Millisecond
)

// refusedFor is how long a server whose host refused a connection is left alone.
const refusedFor = 150 * time.Millisecond

// idleTime returns how long a server keeps an unused connection.
func idleTime(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(float64(seconds) * idlePart * float64(time.Second))
		}
	}
	return defaultIdle
}

// backend is what this gateway knows of one incarnation of a backend server.
type backend struct {
	id, address string
	typical     *typical // of the service

	mu      sync.Mutex // guards the fields below
	idle    []*conn    // the one used last stands last
	load    dispatch.Load
	line    dispatch.WaitQueue // requests that wait for room
	share   dispatch.Share
	seen    keyrange.ServerLoad // for the next load report
	failed  time.Duration       // of the last failure; 0 for none
	refused time.Duration       // when its host last refused a connection; 0 for never
	ended   bool                // another incarnation answered at the address
	retired bool
}

// typical is the average time of a service's requests.
type typical struct {
	mu    sync.Mutex // guards times; a leaf
	times dispatch.MeanServiceTime
}

func (t *typical) take(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.times.Observe(took)
}

func (t *typical) time() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.times.Value()
}

// backends are the backend servers by ID and address.
type backends struct {
	mu       sync.Mutex // guards the fields below
	list     map[string]*backend
	services map[string]*typical
}

func newBackends() *backends {
	return &backends{list: map[string]*backend{}, services: map[string]*typical{}}
}

// of returns a server's backend, and makes it at its first use.
func (b *backends) of(s keyrange.Server) *backend {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.list[s.ID]
	if known == nil || known.address != s.Address {
		if known != nil {
			known.retire()
		}
		known = &backend{id: s.ID, address: s.Address, typical: b.typical(s.Service)}
		b.list[s.ID] = known
	}
	return known
}

// typical is called with the lock held.
func (b *backends) typical(service string) *typical {
	known := b.services[service]
	if known == nil {
		known = &typical{}
		b.services[service] = known
	}
	return known
}

// sweep closes connections that are unused for long, and forgets servers that
// keep returns false for.
func (b *backends) sweep(keep func(id string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, known := range b.list {
		if !keep(id) {
			known.retire()
			delete(b.list, id)
			continue
		}
		known.closeIdle()
	}
}

// observations returns what was seen of each server since the last call.
func (b *backends) observations() []keyrange.ServerLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	var seen []keyrange.ServerLoad
	for id, known := range b.list {
		if s := known.takeSeen(); s != (keyrange.ServerLoad{}) {
			s.ServerID = id
			seen = append(seen, s)
		}
	}
	return seen
}

func (k *backend) takeSeen() keyrange.ServerLoad {
	k.mu.Lock()
	defer k.mu.Unlock()
	seen := k.seen
	k.seen = keyrange.ServerLoad{}
	return seen
}

func (k *backend) retire() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.retired = true
	for _, c := range k.idle {
		_ = c.Close() // no request is on it
	}
	k.idle = nil
}

func (k *backend) closeIdle() {
	k.mu.Lock()
	defer k.mu.Unlock()
	kept := k.idle[:0]
	for _, c := range k.idle {
		if time.Since(c.used) > c.idleFor {
			_ = c.Close() // no request is on it
			continue
		}
		kept = append(kept, c)
	}
	k.idle = kept
}

// connect returns an idle connection that is open, or a new one. A request that
// may run once gets one that answered a short time ago.
func (k *backend) connect(ctx context.Context, once bool) (*conn, error) {
	for {
		c := k.takeIdle(once)
		if c == nil {
			return dial(ctx, k.address)
		}
		if c.quiet() {
			return c, nil
		}
		_ = c.Close() // no request is on it
	}
}

func (k *backend) takeIdle(once bool) *conn {
	k.mu.Lock()
	defer k.mu.Unlock()
	last := len(k.idle) - 1
	if last < 0 || once && time.Since(k.idle[last].used) > provenFor {
		return nil
	}
	c := k.idle[last]
	k.idle = k.idle[:last]
	return c
}

// release takes a connection back, or closes it.
func (k *backend) release(c *conn, keep bool) {
	c.used = time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if !keep || k.retired {
		_ = c.Close() // its exchange is over
		return
	}
	k.idle = append(k.idle, c)
}

// send sends a request once and keeps the estimates up to date.
func (k *backend) send(ctx context.Context, o *outbound, once bool, dialect Dialect) (*inbound, error) {
	k.mu.Lock()
	now := clockNow()
	queued := k.load.Requests(now) >= float64(o.slots)
	surelyIdle := k.load.HasFreeSlot(now, o.slots)
	k.load.Start()
	k.mu.Unlock()
	started := time.Now()
	in, err := k.sendCounted(ctx, o, once, dialect)
	k.mu.Lock()
	defer k.mu.Unlock()
	defer k.load.End()
	if err != nil {
		k.countFailure(err, time.Since(started), surelyIdle)
		return nil, err
	}
	if in.info.Load != nil {
		k.load.ObserveReport(clockNow(), *in.info.Load)
	}
	k.countResponse(in, time.Since(started), queued)
	return in, nil
}

func (k *backend) sendCounted(ctx context.Context, o *outbound, once bool, dialect Dialect) (*inbound, error) {
	dialContext, cancel := context.WithDeadline(ctx, o.deadline)
	defer cancel()
	c, err := k.connect(dialContext, once)
	if err != nil {
		return nil, &failure{reason: reasonConnect, noServer: errors.Is(err, syscall.ECONNREFUSED), err: err}
	}
	return exchange(ctx, c, o, dialect, k.release)
}

// countFailure is called with the lock held. A request that got no response in a
// long time shows how slow the server is at least, if it surely did not wait.
func (k *backend) countFailure(err error, took time.Duration, surelyIdle bool) {
	var f *failure
	if !errors.As(err, &f) {
		return
	}
	unanswered := f.reason == reasonTimeout || f.reason == reasonCanceled
	if unanswered && surelyIdle && took > k.load.ServiceTime() {
		k.countWork(took)
	}
	if f.reason == reasonCanceled {
		return
	}
	k.failed = clockNow()
	if f.noServer {
		k.refused = k.failed
		k.seen.Refused++
	}
}

// countResponse is called with the lock held. The time of a request that probably
// waited at the server says nothing of the server's speed.
func (k *backend) countResponse(in *inbound, took time.Duration, queued bool) {
	switch {
	case in.info.NotOwner && in.info.ServerID != "" && in.info.ServerID != k.id:
		k.seen.Misdirected++
		k.ended = true
	case in.info.NotExecuted, queued, in.info.Load != nil && in.info.Load.Waiting > 0:
	default:
		k.countWork(took)
	}
}

// countWork is called with the lock held.
func (k *backend) countWork(took time.Duration) {
	k.load.SetExpectedServiceTime(k.typical.time())
	k.load.ObserveServiceTime(took)
	k.typical.take(took)
	k.seen.Count++
	k.seen.WorkMicros += took.Microseconds()
}

// expected returns how long a request that is sent now is expected to take, and
// whether anything is known of that.
func (k *backend) expected(now time.Duration, slots int) (time.Duration, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.load.SetExpectedServiceTime(k.typical.time())
	return k.load.ExpectedWait(now, slots) + k.load.ServiceTime(), k.load.HasServiceTime()
}

// pass tells whether a request is in the part that an overloaded server takes.
func (k *backend) pass(permille, priority int64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.share.Allow(permille, priority)
}

// absent tells whether the server's process has ended, or its host refused a
// connection a moment ago.
func (k *backend) absent(now time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ended || k.refused != 0 && now-k.refused < refusedFor
}

// candidate returns the backend as a choice for a request.
func (k *backend) candidate(now time.Duration, s keyrange.Server, connections int, distance dispatch.Distance) dispatch.Candidate {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.load.SetExpectedServiceTime(k.typical.time())
	load := k.load
	return dispatch.Candidate{
		ID: s.ID, Load: &load, Slots: int(s.Slots), ConnectionLimit: connections, Distance: distance,
		Suspect: k.failed != 0 && now-k.failed < suspectFor,
	}
}

// joinLine puts a request into the line for room, unless the line is so long that
// the request would wait beyond limit.
func (k *backend) joinLine(now, limit time.Duration, slots int, priority int64) (dispatch.Ticket, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if dispatch.EstimatedQueueWait(now, &k.load, slots, k.line.AheadOfNew(priority)) > limit {
		return dispatch.Ticket{}, false
	}
	return k.line.Enqueue(priority), true
}

func (k *backend) leaveLine(t dispatch.Ticket) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.line.Remove(t)
}

// ahead returns the number of requests in the line before a ticket, or before a
// new request if the ticket is nil.
func (k *backend) ahead(t *dispatch.Ticket, priority int64) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	if t != nil {
		return k.line.Ahead(*t)
	}
	return k.line.AheadOfNew(priority)
}

// hopByHop are the headers that concern one connection only (RFC 9110, section
// 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// endToEnd returns a copy of a header without what concerns one connection only.
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
