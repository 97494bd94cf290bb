package control

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/allowance"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/ownership"
)

func (h *Host) announce(ctx context.Context, a wire.Announcement) (wire.AnnouncementReply, error) {
	g, err := h.regionGroup(h.groupOf(a.Region))
	if err != nil {
		return wire.AnnouncementReply{}, err
	}
	renewed, err := g.heartbeat(ctx, toHeartbeat(a))
	if err != nil {
		return wire.AnnouncementReply{}, h.toPeerError(g.name, err)
	}
	g.observeHeartbeat(renewed.Session, a.Load)
	return wire.AnnouncementReply{
		Session:     renewed.Session,
		LeaseMillis: int(renewed.Lease.Milliseconds()),
		Version:     g.version(),
	}, nil
}

func toHeartbeat(a wire.Announcement) ownership.Heartbeat {
	heartbeat := ownership.Heartbeat{
		Session: a.Session,
		Server: ownership.Server{
			Name:        a.Name,
			Incarnation: a.Incarnation,
			Service:     a.Service,
			Address:     a.Address,
			Region:      a.Region,
			Domain:      a.Domain,
			Keyed:       a.Keyed,
			Fencing:     a.Fencing,
			Slots:       a.Slots,
			Connections: a.Connections,
			Draining:    a.Draining,
		},
	}
	for _, grant := range a.Released {
		heartbeat.Released = append(heartbeat.Released, ownership.SlotGrant{Slot: grant.Slot, Token: grant.Token})
	}
	return heartbeat
}

func (g *regionGroup) version() uint64 {
	g.state.mu.RLock()
	defer g.state.mu.RUnlock()
	return g.state.ownership.Version()
}

// renew renews an entry host's session and records its observations.
func (h *Host) renew(_ context.Context, r wire.Renewal) (wire.RenewalReply, error) {
	g, err := h.regionGroup(r.Group)
	if err != nil {
		return wire.RenewalReply{}, err
	}
	limit := func(pair allowance.Pair) (allowance.Limit, error) { return h.limit(g, pair) }
	reply, err := g.renewEntryHost(r, limit)
	if err != nil {
		return wire.RenewalReply{}, h.toPeerError(g.name, err)
	}
	return reply, nil
}

// renewEntryHost processes an entry host's renewal. It returns errNotLeading unless this host is
// the confirmed leader before and after.
func (g *regionGroup) renewEntryHost(r wire.Renewal, limit func(allowance.Pair) (allowance.Limit, error)) (wire.RenewalReply, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	leader, err := g.currentLeadership()
	if err != nil {
		return wire.RenewalReply{}, err
	}
	now := g.now()
	renewed := leader.coordinator.RenewEntryHost(now, ownership.EntryHostRenewal{
		Host:      r.Name + "/" + r.Incarnation,
		Version:   r.Version,
		Confirmed: r.Confirmed,
	})
	observeLoads(leader.coordinator, now, r.Loads)
	reply := wire.RenewalReply{LeaseMillis: int(renewed.Lease.Milliseconds()), Version: g.version()}
	reply.Probes = leader.monitor.observe(now, r)
	g.observeKeys(leader, now, r)
	for _, share := range r.Shares {
		entryHost := r.Name + "/" + r.Incarnation
		reply.Shares = append(reply.Shares, leader.renewShare(now, entryHost, share, limit))
	}
	if _, err := g.currentLeadership(); err != nil {
		return wire.RenewalReply{}, err
	}
	return reply, nil
}

// renewShare renews a share, or returns the reason for its refusal.
func (l *leadership) renewShare(
	now time.Duration, entryHost string, share wire.Share, limitFunc func(allowance.Pair) (allowance.Limit, error),
) wire.Share {
	pair := allowance.Pair{Customer: share.Customer, Service: share.Service}
	limit, err := limitFunc(pair)
	if err != nil {
		limit = allowance.Limit{}
	}
	grant := l.shares.Renew(now, limit.RequestsPerSecond, allowance.Renewal{
		Child:  entryHost,
		Pair:   pair,
		Held:   allowance.Grant{Number: share.Number, Share: share.Held},
		Demand: share.Wanted,
	})
	return wire.Share{
		Customer: share.Customer,
		Service:  share.Service,
		Granted:  grant.Share,
		Number:   grant.Number,
		Burst:    allowance.BurstShare(limit, grant.Share),
		Refusal:  shareRefusal(err),
	}
}

// shareRefusal returns the refusal code for an error of Host.limit.
func shareRefusal(err error) string {
	switch {
	case errors.Is(err, allowance.ErrNoPlan):
		return wire.ShareNoPlan
	case errors.Is(err, allowance.ErrNotAllowed):
		return wire.ShareNotAllowed
	}
	return ""
}
