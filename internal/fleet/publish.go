package fleet

import (
	"context"
	"math"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/trace"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/routes"
)

// tickInterval is the longest time that publishLoop waits for a request before it checks for
// expired leases.
const tickInterval = 100 * time.Millisecond

const (
	// minPublishInterval is the minimum time between two updates of the table.
	minPublishInterval = 20 * time.Millisecond
	// maxUpdatesPerSecond limits the rate of updates to all gateways together: each update is sent to
	// each gateway as a separate message. maxPublishInterval takes precedence.
	maxUpdatesPerSecond = 1500
	// maxPublishInterval keeps the delay of an update well below the duration of a request.
	maxPublishInterval = 100 * time.Millisecond
)

// publishInterval returns the time between two updates of the table.
func publishInterval(gateways int) time.Duration {
	interval := time.Duration(gateways) * time.Second / maxUpdatesPerSecond
	return min(max(interval, minPublishInterval), maxPublishInterval)
}

// publishLoop does the leader's periodic work: it expires leases and publishes changes to the
// gateways.
func (h *Host) publishLoop(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-h.publishRequests:
		case <-time.After(tickInterval):
		}
		h.recordLease(ctx)
		gateways := h.publish()
		select {
		case <-ctx.Done():
		case <-time.After(publishInterval(gateways)):
		}
	}
}

// recordLease commits the lease duration to the log before the first grant, so that a later leader
// knows how long leases granted by its predecessors may last.
func (h *Host) recordLease(ctx context.Context) {
	lease := h.lease()
	if !h.Leads() || h.state.recordedLease() >= lease {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := h.propose(ctx, command{LeaseMillis: lease.Milliseconds()}); err != nil {
		log.WithError(err).Warn("recording the lease duration failed; retrying")
	}
}

// publish sends changes of the configuration and the table to all gateways. It returns the number
// of connected gateways.
func (h *Host) publish() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if l := h.leading; l != nil {
		h.publishTable(l)
	}
	return len(h.subscribers)
}

// publishTable must be called with Host.mu held.
func (h *Host) publishTable(l *leadership) {
	now := clock.Now()
	h.publishConfig(now, l)
	h.publishEvacuations(now, l)
	h.reportLeaves(now, l)
	h.publishQuarantine(now, l)
	h.publishAdmission(now, l)
	h.tickSlots(now, l)
	l.coordinator.Tick(now)
	h.recordKeyEvents(l)
	h.recordColdChanges(l)
	update, changed := l.coordinator.Changes(now)
	h.metrics.calls.ownerless.Set(float64(l.coordinator.KeysWithoutOwner()))
	if changed {
		h.sendTable(update)
	}
	h.sendMissedTables(l)
	h.publishDigest(now, l)
}

// sendTable sends an update of the table to the gateways that have all earlier ones. A gateway whose
// send queue is long misses it: its link is slower than the updates. It must be called with Host.mu
// held.
func (h *Host) sendTable(update keyrange.TableUpdate) {
	h.addHostInfo(&update)
	body, err := keyrange.EncodeTable(update)
	if err != nil {
		log.WithError(err).Error("encoding the table failed")
		return
	}
	for conn, s := range h.subscribers {
		s.missedTable = s.missedTable || conn.QueuedBytes() > maxQueuedBytes
		if !s.missedTable {
			_ = conn.Notify(wire.KindFleetTable, body) // on an error the gateway subscribes again
		}
	}
}

// sendMissedTables sends the full table to the gateways that missed an update and whose send queue is
// empty again. It must be called with Host.mu held.
func (h *Host) sendMissedTables(l *leadership) {
	var body []byte
	for conn, s := range h.subscribers {
		if !s.missedTable || conn.QueuedBytes() > 0 {
			continue
		}
		if body == nil {
			if body = h.encodeFullTable(l); body == nil {
				return
			}
		}
		s.missedTable = false
		_ = conn.Notify(wire.KindFleetTable, body) // on an error the gateway subscribes again
	}
}

// fullTable is the encoded full table of a version. After a change of the leader all gateways ask for it.
type fullTable struct {
	version  uint64
	gateways int    // that it says are connected
	body     []byte // nil if there is none yet
	// encodedAt is when it was encoded, if it states times that count down; else 0.
	encodedAt time.Duration
}

// maxCountdownAge is the age up to which a full table is sent again that states times that count down.
const maxCountdownAge = 200 * time.Millisecond

// maxGatewaysOff is by how much, as a part, the number of connected gateways in a full table may be off: their
// shares of connections and of the retry budget follow from it.
const maxGatewaysOff = 0.1

// current reports whether the table can be sent at a version, with a number of connected gateways.
func (t fullTable) current(version uint64, gateways int) bool {
	off := math.Abs(float64(gateways - t.gateways))
	return t.body != nil && t.version == version && off <= maxGatewaysOff*float64(gateways)
}

// outdated reports whether the times in the table are too old.
func (t fullTable) outdated(now time.Duration) bool {
	return t.encodedAt != 0 && now-t.encodedAt > maxCountdownAge
}

// encodeFullTable returns the encoded full table, or nil if that fails. It must be called with Host.mu
// held.
func (h *Host) encodeFullTable(l *leadership) []byte {
	now := clock.Now()
	if version := l.coordinator.TableVersion(); !l.fullTable.current(version, len(h.subscribers)) || l.fullTable.outdated(now) {
		update := l.coordinator.Snapshot()
		h.addHostInfo(&update)
		body, err := keyrange.EncodeTable(update)
		if err != nil {
			log.WithError(err).Error("encoding the table failed")
			return nil
		}
		l.fullTable = fullTable{version: version, gateways: len(h.subscribers), body: body}
		if l.coordinator.CountsDown() {
			l.fullTable.encodedAt = max(now, 1)
		}
	}
	return l.fullTable.body
}

// recordKeyEvents adds the key events since the last call to the log output, the history and the
// metrics.
func (h *Host) recordKeyEvents(l *leadership) {
	events, dropped := l.coordinator.Events()
	for _, e := range events {
		h.keyEvents.Add(time.Now(), trace.KeyEvent{
			Kind: string(e.Kind), Service: e.Service, From: e.From, To: e.To, Server: e.Server, Token: e.Token,
			Term: l.term, HeartbeatAgeMs: e.Age.Milliseconds(),
		})
		h.metrics.keyEvents.WithLabelValues(string(e.Kind)).Inc()
		log.WithFields(log.Fields{
			"service": e.Service, "from": e.From, "to": e.To, "server": e.Server, "token": e.Token,
			"heartbeat_age_ms": e.Age.Milliseconds(), "load": e.Load, "term": l.term,
		}).Info("keys " + string(e.Kind))
	}
	if dropped > 0 {
		log.WithField("count", dropped).Warn("key events dropped")
	}
}

// reportLeaves passes the recorded leaves to the coordinator. The first call of a leadership passes
// them as leaves announced to earlier leaders.
func (h *Host) reportLeaves(now time.Duration, l *leadership) {
	left := h.state.recordedLeaves()
	for _, leave := range left {
		if l.leavesRestored {
			l.coordinator.Leave(now, leave)
		} else {
			l.coordinator.RestoreLeave(now, leave)
		}
	}
	l.leavesRestored = true
}

// setServices tells a coordinator the services of the configuration.
func setServices(c *keyrange.Coordinator, config routes.Config) {
	var keyed []keyrange.KeyedService
	var keyless []string
	for _, s := range config.Services {
		if s.Keyed {
			regions, restricted := config.RegionsOfService(s.Name)
			keyed = append(keyed, keyrange.KeyedService{
				Name: s.Name, ByCall: s.Grants == routes.GrantsByCall, Regions: regions, Restricted: restricted,
			})
		} else {
			keyless = append(keyless, s.Name)
		}
	}
	c.SetServices(keyed, keyless...)
	c.SetWarmups(warmups(config))
}

// addHostInfo sets the fields that every update carries.
func (h *Host) addHostInfo(update *keyrange.TableUpdate) {
	update.ControlHosts = h.memberAddresses()
	update.EntryHosts = int64(len(h.subscribers))
}

// subscribe registers a gateway for updates, and sends it the full table and what it lacks of the
// configuration.
func (h *Host) subscribe(conn *peer.Conn, report routes.ConfigReport) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.leading
	if l == nil {
		return errors.Wrap(ErrUnavailable, "this host is not the leader")
	}
	s := &subscriber{configVersion: report.Version, sentVersion: report.Version}
	h.subscribers[conn] = s
	h.sendConfig(l, conn, s)
	if h.offersEvacuations() {
		h.sendEvacuations(conn, s, h.state.evacuationSet())
	}
	body := h.encodeFullTable(l)
	if body == nil {
		return errors.New("encode table")
	}
	log.WithField("gateway", conn.Identity().Name).Info("gateway connected")
	if err := h.sendQuarantine(conn, l.quarantine.Snapshot(clock.Now())); err != nil {
		return err
	}
	if err := conn.Notify(wire.KindFleetTable, body); err != nil {
		return err
	}
	return h.sendFullDigest(l, conn)
}
