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
	// coldRamp is the age from which a new server counts with its whole capacity.
	coldRamp = 10 * time.Second
	// suspectAfter is the number of failures in a row from which a server gets
	// probing traffic only.
	suspectAfter = 3
)

// choosers picks servers of services that are not divided by key. Its lock is a
// leaf.
type choosers struct {
	region string

	mu     sync.Mutex // guards the fields below
	random *rand.Rand
	byKind map[chooserKey]*chooser
	lastID uint64
}

// chooserKey keeps uploads apart, since their latency is that of their size.
type chooserKey struct {
	service string
	bulk    bool
}

// chooser is a choice.Chooser with the servers that it was told of.
type chooser struct {
	choice  *choice.Chooser
	servers map[gateKey]*chosenServer
}

type chosenServer struct {
	id       uint64 // within the process
	failures int    // in a row
}

func newChoosers(region string, random *rand.Rand) *choosers {
	return &choosers{region: region, random: random, byKind: map[chooserKey]*chooser{}}
}

func chooserOf(in *input) chooserKey {
	return chooserKey{service: in.service, bulk: in.class == admission.Upload}
}

// of returns the chooser of a kind of requests. The caller holds mu.
func (c *choosers) of(kind chooserKey) *chooser {
	found := c.byKind[kind]
	if found == nil {
		found = &chooser{choice: choice.New(choice.DefaultSettings(c.region)), servers: map[gateKey]*chosenServer{}}
		c.byKind[kind] = found
	}
	return found
}

// choose returns the index of the server for a request, and counts the request
// as outstanding there until finished is called. It returns -1 without servers.
// A suspected server is probed with requests that may be repeated only.
func (c *choosers) choose(now time.Duration, in *input, servers []Server) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	own := c.of(chooserOf(in))
	var candidates []choice.Candidate
	var indexes []int
	trusted := false
	for i, server := range servers {
		candidate := c.candidate(own, server, in.arrived)
		candidates = append(candidates, candidate)
		indexes = append(indexes, i)
		trusted = trusted || !candidate.Suspect
	}
	if trusted && !in.repeatable {
		candidates, indexes = withoutSuspects(candidates, indexes)
	}
	picked, ok := own.choice.Pick(now, candidates, c.random)
	if !ok {
		return -1
	}
	own.choice.Started(now, candidates[picked].ID)
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

// candidate describes a server. The caller holds mu.
func (c *choosers) candidate(own *chooser, server Server, at time.Time) choice.Candidate {
	key := keyOf(server)
	known := own.servers[key]
	if known == nil {
		c.lastID++
		known = &chosenServer{id: c.lastID}
		own.servers[key] = known
	}
	candidate := choice.Candidate{
		ID:       known.id,
		Region:   server.Region,
		Capacity: float64(server.Slots),
		Suspect:  known.failures >= suspectAfter,
	}
	if !server.JoinedAt.IsZero() {
		candidate.Age, candidate.RampUp = max(0, at.Sub(server.JoinedAt)), coldRamp
	}
	return candidate
}

// serverBlame is what the end of an attempt says of the server.
type serverBlame int

const (
	blameNone   serverBlame = iota // the request ended for other reasons
	blamePraise                    // the server answered
	blameBusy                      // the server has too much to do
	blameFault                     // the server or its connection failed
)

// finished ends what choose began.
func (c *choosers) finished(now time.Duration, in *input, server Server, latency time.Duration, blame serverBlame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	own := c.of(chooserOf(in))
	known := own.servers[keyOf(server)]
	if known == nil {
		return // its session ended
	}
	switch blame {
	case blamePraise:
		known.failures = 0
	case blameFault:
		known.failures++
	}
	own.choice.Finished(now, known.id, latency, blame == blameNone || blame == blamePraise)
}

// services returns the services that servers were chosen for.
func (c *choosers) services() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var services []string
	for kind := range c.byKind {
		services = append(services, kind.service)
	}
	return services
}

// keep forgets the servers of a service that are not among the given ones.
func (c *choosers) keep(service string, servers []Server) {
	live := map[gateKey]bool{}
	for _, server := range servers {
		live[keyOf(server)] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for kind, own := range c.byKind {
		if kind.service != service {
			continue
		}
		for key, known := range own.servers {
			if !live[key] {
				own.choice.Forget(known.id)
				delete(own.servers, key)
			}
		}
		if len(own.servers) == 0 {
			delete(c.byKind, kind)
		}
	}
}

// blameFor judges a failed attempt.
func blameFor(reason string) serverBlame {
	switch reason {
	case forward.ReasonTimeout, forward.ReasonBroken, forward.ReasonConnect:
		return blameFault
	case wire.RefusedShedding, wire.RefusedDraining, forward.ReasonPoolFull, reasonQueueFull:
		return blameBusy
	default:
		return blameNone
	}
}
