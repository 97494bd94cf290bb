package slotqueue

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/galenalug/galenalug/admitshare"
	"github.com/galenalug/galenalug/dispatch"
)

const (
	// queuedPart is the number of requests, as a part of a server's slots, that may wait at it. They keep its slots busy
	// while the work of requests varies.
	queuedPart = 0.25
	// estimateWeight is the weight of a new value in the averages of work and of the time on the way.
	estimateWeight = 0.02
	// maxOverheadWorks bounds the time on the way that is allowed for, as a multiple of the work.
	maxOverheadWorks = 1.0
	// minThroughputPart is the least throughput that is assumed, as a part of what slots and speeds say.
	minThroughputPart = 0.25
	// equalPart is the difference of expected finish, as a part of the work, up to which the nearer server is chosen.
	equalPart = 0.1
	// grantedPart is added to the expected finish if all slots of a server are granted, as a part of the work, so that the
	// least loaded one of several equal servers is chosen.
	grantedPart = 0.1
)

// Server is a server that may get requests.
type Server struct {
	ID          string
	StartMillis int64 // start of its process, Unix milliseconds
	Domain      string
	Region      string
	Slots       int64
	Speed       float64 // relative to the mean of the service
}

// server is the state of a server.
type server struct {
	Server
	granted  int // requests that have a slot
	listed   bool
	backoff  dispatch.Backoff
	failures dispatch.Failures
}

// pool is the servers of a service, and what is known of its requests.
type pool struct {
	servers  []*server     // listed, or with requests, by ID
	work     time.Duration // mean of a request, at speed 1
	overhead time.Duration // mean of the time that a request has a slot and is not at the server
	served   decayed       // requests that were served
	busy     bool          // requests wait
	// busySince is the time since when requests wait without a pause.
	busySince time.Duration
}

// set lists the given servers. A server that has started again has no requests.
func (p *pool) set(servers []Server) {
	kept := make([]*server, 0, len(servers))
	for _, s := range p.servers {
		if s.listed = false; s.granted > 0 {
			kept = append(kept, s)
		}
	}
	known := p.servers
	for _, listed := range servers {
		listed.Slots = max(listed.Slots, 1)
		if math.IsNaN(listed.Speed) || math.IsInf(listed.Speed, 0) || listed.Speed <= 0 {
			listed.Speed = 1
		}
		i := slices.IndexFunc(known, func(s *server) bool { return s.ID == listed.ID && s.StartMillis == listed.StartMillis })
		switch {
		case i < 0:
			kept = append(kept, &server{Server: listed, listed: true})
		case known[i].granted > 0:
			known[i].Server, known[i].listed = listed, true
		default:
			known[i].Server, known[i].listed = listed, true
			kept = append(kept, known[i])
		}
	}
	slices.SortFunc(kept, func(a, b *server) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.StartMillis, b.StartMillis))
	})
	p.servers = kept
}

// outstanding returns the number of requests that have a slot.
func (p *pool) outstanding() int {
	n := 0
	for _, s := range p.servers {
		n += s.granted
	}
	return n
}

// release frees a slot of the server.
func (s *server) release(now time.Duration, outcome Outcome) {
	s.granted = max(s.granted-1, 0)
	switch outcome {
	case Served:
		s.backoff.Answered()
		s.failures.Answered()
	case Refused:
		s.backoff.Refused(now)
	case Failed:
		s.failures.Failed(now)
	}
}

// choose returns the server that finishes a request first, or nil if none has a free slot. Among servers that finish at about
// the same time it prefers one in the gateway's failure domain. Servers that are to be avoided are chosen only if the request may
// use no others.
func (p *pool) choose(now time.Duration, r Request) *server {
	group := groupOf(r)
	var best *server
	bestFinish := math.Inf(1)
	onlyAvoided := !slices.ContainsFunc(p.servers, func(s *server) bool {
		return s.usable(now, group) && !slices.Contains(r.Avoid, s.ID)
	})
	for _, s := range p.servers {
		if !s.usable(now, group) || !onlyAvoided && slices.Contains(r.Avoid, s.ID) || float64(s.granted) >= p.limit(s) {
			continue
		}
		finish := p.finish(s)
		if s.Domain != r.Domain {
			finish += equalPart * float64(p.work)
		}
		if finish < bestFinish {
			best, bestFinish = s, finish
		}
	}
	return best
}

// usable reports whether a server may get requests of a group now.
func (s *server) usable(now time.Duration, group admitshare.Group) bool {
	return s.listed && group.Allows(s.Region) && !s.backoff.Active(now) && !s.failures.Active(now)
}

// serves reports whether a listed server may get requests of a group.
func (p *pool) serves(group admitshare.Group) bool { return p.share(group, group) }

// share reports whether a listed server may get requests of both groups.
func (p *pool) share(a, b admitshare.Group) bool {
	return slices.ContainsFunc(p.servers, func(s *server) bool { return s.listed && a.Allows(s.Region) && b.Allows(s.Region) })
}

// rate returns the requests that a server can run per second.
func (p *pool) rate(s *server) float64 {
	return float64(s.Slots) * s.Speed / max(p.work, time.Microsecond).Seconds()
}

// limit returns the number of requests that may have a slot of a server: those that run, those on their way to the server
// and back, and a few that wait there.
func (p *pool) limit(s *server) float64 {
	return float64(s.Slots)*(1+queuedPart) + p.rate(s)*p.overhead.Seconds()
}

// finish returns the expected time until a server has run one more request, in nanoseconds.
func (p *pool) finish(s *server) float64 {
	rate := p.rate(s)
	atServer := float64(s.granted) - rate*p.overhead.Seconds()
	wait := max(atServer-float64(s.Slots)+1, 0) / rate * float64(time.Second)
	return wait + float64(p.work)/s.Speed + grantedPart*float64(p.work)*float64(s.granted)/float64(s.Slots)
}

// observeWork records the expected work of a request.
func (p *pool) observeWork(work time.Duration) { p.work = average(p.work, work) }

// observeServed records that a request was served. It had its slot for held, and was at the server for part of that time.
func (p *pool) observeServed(now, held, atServer time.Duration) {
	p.served.add(now)
	if atServer <= 0 || atServer > held {
		return
	}
	p.overhead = min(average(p.overhead, held-atServer), time.Duration(maxOverheadWorks*float64(p.work)))
}

func average(mean, value time.Duration) time.Duration {
	if mean == 0 {
		return value
	}
	return mean + time.Duration(estimateWeight*float64(value-mean))
}

// noteWaiting records whether requests wait.
func (p *pool) noteWaiting(now time.Duration, waiting bool) {
	if waiting && !p.busy {
		p.busySince = now
	}
	p.busy = waiting
}

// throughput returns the requests that the servers a group may use serve per second. What was measured counts while
// requests wait: it shows what slots and speeds don't, as other work on the servers' hosts.
func (p *pool) throughput(now time.Duration, group admitshare.Group) float64 {
	possible, all := 0.0, 0.0
	for _, s := range p.servers {
		if s.listed {
			all += p.rate(s)
			if s.usable(now, group) {
				possible += p.rate(s)
			}
		}
	}
	if !p.busy || now-p.busySince < rateTime || all == 0 {
		return possible
	}
	measured := p.served.perSecond(now) * possible / all
	return min(max(measured, minThroughputPart*possible), possible)
}

// needed returns the time that a request takes once it has a slot.
func (p *pool) needed(r Request) time.Duration { return micros(r.WorkMicros) + p.overhead }

// patience returns how long a request may be expected to wait.
func (p *pool) patience(r Request, untilTarget time.Duration) time.Duration {
	if slack := untilTarget - p.needed(r); slack > 0 {
		return time.Duration(targetWaitPart * float64(slack))
	}
	return time.Duration(lateWaitPart * float64(max(millis(r.DeadlineMillis)-p.needed(r), 0)))
}
