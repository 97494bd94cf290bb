package fleet

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenalug/galenalug/keyrange"
)

// callMetrics are the metrics of calls about keys to backend servers, and of what they are for.
type callMetrics struct {
	ended     *prometheus.CounterVec
	seconds   *prometheus.HistogramVec
	ownerless prometheus.Gauge
}

func newCallMetrics() *callMetrics {
	return &callMetrics{
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenalug_fleet_grant_calls_total", Help: "Calls about keys to backend servers, by kind and outcome.",
		}, []string{"kind", "outcome"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "galenalug_fleet_grant_call_seconds", Help: "Time until a call about keys to a backend server has ended, by kind.",
			Buckets: []float64{0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 0.5, 1},
		}, []string{"kind"}),
		ownerless: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "galenalug_fleet_keys_without_owner", Help: "Keys of all services to which no gateway sends requests; 0 on a follower.",
		}),
	}
}

func (m *callMetrics) count(kind keyrange.CallKind, outcome keyrange.CallOutcome, took time.Duration) {
	m.ended.WithLabelValues(string(kind), string(outcome)).Inc()
	m.seconds.WithLabelValues(string(kind)).Observe(took.Seconds())
}
