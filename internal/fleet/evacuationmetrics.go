package fleet

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenalug/galenalug/evacuation"
)

// evacuationMetrics are the metrics of evacuations.
type evacuationMetrics struct {
	calls              *prometheus.CounterVec
	acknowledgeSeconds *prometheus.HistogramVec
	revision           prometheus.Gauge
	domains            prometheus.Gauge
	keys               prometheus.Gauge
}

func newEvacuationMetrics() *evacuationMetrics {
	return &evacuationMetrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenalug_fleet_evacuation_calls_total", Help: "Calls that start or end evacuations, by change and outcome; too_old at the host that was called, others at the leader.",
		}, []string{"change", "outcome"}),
		acknowledgeSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "galenalug_fleet_evacuation_acknowledge_seconds", Help: "Time until a call that starts or ends an evacuation is acknowledged, by change.",
			Buckets: []float64{0.05, 0.1, 0.2, 0.4, 0.6, 1, 2, 4},
		}, []string{"change"}),
		revision: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "galenalug_fleet_evacuation_revision", Help: "Revision of the set of evacuated failure domains, as last sent by this host as the leader.",
		}),
		domains: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "galenalug_fleet_evacuated_domains", Help: "Evacuated failure domains, as last sent by this host as the leader.",
		}),
		keys: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "galenalug_fleet_evacuated_keys", Help: "Keys that servers of evacuated failure domains may still hold, as last known to this host as the leader.",
		}),
	}
}

func (m *evacuationMetrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.calls, m.acknowledgeSeconds, m.revision, m.domains, m.keys}
}

func (m *evacuationMetrics) set(set evacuation.Set, keys int64) {
	m.revision.Set(float64(set.Revision))
	m.domains.Set(float64(len(set.Domains)))
	m.keys.Set(float64(keys))
}
