package fleet

import (
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/galenalug/galenalug/evacuation"
	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/rollout"
	"github.com/galenalug/galenalug/routes"
)

// evacuationState is the part of a leadership that deals with evacuations.
type evacuationState struct {
	tracker *rollout.Tracker            // of the revisions that gateways use; nil if evacuations are not offered
	since   map[string]evacuationStart  // by failure domain
	traffic map[string]evacuationReport // by gateway
}

// evacuationStart is when an evacuation was started, on this host's clock.
type evacuationStart struct {
	revision uint64
	at       time.Duration
}

// offersEvacuations reports whether failure domains can be evacuated.
func (h *Host) offersEvacuations() bool { return h.settings.EvacuateMs > 0 }

// evacuationBound returns the least time from the commit of a start until no request may be sent.
func (h *Host) evacuationBound() time.Duration {
	return evacuation.Bound(clock.Milliseconds(h.settings.EvacuateMs))
}

func (h *Host) newEvacuationState() evacuationState {
	state := evacuationState{since: map[string]evacuationStart{}, traffic: map[string]evacuationReport{}}
	if h.offersEvacuations() {
		state.tracker = rollout.NewTracker(rollout.Options{Lease: h.configLease(), Bound: h.evacuationBound()})
	}
	return state
}

// endedEvacuationSlack covers the differences between the clocks of control hosts when a new leader looks for evacuations
// that ended shortly before its term.
const endedEvacuationSlack = time.Minute

// evacuationEnds returns the failure domains whose servers may be cold in a term that begins now, because the evacuation
// ended within the time for which servers are cold. The mark counts from the begin of the term, since the clock of the
// host that was called may be off; a heartbeat since then proves that a server is warm.
func (h *Host) evacuationEnds(now time.Duration) map[string]time.Duration {
	longest := time.Duration(0)
	for _, w := range warmups(h.state.config()) {
		longest = max(longest, w.Time)
	}
	ends := map[string]time.Duration{}
	if longest == 0 {
		return ends // no service has a limit for cold servers
	}
	for _, domain := range h.state.evacuationSet().EndedSince(time.Now().Add(-longest - endedEvacuationSlack).UnixMilli()) {
		ends[domain] = now
	}
	return ends
}

func (e *evacuationState) inherit(now time.Duration) {
	if e.tracker != nil {
		e.tracker.Inherit(now)
	}
}

func evacuationTracker(l *leadership) *rollout.Tracker { return l.evacuations.tracker }

// reportInForce records what a gateway uses, and returns the length of the lease that it is granted: it needs the newest
// configuration, and the newest set of evacuated failure domains if evacuations are offered.
func (l *leadership) reportInForce(now time.Duration, name string, report routes.ConfigReport, newest, revision uint64) time.Duration {
	tracker := l.evacuations.tracker
	if tracker == nil {
		return l.rollout.Report(now, name, report.Version, newest)
	}
	l.rollout.Observe(name, report.Version)
	tracker.Observe(name, report.Evacuations)
	if report.Version != newest || report.Evacuations != revision {
		return 0
	}
	tracker.Grant(now, name)
	return l.rollout.Grant(now, name)
}

// removeReplica records that a gateway has given up its lease.
func (l *leadership) removeReplica(name string) {
	l.rollout.Remove(name)
	if l.evacuations.tracker != nil {
		l.evacuations.tracker.Remove(name)
	}
}

// publishEvacuations sends the set to the gateways that have not been sent it, and passes it to the coordinator. It must
// be called with Host.mu held.
func (h *Host) publishEvacuations(now time.Duration, l *leadership) {
	if !h.offersEvacuations() {
		return
	}
	set := h.state.evacuationSet()
	for _, domain := range l.evacuations.update(now, set) {
		l.coordinator.MarkCold(now, domain) // its servers may have got no requests, or have started again
	}
	since := make(map[string]time.Duration, len(set.Domains))
	keys := int64(0)
	for domain, start := range l.evacuations.since {
		since[domain] = start.at
		keys += l.coordinator.KeysInDomain(domain)
	}
	l.coordinator.SetEvacuated(since)
	h.metrics.evacuations.set(set, keys)
	for conn, s := range h.subscribers {
		if s.sentRevision != set.Revision {
			h.sendEvacuations(conn, s, set)
		}
	}
}

// update brings the times of the starts up to date with the set, and returns the failure domains whose evacuation has
// ended. The times only pace the moves of keys, so the clock of the host that was called may be off.
func (e *evacuationState) update(now time.Duration, set evacuation.Set) (ended []string) {
	for domain := range e.since {
		if _, evacuated := set.Find(domain); !evacuated {
			delete(e.since, domain)
			ended = append(ended, domain)
		}
	}
	for _, d := range set.Domains {
		if e.since[d.Name].revision != d.Revision {
			age := max(0, time.Since(time.UnixMilli(d.StartMillis)))
			e.since[d.Name] = evacuationStart{revision: d.Revision, at: now - age}
		}
	}
	return ended
}

// sendEvacuations sends the set to a gateway. It must be called with Host.mu held.
func (h *Host) sendEvacuations(conn *peer.Conn, s *subscriber, set evacuation.Set) {
	body, err := cbor.Marshal(evacuation.Update{Set: set, BoundMillis: h.evacuationBound().Milliseconds()})
	if err != nil {
		log.WithError(err).Error("encoding the evacuated failure domains failed")
		return
	}
	if err := conn.Notify(wire.KindEvacuations, body); err != nil {
		return // the connection is closed, and the gateway subscribes again
	}
	s.sentRevision = set.Revision
}
