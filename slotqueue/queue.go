package slotqueue

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/galenalug/galenalug/admitshare"
)

const (
	// maxWaiting bounds the requests that wait for slots of one service.
	maxWaiting = 4096
	// targetWaitPart is the part of the slack until its latency target that a request may be expected to wait, and
	// lateWaitPart the part of the slack until its deadline if it misses the target anyway. The rest is for the variance of
	// the work.
	targetWaitPart = 0.25
	lateWaitPart   = 0.25
	// overdueFactor is the multiple of that time after which a request that still waits is refused.
	overdueFactor = 2
	// grantSlack is how long after the deadline of its request a slot that was not given back is free again.
	grantSlack = time.Second
	// maxGroups bounds the groups of one service, and maxTextBytes the texts of a request. They bound the memory that a
	// faulty gateway can take.
	maxGroups, maxTextBytes = 256, 4096
	// maxTime bounds the times of a request, so that calculations with them don't overflow.
	maxTime = time.Hour
)

// Decision is an answer to a request of a gateway.
type Decision[G comparable] struct {
	Gateway G
	Answer  Answer
}

// Queue is the leader's queue of the requests for all services that have one. G identifies a connection of a gateway. It
// is not safe for concurrent use.
type Queue[G comparable] struct {
	services map[string]*service[G]
	grants   map[requestKey[G]]*grant
}

// requestKey identifies a request.
type requestKey[G comparable] struct {
	gateway G
	id      int64
}

// grant is a slot that a request has.
type grant struct {
	service   string
	server    *server
	at        time.Duration
	expiresAt time.Duration
}

// waiter is a request that waits for a slot.
type waiter[G comparable] struct {
	gateway  G
	request  Request
	refuseAt time.Duration
}

// group is the requests for a service with the same priority and regions, in the order of their arrival. Those that are
// expected to miss their latency target are a group of their own.
type group[G comparable] struct {
	admitshare.Group
	late     bool
	waiting  []waiter[G]
	arrivals decayed
}

// service is the state of one service.
type service[G comparable] struct {
	groups  []*group[G] // the most urgent first, then those in time, then those with the fewest regions
	pool    pool
	clients map[admitshare.Group]*usualTime
}

// New returns an empty queue.
func New[G comparable]() *Queue[G] {
	return &Queue[G]{services: map[string]*service[G]{}, grants: map[requestKey[G]]*grant{}}
}

// SetServers sets the servers of a service that may get requests, and starts its queue if it has none. Slots that requests
// have at other servers stay taken until they are given back.
func (q *Queue[G]) SetServers(now time.Duration, name string, servers []Server) []Decision[G] {
	s := q.services[name]
	if s == nil {
		s = &service[G]{clients: map[admitshare.Group]*usualTime{}}
		q.services[name] = s
	}
	s.pool.set(servers)
	return q.assign(now, s, nil)
}

// Remove ends the queue of a service. The requests that wait are answered without a server.
func (q *Queue[G]) Remove(name string) []Decision[G] {
	s := q.services[name]
	if s == nil {
		return nil
	}
	delete(q.services, name)
	var decisions []Decision[G]
	for _, g := range s.groups {
		for _, w := range g.waiting {
			decisions = append(decisions, Decision[G]{w.gateway, Answer{ID: w.request.ID}})
		}
	}
	return decisions
}

// Services returns the names of the services that have a queue, in order.
func (q *Queue[G]) Services() []string {
	names := make([]string, 0, len(q.services))
	for name := range q.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Waiting returns the number of requests that wait for a slot of a service, and the number that have one.
func (q *Queue[G]) Waiting(name string) (waiting, granted int) {
	s := q.services[name]
	if s == nil {
		return 0, 0
	}
	for _, g := range s.groups {
		waiting += len(g.waiting)
	}
	return waiting, s.pool.outstanding()
}

// Add adds a request. The decisions, here and in the other methods, are to be sent at once.
func (q *Queue[G]) Add(now time.Duration, gateway G, r Request) []Decision[G] {
	s := q.services[r.Service]
	if s == nil || !s.takes(r) {
		return []Decision[G]{{gateway, Answer{ID: r.ID}}}
	}
	r = bounded(r)
	s.pool.observeWork(micros(r.WorkMicros))
	untilTarget := s.untilTarget(now, r)
	g := s.group(groupOf(r), untilTarget < s.pool.needed(r))
	g.arrivals.add(now)
	patience := s.pool.patience(r, untilTarget)
	if s.waiting() >= maxWaiting || s.pool.choose(now, r) == nil && s.expectedWait(now, g) > patience {
		return []Decision[G]{{gateway, Answer{ID: r.ID, Refused: true}}}
	}
	g.waiting = append(g.waiting, waiter[G]{gateway: gateway, request: r, refuseAt: now + overdueFactor*patience})
	return q.assign(now, s, nil)
}

// takes reports whether a request can wait for a slot: a server may run it, and its size and group are within the bounds.
func (s *service[G]) takes(r Request) bool {
	group, size := groupOf(r), len(r.Regions)+len(r.Domain)
	for _, id := range r.Avoid {
		size += len(id)
	}
	return size <= maxTextBytes && (s.clients[group] != nil || len(s.clients) < maxGroups) && s.pool.serves(group)
}

// bounded returns a request whose times are within maxTime.
func bounded(r Request) Request {
	r.WorkMicros = min(max(r.WorkMicros, 1), maxTime.Microseconds())
	r.TargetMillis = min(max(r.TargetMillis, -maxTime.Milliseconds()), maxTime.Milliseconds())
	r.DeadlineMillis = min(max(r.DeadlineMillis, 0), maxTime.Milliseconds())
	return r
}

// Release gives a slot back, or withdraws a request that waits.
func (q *Queue[G]) Release(now time.Duration, gateway G, r Release) []Decision[G] {
	key := requestKey[G]{gateway, r.ID}
	granted := q.grants[key]
	if granted == nil {
		q.withdraw(func(w waiter[G]) bool { return w.gateway == gateway && w.request.ID == r.ID })
		return nil
	}
	delete(q.grants, key)
	s := q.services[granted.service]
	granted.server.release(now, r.Outcome)
	if s == nil {
		return nil
	}
	if r.Outcome == Served {
		s.pool.observeServed(now, now-granted.at, micros(r.AtServerMicros))
	}
	return q.assign(now, s, nil)
}

// Forget drops the requests of a gateway that wait. The slots that its requests have expire, since they may still run.
func (q *Queue[G]) Forget(gateway G) {
	q.withdraw(func(w waiter[G]) bool { return w.gateway == gateway })
}

func (q *Queue[G]) withdraw(drop func(waiter[G]) bool) {
	for _, s := range q.services {
		for _, g := range s.groups {
			g.waiting = slices.DeleteFunc(g.waiting, drop)
		}
	}
}

// Tick frees expired slots and refuses requests that have waited for too long.
func (q *Queue[G]) Tick(now time.Duration) []Decision[G] {
	for key, g := range q.grants {
		if now >= g.expiresAt {
			delete(q.grants, key)
			g.server.release(now, Unsent)
		}
	}
	var decisions []Decision[G]
	for _, s := range q.services {
		decisions = q.assign(now, s, decisions)
		s.forgetUnused(now)
	}
	return decisions
}

// forgetUnused removes groups without recent requests.
func (s *service[G]) forgetUnused(now time.Duration) {
	maps.DeleteFunc(s.clients, func(_ admitshare.Group, u *usualTime) bool { return now-u.at > unusedTime })
	s.groups = slices.DeleteFunc(s.groups, func(g *group[G]) bool { return len(g.waiting) == 0 && s.clients[g.Group] == nil })
}

// assign gives free slots to the requests that wait, and appends the decisions.
func (q *Queue[G]) assign(now time.Duration, s *service[G], decisions []Decision[G]) []Decision[G] {
	for _, g := range s.groups {
		decisions = refuseOverdue(now, g, decisions)
		for i := 0; i < len(g.waiting); {
			w := g.waiting[i]
			to := s.pool.choose(now, w.request)
			if to == nil && len(w.request.Avoid) == 0 {
				break // the others of the group may use no other servers
			}
			if to == nil {
				i++
				continue
			}
			g.waiting = slices.Delete(g.waiting, i, i+1)
			key := requestKey[G]{w.gateway, w.request.ID}
			if q.grants[key] != nil { // a faulty gateway used the number twice
				decisions = append(decisions, Decision[G]{w.gateway, Answer{ID: w.request.ID}})
				continue
			}
			to.granted++
			q.grants[key] = &grant{
				service: w.request.Service, server: to, at: now, expiresAt: now + millis(w.request.DeadlineMillis) + grantSlack,
			}
			decisions = append(decisions, Decision[G]{w.gateway, Answer{ID: w.request.ID, ServerID: to.ID, StartMillis: to.StartMillis}})
		}
	}
	s.pool.noteWaiting(now, s.waiting() > 0)
	return decisions
}

// refuseOverdue refuses the requests of a group that have waited for too long.
func refuseOverdue[G comparable](now time.Duration, g *group[G], decisions []Decision[G]) []Decision[G] {
	g.waiting = slices.DeleteFunc(g.waiting, func(w waiter[G]) bool {
		if now <= w.refuseAt { // one that can't wait at all may still find a free slot
			return false
		}
		decisions = append(decisions, Decision[G]{w.gateway, Answer{ID: w.request.ID, Refused: true}})
		return true
	})
	return decisions
}

func groupOf(r Request) admitshare.Group {
	return admitshare.Group{Service: r.Service, Regions: r.Regions, Priority: r.Priority}
}

// group returns the group of a service, and adds it if it is new.
func (s *service[G]) group(name admitshare.Group, late bool) *group[G] {
	for _, g := range s.groups {
		if g.Group == name && g.late == late {
			return g
		}
	}
	added := &group[G]{Group: name, late: late}
	s.groups = append(s.groups, added)
	slices.SortFunc(s.groups, func(a, b *group[G]) int {
		return cmp.Or(
			cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.lateness(), b.lateness()),
			cmp.Compare(a.Breadth(), b.Breadth()), cmp.Compare(a.Regions, b.Regions),
		)
	})
	return added
}

// lateness orders groups: requests that can still meet their target are served first.
func (g *group[G]) lateness() int {
	if g.late {
		return 1
	}
	return 0
}

// untilTarget returns the time left until a request's latency target. The gateway counts the target from the arrival of the
// request, but the client from its first attempt: a client that returns has less time left until its deadline than others. The
// time between target and deadline shows that, without the time that the request has spent at the gateway.
func (s *service[G]) untilTarget(now time.Duration, r Request) time.Duration {
	beyondTarget := millis(r.DeadlineMillis - r.TargetMillis)
	clients := s.clients[groupOf(r)]
	if clients == nil {
		clients = &usualTime{longest: beyondTarget, at: now}
		s.clients[groupOf(r)] = clients
	}
	return millis(r.TargetMillis) - clients.elapsed(now, beyondTarget)
}

// waiting returns the number of requests that wait.
func (s *service[G]) waiting() int {
	n := 0
	for _, g := range s.groups {
		n += len(g.waiting)
	}
	return n
}

// expectedWait returns how long a new request of a group is expected to wait for a slot: until those that wait and are
// served before it have one, and those that arrive meanwhile and are served before it, too. Groups that may use none of its
// servers don't count, and others only with what their own servers can run.
func (s *service[G]) expectedWait(now time.Duration, of *group[G]) time.Duration {
	ahead, arrivals := 0, 0.0
	for _, g := range s.groups {
		if !s.pool.share(g.Group, of.Group) {
			continue
		}
		ahead += len(g.waiting)
		if g == of {
			break
		}
		arrivals += min(g.arrivals.perSecond(now), s.pool.throughput(now, g.Group))
	}
	if ahead == 0 {
		return 0
	}
	rate := s.pool.throughput(now, of.Group) - arrivals
	if rate <= 0 {
		return math.MaxInt64
	}
	return time.Duration(min(float64(ahead)/rate*float64(time.Second), math.MaxInt64/2))
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
