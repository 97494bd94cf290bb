package fleet

import (
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/ratelimit"
	"github.com/galenalug/galenalug/routes"
	"github.com/galenalug/galenalug/warmup"
)

// maxEvidenceAge bounds the age of what gateways say of a server. A longer one is not needed, since their suspicion
// lasts as long as they have no proof.
const maxEvidenceAge = time.Hour

// coldMetrics are the metrics of cold servers.
type coldMetrics struct {
	tokens  *prometheus.CounterVec
	servers prometheus.Gauge
}

func newColdMetrics() *coldMetrics {
	return &coldMetrics{
		tokens: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenalug_fleet_cold_tokens_total", Help: "Tokens for requests to cold servers that gateways asked for, by outcome.",
		}, []string{"outcome"}),
		servers: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "galenalug_fleet_cold_servers", Help: "Servers that are cold, or may be, of services with a limit for them; 0 on a follower.",
		}),
	}
}

// warmups returns how the servers of a configuration start, for the services that limit cold servers.
func warmups(config routes.Config) map[string]keyrange.Warmup {
	byService := map[string]keyrange.Warmup{}
	for _, s := range config.Services {
		if s.WarmupPerSecond > 0 {
			byService[s.Name] = keyrange.Warmup{Time: time.Duration(s.WarmupMillis) * time.Millisecond, PerSecond: s.WarmupPerSecond}
		}
	}
	return byService
}

// issueColdTokens answers a demand for tokens for a server that is cold or may be, and records why the gateway
// assumes so. A refused connection and a response that says so count for all gateways; a connection that was reset
// or not opened in time may be due to the gateway's own network. It must be called with Host.mu held.
func (h *Host) issueColdTokens(now time.Duration, d ratelimit.Demand) ratelimit.Grant {
	coordinator := h.leading.coordinator
	at := now - maxEvidenceAge // any proof counts if only the table says that the server is cold
	if d.SinceMillis > 0 {
		at = now - clock.Milliseconds(min(d.SinceMillis, maxEvidenceAge.Milliseconds()))
	}
	switch {
	case d.Refused:
		coordinator.ReportCold(now, d.ServerID, at, maxEvidenceAge, warmup.CauseRefused)
	case d.WarmupMillis > 0:
		left := clock.Milliseconds(min(d.WarmupMillis, maxEvidenceAge.Milliseconds()))
		coordinator.ReportCold(now, d.ServerID, at, now-at+left, warmup.CauseResponse)
	}
	if coordinator.WarmSince(now, d.ServerID, at) {
		return ratelimit.Grant{ServerID: d.ServerID, Warm: true}
	}
	perSecond := d.PerSecond
	if rate := coordinator.WarmupRate(d.ServerID); rate > 0 {
		perSecond = min(perSecond, rate)
	}
	grant := h.leading.coldIssuer.Issue(now, d.ServerID, perSecond, d.Wanted)
	h.metrics.cold.tokens.WithLabelValues("granted").Add(float64(grant.Tokens))
	h.metrics.cold.tokens.WithLabelValues("denied").Add(float64(d.Wanted - grant.Tokens))
	if d.Refused || d.WarmupMillis > 0 {
		h.requestPublish()
	}
	return grant
}

// recordColdChanges writes the servers that have become cold or warm to the log and the metrics. It must be called
// with Host.mu held.
func (h *Host) recordColdChanges(l *leadership) {
	for _, change := range l.coordinator.ColdChanges() {
		state := "warm"
		if change.Cold {
			state = "cold"
		}
		log.WithFields(log.Fields{
			"server": change.ServerID, "service": change.Service, "cause": change.Cause, "term": l.term,
		}).Info("backend server is " + state)
	}
	h.metrics.cold.servers.Set(float64(len(l.coordinator.ColdServers())))
}
