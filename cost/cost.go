// Package cost learns how long requests run: the expected work of a class of requests and the speed of a server, as
// two factors that are estimated together from the response times of requests that did not queue.
//
// Estimates are logarithms, and the residual of a sample is bounded, since few requests take several times as long as
// the others. The expected work includes these, up to a bound; a high quantile tells how long nearly all requests of a
// class take.
//
// The package does no I/O, reads no clock and uses no locks.
package cost

import (
	"maps"
	"math"
	"time"
)

const (
	// maxClasses bounds the memory of a Model: a class takes about 150 bytes.
	maxClasses = 2048
	// maxResidual bounds the influence of a sample: one that took seven times as long counts like one that took twice
	// as long.
	maxResidual = 0.7
	// maxRatio bounds a sample, as a multiple of the typical time of its class, in the expected work.
	maxRatio = 8
	// minClassWeight and minSpeedWeight are the lowest weights of a sample. A gateway sends a server a request in
	// several seconds, and a service several a second.
	minClassWeight = 0.02
	minSpeedWeight = 0.08
	// speedPrior is the weight, in samples, of the assumption that a server has mean speed.
	speedPrior = 2
	// speedReturn is the part by which each sample moves a speed towards the mean. It keeps the two factors apart:
	// only their product is measured.
	speedReturn = 0.005
	// maxLogSpeed bounds the speed that one sample shows to a factor of three.
	maxLogSpeed = 1.1
	// minSamples is the number of samples from which a class is told apart from others of its route.
	minSamples = 12
	// highQuantile is the part of the requests that take no longer than Work.High.
	highQuantile = 0.97
	// minQuantileStep is the lowest step of the estimate of the quantile.
	minQuantileStep = 0.03
	// initialHigh is the assumed ratio of the quantile to the typical time.
	initialHigh = 2.5
	// initialWarmupSpeed is the assumed speed of a server that is warming up, relative to its usual one. Package keyrange
	// counts such a server with the same fraction.
	initialWarmupSpeed = 0.5
	// minWarmupWeight is the lowest weight of a sample in that fraction, and warmupPrior the weight, in samples, of the
	// assumed one. Servers rarely warm up, and those that do differ in speed.
	minWarmupWeight = 0.04
	warmupPrior     = 4
	// minWarmupSpeed bounds the fraction: with a lower one, a server would get nearly no requests that show another.
	minWarmupSpeed = 0.1
)

// Class is a class of requests. The zero value of Method and Size stands for all requests of the route, and that of
// Route for all of the service.
type Class struct {
	Service, Route string
	Method         uint8
	Size           uint8
}

// MethodOf returns the Method of an HTTP method.
func MethodOf(method string) uint8 {
	switch method {
	case "GET", "HEAD":
		return 1
	case "POST":
		return 2
	case "PUT", "PATCH":
		return 3
	case "DELETE":
		return 4
	}
	return 5
}

// SizeOf returns the Size of a body: it doubles from one size class to the next but one.
func SizeOf(bytes int) uint8 { return 1 + uint8(math.Log2(float64(bytes)/1024+1)*2) }

func (c Class) route() Class   { return Class{Service: c.Service, Route: c.Route} }
func (c Class) service() Class { return Class{Service: c.Service} }

// Work is the work of a class on a server of speed 1.
type Work struct {
	Expected time.Duration
	High     time.Duration // nearly all requests take no longer
	Samples  int
}

// estimate is the estimate for one class.
type estimate struct {
	log     float64 // of the typical time, seconds
	ratio   float64 // expected work by typical time
	high    float64 // logarithm of High by typical time
	samples int
	work    Work // follows from the fields above

	// The fields below count for services: by how much their servers are slower while they warm up.

	warmup        float64 // logarithm of the fraction of their speed, relative to initialWarmupSpeed
	warmupSamples int
}

// Speed is the speed of a server relative to the mean of its service. The zero value stands for a server of mean
// speed.
type Speed struct {
	log, factor float64
	samples     int
}

// Factor returns the speed; 1 is the mean.
func (s *Speed) Factor() float64 {
	if s.samples == 0 {
		return 1
	}
	return s.factor
}

// sharedWeight is the weight, in samples, of what others know of a server's speed.
const sharedWeight = 10

// FactorWith returns the speed, also according to what others know of it; 0 if that is nothing.
func (s *Speed) FactorWith(shared float64) float64 {
	if shared <= 0 {
		return s.Factor()
	}
	own := float64(s.samples) / float64(s.samples+sharedWeight)
	return math.Exp(own*s.log + (1-own)*math.Log(shared))
}

// Model holds the work of all classes. The zero value is empty.
type Model struct {
	classes map[Class]*estimate
}

// Observe adds the time of a request that did not queue, on a server of the given speed, which it updates. prior is
// the work to assume for a route without samples. It returns the logarithm of the speed that this sample alone shows,
// bounded.
func (m *Model) Observe(c Class, s *Speed, prior, took time.Duration) (logSpeed float64) {
	if took <= 0 || prior <= 0 {
		return 0
	}
	sample := math.Log(took.Seconds())
	residual := m.observe(c.route(), prior, sample+s.log)
	m.observe(c.service(), prior, sample+s.log)
	if c != c.route() {
		detailed := m.observe(c, prior, sample+s.log)
		if e := m.classes[c]; e != nil && e.samples > minSamples {
			residual = detailed
		}
	}
	s.add(residual)
	return min(max(m.typical(c, prior)-sample, -maxLogSpeed), maxLogSpeed)
}

// add adds a sample, of which the residual is the logarithm of the time that it took by the expected time.
func (s *Speed) add(residual float64) {
	s.samples++
	weight := max(minSpeedWeight, 1/float64(s.samples+speedPrior))
	s.log = (s.log - weight*residual) * (1 - speedReturn)
	s.factor = math.Exp(s.log)
}

// WarmupSpeed returns the speed that servers of a service have while they warm up, relative to their usual one.
func (m *Model) WarmupSpeed(service string) float64 {
	if e := m.classes[Class{Service: service}]; e != nil {
		return e.warmupSpeed()
	}
	return initialWarmupSpeed
}

func (e *estimate) warmupSpeed() float64 { return initialWarmupSpeed * math.Exp(e.warmup) }

// ObserveWarmingUp is like Observe for a server that was warming up all the time. The sample counts towards the server's
// speed and, as long as little is known of the route, towards its work as if the server had been warm. If more is known,
// the sample shows how fast the servers of the service are while they warm up.
func (m *Model) ObserveWarmingUp(c Class, s *Speed, prior, took time.Duration) (logSpeed float64) {
	if took <= 0 || prior <= 0 {
		return 0
	}
	route, service := m.classes[c.route()], m.classes[c.service()]
	warm := time.Duration(float64(took) * m.WarmupSpeed(c.Service))
	if route == nil || service == nil || route.samples < minSamples {
		return m.Observe(c, s, prior, warm)
	}
	typical := m.typical(c, prior)
	service.observeWarmup(typical - s.log - math.Log(took.Seconds()))
	sample := math.Log(warm.Seconds())
	s.add(min(max(sample+s.log-typical, -maxResidual), maxResidual))
	return min(max(typical-sample, -maxLogSpeed), maxLogSpeed)
}

// observeWarmup adds a sample of the logarithm of the fraction.
func (e *estimate) observeWarmup(sample float64) {
	e.warmupSamples++
	weight := max(minWarmupWeight, 1/float64(e.warmupSamples+warmupPrior))
	residual := sample - math.Log(initialWarmupSpeed) - e.warmup
	e.warmup += weight * min(max(residual, -maxResidual), maxResidual)
	e.warmup = min(max(e.warmup, math.Log(minWarmupSpeed/initialWarmupSpeed)), -math.Log(initialWarmupSpeed))
}

// typical returns the logarithm of the typical time of a class.
func (m *Model) typical(c Class, prior time.Duration) float64 {
	if e := m.classes[c]; e != nil && e.samples > minSamples {
		return e.log
	}
	if e := m.classes[c.route()]; e != nil {
		return e.log
	}
	return math.Log(prior.Seconds())
}

// observe adds a sample to one class, and returns its bounded residual.
func (m *Model) observe(c Class, prior time.Duration, sample float64) (residual float64) {
	e := m.classes[c]
	if e == nil {
		if m.classes == nil {
			m.classes = map[Class]*estimate{}
		}
		if len(m.classes) >= maxClasses {
			if c.Method != 0 {
				return 0 // the route's estimate serves
			}
			clear(m.classes) // of routes that are no longer there, mostly
		}
		e = &estimate{log: math.Log(prior.Seconds()), ratio: 1, high: math.Log(initialHigh)}
		m.classes[c] = e
	}
	e.samples++
	weight := max(minClassWeight, 1/float64(e.samples+1))
	residual = min(max(sample-e.log, -maxResidual), maxResidual)
	e.log += weight * residual
	over := sample - e.log
	e.ratio += weight * (min(math.Exp(over), maxRatio) - e.ratio)
	step := max(minQuantileStep, 1/float64(e.samples+5))
	if over > e.high {
		e.high += step * highQuantile
	} else {
		e.high -= step * (1 - highQuantile)
	}
	typical := math.Exp(e.log) * float64(time.Second)
	e.work = Work{
		Expected: time.Duration(typical * e.ratio), High: time.Duration(typical * max(math.Exp(e.high), e.ratio)), Samples: e.samples,
	}
	return residual
}

// Work returns the work of a class: that of its route if the class has few samples. prior is the work to assume for a
// route without samples.
func (m *Model) Work(c Class, prior time.Duration) Work {
	if e := m.classes[c]; e != nil && (c.Method == 0 || e.samples >= minSamples) {
		return e.work
	}
	if e := m.classes[c.route()]; e != nil {
		return e.work
	}
	return Work{Expected: prior, High: time.Duration(initialHigh * float64(prior))}
}

// Mean returns the mean work of a service's requests, or the given one if there is no sample.
func (m *Model) Mean(service string, prior time.Duration) time.Duration {
	if e := m.classes[Class{Service: service}]; e != nil {
		return e.work.Expected
	}
	return prior
}

// Forget drops the classes of the services that gone accepts.
func (m *Model) Forget(gone func(service string) bool) {
	maps.DeleteFunc(m.classes, func(c Class, _ *estimate) bool { return gone(c.Service) })
}

// Each calls visit for each route of which something is known.
func (m *Model) Each(visit func(Class, Work)) {
	for c, e := range m.classes {
		if c.Method == 0 && c.Route != "" {
			visit(c, e.work)
		}
	}
}
