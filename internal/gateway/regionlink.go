package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenalug/galenalug/pacing"
	"github.com/galenalug/galenalug/routes"
)

const (
	// bulkBytes is the size from which a request counts as bulk on a link between regions.
	bulkBytes = 16 << 10
	// ackPollInterval is the interval between checks of how much of a bulk request was acknowledged.
	ackPollInterval = 20 * time.Millisecond
	// headBytes is the assumed size of a request's head.
	headBytes = 512
)

// regionLinks bounds the bulk bytes under way to each other region, or from it.
type regionLinks struct {
	metrics   *linkMetrics
	direction string // label of the metrics

	mu       sync.Mutex // guards byRegion and the links; no other lock is acquired while it is held
	byRegion map[string]*regionLink
}

// regionLink is the link to one other region.
type regionLink struct {
	region  string
	window  *pacing.Window
	waiting []*linkTicket // in order of arrival
}

// Directions of links.
const (
	requestsOut = "requests"
	responsesIn = "responses"
)

func newRegionLinks(m *linkMetrics, direction string) *regionLinks {
	return &regionLinks{metrics: m, direction: direction, byRegion: map[string]*regionLink{}}
}

// get returns the link to a region. The caller holds mu.
func (l *regionLinks) get(region string) *regionLink {
	link := l.byRegion[region]
	if link == nil {
		link = &regionLink{region: region, window: pacing.NewWindow()}
		l.byRegion[region] = link
	}
	return link
}

// linkTicket is a bulk request's place on at most one link. The zero value of its fields below links stands
// for none.
type linkTicket struct {
	links *regionLinks
	bytes int // of the request

	// The fields below are guarded by links.mu.
	link    *regionLink // nil if the request neither waits nor is under way
	sent    bool        // counts as under way
	acked   int         // bytes of it that were acknowledged
	sampled bool        // the window was adjusted to it
}

// reserve counts the request as under way to a region, or returns how long it would have to wait for that
// and keeps its place in the order of the waiting ones.
func (t *linkTicket) reserve(now time.Duration, region string) (wait time.Duration) {
	t.links.mu.Lock()
	defer t.links.mu.Unlock()
	link := t.links.get(region)
	if t.link != link {
		t.remove()
	}
	if wait = link.window.Wait(now, t.bytes, link.bytesAhead(t)); wait > 0 {
		if t.link == nil {
			t.link = link
			link.waiting = append(link.waiting, t)
		}
		return wait
	}
	t.remove()
	link.window.Send(now, t.bytes)
	t.link, t.sent, t.acked, t.sampled = link, true, 0, false
	t.links.observe(link)
	return 0
}

// bytesAhead returns the size of the requests that wait before the given one.
func (l *regionLink) bytesAhead(t *linkTicket) int {
	ahead := 0
	for _, other := range l.waiting {
		if other == t {
			break
		}
		ahead += other.bytes
	}
	return ahead
}

// observe records that the given bytes of the request were acknowledged, the given time after its first
// byte was written.
func (t *linkTicket) observe(now time.Duration, acked int, delay time.Duration) {
	t.links.mu.Lock()
	defer t.links.mu.Unlock()
	if !t.sent {
		return
	}
	window := t.link.window
	if !t.sampled && (acked > 0 || window.Stalled(delay)) {
		t.sampled = true
		window.Acknowledged(now, t.bytes, delay)
	}
	acked = min(acked, t.bytes)
	if acked > t.acked {
		window.Remove(acked - t.acked)
		t.acked = acked
	}
	t.links.observe(t.link)
}

// release takes the request off its link, whether it waits or is under way. A nil ticket is on none.
func (t *linkTicket) release() {
	if t == nil {
		return
	}
	t.links.mu.Lock()
	defer t.links.mu.Unlock()
	t.remove()
}

// remove does the work of release. The caller holds links.mu.
func (t *linkTicket) remove() {
	switch {
	case t.link == nil:
		return
	case t.sent:
		t.link.window.Remove(t.bytes - t.acked)
		t.links.observe(t.link)
	default:
		t.link.waiting = slices.DeleteFunc(t.link.waiting, func(other *linkTicket) bool { return other == t })
	}
	t.link, t.sent = nil, false
}

// watch observes the acknowledgements of the request on a connection until done is closed.
func (t *linkTicket) watch(c *conn, done <-chan struct{}) {
	started := clockNow()
	ticker := time.NewTicker(ackPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		written := int(c.written.Load()) // before the kernel's count, which may only decrease since
		unsent, unacked := unsentBytes(c.Conn)
		if unsent < 0 || unacked < 0 {
			continue
		}
		now := clockNow()
		t.observe(now, max(0, written-unsent-unacked), now-started)
	}
}

// bulkTicket returns the ticket of a request that counts as bulk on links between regions, or nil. If its
// response is what is large, the ticket is for the way back.
func (c *call) bulkTicket() *linkTicket {
	if c.route.Kind == routes.Download {
		return &linkTicket{links: c.host.responseLinks, bytes: c.host.responseSizes.expected(c.route)}
	}
	bytes := int64(len(c.body))
	if c.stream != nil {
		bytes = max(bytes, c.request.ContentLength)
	}
	if bytes < bulkBytes {
		return nil
	}
	return &linkTicket{links: c.host.regionLinks, bytes: int(bytes) + headBytes}
}

// linkMetrics are the metrics of the links to other regions.
type linkMetrics struct {
	window, underWay, queueing *prometheus.GaugeVec
}

func newLinkMetrics() *linkMetrics {
	gauge := func(name, help string) *prometheus.GaugeVec {
		return prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: help}, []string{"region", "direction"})
	}
	return &linkMetrics{
		window:   gauge("galenalug_gateway_link_window_bytes", "Bulk bytes that may be under way to or from another region."),
		underWay: gauge("galenalug_gateway_link_bulk_bytes", "Bulk bytes that are under way to or from another region."),
		queueing: gauge("galenalug_gateway_link_queueing_seconds", "Queueing delay that the latest sample to another region has met."),
	}
}

func (m *linkMetrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.window, m.underWay, m.queueing}
}

// observe updates the metrics of a link. The caller holds mu.
func (l *regionLinks) observe(link *regionLink) {
	m := l.metrics
	m.window.WithLabelValues(link.region, l.direction).Set(float64(link.window.Size()))
	m.underWay.WithLabelValues(link.region, l.direction).Set(float64(link.window.InFlight()))
	m.queueing.WithLabelValues(link.region, l.direction).Set(link.window.Queueing().Seconds())
}
