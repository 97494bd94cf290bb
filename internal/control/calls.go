package control

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/allowance"
	"github.com/galenalug/galenalug/internal/group"
	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/ledger"
	"github.com/galenalug/galenalug/membership"
	"github.com/galenalug/galenalug/ownership"
	"github.com/galenalug/galenalug/replog"
)

// handler takes the calls and messages of entry hosts and other control hosts.
type handler struct {
	host *Host
}

// localTarget calls this host itself.
type localTarget struct {
	host *Host
}

// Call answers a call of this process.
func (t *localTarget) Call(ctx context.Context, kind int, body []byte) ([]byte, error) {
	return t.host.call(ctx, kind, body)
}

// Call answers a call of another process.
func (h *handler) Call(ctx context.Context, from *peer.Conn, kind int, body []byte) ([]byte, error) {
	if kind == wire.KindRenew {
		return serve(ctx, body, func(ctx context.Context, r wire.Renewal) (wire.RenewalReply, error) {
			// What one host saw must not count as the evidence of several.
			r.Name = from.Identity().Name
			return h.host.renew(ctx, r)
		})
	}
	return h.host.call(ctx, kind, body)
}

// Notify takes log messages and subscriptions.
func (h *handler) Notify(from *peer.Conn, kind int, body []byte) {
	switch kind {
	case wire.KindRaft:
		h.host.deliver(from, body)
	case wire.KindWatch:
		h.host.watch(from, body)
	}
}

// Closed ends the subscriptions of a connection.
func (h *handler) Closed(conn *peer.Conn) {
	h.host.global.state.feed.unwatch(conn)
	for _, g := range h.host.regions {
		g.state.feed.unwatch(conn)
	}
}

// deliver passes log messages to their group. Only control hosts may send them.
func (h *Host) deliver(from *peer.Conn, body []byte) {
	if from.Identity().Role != peer.RoleControl {
		return
	}
	var batch wire.RaftBatch
	var messages []replog.Message
	if cbor.Unmarshal(body, &batch) != nil || cbor.Unmarshal(batch.Messages, &messages) != nil {
		log.WithField("peer", from.Identity().Name).Warn("invalid log messages dropped")
		return
	}
	if runner, ok := h.runners[batch.Group]; ok {
		runner.Deliver(messages)
	}
}

func (h *Host) watch(from *peer.Conn, body []byte) {
	var request wire.Watch
	if err := cbor.Unmarshal(body, &request); err != nil {
		log.WithField("peer", from.Identity().Name).Warn("invalid watch dropped")
		return
	}
	if request.Group == wire.GroupGlobal {
		h.global.state.watch(from, request.Version)
		return
	}
	if g, ok := h.regions[request.Group]; ok {
		g.state.watch(from, request.Version)
	}
}

// call answers one call. Errors are *peer.Error.
func (h *Host) call(ctx context.Context, kind int, body []byte) ([]byte, error) {
	switch kind {
	case wire.KindAnnounce:
		return serve(ctx, body, h.announce)
	case wire.KindRenew:
		return serve(ctx, body, h.renew)
	case wire.KindRunBegin:
		return serve(ctx, body, h.runBegin)
	case wire.KindRunFinish:
		return serve(ctx, body, h.runFinish)
	case wire.KindPropose:
		return serve(ctx, body, h.propose)
	case wire.KindJoin:
		return serve(ctx, body, h.join)
	case wire.KindReport:
		return serve(ctx, body, h.report)
	default:
		return nil, &peer.Error{Code: wire.CodeInvalid, Detail: "unknown kind of call"}
	}
}

// serve decodes a call, executes it and encodes its answer.
func serve[Request, Reply any](ctx context.Context, body []byte, execute func(context.Context, Request) (Reply, error)) ([]byte, error) {
	var request Request
	if err := cbor.Unmarshal(body, &request); err != nil {
		return nil, &peer.Error{Code: wire.CodeInvalid, Detail: err.Error()}
	}
	reply, err := execute(ctx, request)
	if err != nil {
		return nil, err
	}
	encoded, err := cbor.Marshal(reply)
	if err != nil {
		return nil, &peer.Error{Code: wire.CodeInternal, Detail: err.Error()}
	}
	return encoded, nil
}

// translate turns an error of a group into one that travels.
func (h *Host) translate(groupName string, err error) error {
	switch {
	case errors.Is(err, errNotLeading), errors.Is(err, errStaleTerm), errors.Is(err, group.ErrNotLeader):
		return &peer.Error{Code: wire.CodeNotLeader, Detail: h.leaderOf(groupName)}
	case errors.Is(err, group.ErrUnknownOutcome):
		return &peer.Error{Code: wire.CodeUnknown, Detail: err.Error()}
	case errors.Is(err, group.ErrTooLarge):
		return &peer.Error{Code: wire.CodeInvalid, Detail: err.Error()}
	default:
		return &peer.Error{Code: wire.CodeUnavailable, Detail: err.Error()}
	}
}

func (h *Host) leaderOf(groupName string) string {
	runner, ok := h.runners[groupName]
	if !ok {
		return ""
	}
	return runner.Leader()
}

// regionGroup returns this host's member of a region's group.
func (h *Host) regionGroup(name string) (*regionGroup, error) {
	g, ok := h.regions[name]
	if !ok {
		return nil, &peer.Error{Code: wire.CodeNotLeader}
	}
	return g, nil
}

func (h *Host) announce(ctx context.Context, a wire.Announcement) (wire.AnnouncementReply, error) {
	g, err := h.regionGroup(h.groupOf(a.Region))
	if err != nil {
		return wire.AnnouncementReply{}, err
	}
	answer, err := g.heartbeat(ctx, heartbeatOf(a))
	if err != nil {
		return wire.AnnouncementReply{}, h.translate(g.name, err)
	}
	g.noteLoad(answer.Session, a.Load)
	return wire.AnnouncementReply{
		Session:     answer.Session,
		LeaseMillis: int(answer.Lease.Milliseconds()),
		Version:     g.version(),
	}, nil
}

func heartbeatOf(a wire.Announcement) ownership.Heartbeat {
	beat := ownership.Heartbeat{
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
		beat.Released = append(beat.Released, ownership.SlotGrant{Slot: grant.Slot, Token: grant.Token})
	}
	return beat
}

func (g *regionGroup) version() uint64 {
	g.state.mu.RLock()
	defer g.state.mu.RUnlock()
	return g.state.owner.Version()
}

// renew renews an entry host's session and takes what it saw.
func (h *Host) renew(_ context.Context, r wire.Renewal) (wire.RenewalReply, error) {
	g, err := h.regionGroup(r.Group)
	if err != nil {
		return wire.RenewalReply{}, err
	}
	limit := func(pair allowance.Pair) (allowance.Limit, error) { return h.limit(g, pair) }
	reply, err := g.renewEntry(r, limit)
	if err != nil {
		return wire.RenewalReply{}, h.translate(g.name, err)
	}
	return reply, nil
}

// renewEntry answers an entry host's renewal while the host provably leads.
func (g *regionGroup) renewEntry(r wire.Renewal, limit func(allowance.Pair) (allowance.Limit, error)) (wire.RenewalReply, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	lead, err := g.leading()
	if err != nil {
		return wire.RenewalReply{}, err
	}
	now := g.now()
	answer := lead.coordinator.RenewEntry(r.Version)
	observeLoads(lead.coordinator, now, r.Loads)
	reply := wire.RenewalReply{LeaseMillis: int(answer.Lease.Milliseconds()), Version: g.version()}
	reply.Probes = lead.supervision.observe(now, r)
	g.observeKeys(lead, now, r)
	for _, share := range r.Shares {
		child := r.Name + "/" + r.Incarnation
		reply.Shares = append(reply.Shares, lead.renewShare(now, child, share, limit))
	}
	if _, err := g.leading(); err != nil {
		return wire.RenewalReply{}, err
	}
	return reply, nil
}

// renewShare grants a share, or says why there is none.
func (l *leadership) renewShare(
	now time.Duration, child string, share wire.Share, limitOf func(allowance.Pair) (allowance.Limit, error),
) wire.Share {
	pair := allowance.Pair{Customer: share.Customer, Service: share.Service}
	limit, err := limitOf(pair)
	if err != nil {
		limit = allowance.Limit{}
	}
	grant := l.shares.Renew(now, limit.RequestsPerSecond, allowance.Renewal{
		Child:  child,
		Pair:   pair,
		Held:   allowance.Grant{Number: share.Number, Share: share.Held},
		Wanted: share.Wanted,
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

// shareRefusal translates an error of Host.limit.
func shareRefusal(err error) string {
	switch {
	case errors.Is(err, allowance.ErrNoPlan):
		return wire.ShareNoPlan
	case errors.Is(err, allowance.ErrNotAllowed):
		return wire.ShareNotAllowed
	}
	return ""
}

func (h *Host) runBegin(ctx context.Context, r wire.RunBegin) (wire.RunReply, error) {
	g, at, err := h.ledgerOf(r.Group)
	if err != nil {
		return wire.RunReply{}, err
	}
	reply, err := g.runCommand(ctx, ledger.Command{Begin: &ledger.Begin{
		Service:        r.Service,
		Slot:           r.Slot,
		Customer:       r.Customer,
		Key:            r.Key,
		Digest:         r.Digest,
		Host:           r.Host,
		Nonce:          r.Nonce,
		DeadlineMillis: r.DeadlineMillis,
		At:             at,
	}})
	if err != nil {
		return wire.RunReply{}, h.translate(g.name, err)
	}
	return runReply(reply), nil
}

func (h *Host) runFinish(ctx context.Context, r wire.RunFinish) (wire.RunReply, error) {
	g, at, err := h.ledgerOf(r.Group)
	if err != nil {
		return wire.RunReply{}, err
	}
	reply, err := g.runCommand(ctx, ledger.Command{Finish: &ledger.Finish{
		Service:     r.Service,
		Customer:    r.Customer,
		Key:         r.Key,
		Attempt:     r.Attempt,
		State:       ledger.State(r.State),
		Status:      r.Status,
		ContentType: r.ContentType,
		Body:        r.Body,
		At:          at,
	}})
	if err != nil {
		return wire.RunReply{}, h.translate(g.name, err)
	}
	return runReply(reply), nil
}

func runReply(r ledger.Reply) wire.RunReply {
	return wire.RunReply{
		State:       string(r.State),
		Reason:      string(r.Reason),
		Refusal:     string(r.Refusal),
		Status:      r.Status,
		ContentType: r.ContentType,
		Body:        r.Body,
		Attempt:     r.Attempt,
	}
}

// ledgerOf returns the group whose ledger holds a run, and the logical time there.
func (h *Host) ledgerOf(name string) (*regionGroup, uint64, error) {
	g, err := h.regionGroup(name)
	if err != nil {
		return nil, 0, err
	}
	at, err := g.logicalTime()
	if err != nil {
		return nil, 0, h.translate(g.name, err)
	}
	return g, at, nil
}

// propose commits a command of another control host.
func (h *Host) propose(ctx context.Context, p wire.Proposal) (wire.ProposalReply, error) {
	runner, ok := h.runners[p.Group]
	if !ok {
		return wire.ProposalReply{}, &peer.Error{Code: wire.CodeNotLeader}
	}
	result, index, err := runner.Propose(ctx, p.Command)
	if err != nil {
		return wire.ProposalReply{}, h.translate(p.Group, err)
	}
	reply := wire.ProposalReply{Index: index}
	if failure, ok := result.(error); ok {
		return reply, &peer.Error{Code: wire.CodeInvalid, Detail: failure.Error()}
	}
	if result == nil {
		return reply, nil
	}
	reply.Result, err = cbor.Marshal(result)
	return reply, errors.Wrap(err, "encode result")
}

// join admits a control host's new disk.
func (h *Host) join(ctx context.Context, j wire.Join) (wire.ProposalReply, error) {
	runner, ok := h.runners[j.Group]
	if !ok || !runner.Leads() {
		return wire.ProposalReply{}, &peer.Error{Code: wire.CodeNotLeader, Detail: h.leaderOf(j.Group)}
	}
	if err := runner.Replace(ctx, j.Name, j.ID); err != nil {
		return wire.ProposalReply{}, h.translate(j.Group, err)
	}
	log.WithFields(log.Fields{"group": j.Group, "host": j.Name}).Info("new disk admitted")
	return wire.ProposalReply{}, nil
}

func (h *Host) report(_ context.Context, r wire.RegionReport) (wire.ReportReply, error) {
	if err := h.global.report(r); err != nil {
		return wire.ReportReply{}, h.translate(wire.GroupGlobal, err)
	}
	return wire.ReportReply{}, nil
}

func (h *Host) groupOf(region string) string { return membership.GroupOf(h.hosts, region) }
