package fleet

import (
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// metrics holds the Prometheus metrics of a control host.
type metrics struct {
	heartbeats       *prometheus.CounterVec
	heartbeatSeconds prometheus.Histogram
	keyEvents        *prometheus.CounterVec
	configChanges    *prometheus.CounterVec
	leads            prometheus.Gauge

	propagationSeconds prometheus.Histogram
	gatewaysBehind     prometheus.Gauge
	acknowledgeSeconds prometheus.Histogram

	voters       prometheus.Gauge
	liveVoters   prometheus.Gauge
	quorumMargin prometheus.Gauge
	logFailed    prometheus.Gauge
	logBytes     *prometheus.GaugeVec
	joinSeconds  prometheus.Histogram
	tokens       *prometheus.CounterVec
	cold         *coldMetrics
	quarantines  prometheus.Counter
	suspects     *prometheus.GaugeVec
	calls        *callMetrics

	limitedGroups prometheus.Gauge
	slots         *slotMetrics
	evacuations   *evacuationMetrics
}

func newMetrics(registry prometheus.Registerer) (*metrics, error) {
	m := &metrics{
		heartbeats: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenalug_fleet_heartbeats_total", Help: "Heartbeats of backend servers, by whether they were answered.",
		}, []string{"answered"}),
		heartbeatSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "galenalug_fleet_heartbeat_seconds", Help: "Time to answer a heartbeat, with the records of its grants.",
			Buckets: []float64{0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1},
		}),
		keyEvents: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenalug_fleet_key_events_total", Help: "Changes of who holds keys, by kind.",
		}, []string{"kind"}),
		configChanges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenalug_fleet_config_changes_total", Help: "Changes of the configuration asked for, by outcome.",
		}, []string{"outcome"}),
		leads: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "galenalug_fleet_leads", Help: "1 while this host leads.",
		}),
		propagationSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "galenalug_fleet_config_propagation_seconds", Help: "Time from sending a configuration until all connected gateways use it.",
			Buckets: []float64{0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 2.5, 5, 10},
		}),
		gatewaysBehind: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "galenalug_fleet_gateways_behind", Help: "Connected gateways that have not reported the newest configuration.",
		}),
	}
	m.acknowledgeSeconds = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "galenalug_fleet_config_acknowledge_seconds", Help: "Time from the commit of a configuration until it is acknowledged.",
		Buckets: []float64{0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 2.5, 5},
	})
	m.voters = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "galenalug_fleet_voters", Help: "Voters of the replicated log, according to this host.",
	})
	m.liveVoters = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "galenalug_fleet_live_voters", Help: "Voters that the leader has heard within an election timeout; 0 on a follower.",
	})
	m.quorumMargin = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "galenalug_fleet_quorum_margin", Help: "Live voters that may be lost before the replicated log has no quorum; 0 on a follower.",
	})
	m.logFailed = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "galenalug_fleet_log_failed", Help: "1 while this host takes no part in the replicated log because of a storage error.",
	})
	m.logBytes = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "galenalug_fleet_log_bytes", Help: "Size of the replicated log in memory: entries, and the newest snapshot. Both are sent to a host with an empty disk.",
	}, []string{"part"})
	m.joinSeconds = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "galenalug_fleet_join_seconds", Help: "Time from the start or the removal of a control host until it is a voter of the replicated log.",
		Buckets: []float64{0.1, 0.25, 0.5, 1, 1.5, 2, 3, 4, 6, 10, 20},
	})
	m.tokens = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "galenalug_fleet_tokens_total", Help: "Tokens for requests to rate-limited servers that gateways asked for, by outcome.",
	}, []string{"outcome"})
	m.quarantines, m.suspects = newQuarantineMetrics()
	m.limitedGroups, m.slots = newLimitedGroups(), newSlotMetrics()
	m.cold, m.calls, m.evacuations = newColdMetrics(), newCallMetrics(), newEvacuationMetrics()
	collectors := []prometheus.Collector{
		m.calls.ended, m.calls.seconds, m.calls.ownerless,
		m.quarantines, m.suspects, m.limitedGroups, m.slots.answers, m.slots.waiting, m.slots.granted,
		m.heartbeats, m.heartbeatSeconds, m.keyEvents, m.configChanges, m.leads, m.propagationSeconds, m.gatewaysBehind, m.acknowledgeSeconds,
		m.voters, m.liveVoters, m.quorumMargin, m.logFailed, m.logBytes, m.joinSeconds, m.tokens, m.cold.tokens, m.cold.servers,
	}
	for _, c := range append(collectors, m.evacuations.collectors()...) {
		if err := registry.Register(c); err != nil {
			return nil, errors.Wrap(err, "register metrics")
		}
	}
	return m, nil
}

func (m *metrics) countHeartbeat(started time.Time, err error) {
	answered := "yes"
	if err != nil {
		answered = "no"
	}
	m.heartbeats.WithLabelValues(answered).Inc()
	m.heartbeatSeconds.Observe(time.Since(started).Seconds())
}
