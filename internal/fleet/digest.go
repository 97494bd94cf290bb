package fleet

import (
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/settings"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/serverload"
)

// newLoads returns the tracker of the servers' loads, or nil if the settings don't ask for it.
func (h *Host) newLoads() *serverload.Tracker {
	if h.settings.Balance != settings.FleetSettingsBalanceWork {
		return nil
	}
	return &serverload.Tracker{}
}

// observeLoads records the loads of servers that a gateway reports. Host.mu must be held.
func (l *leadership) observeLoads(now time.Duration, report keyrange.LoadReport) {
	if l.loads == nil {
		return
	}
	for _, s := range report.Servers {
		l.loads.Observe(now, serverload.Observation{
			ServerID: s.ServerID, StartMillis: s.StartMillis, Slots: l.coordinator.Slots(s.ServerID, s.StartMillis),
			Reported: s.ReportAge > 0, Running: s.Running, Waiting: s.Waiting, Age: time.Duration(s.ReportAge-1) * time.Millisecond,
			Failures: s.Failures, Answers: s.Answers,
			Samples: s.Count, SpeedSum: float64(s.SpeedSum) / 1000,
		})
	}
}

// publishDigest sends the digest of the servers to all gateways when it is due. A gateway whose send queue is long
// misses it, and gets the full one later. It must be called with Host.mu held.
func (h *Host) publishDigest(now time.Duration, l *leadership) {
	if l.loads == nil || len(h.subscribers) == 0 {
		return
	}
	digest, due := l.loads.Changes(now, len(h.subscribers))
	if !due {
		return
	}
	body, err := cbor.Marshal(digest)
	if err != nil {
		log.WithError(err).Error("encoding the digest of servers failed")
		return
	}
	for conn, s := range h.subscribers {
		switch {
		case conn.QueuedBytes() > maxQueuedBytes:
			s.missedDigest = true
		case s.missedDigest:
			s.missedDigest = h.sendFullDigest(l, conn) != nil
		default:
			_ = conn.Notify(wire.KindServerDigest, body) // on an error the gateway subscribes again
		}
	}
}

// sendFullDigest sends a gateway all that digests have said so far. It must be called with Host.mu held.
func (h *Host) sendFullDigest(l *leadership, conn *peer.Conn) error {
	if l.loads == nil {
		return nil
	}
	body, err := cbor.Marshal(l.loads.Full(clock.Now()))
	if err != nil {
		return err
	}
	return conn.Notify(wire.KindServerDigest, body)
}
