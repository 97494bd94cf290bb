package choice

import (
	"math/rand/v2"
	"time"
)

// Candidate is a server that may receive the request.
type Candidate struct {
	ID       uint64
	Region   string
	Capacity float64       // number of requests it runs concurrently
	Age      time.Duration // time since its session began
	RampUp   time.Duration // age at which it reaches its full capacity
	Suspect  bool          // suspected to have failed; see Chooser.Pick
	// ReportedLoad is the fraction of its capacity that the server reports as used.
	ReportedLoad float64
}

// Settings are the thresholds of Chooser.
type Settings struct {
	Region string // region of this entry host
	// Decay is the time constant with which past latencies decay.
	Decay time.Duration
	// OverloadRatio is the ratio of this host's outstanding requests to a server's capacity from
	// which the server counts as overloaded.
	OverloadRatio float64
	// FailureLatency is the minimum latency recorded for a failure, so that a server that fails fast
	// does not attract requests.
	FailureLatency time.Duration
	// ProbeInterval is the minimum time between two requests to a suspected server.
	ProbeInterval time.Duration
	// ReportWeight is the relative increase in cost of a server that reports full load.
	ReportWeight float64
}

// Defaults of Settings, and constants that deployments do not need to change.
const (
	defaultDecay          = 2 * time.Second
	defaultOverloadRatio  = 1.5
	defaultFailureLatency = 500 * time.Millisecond
	defaultProbeInterval  = time.Second
	defaultReportWeight   = 0.1

	// initialLatency is assumed for a server that has not responded yet.
	initialLatency = time.Millisecond
	// minRampFactor is the fraction of its capacity that a server has when its session begins.
	minRampFactor = 0.1
)

// DefaultSettings returns the default settings for an entry host of the given region.
func DefaultSettings(region string) Settings {
	return Settings{
		Region:         region,
		Decay:          defaultDecay,
		OverloadRatio:  defaultOverloadRatio,
		FailureLatency: defaultFailureLatency,
		ProbeInterval:  defaultProbeInterval,
		ReportWeight:   defaultReportWeight,
	}
}

// Chooser selects servers based on the requests reported to it by Started and Finished.
type Chooser struct {
	settings  Settings
	histories map[uint64]*history // by server ID
}

// New returns a chooser without any history.
func New(settings Settings) *Chooser {
	return &Chooser{settings: settings, histories: make(map[uint64]*history)}
}

// Started records that a request was sent to a server.
func (c *Chooser) Started(now time.Duration, id uint64) {
	c.history(id).recordStart(now)
}

// Finished records the end of a request that Started recorded. The latency is measured from its
// start. ok is false if the request failed or its outcome is unknown. A request that was canceled by
// its caller must be reported as ok.
func (c *Chooser) Finished(now time.Duration, id uint64, latency time.Duration, ok bool) {
	if !ok {
		latency = max(latency, c.settings.FailureLatency)
	}
	c.history(id).recordEnd(now, latency, c.settings.Decay)
}

// Remove deletes the history of a server whose session has ended.
func (c *Chooser) Remove(id uint64) {
	delete(c.histories, id)
}

// Outstanding returns the number of unfinished requests at a server.
func (c *Chooser) Outstanding(id uint64) int {
	if h, ok := c.histories[id]; ok {
		return h.outstanding
	}
	return 0
}

// Pick returns the index of the candidate to send a request to. Servers of the host's own region are
// preferred unless all of them are overloaded. A suspected server of the own region is picked at most
// once per ProbeInterval, as a probe; other than that, suspected servers are picked only if all
// candidates are suspected. Pick returns false if there are no candidates. The caller must call Started
// when it sends the request.
func (c *Chooser) Pick(now time.Duration, candidates []Candidate, random *rand.Rand) (index int, ok bool) {
	if len(candidates) == 0 {
		return 0, false
	}
	if probe, due := c.dueProbe(now, candidates); due {
		return probe, true
	}
	trusted := func(s *Candidate) bool { return !s.Suspect }
	local := func(s *Candidate) bool { return !s.Suspect && s.Region == c.settings.Region && !c.overloaded(s) }
	for _, eligible := range []func(*Candidate) bool{local, trusted} {
		if index, ok = c.cheapest(now, candidates, eligible, random); ok {
			return index, true
		}
	}
	return c.cheapest(now, candidates, func(*Candidate) bool { return true }, random)
}

// dueProbe returns a suspected server of the host's own region that is due for a probe request.
func (c *Chooser) dueProbe(now time.Duration, candidates []Candidate) (int, bool) {
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

// cheapest returns the eligible candidate with the lowest cost. Ties are broken at random, so that
// the entry hosts do not all pick the same server.
func (c *Chooser) cheapest(now time.Duration, candidates []Candidate, eligible func(*Candidate) bool, random *rand.Rand) (int, bool) {
	best, ties := -1, 0
	var lowest float64
	for i := range candidates {
		if !eligible(&candidates[i]) {
			continue
		}
		cost := c.cost(now, &candidates[i])
		switch {
		case best < 0 || cost < lowest:
			best, lowest, ties = i, cost, 1
		case cost == lowest:
			ties++
			if random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best, best >= 0
}

// cost estimates the time that one more request would take: the expected latency times the number of
// outstanding requests, including the new one, divided by the capacity. The load that the server
// reports increases it by up to ReportWeight.
func (c *Chooser) cost(now time.Duration, s *Candidate) float64 {
	h := c.history(s.ID)
	latency := h.expectedLatency(now, c.settings.Decay).Seconds()
	queue := float64(h.outstanding+1) / effectiveCapacity(s)
	return latency * queue * (1 + c.settings.ReportWeight*min(1, max(0, s.ReportedLoad)))
}

func (c *Chooser) overloaded(s *Candidate) bool {
	return float64(c.Outstanding(s.ID)) >= c.settings.OverloadRatio*effectiveCapacity(s)
}

func (c *Chooser) history(id uint64) *history {
	h, ok := c.histories[id]
	if !ok {
		h = &history{latency: initialLatency}
		c.histories[id] = h
	}
	return h
}

// effectiveCapacity raises the capacity of a new server linearly until RampUp has passed. A capacity
// below 1 counts as 1, so that costs stay finite.
func effectiveCapacity(s *Candidate) float64 {
	capacity := max(1, s.Capacity)
	if s.Age >= s.RampUp {
		return capacity
	}
	return capacity * max(minRampFactor, float64(s.Age)/float64(s.RampUp))
}
