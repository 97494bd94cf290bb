package fleet

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/evacuation"
	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/keyrange"
)

// maxLeaveAge is the age up to which a leave that names no process counts: a later process of the server may have started
// since, and the caller has repeated the call elsewhere.
const maxLeaveAge = evacuation.CallerPatience

// Leave records that a backend server leaves. The record is committed to the log before the call is
// acknowledged, so that a new leader has it. received is when the call arrived at this host, by package clock.
func (h *Host) Leave(ctx context.Context, leave keyrange.Leave, received time.Duration) error {
	if err := leave.Validate(time.Now()); err != nil {
		return err
	}
	if leave.StartMillis == 0 {
		now := clock.Now()
		age := now - min(received, h.pauses.EarliestArrival(now))
		if age > maxLeaveAge {
			return errors.Wrapf(ErrUnavailable, "the call is %v old and names no process", age)
		}
		leave.ReceivedMillis = time.Now().Add(-age).UnixMilli()
	}
	return h.recordLeave(ctx, leave)
}

// recordLeave has the leader commit a leave to the log.
func (h *Host) recordLeave(ctx context.Context, leave keyrange.Leave) error {
	if !h.Leads() {
		return h.forwardToLeader(ctx, wire.KindServerLeave, leave, nil)
	}
	leave = h.nameProcess(leave)
	log.WithFields(log.Fields{"server": leave.ID, "start_ms": leave.StartMillis}).Info("backend server is leaving")
	_, err := h.propose(ctx, command{Leave: &leave})
	h.requestPublish()
	return err
}

// nameProcess completes a leave that names no process, if the leader knows it.
func (h *Host) nameProcess(leave keyrange.Leave) keyrange.Leave {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leading == nil {
		return leave
	}
	return h.leading.coordinator.NameProcess(leave)
}
