package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/evacuation"
	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/trace"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/rollout"
	"github.com/galenalug/galenalug/routes"
)

// ErrUnknownDomain means that there is no failure domain of that name, or that evacuations are not offered.
var ErrUnknownDomain = errors.New("fleet: no such failure domain to evacuate")

// trafficAge is the age up to which a gateway's report of requests to evacuated failure domains counts. Gateways repeat
// it every 500 ms, or less often if there are hundreds of them, as long as there are such requests.
const trafficAge = 3 * time.Second

// evacuationCallSlack is how long a call may take besides the time for which a gateway that can't be reached delays it.
// It covers a commit while a link is saturated. Callers give up after 4 s, and can try a second host if the first one has no
// answer because it waits for a leader that is cut off.
const evacuationCallSlack = 1500 * time.Millisecond

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

// evacuationReport is the latest report of a gateway's requests to evacuated failure domains.
type evacuationReport struct {
	at   time.Duration
	sent []evacuation.Sent
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

// Evacuate starts or ends the evacuation of a failure domain. A start returns once no gateway will send requests to the
// domain later than evacuate_ms from then on; an end returns once the connected gateways have been told. received is when
// the call arrived at this host, by package clock. A call whose caller may have given up has no effect (ErrUnavailable).
func (h *Host) Evacuate(ctx context.Context, change evacuation.Change, received time.Duration) error {
	if err := h.checkEvacuation(change); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, max(0, h.configLease()-h.evacuationBound())+evacuationCallSlack)
	defer cancel()
	received = min(received, h.pauses.EarliestArrival(clock.Now()))
	call := evacuation.NewCall(change, received, h.state.evacuationSequence(change.Domain))
	for {
		now := clock.Now()
		conditional, waiting := call.Next(now)
		h.logEvacuationCall(conditional, change, now-received, waiting)
		if !waiting {
			return errors.Wrap(ErrUnavailable, "the call is too old: its caller may no longer wait for it")
		}
		reply, err := h.changeEvacuation(ctx, conditional)
		if err != nil || !reply.Outdated {
			return err
		}
		call.Retry(reply)
	}
}

// changeEvacuation has the leader apply a change, and returns once it may be acknowledged or is outdated.
func (h *Host) changeEvacuation(ctx context.Context, change evacuation.ConditionalChange) (reply evacuation.ChangeReply, err error) {
	if err := h.checkEvacuation(change.Change); err != nil {
		return reply, err
	}
	if !h.Leads() {
		err = h.forwardToLeader(ctx, wire.KindEvacuate, change, &reply)
		return reply, err
	}
	started := clock.Now()
	reply, err = h.commitEvacuation(ctx, change)
	if err == nil && !reply.Outdated && change.Change.Start {
		err = h.awaitRollout(ctx, evacuationTracker, reply.Revision)
	}
	h.recordEvacuation(change, reply, clock.Now()-started, err)
	return reply, err
}

// checkEvacuation returns ErrUnknownDomain if a change can't be made here. A failure domain that is no longer in the
// settings can still be ended.
func (h *Host) checkEvacuation(change evacuation.Change) error {
	_, known := h.settings.Domains[change.Domain]
	_, evacuated := h.state.evacuationSet().Find(change.Domain)
	if !h.offersEvacuations() || !known && !evacuated {
		return errors.Wrapf(ErrUnknownDomain, "%.80q", change.Domain)
	}
	return nil
}

// commitEvacuation commits a change, and sends the set to the gateways. Whether the change takes effect is decided when the
// entry is applied, since other changes may come before it.
func (h *Host) commitEvacuation(ctx context.Context, change evacuation.ConditionalChange) (reply evacuation.ChangeReply, err error) {
	result, err := h.propose(ctx, command{ConditionalEvacuation: &change})
	if err != nil {
		return reply, err
	}
	reply, _ = result.(evacuation.ChangeReply)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leading == nil {
		return reply, errors.Wrap(ErrUnknownOutcome, "this host is no longer the leader")
	}
	h.publishEvacuations(clock.Now(), h.leading)
	return reply, nil
}

// evacuationKind returns the name of a change in logs and metrics.
func evacuationKind(change evacuation.Change) string {
	if change.Start {
		return "start"
	}
	return "end"
}

// logEvacuationCall logs on the host that received a call whether it is sent to the leader.
func (h *Host) logEvacuationCall(conditional evacuation.ConditionalChange, change evacuation.Change, age time.Duration, waiting bool) {
	entry := log.WithFields(log.Fields{
		"domain": change.Domain, "change": evacuationKind(change), "by": change.By, "age_ms": age.Milliseconds(),
		"sequence": conditional.Sequence,
	})
	if waiting {
		entry.Info("evacuation call received")
		return
	}
	entry.Warn("evacuation call dropped, its caller may no longer wait for it")
	h.metrics.evacuations.calls.WithLabelValues(evacuationKind(change), "too_old").Inc()
}

// recordEvacuation logs and counts a change on the leader.
func (h *Host) recordEvacuation(change evacuation.ConditionalChange, reply evacuation.ChangeReply, took time.Duration, err error) {
	kind, outcome := evacuationKind(change.Change), "acknowledged"
	entry := log.WithFields(log.Fields{
		"domain": change.Change.Domain, "change": kind, "by": change.Change.By, "revision": reply.Revision,
		"base_sequence": change.Sequence, "sequence": reply.Sequence, "took_ms": took.Milliseconds(),
	})
	switch {
	case err != nil:
		outcome = "failed"
		entry.WithError(err).Warn("evacuation not acknowledged")
	case reply.Outdated:
		outcome = "outdated"
		entry.Warn("evacuation not changed, another change was acknowledged meanwhile")
	default:
		entry.Info("evacuation acknowledged")
		h.metrics.evacuations.acknowledgeSeconds.WithLabelValues(kind).Observe(took.Seconds())
	}
	h.metrics.evacuations.calls.WithLabelValues(kind, outcome).Inc()
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

func (h *Host) handleEvacuationTraffic(gateway string, body []byte) {
	var traffic evacuation.Traffic
	if err := cbor.Unmarshal(body, &traffic); err != nil {
		log.WithError(err).Warn("invalid report of requests to evacuated failure domains dropped")
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leading != nil {
		h.leading.evacuations.traffic[gateway] = evacuationReport{at: clock.Now(), sent: traffic.Domains}
	}
}

// Evacuations returns the progress of the evacuations. The read is linearizable.
func (h *Host) Evacuations(ctx context.Context) (evacuation.Status, error) {
	var status evacuation.Status
	if !h.offersEvacuations() {
		return status, errors.Wrap(ErrUnknownDomain, "evacuations are not offered")
	}
	if !h.Leads() {
		err := h.forwardToLeader(ctx, wire.KindGetEvacuations, struct{}{}, &status)
		return status, err
	}
	if err := h.runner.ReadBarrier(ctx); err != nil {
		return status, mapLogError(err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leading == nil {
		return status, errors.Wrap(ErrUnavailable, "this host is no longer the leader")
	}
	return h.evacuationStatus(clock.Now(), h.leading), nil
}

// evacuationStatus must be called with Host.mu held.
func (h *Host) evacuationStatus(now time.Duration, l *leadership) evacuation.Status {
	set := h.state.evacuationSet()
	status := evacuation.Status{Revision: set.Revision, Domains: []evacuation.DomainStatus{}, Behind: []string{}}
	for _, d := range set.Domains {
		status.Domains = append(status.Domains, evacuation.DomainStatus{
			Name: d.Name, Revision: d.Revision, StartMillis: d.StartMillis, StartedBy: d.StartedBy,
			Requests: l.evacuations.requests(now, d.Name), Keys: l.coordinator.KeysInDomain(d.Name),
		})
	}
	for conn, s := range h.subscribers {
		if s.evacuations != set.Revision {
			status.Behind = append(status.Behind, conn.Identity().Name)
		}
	}
	slices.Sort(status.Behind)
	return status
}

// requests returns the number of requests to a failure domain in the latest reports of the gateways.
func (e *evacuationState) requests(now time.Duration, domain string) int64 {
	total := int64(0)
	for gateway, report := range e.traffic {
		if now-report.at > trafficAge {
			delete(e.traffic, gateway)
			continue
		}
		for _, sent := range report.sent {
			if sent.Domain == domain {
				total += sent.Requests
			}
		}
	}
	return total
}

// applyEvacuation calls apply, and records a new revision. It must be called with s.mu held.
func (s *fleetState) applyEvacuation(apply func() evacuation.ChangeReply) evacuation.ChangeReply {
	before := s.evacuations.Set().Revision
	reply := apply()
	if s.evacuations.Set().Revision != before {
		s.traceEvacuations()
	}
	return reply
}

// traceEvacuations records that this host has the set. It must be called with s.mu held.
func (s *fleetState) traceEvacuations() {
	set := s.evacuations.Set()
	s.evacuationTrace.Add(time.Now(), trace.Evacuation{Revision: set.Revision, Domains: set.Names()})
}

// evacuationSet returns the evacuated failure domains. They must not be modified.
func (s *fleetState) evacuationSet() evacuation.Set {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuations.Set()
}

// evacuationSequence returns the sequence number of a failure domain.
func (s *fleetState) evacuationSequence(domain string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuations.Sequence(domain)
}
