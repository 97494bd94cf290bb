package fleet

import (
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/quarantine"
)

// newQuarantineMetrics returns the counter of quarantined requests and the gauge of suspected ones.
func newQuarantineMetrics() (prometheus.Counter, *prometheus.GaugeVec) {
	quarantines := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "galenalug_fleet_quarantines_total", Help: "Requests that were quarantined because they crash backend servers.",
	})
	suspects := prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "galenalug_fleet_suspected_requests", Help: "Requests that were at servers that crashed, by state; at the leader.",
	}, []string{"state"})
	return quarantines, suspects
}

// handleCrashReport records a gateway's evidence of requests that crash backend servers.
func (h *Host) handleCrashReport(gateway string, body []byte) {
	var report quarantine.Report
	if err := cbor.Unmarshal(body, &report); err != nil {
		log.WithError(err).WithField("gateway", gateway).Warn("invalid crash report dropped")
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leading == nil {
		return
	}
	for _, c := range report.Crashes {
		log.WithFields(log.Fields{"gateway": gateway, "server": c.ServerID, "requests": len(c.Requests)}).Info("backend server ended with requests in flight")
	}
	for _, fingerprint := range h.leading.quarantine.Observe(clock.Now(), report) {
		h.metrics.quarantines.Inc()
		log.WithField("fingerprint", fingerprint).Warn("request quarantined: it crashes backend servers")
	}
	h.requestPublish()
}

// publishQuarantine sends what has changed to all gateways. It must be called with Host.mu held.
func (h *Host) publishQuarantine(now time.Duration, l *leadership) {
	suspected, quarantined := l.quarantine.Counts(now)
	h.metrics.suspects.WithLabelValues("suspected").Set(float64(suspected))
	h.metrics.suspects.WithLabelValues("quarantined").Set(float64(quarantined))
	update := l.quarantine.Changes(now)
	if len(update.Entries) == 0 {
		return
	}
	for conn := range h.subscribers {
		_ = h.sendQuarantine(conn, update) // on an error the gateway subscribes again
	}
}

// sendQuarantine sends an update to a gateway, unless it is empty.
func (h *Host) sendQuarantine(conn *peer.Conn, update quarantine.Update) error {
	if len(update.Entries) == 0 {
		return nil
	}
	body, err := cbor.Marshal(update)
	if err != nil {
		log.WithError(err).Error("encoding the quarantine failed")
		return err
	}
	return conn.Notify(wire.KindQuarantine, body)
}

// permitRun answers whether a suspected request may be sent to a server.
func (h *Host) permitRun(request quarantine.PermitRequest) (quarantine.PermitReply, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leading == nil {
		return quarantine.PermitReply{}, errors.Wrap(ErrUnavailable, "this host is no longer the leader")
	}
	return h.leading.quarantine.Permit(clock.Now(), request), nil
}
