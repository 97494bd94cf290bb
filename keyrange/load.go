package keyrange

import (
	"math"
	"time"
)

// loadTimeConstant is the time after which an old rate counts by 1/e.
const loadTimeConstant = 1500 * time.Millisecond

// minLoadAge is the time that the first report is taken to cover.
const minReportSpan = 200 * time.Millisecond

// idleKeyRate is the load, requests a second, that every key is taken to have
// beyond what was seen, so that unused keys are divided evenly, too.
const idleKeyRate = 0.0005

// load is the rate of requests by key, an exponentially weighted average.
type load struct {
	rates   []float32
	updated time.Duration
	started time.Duration // time of the first report; 0 before it
	scale   float64       // corrects for the short time since the first report
	version uint64        // grows when the rates are aged
}

func newLoad(keys int64) *load { return &load{rates: make([]float32, keys), scale: 1, version: 1} }

// decay ages all rates to now.
func (l *load) decay(now time.Duration) {
	if now <= l.updated {
		return
	}
	factor := float32(math.Exp(-float64(now-l.updated) / float64(loadTimeConstant)))
	for i := range l.rates {
		l.rates[i] *= factor
	}
	l.updated = now
	l.version++
	if l.started == 0 {
		l.started = now - minReportSpan
	}
	l.scale = 1 / (1 - math.Exp(-float64(now-l.started)/float64(loadTimeConstant)))
}

// add takes in the requests of one key; reports of all entry hosts add up.
func (l *load) add(key, count int64) {
	if key < 0 || key >= int64(len(l.rates)) {
		return
	}
	l.rates[key] += float32(float64(count) / loadTimeConstant.Seconds())
}

// of returns the rate of a key with the idle rate.
func (l *load) keyRate(key int64) float64 { return float64(l.rates[key])*l.scale + idleKeyRate }

// sum returns the rate of a run of keys.
func (l *load) rangeRate(from, to int64) float64 {
	total := 0.0
	for _, rate := range l.rates[from : to+1] {
		total += float64(rate)
	}
	return total*l.scale + idleKeyRate*float64(to-from+1)
}

// surely returns the part of a rate that is more than chance. Rates are counted
// over a short time, and few requests may be many by chance: those of a Poisson
// process have the root of their number as standard deviation.
func (l *load) lowerBound(rate float64) float64 {
	return max(0, rate-confidenceDeviations*math.Sqrt(rate/l.window()))
}

// window returns the time, seconds, over which a plain average varies as much as
// the exponentially weighted one. It is short after the first report.
func (l *load) window() float64 {
	outside := 1 - 1/l.scale // weight of the time before the first report
	return 2 * loadTimeConstant.Seconds() * (1 - outside) / (1 + outside)
}

// rate returns the requests a second of a row's keys, up to decayInterval old:
// every heartbeat asks for those of all rows.
func (svc *service) rate(seg *segment) float64 {
	if seg.rateVersion != svc.load.version {
		seg.rate = svc.load.rangeRate(seg.from, seg.to)
		seg.rateVersion = svc.load.version
	}
	return seg.rate
}

const (
	// workTimeConstant is the time after which an old observation of a server's
	// speed counts by 1/e.
	workTimeConstant = 6 * time.Second
	// priorRequests is the number of requests of the average work time that each
	// server's observations are mixed with: single requests differ widely.
	priorRequests = 6.0
)

// workTimes is what was observed of a server's speed.
type workTimes struct {
	seconds float64 // work of the requests
	count   float64 // requests
	updated time.Duration
}

// add takes in requests that did not wait in the server's queue.
func (w *workTimes) add(now time.Duration, seconds float64, count int64) {
	factor := math.Exp(-float64(now-w.updated) / float64(workTimeConstant))
	w.seconds = w.seconds*factor + seconds
	w.count = w.count*factor + float64(count)
	w.updated = now
}

// average returns the time of one request, given that of an average server.
func (w *workTimes) average(others float64) float64 {
	return (w.seconds + priorRequests*others) / (w.count + priorRequests)
}

// decayInterval is how often rates are aged.
const decayInterval = 100 * time.Millisecond

// Report takes in the view of the load of the entry host from.
func (c *Coordinator) Report(now time.Duration, from string, report LoadReport) {
	for _, part := range report.Services {
		svc := c.services[part.Service]
		if svc == nil {
			continue
		}
		if now-svc.load.updated >= decayInterval {
			svc.load.decay(now)
		}
		for _, k := range part.Keys {
			svc.load.add(k.Key, k.Count)
		}
	}
	for _, observed := range report.Servers {
		s := c.servers[observed.ServerID]
		if s == nil {
			continue
		}
		if observed.Count > 0 {
			s.work.add(now, float64(observed.WorkMicros)/1e6, observed.Count)
		}
		c.applyEvidence(now, s, observed, from)
	}
}
