package fleet

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/keyrange"
)

// Heartbeat processes the heartbeat of a backend server. A follower forwards it to the leader. The error's
// cause is keyrange.ErrInvalid if no server can mean the heartbeat.
func (h *Host) Heartbeat(ctx context.Context, hb keyrange.Heartbeat) (keyrange.HeartbeatReply, error) {
	if err := hb.Validate(time.Now()); err != nil {
		return keyrange.HeartbeatReply{}, err
	}
	if !h.Leads() {
		var reply keyrange.HeartbeatReply
		err := h.forwardToLeader(ctx, wire.KindServerHeartbeat, hb, &reply)
		return reply, err
	}
	reply, err := h.handleHeartbeat(ctx, hb)
	reply.HeartbeatAddress = "" // the caller already sends to the leader
	return reply, err
}

// handleHeartbeat processes a heartbeat on the leader and records it in the metrics.
func (h *Host) handleHeartbeat(ctx context.Context, hb keyrange.Heartbeat) (keyrange.HeartbeatReply, error) {
	started := time.Now()
	reply, err := h.processHeartbeat(ctx, hb)
	h.metrics.countHeartbeat(started, err)
	return reply, err
}

func (h *Host) processHeartbeat(ctx context.Context, hb keyrange.Heartbeat) (keyrange.HeartbeatReply, error) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	received := clock.Now()
	if err := h.confirmLeadership(ctx); err != nil {
		return keyrange.HeartbeatReply{}, err
	}
	reply, toRecord, err := h.applyHeartbeat(hb, received)
	if err != nil {
		return reply, err
	}
	if err := h.recordGrants(ctx, toRecord.grants); err != nil {
		return keyrange.HeartbeatReply{}, err
	}
	if err := h.recordDraining(ctx, toRecord.draining); err != nil {
		return keyrange.HeartbeatReply{}, err
	}
	h.requestPublish()
	return reply, nil
}

// heartbeatRecord is what must be recorded before the reply to a heartbeat is sent.
type heartbeatRecord struct {
	grants   []keyrange.Assignment
	draining *keyrange.Leave // nil if the server does not drain, or that is recorded
}

// recordDraining commits to the log that a server drains: the acknowledgement of its heartbeat also binds later
// leaders, which may not hear from it.
func (h *Host) recordDraining(ctx context.Context, draining *keyrange.Leave) error {
	if draining == nil {
		return nil
	}
	_, err := h.propose(ctx, command{Leave: draining})
	return err
}

// recordGrants commits grants to the log. It must succeed before the reply with the grants is sent.
func (h *Host) recordGrants(ctx context.Context, granted []keyrange.Assignment) error {
	if len(granted) == 0 {
		return nil
	}
	_, err := h.propose(ctx, command{Grants: granted})
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leading != nil {
		h.leading.coordinator.ResolveGrants(clock.Now(), granted, err == nil)
	}
	return err
}

// applyHeartbeat returns the reply to a heartbeat, and what must be recorded before the reply is sent.
func (h *Host) applyHeartbeat(hb keyrange.Heartbeat, received time.Duration) (keyrange.HeartbeatReply, heartbeatRecord, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leading == nil || h.state.recordedLease() < h.lease() {
		return keyrange.HeartbeatReply{}, heartbeatRecord{}, errors.Wrap(ErrUnavailable, "leadership begins")
	}
	if clock.Now()-received > heartbeatTimeout {
		return keyrange.HeartbeatReply{}, heartbeatRecord{}, errors.Wrap(ErrUnavailable, "this host was suspended")
	}
	coordinator := h.leading.coordinator
	reply := coordinator.Heartbeat(clock.Now(), hb)
	reply.HeartbeatAddress = h.settings.ControlListen
	toRecord := heartbeatRecord{grants: coordinator.TakePendingGrants()}
	if hb.Server.Draining && !coordinator.KnowsDeparture(hb.Server) {
		toRecord.draining = &keyrange.Leave{ID: hb.Server.ID, StartMillis: hb.Server.StartMillis}
	}
	return reply, toRecord, nil
}

// heartbeatTimeout limits the processing of a heartbeat. The sender gives up after 1 s.
const heartbeatTimeout = 900 * time.Millisecond
