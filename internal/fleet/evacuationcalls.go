package fleet

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/evacuation"
	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/wire"
)

// ErrUnknownDomain means that there is no failure domain of that name, or that evacuations are not offered.
var ErrUnknownDomain = errors.New("fleet: no such failure domain to evacuate")

// evacuationCallSlack is how long a call may take besides the time for which a gateway that can't be reached delays it.
// It covers a commit while a link is saturated. Callers give up after 4 s, and can try a second host if the first one has no
// answer because it waits for a leader that is cut off.
const evacuationCallSlack = 1500 * time.Millisecond

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
		now := clock.Now() // read after the sequence number: until now, the caller has asked for nothing else
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
