package gateway

import (
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the gateway's counters.
type metrics struct {
	requests *prometheus.CounterVec
	latency  prometheus.Histogram
}

func newMetrics(registry prometheus.Registerer) (*metrics, error) {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenalug_gateway_requests_total", Help: "Requests by outcome and reason.",
		}, []string{"outcome", "reason"}),
		latency: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "galenalug_gateway_latency_seconds", Help: "Time from a request's header to its final response.",
			Buckets: []float64{0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 1.6, 2.4, 5},
		}),
	}
	for _, c := range []prometheus.Collector{m.requests, m.latency} {
		if err := registry.Register(c); err != nil {
			return nil, errors.Wrap(err, "register metrics")
		}
	}
	return m, nil
}

func (m *metrics) count(_, outcome, reason string, took time.Duration) {
	m.requests.WithLabelValues(outcome, reason).Inc()
	m.latency.Observe(took.Seconds())
}
