package entry

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenalug/galenalug/admission"
	"github.com/galenalug/galenalug/internal/forward"
	"github.com/galenalug/galenalug/retry"
)

// maxServiceLabels bounds the number of distinct values of the service label.
const maxServiceLabels = 64

// otherServiceLabel is the label of services that have none of their own.
const otherServiceLabel = "other"

type metrics struct {
	requests   *prometheus.CounterVec
	latency    *prometheus.HistogramVec
	retries    *prometheus.CounterVec
	unfinished prometheus.Counter

	mu       sync.Mutex // guards services
	services map[string]bool
}

func newMetrics(registry *prometheus.Registry, h *Host) (*metrics, error) {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galena_entry_requests_total", Help: "Requests ended, by outcome.",
		}, []string{"service", "class", "outcome"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "galena_entry_request_seconds", Help: "Time from a request's arrival to its end.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
		}, []string{"class"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galena_entry_retries_total", Help: "Attempts after the first one, by why the last one failed.",
		}, []string{"reason"}),
		unfinished: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "galena_entry_unfinished_records_total", Help: "Run records left as running.",
		}),
		services: map[string]bool{},
	}
	collectors := []prometheus.Collector{m.requests, m.latency, m.retries, m.unfinished, hostCollector{h}}
	for _, collector := range collectors {
		if err := registry.Register(collector); err != nil {
			return nil, err
		}
	}
	return m, nil
}

func (m *metrics) observeRequest(in *inboundRequest, outcome retry.Outcome, latency time.Duration) {
	class := in.class.String()
	m.requests.WithLabelValues(m.serviceLabel(in.service, outcome), class, outcome.String()).Inc()
	m.latency.WithLabelValues(class).Observe(latency.Seconds())
}

// serviceLabel returns the label for a service. A service gets a label of its own once one of its
// requests was answered, so that callers can't create labels with invented service names.
func (m *metrics) serviceLabel(service string, outcome retry.Outcome) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.services[service] {
		return service
	}
	if outcome != retry.Answered || len(m.services) >= maxServiceLabels {
		return otherServiceLabel
	}
	m.services[service] = true
	return service
}

// hostCollector exports the host's state at the time of a scrape.
type hostCollector struct{ host *Host }

var (
	queueDesc = prometheus.NewDesc("galena_entry_queued_requests", "Requests waiting for a backend server, by class.", []string{"class"}, nil)
	runDesc   = prometheus.NewDesc("galena_entry_running_requests", "Requests at backend servers, by class.", []string{"class"}, nil)
	waitDesc  = prometheus.NewDesc("galena_entry_owner_waiters", "Requests waiting for an owner.", nil, nil)
	linkDesc  = prometheus.NewDesc("galena_entry_region_link_bytes_total", "Bytes of requests and answers of servers of other regions.", []string{"purpose", "direction"}, nil)
	connDesc  = prometheus.NewDesc("galena_entry_connections_total", "Connections to backend servers, by event.", []string{"event"}, nil)
)

// Describe implements prometheus.Collector.
func (c hostCollector) Describe(out chan<- *prometheus.Desc) {
	out <- queueDesc
	out <- runDesc
	out <- waitDesc
	out <- linkDesc
	out <- connDesc
}

// Collect implements prometheus.Collector.
func (c hostCollector) Collect(out chan<- prometheus.Metric) {
	var total gateState
	c.host.gates.each(func(_ sessionKey, state gateState) {
		for class := range state.Running {
			total.Running[class] += state.Running[class]
			total.Waiting[class] += state.Waiting[class]
		}
	})
	for class := admission.Lookup; class < admission.NumClasses; class++ {
		name := class.String()
		out <- prometheus.MustNewConstMetric(queueDesc, prometheus.GaugeValue, float64(total.Waiting[class]), name)
		out <- prometheus.MustNewConstMetric(runDesc, prometheus.GaugeValue, float64(total.Running[class]), name)
	}
	out <- prometheus.MustNewConstMetric(waitDesc, prometheus.GaugeValue, float64(c.host.ownerWaiters.Load()))
	bytes := c.host.link.bytes()
	out <- prometheus.MustNewConstMetric(linkDesc, prometheus.CounterValue, float64(bytes.InteractiveSent), "interactive", "sent")
	out <- prometheus.MustNewConstMetric(linkDesc, prometheus.CounterValue, float64(bytes.InteractiveReceived), "interactive", "received")
	out <- prometheus.MustNewConstMetric(linkDesc, prometheus.CounterValue, float64(bytes.BulkSent), "bulk", "sent")
	out <- prometheus.MustNewConstMetric(linkDesc, prometheus.CounterValue, float64(bytes.BulkReceived), "bulk", "received")
	client, ok := c.host.sender.(*forward.Client)
	if !ok {
		return
	}
	stats := client.Stats()
	events := map[string]int64{
		"dialed": stats.Dialed, "discarded": stats.Discarded, "late_answer": stats.LateResponses, "timeout": stats.Timeouts,
	}
	for event, count := range events {
		out <- prometheus.MustNewConstMetric(connDesc, prometheus.CounterValue, float64(count), event)
	}
}
