package fleet

import (
	"context"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/rollout"
)

// maxAcknowledgeDelay is the longest time for which gateways that can't be reached delay the
// acknowledgement of a configuration. It also determines how long gateways go on without a leader:
// that time outlasts the loss of a leader and the election of the next one.
const maxAcknowledgeDelay = 2500 * time.Millisecond

// newRollout returns the tracker of the configuration versions that gateways use.
func (h *Host) newRollout() *rollout.Tracker {
	return rollout.NewTracker(rollout.Options{Lease: h.configLease(), Bound: clock.Milliseconds(h.settings.ConfigApplyMs)})
}

// configLease returns how long a gateway may serve requests after it asked whether it uses the newest version.
func (h *Host) configLease() time.Duration {
	return clock.Milliseconds(h.settings.ConfigApplyMs) + maxAcknowledgeDelay
}

// signalReport wakes the waiting acknowledgements. It must be called with Host.mu held.
func (l *leadership) signalReport() {
	close(l.reported)
	l.reported = make(chan struct{})
}

// trackerOf returns one of the trackers of a leadership.
type trackerOf func(l *leadership) *rollout.Tracker

func configTracker(l *leadership) *rollout.Tracker { return l.rollout }

// awaitRollout returns once a committed version may be acknowledged. The change is in effect regardless of the result.
func (h *Host) awaitRollout(ctx context.Context, of trackerOf, version uint64) error {
	for {
		wait, reported, err := h.untilAcknowledgement(of, version)
		if err != nil {
			return err
		}
		if wait <= 0 {
			return nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-reported:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return errors.Wrapf(ErrUnknownOutcome, "version %d is committed, but gateways still use an older one: %s", version, h.replicasBehind(of, version))
		}
		timer.Stop()
	}
}

// untilAcknowledgement returns the time until a version may be acknowledged, and a channel that is
// closed at the next report of a gateway.
func (h *Host) untilAcknowledgement(of trackerOf, version uint64) (time.Duration, <-chan struct{}, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leading == nil {
		return 0, nil, errors.Wrap(ErrUnknownOutcome, "this host is no longer the leader")
	}
	now := clock.Now()
	return of(h.leading).AcknowledgeAt(now, version) - now, h.leading.reported, nil
}

// replicasBehind names the gateways that may use a version older than the given one.
func (h *Host) replicasBehind(of trackerOf, version uint64) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leading == nil {
		return "unknown"
	}
	names := of(h.leading).Behind(clock.Now(), version)
	return strings.Join(names[:min(len(names), maxNamedGateways)], " ")
}

// acknowledge waits until an accepted configuration change may be acknowledged, and logs the change.
func (h *Host) acknowledge(ctx context.Context, version uint64) error {
	started := clock.Now()
	err := h.awaitRollout(ctx, configTracker, version)
	entry := log.WithFields(log.Fields{"version": version, "waited_ms": (clock.Now() - started).Milliseconds()})
	if err != nil {
		entry.WithError(err).Warn("configuration committed but not acknowledged")
		return err
	}
	h.metrics.acknowledgeSeconds.Observe((clock.Now() - started).Seconds())
	entry.Info("configuration acknowledged")
	return nil
}
