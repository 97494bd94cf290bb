package control

import (
	"time"

	"github.com/apex/log"

	"github.com/galenalug/galenalug/health"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/lease"
	"github.com/galenalug/galenalug/ownership"
)

// supervision passes what entry hosts saw of backend servers to a judge, and the
// judge's verdicts to the coordinator. It judges only servers of services divided
// by key: entry hosts avoid the others by themselves.
type healthMonitor struct {
	detector    *health.Detector
	assessments map[uint64]health.Assessment
}

func newHealthMonitor(settings ownership.Settings) *healthMonitor {
	return &healthMonitor{detector: health.New(detectorSettings(settings)), assessments: map[uint64]health.Assessment{}}
}

// detectorSettings makes a probation last beyond the end of the session that failed.
// Otherwise the server's next session could get the slots that it lost.
func detectorSettings(settings ownership.Settings) health.Settings {
	adjusted := health.DefaultSettings()
	adjusted.Probation += lease.WithDrift(settings.Lease) + settings.RevocationGracePeriod()
	return adjusted
}

// observe takes an entry host's renewal, and returns the sessions that the host
// shall probe.
func (s *healthMonitor) observe(now time.Duration, r wire.Renewal) []uint64 {
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
	s.detector.Observe(now, host, reports)
	return s.detector.ProbeTargets(now, host)
}

// judge stops the renewal of sessions that failed, and keeps slots from those in
// quarantine. It comes before each plan, so that a server in quarantine gets none
// when it registers. It returns the verdicts that changed, for the log.
func (s *healthMonitor) evaluate(now time.Duration, state *ownership.State, coordinator *ownership.Coordinator) []log.Fields {
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
	assessments := s.detector.Evaluate(now, servers)
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
	return s.changedAssessments(state, assessments)
}

// changes returns the verdicts that are not those of the last call, for the log.
func (s *healthMonitor) changedAssessments(state *ownership.State, assessments []health.Assessment) []log.Fields {
	var changed []log.Fields
	next := make(map[uint64]health.Assessment, len(assessments))
	for _, assessment := range assessments {
		next[assessment.Session] = assessment
		before := s.assessments[assessment.Session]
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
	s.assessments = next
	return changed
}

// logAssessments logs changed verdicts. It is called without locks.
func logAssessments(group string, changed []log.Fields) {
	for _, fields := range changed {
		log.WithField("group", group).WithFields(fields).Warn("server judged")
	}
}

// observeServerLoad takes the load that a server reports with its heartbeat.
func (g *regionGroup) observeServerLoad(session uint64, load int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lead != nil && session != 0 {
		g.lead.monitor.detector.Heartbeat(g.now(), session, load)
	}
}
