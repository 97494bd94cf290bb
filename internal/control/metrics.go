package control

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/ownership"
)

// slotStatuses lists the values of the label "status".
var slotStatuses = []ownership.Status{ownership.Absent, ownership.Vacant, ownership.Owned, ownership.Releasing}

// Descriptions of the host's metrics. The label "group" has one value for each group that the
// host is a member of.
var (
	leadsDesc    = prometheus.NewDesc("galena_control_leads", "1 if this host provably leads the group.", []string{"group"}, nil)
	commitDesc   = prometheus.NewDesc("galena_control_commit_index", "Index of the last log entry known to be committed.", []string{"group"}, nil)
	tableDesc    = prometheus.NewDesc("galena_control_table_version", "Version of the group's table.", []string{"group"}, nil)
	failedDesc   = prometheus.NewDesc("galena_control_disk_failed", "1 if this member ended its part since its disk failed.", []string{"group"}, nil)
	learnersDesc = prometheus.NewDesc("galena_control_learners", "Members that are catching up and do not count yet.", []string{"group"}, nil)
	sessionsDesc = prometheus.NewDesc("galena_control_sessions", "Sessions of backend servers.", []string{"group"}, nil)
	slotsDesc    = prometheus.NewDesc("galena_control_slots", "Slots of all services.", []string{"group", "status"}, nil)
	runsDesc     = prometheus.NewDesc("galena_control_runs", "Records in the run ledger.", []string{"group"}, nil)
	listDesc     = prometheus.NewDesc("galena_control_list_version", "Version of an operators' list in force.", []string{"list"}, nil)
)

// collector is a prometheus.Collector that reads the host's state at each scrape.
type collector struct {
	host *Host
}

// registerMetrics creates the host's metrics, and registers them if the options have a registry.
func (h *Host) registerMetrics() {
	var registerer prometheus.Registerer
	if h.options.Registry != nil {
		registerer = h.options.Registry
		registerer.MustRegister(&collector{host: h})
	}
	h.peers = peer.NewMetrics(registerer)
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(out chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{
		leadsDesc, commitDesc, tableDesc, failedDesc, learnersDesc, sessionsDesc, slotsDesc, runsDesc, listDesc,
	} {
		out <- desc
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(out chan<- prometheus.Metric) {
	gauge := func(desc *prometheus.Desc, value float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
	}
	status := c.host.status()
	gauge(listDesc, float64(status.PlansVersion), "plans")
	gauge(listDesc, float64(status.AllowancesVersion), "allowances")
	for _, g := range status.Groups {
		gauge(leadsDesc, boolGauge(g.Leads), g.Group)
		gauge(commitDesc, float64(g.Commit), g.Group)
		gauge(tableDesc, float64(g.Version), g.Group)
		gauge(failedDesc, boolGauge(g.Failed != ""), g.Group)
		learners := 0
		for _, member := range g.Members {
			learners += int(boolGauge(member.Learner))
		}
		gauge(learnersDesc, float64(learners), g.Group)
	}
	for _, region := range c.host.regions {
		region.collect(gauge)
	}
}

func boolGauge(set bool) float64 {
	if set {
		return 1
	}
	return 0
}

func (g *regionGroup) collect(gauge func(*prometheus.Desc, float64, ...string)) {
	g.state.mu.RLock()
	defer g.state.mu.RUnlock()
	gauge(sessionsDesc, float64(len(g.state.ownership.Servers())), g.name)
	gauge(runsDesc, float64(g.state.runs.Len()), g.name)
	counts := map[ownership.Status]int{}
	for _, name := range g.state.ownership.ServiceNames() {
		for _, slot := range g.state.ownership.Service(name).Slots {
			counts[slot.Status]++
		}
	}
	for _, status := range slotStatuses {
		gauge(slotsDesc, float64(counts[status]), g.name, status.String())
	}
}
