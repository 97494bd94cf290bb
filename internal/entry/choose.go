package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/galenalug/galenalug/admission"
	"github.com/galenalug/galenalug/choice"
	"github.com/galenalug/galenalug/internal/forward"
	"github.com/galenalug/galenalug/internal/wire"
)

const (
	// rampUpPeriod is the session age at which a new server counts with its full capacity.
	rampUpPeriod = 10 * time.Second
	// suspectFailures is the number of consecutive failures after which a server is suspected. It then
	// gets only an occasional request, which probes it.
	suspectFailures = 3
)

// choosers selects servers for services that are not partitioned by key. No other lock is acquired
// while mu is held.
type choosers struct {
	region string

	mu     sync.Mutex // guards the fields below
	random *rand.Rand
	byKind map[chooserKey]*chooser
	lastID uint64
}

// chooserKey identifies a chooser. Uploads have choosers of their own, because their latency depends
// mainly on their size.
type chooserKey struct {
	service string
	bulk    bool
}

// chooser is a choice.Chooser with the state of the servers it has been given.
type chooser struct {
	choice  *choice.Chooser
	servers map[sessionKey]*serverState
}

type serverState struct {
	id       uint64 // unique within the process
	failures int    // consecutive
}

func newChoosers(region string, random *rand.Rand) *choosers {
	return &choosers{region: region, random: random, byKind: map[chooserKey]*chooser{}}
}

func chooserKeyFor(in *inboundRequest) chooserKey {
	return chooserKey{service: in.service, bulk: in.class == admission.Upload}
}

// chooserFor returns the chooser for a kind of request. The caller holds mu.
func (c *choosers) chooserFor(kind chooserKey) *chooser {
	found := c.byKind[kind]
	if found == nil {
		found = &chooser{choice: choice.New(choice.DefaultSettings(c.region)), servers: map[sessionKey]*serverState{}}
		c.byKind[kind] = found
	}
	return found
}

// choose returns the index of the server for a request, or -1 if there are no servers. The request
// counts as outstanding at that server until attemptFinished is called. Suspected servers are probed
// only with repeatable requests, unless all servers are suspected.
func (c *choosers) choose(now time.Duration, in *inboundRequest, servers []Server) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch := c.chooserFor(chooserKeyFor(in))
	var candidates []choice.Candidate
	var indexes []int
	trusted := false
	for i, server := range servers {
		candidate := c.candidate(ch, server, in.arrived)
		candidates = append(candidates, candidate)
		indexes = append(indexes, i)
		trusted = trusted || !candidate.Suspect
	}
	if trusted && !in.repeatable {
		candidates, indexes = withoutSuspects(candidates, indexes)
	}
	picked, ok := ch.choice.Pick(now, candidates, c.random)
	if !ok {
		return -1
	}
	ch.choice.Started(now, candidates[picked].ID)
	return indexes[picked]
}

func withoutSuspects(candidates []choice.Candidate, indexes []int) ([]choice.Candidate, []int) {
	var kept []choice.Candidate
	var keptIndexes []int
	for i, candidate := range candidates {
		if !candidate.Suspect {
			kept = append(kept, candidate)
			keptIndexes = append(keptIndexes, indexes[i])
		}
	}
	return kept, keptIndexes
}

// candidate returns the server as a candidate for ch. The caller holds mu.
func (c *choosers) candidate(ch *chooser, server Server, at time.Time) choice.Candidate {
	key := sessionKeyOf(server)
	state := ch.servers[key]
	if state == nil {
		c.lastID++
		state = &serverState{id: c.lastID}
		ch.servers[key] = state
	}
	candidate := choice.Candidate{
		ID:       state.id,
		Region:   server.Region,
		Capacity: float64(server.Slots),
		Suspect:  state.failures >= suspectFailures,
	}
	if !server.JoinedAt.IsZero() {
		candidate.Age, candidate.RampUp = max(0, at.Sub(server.JoinedAt)), rampUpPeriod
	}
	return candidate
}

// serverSignal is what the end of an attempt shows about the server.
type serverSignal int

const (
	signalNone       serverSignal = iota // nothing: the request ended for other reasons
	signalAnswered                       // the server answered
	signalOverloaded                     // the server is overloaded or draining
	signalFailed                         // the server or its connection failed
)

// attemptFinished records the end of a request that choose counted as outstanding.
func (c *choosers) attemptFinished(
	now time.Duration, in *inboundRequest, server Server, latency time.Duration, signal serverSignal,
) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch := c.chooserFor(chooserKeyFor(in))
	state := ch.servers[sessionKeyOf(server)]
	if state == nil {
		return // the session ended
	}
	switch signal {
	case signalAnswered:
		state.failures = 0
	case signalFailed:
		state.failures++
	}
	ch.choice.Finished(now, state.id, latency, signal == signalNone || signal == signalAnswered)
}

// services returns the services that have choosers. A service with two choosers is listed twice.
func (c *choosers) services() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var services []string
	for kind := range c.byKind {
		services = append(services, kind.service)
	}
	return services
}

// retainServers drops the state of all servers of a service except the given ones.
func (c *choosers) retainServers(service string, servers []Server) {
	live := map[sessionKey]bool{}
	for _, server := range servers {
		live[sessionKeyOf(server)] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for kind, ch := range c.byKind {
		if kind.service != service {
			continue
		}
		for key, state := range ch.servers {
			if !live[key] {
				ch.choice.Remove(state.id)
				delete(ch.servers, key)
			}
		}
		if len(ch.servers) == 0 {
			delete(c.byKind, kind)
		}
	}
}

// signalForFailure returns what the reason of a failed attempt shows about the server.
func signalForFailure(reason string) serverSignal {
	switch reason {
	case forward.ReasonTimeout, forward.ReasonBroken, forward.ReasonConnect:
		return signalFailed
	case wire.RefusedShedding, wire.RefusedDraining, forward.ReasonPoolFull, reasonQueueFull:
		return signalOverloaded
	default:
		return signalNone
	}
}
