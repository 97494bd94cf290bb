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
type supervision struct {
	judged *health.Detector
	last   map[uint64]health.Assessment
}

func newSupervision(settings ownership.Settings) *supervision {
	return &supervision{judged: health.New(judgeSettings(settings)), last: map[uint64]health.Assessment{}}
}

// judgeSettings makes a probation last beyond the end of the session that failed.
// Otherwise the server's next session could get the slots that it lost.
func judgeSettings(settings ownership.Settings) health.Settings {
	judged := health.DefaultSettings()
	judged.Probation += lease.WithDrift(settings.Lease) + settings.RevocationGracePeriod()
	return judged
}

// observe takes an entry host's renewal, and returns the sessions that the host
// shall probe.
func (s *supervision) observe(now time.Duration, r wire.Renewal) []uint64 {
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
	s.judged.Observe(now, host, reports)
	return s.judged.ProbeTargets(now, host)
}

// judge stops the renewal of sessions that failed, and keeps slots from those in
// quarantine. It comes before each plan, so that a server in quarantine gets none
// when it registers. It returns the verdicts that changed, for the log.
func (s *supervision) judge(now time.Duration, state *ownership.State, coordinator *ownership.Coordinator) []log.Fields {
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
	verdicts := s.judged.Evaluate(now, servers)
	var quarantined []uint64
	for _, verdict := range verdicts {
		if verdict.State == health.Failed {
			coordinator.StopRenewing(verdict.Session)
		}
		if verdict.Quarantined {
			quarantined = append(quarantined, verdict.Session)
		}
	}
	coordinator.SetQuarantined(quarantined)
	return s.changes(state, verdicts)
}

// changes returns the verdicts that are not those of the last call, for the log.
func (s *supervision) changes(state *ownership.State, verdicts []health.Assessment) []log.Fields {
	var changed []log.Fields
	next := make(map[uint64]health.Assessment, len(verdicts))
	for _, verdict := range verdicts {
		next[verdict.Session] = verdict
		before := s.last[verdict.Session]
		if verdict.State == before.State && verdict.Quarantined == before.Quarantined {
			continue
		}
		server, _ := state.Server(verdict.Session)
		changed = append(changed, log.Fields{
			"server":      server.Name,
			"session":     verdict.Session,
			"state":       verdict.State.String(),
			"quarantined": verdict.Quarantined,
			"reason":      verdict.Reason,
		})
	}
	s.last = next
	return changed
}

// logVerdicts logs changed verdicts. It is called without locks.
func logVerdicts(group string, changed []log.Fields) {
	for _, fields := range changed {
		log.WithField("group", group).WithFields(fields).Warn("server judged")
	}
}

// noteLoad takes the load that a server reports with its heartbeat.
func (g *regionGroup) noteLoad(session uint64, load int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lead != nil && session != 0 {
		g.lead.supervision.judged.Heartbeat(g.now(), session, load)
	}
}
