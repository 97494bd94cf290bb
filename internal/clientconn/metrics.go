package clientconn

import (
	"sync"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenalug/galenalug/internal/membudget"
)

// Metrics are the metrics of all guards of a process, and of its memory budget. The nil value has no effect.
type Metrics struct {
	cut    *prometheus.CounterVec
	budget *membudget.Budget

	mu     sync.Mutex // guards guards; Guard.mu is acquired without it
	guards []*Guard
}

var (
	connsDesc  = prometheus.NewDesc("galenalug_client_connections", "Open connections by listener and state.", []string{"listener", "state"}, nil)
	heldDesc   = prometheus.NewDesc("galenalug_client_memory_bytes", "Memory held for clients, by kind.", []string{"kind"}, nil)
	budgetDesc = prometheus.NewDesc("galenalug_client_memory_budget_bytes", "Memory that may be held for clients.", nil, nil)
)

// NewMetrics registers the metrics. The budget may be nil.
func NewMetrics(registry prometheus.Registerer, budget *membudget.Budget) (*Metrics, error) {
	m := &Metrics{budget: budget, cut: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "galenalug_clients_cut_off_total", Help: "Clients that were cut off, by cause.",
	}, []string{"cause"})}
	for _, cause := range Causes {
		m.cut.WithLabelValues(string(cause))
	}
	for _, c := range []prometheus.Collector{m.cut, m} {
		if err := registry.Register(c); err != nil {
			return nil, errors.Wrap(err, "register metrics of client connections")
		}
	}
	return m, nil
}

func (m *Metrics) add(g *Guard) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.guards = append(m.guards, g)
}

func (m *Metrics) countCut(cause Cause) {
	if m != nil {
		m.cut.WithLabelValues(string(cause)).Inc()
	}
}

// Describe implements prometheus.Collector.
func (m *Metrics) Describe(out chan<- *prometheus.Desc) {
	out <- connsDesc
	out <- heldDesc
	out <- budgetDesc
}

// Collect implements prometheus.Collector.
func (m *Metrics) Collect(out chan<- prometheus.Metric) {
	m.mu.Lock()
	guards := append([]*Guard(nil), m.guards...)
	m.mu.Unlock()
	for _, g := range guards {
		counts := g.count()
		for _, state := range States {
			out <- prometheus.MustNewConstMetric(connsDesc, prometheus.GaugeValue, float64(counts[state]), g.options.Name, string(state))
		}
	}
	if m.budget == nil {
		return
	}
	for _, kind := range membudget.Kinds {
		out <- prometheus.MustNewConstMetric(heldDesc, prometheus.GaugeValue, float64(m.budget.Held(kind)), kind.String())
	}
	out <- prometheus.MustNewConstMetric(budgetDesc, prometheus.GaugeValue, float64(m.budget.Size()))
}
