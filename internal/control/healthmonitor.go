package control

import (
	"time"

	"github.com/apex/log"

	"github.com/galenalug/galenalug/health"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/lease"
	"github.com/galenalug/galenalug/ownership"
)

// healthMonitor passes the evidence of entry hosts about backend servers to a failure detector,
// and the detector's assessments to the coordinator. It covers only servers of keyed services:
// entry hosts avoid failed servers of other services by themselves.
type healthMonitor struct {
	detector    *health.Detector
	assessments map[uint64]health.Assessment
}

func newHealthMonitor(settings ownership.Settings) *healthMonitor {
	return &healthMonitor{detector: health.New(detectorSettings(settings)), assessments: map[uint64]health.Assessment{}}
}

// detectorSettings extends the probation of a failed server beyond the end of its session.
// Otherwise the server's next session could get back the slots that the server lost.
func detectorSettings(settings ownership.Settings) health.Settings {
	adjusted := health.DefaultSettings()
	adjusted.Probation += lease.WithDrift(settings.Lease) + settings.RevocationGracePeriod()
	return adjusted
}

// observe records the evidence in an entry host's renewal, and returns the sessions that the
// entry host should probe.
func (m *healthMonitor) observe(now time.Duration, r wire.Renewal) []uint64 {
	host := health.Host{Name: r.Name, Domain: r.Domain, Region: r.Region}
	reports := make([]health.Report, 0, len(r.Evidence))
	for _, e := range r.Evidence {
		reports = append(reports, health.Report{
			Session:          e.Session,
			Answered:         e.Answered,
			TimedOut:         e.TimedOut,
			ConnectionErrors: e.ConnectionErrors,
			ProbesAnswered:   e.ProbesAnswered,
			ProbesFailed:     e.ProbesFailed,
		})
	}
	m.detector.Observe(now, host, reports)
	return m.detector.ProbeTargets(now, host)
}

// evaluate stops the renewal of failed sessions and marks quarantined ones, which get no new slots.
// It must run before each planning round, so that a quarantined server gets no slots when it
// registers. It returns the log fields of the assessments that changed.
func (m *healthMonitor) evaluate(now time.Duration, state *ownership.State, coordinator *ownership.Coordinator) []log.Fields {
	var servers []health.Server
	for _, server := range state.Servers() {
		if server.Suspended || !server.Keyed {
			continue
		}
		servers = append(servers, health.Server{
			Session:  server.Session,
			Name:     server.Name,
			Address:  server.Address,
			Service:  server.Service,
			Region:   server.Region,
			Capacity: float64(server.Slots),
			Leaving:  server.Draining,
		})
	}
	assessments := m.detector.Evaluate(now, servers)
	var quarantined []uint64
	for _, assessment := range assessments {
		if assessment.State == health.Failed {
			coordinator.StopRenewing(assessment.Session)
		}
		if assessment.Quarantined {
			quarantined = append(quarantined, assessment.Session)
		}
	}
	coordinator.SetQuarantined(quarantined)
	return m.changedAssessments(state, assessments)
}

// changedAssessments returns the log fields of the assessments that differ from the previous
// call.
func (m *healthMonitor) changedAssessments(state *ownership.State, assessments []health.Assessment) []log.Fields {
	var changed []log.Fields
	next := make(map[uint64]health.Assessment, len(assessments))
	for _, assessment := range assessments {
		next[assessment.Session] = assessment
		before := m.assessments[assessment.Session]
		if assessment.State == before.State && assessment.Quarantined == before.Quarantined {
			continue
		}
		server, _ := state.Server(assessment.Session)
		changed = append(changed, log.Fields{
			"server":      server.Name,
			"session":     assessment.Session,
			"state":       assessment.State.String(),
			"quarantined": assessment.Quarantined,
			"reason":      assessment.Reason,
		})
	}
	m.assessments = next
	return changed
}

// logAssessments logs changed assessments. The caller must not hold locks.
func logAssessments(group string, changed []log.Fields) {
	for _, fields := range changed {
		log.WithField("group", group).WithFields(fields).Warn("server health changed")
	}
}

// observeHeartbeat records a server's heartbeat and the load that it reports.
func (g *regionGroup) observeHeartbeat(session uint64, load int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leadership != nil && session != 0 {
		g.leadership.monitor.detector.Heartbeat(g.now(), session, load)
	}
}
