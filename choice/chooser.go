package choice

import (
	"math/rand/v2"
	"time"
)

// Candidate is one server that may take the request.
type Candidate struct {
	ID       uint64
	Region   string
	Capacity float64       // requests it runs at one time
	Age      time.Duration // since its session began
	RampUp   time.Duration // age from which it counts with its whole capacity
	Suspect  bool          // health is in doubt: probing traffic only
	// ReportedLoad is the part of its capacity that the server says is in use.
	ReportedLoad float64
}

// Settings are the thresholds of Chooser.
type Settings struct {
	Region string // own region
	// Decay is the time constant with which a past latency is forgotten.
	Decay time.Duration
	// Overload is the number of own outstanding requests over capacity from
	// which a server is clearly overloaded.
	Overload float64
	// FailureLatency is the least latency that a failure counts as, so that a
	// server that fails fast does not draw requests.
	FailureLatency time.Duration
	// ProbeInterval is the time between two requests to a suspected server.
	ProbeInterval time.Duration
	// ReportWeight is the part by which a fully loaded server's report raises
	// its cost.
	ReportWeight float64
}

// Defaults of Settings, and constants that no deployment needs to set.
const (
	defaultDecay          = 2 * time.Second
	defaultOverload       = 1.5
	defaultFailureLatency = 500 * time.Millisecond
	defaultProbeInterval  = time.Second
	defaultReportWeight   = 0.1

	// initialLatency is taken for a server that has not answered yet.
	initialLatency = time.Millisecond
	// leastRamp is the part of its capacity that a server has at first.
	leastRamp = 0.1
)

// DefaultSettings returns the defaults for an entry host of a region.
func DefaultSettings(region string) Settings {
	return Settings{
		Region:         region,
		Decay:          defaultDecay,
		Overload:       defaultOverload,
		FailureLatency: defaultFailureLatency,
		ProbeInterval:  defaultProbeInterval,
		ReportWeight:   defaultReportWeight,
	}
}

// Chooser picks servers by the requests it was told of.
type Chooser struct {
	settings Settings
	seen     map[uint64]*history
}

// New returns a chooser that has seen nothing yet.
func New(settings Settings) *Chooser {
	return &Chooser{settings: settings, seen: make(map[uint64]*history)}
}

// Started notes that a request was sent to a server.
func (c *Chooser) Started(now time.Duration, id uint64) {
	c.history(id).started(now)
}

// Finished notes the end of a request that Started told of. The latency runs
// from its start. A request that failed, or whose answer is not known, is not
// ok; one that its caller gave up is to be reported as ok.
func (c *Chooser) Finished(now time.Duration, id uint64, latency time.Duration, ok bool) {
	if !ok {
		latency = max(latency, c.settings.FailureLatency)
	}
	c.history(id).finished(now, latency, c.settings.Decay)
}

// Forget drops what was seen of a server whose session ended.
func (c *Chooser) Forget(id uint64) {
	delete(c.seen, id)
}

// Outstanding returns the number of unfinished requests at a server.
func (c *Chooser) Outstanding(id uint64) int {
	if h, ok := c.seen[id]; ok {
		return h.outstanding
	}
	return 0
}

// Pick returns the index of the candidate to send a request to. The servers of
// the own region are preferred unless all of them are clearly overloaded. A
// suspected server is picked once in each ProbeInterval at most, unless all
// candidates are suspected. It returns false if there are no candidates. Whoever
// sends the request calls Started.
func (c *Chooser) Pick(now time.Duration, candidates []Candidate, random *rand.Rand) (index int, ok bool) {
	if len(candidates) == 0 {
		return 0, false
	}
	if probe, due := c.probe(now, candidates); due {
		return probe, true
	}
	trusted := func(s *Candidate) bool { return !s.Suspect }
	own := func(s *Candidate) bool { return !s.Suspect && s.Region == c.settings.Region && !c.overloaded(s) }
	for _, eligible := range []func(*Candidate) bool{own, trusted} {
		if index, ok = c.cheapest(now, candidates, eligible, random); ok {
			return index, true
		}
	}
	return c.cheapest(now, candidates, func(*Candidate) bool { return true }, random)
}

// probe returns a suspected server of the own region that is due for a request.
func (c *Chooser) probe(now time.Duration, candidates []Candidate) (int, bool) {
	for i := range candidates {
		s := &candidates[i]
		if !s.Suspect || s.Region != c.settings.Region {
			continue
		}
		h := c.history(s.ID)
		if h.probed && now-h.lastProbe < c.settings.ProbeInterval {
			continue
		}
		h.probed = true
		h.lastProbe = now
		return i, true
	}
	return 0, false
}

// cheapest returns the eligible candidate with the least cost; of equals, a
// random one, so that many entry hosts do not pick the same server.
func (c *Chooser) cheapest(now time.Duration, candidates []Candidate, eligible func(*Candidate) bool, random *rand.Rand) (int, bool) {
	best, equals := -1, 0
	var least float64
	for i := range candidates {
		if !eligible(&candidates[i]) {
			continue
		}
		cost := c.cost(now, &candidates[i])
		switch {
		case best < 0 || cost < least:
			best, least, equals = i, cost, 1
		case cost == least:
			equals++
			if random.IntN(equals) == 0 {
				best = i
			}
		}
	}
	return best, best >= 0
}

// cost is the expected time for one more request: the latency, times the
// requests outstanding with it over the capacity.
func (c *Chooser) cost(now time.Duration, s *Candidate) float64 {
	h := c.history(s.ID)
	latency := h.expected(now, c.settings.Decay).Seconds()
	queue := float64(h.outstanding+1) / effectiveCapacity(s)
	return latency * queue * (1 + c.settings.ReportWeight*min(1, max(0, s.ReportedLoad)))
}

func (c *Chooser) overloaded(s *Candidate) bool {
	return float64(c.Outstanding(s.ID)) >= c.settings.Overload*effectiveCapacity(s)
}

func (c *Chooser) history(id uint64) *history {
	h, ok := c.seen[id]
	if !ok {
		h = &history{latency: initialLatency}
		c.seen[id] = h
	}
	return h
}

// effectiveCapacity ramps a cold server's capacity up. Capacity below 1 counts
// as 1, so that costs stay finite.
func effectiveCapacity(s *Candidate) float64 {
	capacity := max(1, s.Capacity)
	if s.Age >= s.RampUp {
		return capacity
	}
	return capacity * max(leastRamp, float64(s.Age)/float64(s.RampUp))
}
