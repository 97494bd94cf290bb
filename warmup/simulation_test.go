package warmup

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/galenalug/galenalug/ratelimit"
)

const (
	simStep    = time.Millisecond
	simMaxWait = 330 * time.Millisecond // for which a request waits for a token
	simPoll    = 20 * time.Millisecond  // interval between asks of one gateway
)

// simulation is a number of cold servers, gateways and leaders, in virtual time.
type simulation struct {
	rng       *rand.Rand
	now       time.Duration
	perSecond float64
	gateways  []*simGateway
	issuer    *Issuer
	leaderAt  time.Duration     // from when on there is a leader
	late      time.Duration     // most by which links delay at present
	arrivals  [][]time.Duration // by server
}

type simGateway struct {
	cutOff  bool
	delay   time.Duration // one way, to the leader
	servers []simServer
}

// simServer is one gateway's state of one server.
type simServer struct {
	holder           Holder
	waiting          []time.Duration
	asking           bool
	askedAt, replyAt time.Duration
	wanted           int64
	grant            ratelimit.Grant
}

func newSimulation(gateways, servers int, perSecond float64) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(uint64(gateways), uint64(servers))), now: time.Second, perSecond: perSecond,
		issuer: NewIssuer(), arrivals: make([][]time.Duration, servers),
	}
	for i := range gateways {
		s.gateways = append(s.gateways, &simGateway{delay: time.Duration(1+i%20) * time.Millisecond, servers: make([]simServer, servers)})
	}
	return s
}

// run lets requests arrive for each server at the given rate, requests a second over all gateways.
func (s *simulation) run(d time.Duration, demand float64) {
	for end := s.now + d; s.now < end; s.now += simStep {
		for _, g := range s.gateways {
			for id := range g.servers {
				if s.rng.Float64() < demand*simStep.Seconds()/float64(len(s.gateways)) {
					g.servers[id].waiting = append(g.servers[id].waiting, s.now)
				}
				s.step(g, id)
			}
		}
	}
}

func (s *simulation) step(g *simGateway, id int) {
	b := &g.servers[id]
	hasLeader := s.now >= s.leaderAt && !g.cutOff
	if !hasLeader {
		b.asking = false
		b.holder.WithoutLeader(s.now, s.perSecond, int64(len(s.gateways)), s.rng.Float64())
	}
	if b.asking && s.now >= b.replyAt {
		b.asking = false
		b.holder.Granted(s.now, b.askedAt, b.wanted, b.grant)
	}
	for len(b.waiting) > 0 && (s.now-b.waiting[0] > simMaxWait || b.holder.Wait(s.now, len(b.waiting)-1) > simMaxWait) {
		b.waiting = b.waiting[1:] // refused
	}
	for len(b.waiting) > 0 {
		sendBefore, ok := b.holder.Take(s.now)
		if !ok {
			break
		}
		b.waiting = b.waiting[1:]
		// Opening a connection may take long; what the network delays after the check is not controlled.
		if sentAt := s.now + s.delayed(); sentAt < sendBefore {
			s.arrivals[id] = append(s.arrivals[id], sentAt+time.Duration(s.rng.Int64N(int64(50*time.Millisecond))))
		}
	}
	if len(b.waiting) > 0 && !b.asking && hasLeader && s.now-b.askedAt >= simPoll {
		oneWay := g.delay + s.delayed()
		b.asking, b.askedAt, b.replyAt, b.wanted = true, s.now, s.now+2*oneWay, int64(len(b.waiting))
		b.grant = s.issuer.Issue(s.now+oneWay, fmt.Sprint(id), s.perSecond, b.wanted)
	}
}

// delayed returns how much longer than usual a message takes.
func (s *simulation) delayed() time.Duration {
	if s.late == 0 {
		return 0
	}
	return time.Duration(s.rng.Int64N(int64(s.late)))
}

// cutOff lets every n-th gateway lose the leader, or none if n is 0.
func (s *simulation) cutOff(n int) {
	for i, g := range s.gateways {
		g.cutOff = n > 0 && i%n == 0
	}
}

// loseLeader replaces the leader by one that knows nothing, after a time without any.
func (s *simulation) loseLeader(outage time.Duration) {
	s.issuer, s.leaderAt = NewIssuer(), s.now+outage
}

// check fails the test if a server gets more in any second than the rule allows.
func (s *simulation) check(t *testing.T) {
	t.Helper()
	allowed := 1.5*s.perSecond + 8
	for id, arrivals := range s.arrivals {
		slices.Sort(arrivals)
		first := 0
		for last, at := range arrivals {
			for arrivals[first] <= at-time.Second {
				first++
			}
			if got := last - first + 1; float64(got) > allowed {
				t.Fatalf("server %d got %d requests in the second before %s, allowed %.1f", id, got, at, allowed)
			}
		}
	}
}

// Guards against gateways that together exceed what a cold server takes in some second: links that delay, parts
// of the gateways without a leader that the others have, changes of the leader, demand after a lull, and many
// servers that are cold at once.
func TestGatewaysTogetherKeepRateOfColdServers(t *testing.T) {
	for _, gateways := range []int{1, 10, 59, 120} {
		for _, perSecond := range []float64{0.5, 5.5, 120} {
			t.Run(fmt.Sprintf("%d gateways, %g a second", gateways, perSecond), func(t *testing.T) {
				t.Parallel()
				s := newSimulation(gateways, 6, perSecond)
				for _, late := range []time.Duration{0, 300 * time.Millisecond} {
					s.late = late
					s.run(2*time.Second, 20*perSecond)
					for _, part := range []int{2, 3, 1} {
						s.cutOff(part)
						s.run(2*time.Second, 0)
						s.run(3*time.Second, 20*perSecond)
					}
					s.cutOff(0)
					for range 3 { // leaders that follow each other
						s.loseLeader(300 * time.Millisecond)
						s.run(time.Second, 10*perSecond)
					}
				}
				s.check(t)
			})
		}
	}
}

// Guards against a limit that is kept by sending cold servers far less than they take.
func TestColdServersAreUsed(t *testing.T) {
	for _, gateways := range []int{1, 59, 120} {
		s := newSimulation(gateways, 3, 5.5)
		s.run(10*time.Second, 11)
		for id, arrivals := range s.arrivals {
			if got := float64(len(arrivals)) / 10; got < 0.65*s.perSecond {
				t.Errorf("%d gateways: %.2f requests a second for server %d, which takes %g", gateways, got, id, s.perSecond)
			}
		}
	}
}
