package keyrange

import (
	"math"
	"time"
)

// loadTimeConstant is the time constant of the exponential decay of request rates.
const loadTimeConstant = 1500 * time.Millisecond

// minReportSpan is the time that the first report is assumed to cover.
const minReportSpan = 200 * time.Millisecond

// idleKeyRate is added to the measured rate of every key, requests per second, so that unused
// keys are divided evenly, too.
const idleKeyRate = 0.0005

// load is the request rate by key, an exponentially weighted average.
type load struct {
	rates   []float32
	updated time.Duration
	started time.Duration // time of the first report; 0 before it
	scale   float64       // corrects for the short time since the first report
	version uint64        // incremented whenever the rates decay
}

func newLoad(keys int64) *load { return &load{rates: make([]float32, keys), scale: 1, version: 1} }

// decay applies the exponential decay up to now.
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

// add counts requests for one key. The reports of all entry hosts are added up.
func (l *load) add(key, count int64) {
	if key < 0 || key >= int64(len(l.rates)) {
		return
	}
	l.rates[key] += float32(float64(count) / loadTimeConstant.Seconds())
}

// keyRate returns the rate of a key, including idleKeyRate.
func (l *load) keyRate(key int64) float64 { return float64(l.rates[key])*l.scale + idleKeyRate }

// rangeRate returns the rate of a key range, including idleKeyRate for each key.
func (l *load) rangeRate(from, to int64) float64 {
	total := 0.0
	for _, rate := range l.rates[from : to+1] {
		total += float64(rate)
	}
	return total*l.scale + idleKeyRate*float64(to-from+1)
}

// lowerBound returns a lower confidence bound for a rate. Rates are measured over a short
// window, in which the count of a Poisson process has the square root of its mean as standard
// deviation; without the bound, random fluctuation would move keys.
func (l *load) lowerBound(rate float64) float64 {
	return max(0, rate-confidenceDeviations*math.Sqrt(rate/l.window()))
}

// window returns the length, seconds, of the plain moving average that has the same variance
// as the exponentially weighted one. It is short after the first report.
func (l *load) window() float64 {
	outside := 1 - 1/l.scale // weight of the time before the first report
	return 2 * loadTimeConstant.Seconds() * (1 - outside) / (1 + outside)
}

// rate returns the requests per second of a segment. The value is cached until the rates decay
// again, since every heartbeat needs the rates of all segments.
func (svc *service) rate(seg *segment) float64 {
	if seg.rateVersion != svc.load.version {
		seg.rate = svc.load.rangeRate(seg.from, seg.to)
		seg.rateVersion = svc.load.version
	}
	return seg.rate
}

const (
	// serviceTimeDecay is the time constant of the exponential decay of a server's measured
	// service times.
	serviceTimeDecay = 6 * time.Second
	// priorRequests is the weight, in requests, of the service's average service time in
	// each server's estimate. Service times of single requests vary widely.
	priorRequests = 6.0
)

// serviceTimes estimates the service time of requests on a server.
type serviceTimes struct {
	seconds float64 // total service time
	count   float64 // number of requests
	updated time.Duration
}

// add counts requests that did not wait in the server's queue.
func (t *serviceTimes) add(now time.Duration, seconds float64, count int64) {
	factor := math.Exp(-float64(now-t.updated) / float64(serviceTimeDecay))
	t.seconds = t.seconds*factor + seconds
	t.count = t.count*factor + float64(count)
	t.updated = now
}

// averageSeconds returns the estimated service time of a request. prior is the
// estimate to use without measurements, in seconds; it counts as priorRequests requests.
func (t *serviceTimes) averageSeconds(prior float64) float64 {
	return (t.seconds + priorRequests*prior) / (t.count + priorRequests)
}

// decayInterval is the least time between two decays of the rates.
const decayInterval = 100 * time.Millisecond

// Report processes a load report. reporter identifies the entry host that sent it.
func (c *Coordinator) Report(now time.Duration, reporter string, report LoadReport) {
	for _, load := range report.Services {
		svc := c.services[load.Service]
		if svc == nil {
			continue
		}
		if now-svc.load.updated >= decayInterval {
			svc.load.decay(now)
		}
		for _, k := range load.Keys {
			svc.load.add(k.Key, k.Count)
		}
	}
	for _, observed := range report.Servers {
		s := c.servers[observed.ServerID]
		if s == nil || observed.StartMillis != s.info.StartMillis {
			continue // nothing else counts for another incarnation either
		}
		if observed.Count > 0 {
			s.serviceTimes.add(now, float64(observed.ServiceTimeMicros)/1e6, observed.Count)
		}
		if observed.Leaving {
			s.saysLeaving, s.info.Draining = true, true
			c.serverChanged(s)
		}
		if observed.Misdirected > 0 {
			c.endIfProved(now, s, sighting{address: s.info.Address, answered: true})
		}
	}
}
