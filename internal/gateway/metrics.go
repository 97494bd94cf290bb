package gateway

import (
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the gateway's Prometheus metrics.
type metrics struct {
	requests    *prometheus.CounterVec
	latency     prometheus.Histogram
	retries     *prometheus.CounterVec
	disconnects prometheus.Counter
	notices     prometheus.Counter
	clientsLeft *prometheus.CounterVec
	links       *linkMetrics
	crashes     prometheus.Counter
	choices     *prometheus.CounterVec
	slots       *prometheus.CounterVec

	coldRequests prometheus.Counter
	pipelined    *prometheus.CounterVec

	evacuatedRequests prometheus.Counter
	digestBytes       prometheus.Counter
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
	m.retries = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "galenalug_gateway_repeats_total", Help: "Repeats asked for, by whether the retry budget had room.",
	}, []string{"allowed"})
	m.disconnects = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "galenalug_gateway_control_lost_total", Help: "Times that the connection to the control hosts was lost.",
	})
	m.notices = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "galenalug_gateway_server_notices_total", Help: "Changes of what backend servers say of themselves: limit, leaving, retry after.",
	})
	m.clientsLeft = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "galenalug_gateway_clients_left_total", Help: "Clients that closed their connection before the response, by how far the request had come.",
	}, []string{"phase"})
	m.crashes = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "galenalug_gateway_server_crashes_total", Help: "Backend servers whose process ended with requests of this gateway.",
	})
	m.choices = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "galenalug_gateway_choices_total", Help: "Choices of a server by remaining work, by why it was chosen.",
	}, []string{"basis"})
	m.slots = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "galenalug_gateway_slots_total", Help: "Requests for scarce services that the leader's queue answered, by result.",
	}, []string{"result"})
	m.digestBytes = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "galenalug_gateway_digest_bytes_total", Help: "Bytes of the digests of servers from the leader.",
	})
	m.coldRequests = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "galenalug_gateway_cold_requests_total", Help: "Requests sent to cold servers.",
	})
	m.pipelined = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "galenalug_gateway_pipelined_total", Help: "Requests that arrived behind an unanswered one of their connection, by whether they ran before their turn and why not, and those of the former that were canceled or not used.",
	}, []string{"result"})
	m.evacuatedRequests = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "galenalug_gateway_evacuated_requests_total", Help: "Requests sent to servers of evacuated failure domains: to owners of keys that have not moved yet.",
	})
	m.links = newLinkMetrics()
	collectors := []prometheus.Collector{
		m.requests, m.latency, m.retries, m.disconnects, m.notices, m.clientsLeft, m.crashes, m.choices, m.slots, m.coldRequests, m.pipelined, m.evacuatedRequests,
		m.digestBytes,
	}
	for _, c := range append(collectors, m.links.collectors()...) {
		if err := registry.Register(c); err != nil {
			return nil, errors.Wrap(err, "register metrics")
		}
	}
	return m, nil
}

// registerGauges registers gauges that are read at each scrape.
func (m *metrics) registerGauges(registry prometheus.Registerer, v *view, d *linkDelay, b *backends) error {
	age := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "galenalug_gateway_table_age_seconds", Help: "Time since the newest update of the ownership table.",
	}, func() float64 {
		_, stamp, _ := v.snapshot(clockNow())
		return stamp.Age.Seconds()
	})
	config := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "galenalug_gateway_config_version", Help: "Version of the route configuration in force.",
	}, func() float64 {
		_, stamp, _ := v.snapshot(clockNow())
		return float64(stamp.Config)
	})
	configAge := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "galenalug_gateway_config_age_seconds", Help: "Time since the configuration in force was last known to be the newest one.",
	}, func() float64 {
		_, stamp, _ := v.snapshot(clockNow())
		return stamp.ConfigAge.Seconds()
	})
	queueing := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "galenalug_gateway_link_delay_seconds", Help: "Queueing on this host's own link, both ways, as reports to the leader have met it.",
	}, func() float64 { return d.queueing().Seconds() })
	cold := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "galenalug_gateway_cold_servers", Help: "Servers that are cold, or may be, according to this gateway or the leader.",
	}, func() float64 { return float64(len(b.coldServers(clockNow()))) })
	evacuations := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "galenalug_gateway_evacuation_revision", Help: "Revision of the set of evacuated failure domains in force.",
	}, func() float64 { return float64(v.evacuationRevision()) })
	digestAge := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "galenalug_gateway_digest_age_seconds", Help: "Time since the latest digest of servers from the leader; 0 if there was none.",
	}, func() float64 { return b.digestAge(clockNow()).Seconds() })
	for _, c := range []prometheus.Collector{age, config, configAge, queueing, evacuations, cold, newCostCollector(b.costs), digestAge} {
		if err := registry.Register(c); err != nil {
			return errors.Wrap(err, "register metrics")
		}
	}
	return nil
}

func (m *metrics) count(outcome, reason string, took time.Duration) {
	m.requests.WithLabelValues(outcome, reason).Inc()
	m.latency.Observe(took.Seconds())
}
