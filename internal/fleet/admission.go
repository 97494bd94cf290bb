package fleet

import (
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenalug/galenalug/admitshare"
	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/wire"
)

// planInterval is the time between two plans of the admission. It is a part of their lifetime, so that a lost
// message does not end a limit.
const planInterval = 300 * time.Millisecond

// admission is a leader's planning of which part of the requests gateways admit.
type admission struct {
	planner   *admitshare.Planner
	plannedAt time.Duration
	limits    int // groups that the last plan limits
	queued    int // services that it queues
}

// newLimitedGroups returns the gauge of what the last plan limits.
func newLimitedGroups() prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "galenalug_fleet_limited_groups", Help: "Groups of requests of which gateways admit only a part, by the leader's plan; 0 on a follower.",
	})
}

// newAdmission returns the planning of a leader whose term begins, or nil if the settings don't ask for it.
func (h *Host) newAdmission() *admission {
	if !h.settings.ShareCapacity {
		return nil
	}
	return &admission{planner: admitshare.NewPlanner(h.settings.QueueSlots)}
}

// handleDemandReport records what a gateway was asked for.
func (h *Host) handleDemandReport(body []byte) {
	var report admitshare.DemandReport
	if err := cbor.Unmarshal(body, &report); err != nil {
		log.WithError(err).Warn("invalid demand report dropped")
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if l := h.leading; l != nil && l.admission != nil {
		l.admission.planner.Report(clock.Now(), report)
	}
}

// publishAdmission sends a new plan to all gateways, as long as it limits or queues any requests and once when it ends to do so.
// It must be called with Host.mu held.
func (h *Host) publishAdmission(now time.Duration, l *leadership) {
	a := l.admission
	if a == nil || now-a.plannedAt < planInterval {
		return
	}
	a.plannedAt = now
	plan := a.planner.Plan(now, h.capacities(now, l))
	h.updateSlotQueues(now, l, plan.Queued)
	if len(plan.Groups)+len(plan.Queued) == 0 && a.limits+a.queued == 0 {
		return
	}
	if len(plan.Groups) != a.limits || len(plan.Queued) != a.queued {
		log.WithFields(log.Fields{
			"groups": len(plan.Groups), "before": a.limits, "plan": plan.Groups, "queued": plan.Queued,
		}).Info("admission of requests planned")
	}
	a.limits, a.queued = len(plan.Groups), len(plan.Queued)
	h.metrics.limitedGroups.Set(float64(a.limits))
	body, err := cbor.Marshal(plan)
	if err != nil {
		log.WithError(err).Error("encoding the plan of the admission failed")
		return
	}
	for conn := range h.subscribers {
		if conn.QueuedBytes() < maxQueuedBytes {
			_ = conn.Notify(wire.KindAdmission, body) // on an error the gateway subscribes again
		}
	}
}

// capacities returns the capacity and the load of the servers by service and region.
func (h *Host) capacities(now time.Duration, l *leadership) []admitshare.Capacity {
	loadOf := func(string) (float64, bool) { return 0, false }
	if l.loads != nil {
		loadOf = func(id string) (float64, bool) { return l.loads.Load(now, id) }
	}
	var list []admitshare.Capacity
	for _, c := range l.coordinator.Capacities(now, loadOf) {
		list = append(list, admitshare.Capacity{Service: c.Service, Region: h.settings.Domains[c.Domain], Slots: c.Slots, Load: c.Load})
	}
	return list
}
