package routing

import (
	"cmp"
	"context"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/membership"
)

// renew renews this host's session with a region's leader. The renewal also reports on the region's
// servers and, in the home group, renews the shares of allowances.
func (l *Link) renew(ctx context.Context, group string) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	sentAt := l.now()
	request := wire.Renewal{
		Group:       group,
		Name:        l.options.Settings.Name,
		Incarnation: l.options.Incarnation,
		Region:      l.options.Settings.Region,
		Domain:      l.options.Settings.Domain,
		Version:     l.table.version(group),
		Confirmed:   l.table.confirmVersion(group),
	}
	request.Evidence, request.Loads = l.observer.take(sentAt, group)
	request.KeyLoads = l.observer.takeKeys(sentAt, group)
	var sent []pendingRenewal
	if group == l.homeGroup() {
		sent = l.limits.prepare(sentAt)
		request.Shares = wireShares(sent)
	}
	var reply wire.RenewalReply
	if err := l.caller.Call(ctx, group, wire.KindRenew, request, &reply); err != nil {
		log.WithError(err).WithField("group", group).Debug("session renewal failed")
		return
	}
	if reply.LeaseMillis > 0 {
		l.table.renewLease(group, sentAt, time.Duration(reply.LeaseMillis)*time.Millisecond)
	}
	l.recordLeaderVersion(group, reply.Version)
	l.limits.accept(l.now(), sent, reply.Shares)
	l.probeRequested(group, reply.Probes)
}

// probeRequested probes the servers for which a region's leader requests a probe.
func (l *Link) probeRequested(group string, sessions []uint64) {
	if l.probe == nil {
		return
	}
	for _, session := range sessions {
		if server, ok := l.table.serverBySession(group, session); ok {
			l.probe(server)
		}
	}
}

// Announce registers a backend server or renews its session.
func (l *Link) Announce(ctx context.Context, a wire.Announcement) (wire.AnnouncementReply, error) {
	var reply wire.AnnouncementReply
	err := l.caller.Call(ctx, membership.GroupOf(l.hosts, a.Region), wire.KindAnnounce, a, &reply)
	return reply, err
}

// Grants returns a session's grants as soon as their version is greater than after, or when wait has
// passed.
func (l *Link) Grants(ctx context.Context, name string, session, after uint64, wait time.Duration) (wire.Grants, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		changed := l.table.Changed()
		group, ok := l.table.groupOf(name, session)
		if ok && l.table.grantsVersion(group, session) > after {
			return l.table.grants(group, name, session), nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			return l.table.grants(cmp.Or(group, l.homeGroup()), name, session), nil
		case <-ctx.Done():
			return wire.Grants{}, errors.Wrap(ctx.Err(), "wait for grants")
		}
	}
}

// Begin records the start of a run in the ledger of the home group of its slot.
func (l *Link) Begin(ctx context.Context, group string, begin wire.RunBegin) (wire.RunReply, error) {
	begin.Group = group
	var reply wire.RunReply
	err := l.caller.Call(ctx, group, wire.KindRunBegin, begin, &reply)
	return reply, err
}

// Finish records the result of a run in the ledger.
func (l *Link) Finish(ctx context.Context, group string, finish wire.RunFinish) (wire.RunReply, error) {
	finish.Group = group
	var reply wire.RunReply
	err := l.caller.Call(ctx, group, wire.KindRunFinish, finish, &reply)
	return reply, err
}
