package fleet

import (
	"slices"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/routes"
)

const (
	// propagationWarning is the time after which the log names the gateways that still use an older
	// configuration.
	propagationWarning = time.Second
	// maxNamedGateways limits the number of gateways that one log line names.
	maxNamedGateways = 8
)

// subscriber is a connected gateway.
type subscriber struct {
	configVersion uint64 // version in force at the gateway, as it last reported
	sentVersion   uint64 // version that was last sent on this connection
	evacuations   uint64 // revision in force at the gateway, as it last reported
	sentRevision  uint64 // revision of the evacuations that was last sent on this connection
	missedTable   bool   // the gateway was not sent the latest updates of the table
	missedDigest  bool   // the gateway was not sent the latest digests of servers
}

// propagation is the way of one configuration version to all connected gateways.
type propagation struct {
	version uint64
	started time.Duration // when the leader first sent the version
	warned  bool          // the gateways behind have been logged
	done    bool          // every connected gateway has reported the version
}

// handleConfigReport records which configuration version a gateway uses, and grants it a lease on that
// version if it is the newest one. This host must be confirmed as the leader.
func (h *Host) handleConfigReport(conn *peer.Conn, report routes.ConfigReport) (routes.ConfigReportReply, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.subscribers[conn]
	if s == nil || h.leading == nil {
		return routes.ConfigReportReply{}, errors.Wrapf(ErrUnavailable, "gateway %s is not subscribed here", conn.Identity().Name)
	}
	defer h.leading.signalReport()
	name := conn.Identity().Name
	newest := h.state.config().Version
	if report.Stopped {
		h.leading.removeReplica(name)
		return routes.ConfigReportReply{Newest: newest}, nil
	}
	s.configVersion, s.evacuations = report.Version, report.Evacuations
	now := clock.Now()
	granted := h.leading.reportInForce(now, name, report, newest, h.state.evacuationSet().Revision)
	h.checkPropagation(now, h.leading)
	return routes.ConfigReportReply{Newest: newest, LeaseMillis: granted.Milliseconds(), TableSent: !s.missedTable}, nil
}

// checkPropagation logs when the newest version is in force on every connected gateway, and which
// gateways are behind if that takes long. It must be called with Host.mu held.
func (h *Host) checkPropagation(now time.Duration, l *leadership) {
	p := l.propagation
	if p == nil || p.done {
		return
	}
	behind := h.gatewaysBehind(p.version)
	h.metrics.gatewaysBehind.Set(float64(len(behind)))
	elapsed := now - p.started
	fields := log.Fields{
		"version": p.version, "elapsed_ms": elapsed.Milliseconds(), "gateways": len(h.subscribers), "behind": len(behind),
	}
	switch {
	case len(behind) == 0:
		p.done = true
		h.metrics.propagationSeconds.Observe(elapsed.Seconds())
		log.WithFields(fields).Info("configuration in force on all connected gateways")
	case elapsed >= propagationWarning && !p.warned:
		p.warned = true
		fields["slowest"] = strings.Join(behind[:min(len(behind), maxNamedGateways)], " ")
		log.WithFields(fields).Warn("gateways still use an older configuration")
	}
}

// gatewaysBehind returns the names of the connected gateways that have not reported a version or a
// newer one, in order. It must be called with Host.mu held.
func (h *Host) gatewaysBehind(version uint64) []string {
	var names []string
	for conn, s := range h.subscribers {
		if s.configVersion < version {
			names = append(names, conn.Identity().Name)
		}
	}
	slices.Sort(names)
	return names
}
