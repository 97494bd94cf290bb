package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// simulation is a server with a limit, a leader and gateways, in virtual time.
type simulation struct {
	rng      *rand.Rand
	now      time.Duration
	limit    func(now time.Duration) float64
	gateways []*simGateway
	issuer   *Issuer
	leaderAt time.Duration // from when on there is a leader
	arrivals []time.Duration
}

type simGateway struct {
	holder  Holder
	delay   time.Duration // one way, to the leader
	waiting []time.Duration
	asking  bool
	replyAt time.Duration
	askedAt time.Duration
	wanted  int64
	grant   Grant
}

const (
	simStep    = time.Millisecond
	simMaxWait = 400 * time.Millisecond // for which a request waits for a token
)

func newSimulation(seed uint64, gateways int, limit func(time.Duration) float64) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), limit: limit, issuer: NewIssuer(), now: time.Second}
	for i := range gateways {
		s.gateways = append(s.gateways, &simGateway{delay: time.Duration(1+i%20) * time.Millisecond})
	}
	return s
}

// loseLeader replaces the leader by one that knows nothing, after a time without any.
func (s *simulation) loseLeader(outage time.Duration) {
	s.issuer, s.leaderAt = NewIssuer(), s.now+outage
}

// run lets requests arrive at the given rate, requests a second over all gateways.
func (s *simulation) run(d time.Duration, demand float64) {
	for end := s.now + d; s.now < end; s.now += simStep {
		for _, g := range s.gateways {
			if s.rng.Float64() < demand*simStep.Seconds()/float64(len(s.gateways)) {
				g.waiting = append(g.waiting, s.now)
			}
			s.step(g)
		}
	}
}

func (s *simulation) step(g *simGateway) {
	if s.now < s.leaderAt {
		g.asking = false
		g.holder.WithoutLeader(s.now, s.limit(s.now), int64(len(s.gateways)))
	}
	if g.asking && s.now >= g.replyAt {
		g.asking = false
		g.holder.Granted(s.now, g.askedAt, g.wanted, g.grant)
	}
	for len(g.waiting) > 0 && (s.now-g.waiting[0] > simMaxWait || g.holder.Wait(s.now, len(g.waiting)-1) > simMaxWait) {
		g.waiting = g.waiting[1:] // refused
	}
	for len(g.waiting) > 0 && g.holder.Take(s.now) {
		g.waiting = g.waiting[1:]
		s.arrivals = append(s.arrivals, s.now)
	}
	if len(g.waiting) > 0 && !g.asking && s.now >= s.leaderAt && s.now-g.askedAt >= 20*time.Millisecond {
		g.asking, g.askedAt, g.replyAt, g.wanted = true, s.now, s.now+2*g.delay, int64(len(g.waiting))
		g.grant = s.issuer.Issue(s.now+g.delay, Demand{ServerID: "s", PerSecond: s.limit(s.now), Wanted: g.wanted})
	}
}

// check fails the test if a span of 4 s has more requests than the target allows: one and a half times
// the limit, plus 5. The largest limit of the span counts.
func (s *simulation) check(t *testing.T) {
	t.Helper()
	const span = 4 * time.Second
	first := 0
	for last, at := range s.arrivals {
		for s.arrivals[first] <= at-span {
			first++
		}
		limit := 0.0
		for when := at - span; when <= at; when += 100 * time.Millisecond {
			limit = max(limit, s.limit(when))
		}
		if got, allowed := last-first+1, 1.5*limit*span.Seconds()+5; float64(got) > allowed {
			t.Fatalf("%d requests in the 4 s before %s, allowed %.1f", got, at, allowed)
		}
	}
}

// Guards against gateways that together exceed a server's limit although each keeps a part of it:
// many gateways and a small limit, bursts after a lull, changes of the leader, a falling limit.
func TestGatewaysTogetherKeepLimit(t *testing.T) {
	for _, gateways := range []int{1, 8, 10, 80} {
		for _, perSecond := range []float64{0.5, 1, 5.5, 20, 120} {
			t.Run(fmt.Sprintf("%d gateways, %g a second", gateways, perSecond), func(t *testing.T) {
				s := newSimulation(uint64(gateways), gateways, func(now time.Duration) float64 {
					if now > 30*time.Second {
						return perSecond / 2
					}
					return perSecond
				})
				s.run(4*time.Second, 3*perSecond)
				s.run(4*time.Second, 0)
				s.run(4*time.Second, 20*perSecond)
				for range 3 { // leaders that follow each other
					s.loseLeader(time.Second)
					s.run(2*time.Second, 4*perSecond)
				}
				s.run(3*time.Second, 0.3*perSecond)
				s.run(20*time.Second, 3*perSecond)
				s.check(t)
			})
		}
	}
}

// Guards against a limit that is kept by serving far less than it allows.
func TestLimitIsUsed(t *testing.T) {
	for _, gateways := range []int{1, 10, 80} {
		for _, perSecond := range []float64{1, 5.5, 120} {
			s := newSimulation(7, gateways, func(time.Duration) float64 { return perSecond })
			s.run(10*time.Second, 2*perSecond)
			before := len(s.arrivals)
			s.run(20*time.Second, 2*perSecond)
			if got := float64(len(s.arrivals)-before) / 20; got < 0.8*perSecond {
				t.Errorf("%d gateways: %.2f requests a second at a limit of %g", gateways, got, perSecond)
			}
		}
	}
}

// Guards against tokens that all go to requests that are not urgent.
func TestUrgentRequestsTakeTokensInAdvance(t *testing.T) {
	i := NewIssuer()
	demand := func(wanted, urgent int64) Demand {
		return Demand{ServerID: "s", PerSecond: 10, Wanted: wanted, Urgent: urgent}
	}
	if g := i.Issue(time.Second, demand(3, 0)); g.Tokens != 1 || g.WaitMillis == 0 {
		t.Fatalf("first demand: %+v, want 1 token and a wait", g)
	}
	if g := i.Issue(time.Second, demand(3, 3)); g.Tokens != 2 {
		t.Fatalf("urgent demand: %+v, want 2 tokens in advance", g)
	}
	if g := i.Issue(time.Second+200*time.Millisecond, demand(1, 0)); g.Tokens != 0 {
		t.Fatalf("demand while overdrawn: %+v, want none", g)
	}
}
