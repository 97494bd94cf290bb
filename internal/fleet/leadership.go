package fleet

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/quarantine"
	"github.com/galenalug/galenalug/ratelimit"
	"github.com/galenalug/galenalug/rollout"
	"github.com/galenalug/galenalug/serverload"
	"github.com/galenalug/galenalug/slotqueue"
	"github.com/galenalug/galenalug/warmup"
)

// leadership is the state of a leader that is not replicated.
type leadership struct {
	term           uint64
	coordinator    *keyrange.Coordinator
	propagation    *propagation
	encodedUpdates encodedUpdates
	fullTable      fullTable
	rollout        *rollout.Tracker
	evacuations    evacuationState
	issuer         *ratelimit.Issuer
	coldIssuer     *warmup.Issuer
	quarantine     *quarantine.Tracker
	admission      *admission // nil if this host plans no admission
	slots          *slotqueue.Queue[*peer.Conn]
	loads          *serverload.Tracker // nil without balance: work
	calls          *grantCalls         // nil if this host makes no calls to backend servers
	reported       chan struct{}       // closed at the next configuration report of a gateway, or when the leadership ends
	leavesRestored bool                // the coordinator has the leaves recorded under earlier leaders
}

// onLeader handles a change of this host's leadership. It is called by the goroutine of the
// replicated log.
func (h *Host) onLeader(leads bool, term uint64) {
	log.WithFields(log.Fields{"host": h.name, "leads": leads, "term": term}).Info("leadership changed")
	h.mu.Lock()
	defer h.mu.Unlock()
	if !leads {
		h.metrics.leads.Set(0)
		h.metrics.calls.ownerless.Set(0)
		h.metrics.cold.servers.Set(0)
		h.metrics.limitedGroups.Set(0)
		h.metrics.slots.reset()
		if h.leading != nil {
			close(h.leading.reported) // ends the waiting acknowledgements
			h.leading.calls.end()
		}
		h.leading = nil
		for conn := range h.subscribers {
			conn.Close()
		}
		return
	}
	h.metrics.leads.Set(1)
	h.leading = h.newLeadership(term)
	setServices(h.leading.coordinator, h.state.config())
	h.requestPublish()
}

// newLeadership returns the state of a leader whose term begins.
func (h *Host) newLeadership(term uint64) *leadership {
	now := clock.Now()
	configs, evacuations := h.newRollout(), h.newEvacuationState()
	if h.state.config().Version > 0 {
		configs.Inherit(now)
		evacuations.inherit(now)
	}
	return &leadership{
		loads:       h.newLoads(),
		term:        term,
		coordinator: h.newCoordinator(now, term),
		rollout:     configs,
		evacuations: evacuations,
		issuer:      ratelimit.NewIssuer(),
		coldIssuer:  warmup.NewIssuer(),
		quarantine:  quarantine.NewTracker(now),
		admission:   h.newAdmission(),
		slots:       slotqueue.New[*peer.Conn](),
		calls:       h.newGrantCalls(),
		reported:    make(chan struct{}),
	}
}

// newCoordinator returns the coordinator of a term that begins. Servers may hold keys under leases of earlier terms.
func (h *Host) newCoordinator(now time.Duration, term uint64) *keyrange.Coordinator {
	inheritedLeasesEnd := time.Duration(0)
	if previous := h.state.recordedLease(); previous > 0 {
		inheritedLeasesEnd = now + keyrange.LeaseBound(previous)
	}
	lease := h.lease()
	return keyrange.New(keyrange.Options{
		Term:               term,
		Keys:               keySpace,
		RangesPerServer:    initialRangesPerServer,
		Lease:              lease,
		InheritedLeasesEnd: inheritedLeasesEnd,
		RecordedGrants:     h.state.grants(),
		Regions:            h.settings.Domains,
		EvacuationEnds:     h.evacuationEnds(now),
		RevokeBy:           clock.Milliseconds(h.settings.EvacuateMs) / 2,
		DrainPeriod:        clock.Milliseconds(h.settings.DrainMs),
		HeartbeatInterval:  clock.Milliseconds(h.settings.ServerHeartbeatMs),
		HeartbeatTimeout:   2 * lease,
	})
}

// Leads reports whether this host considers itself the leader. A deposed leader may still return
// true; operations that it must not perform also call confirmLeadership.
func (h *Host) Leads() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leading != nil
}

// confirmLeadership returns nil once it is proven that this host was still the leader after the
// call began.
func (h *Host) confirmLeadership(ctx context.Context) error {
	if h.runner.Leads() {
		return nil
	}
	return mapLogError(h.runner.ReadBarrier(ctx))
}

// The default lease is leaseHeartbeats heartbeat intervals plus leaseSlack. A server may miss one
// heartbeat, and leaseSlack covers an outage of all control hosts with the following election.
const (
	leaseHeartbeats = 2
	leaseSlack      = 4 * time.Second
)

// lease returns the duration of leases on key ranges.
func (h *Host) lease() time.Duration {
	if h.settings.LeaseMs > 0 {
		return clock.Milliseconds(h.settings.LeaseMs)
	}
	lease := leaseHeartbeats*clock.Milliseconds(h.settings.ServerHeartbeatMs) + leaseSlack
	return min(lease, clock.Milliseconds(h.settings.MaxLeaseMs))
}
