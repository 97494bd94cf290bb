package control

import (
	"context"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/group"
	"github.com/galenalug/galenalug/internal/groupcall"
	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/membership"
)

// handler serves the calls and messages of entry hosts and other control hosts.
type handler struct {
	host *Host
}

// localTarget is the groupcall.Target of this host itself.
type localTarget struct {
	host *Host
}

// Call serves a call made by this process.
func (t *localTarget) Call(ctx context.Context, kind int, body []byte) ([]byte, error) {
	return t.host.call(ctx, kind, body)
}

// mayCall reports whether processes of a role may make a kind of call. Only control hosts may
// propose commands, request admissions and send region reports.
func mayCall(role string, kind int) bool {
	switch kind {
	case wire.KindPropose, wire.KindJoin, wire.KindReport:
		return role == peer.RoleControl
	default:
		return true
	}
}

// Call serves a call made by another process.
func (h *handler) Call(ctx context.Context, from *peer.Conn, kind int, body []byte) ([]byte, error) {
	if !mayCall(from.Identity().Role, kind) {
		return nil, &peer.Error{Code: wire.CodeInvalid, Detail: "the call is for control hosts"}
	}
	if kind == wire.KindRenew {
		return serve(ctx, body, func(ctx context.Context, r wire.Renewal) (wire.RenewalReply, error) {
			// Use the authenticated name, so that one host cannot report evidence as several.
			r.Name = from.Identity().Name
			return h.host.renew(ctx, r)
		})
	}
	return h.host.call(ctx, kind, body)
}

// Notify handles replicated log messages and table subscriptions.
func (h *handler) Notify(from *peer.Conn, kind int, body []byte) {
	switch kind {
	case wire.KindRaft:
		h.host.deliver(from, body)
	case wire.KindWatch:
		h.host.watch(from, body)
	}
}

// Closed removes the subscriptions of a closed connection.
func (h *handler) Closed(conn *peer.Conn) {
	h.host.global.state.feed.unwatch(conn)
	for _, g := range h.host.regions {
		g.state.feed.unwatch(conn)
	}
}

// deliver passes log messages to their group. Messages of other roles are ignored.
func (h *Host) deliver(from *peer.Conn, body []byte) {
	if from.Identity().Role != peer.RoleControl {
		return
	}
	name, messages, err := groupcall.DecodeRaft(body)
	if err != nil {
		log.WithError(err).WithField("peer", from.Identity().Name).Warn("dropped invalid log messages")
		return
	}
	if runner, ok := h.runners[name]; ok {
		runner.Deliver(messages)
	}
}

func (h *Host) watch(from *peer.Conn, body []byte) {
	var request wire.Watch
	if err := cbor.Unmarshal(body, &request); err != nil {
		log.WithField("peer", from.Identity().Name).Warn("dropped invalid table subscription")
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

// call serves one call. Errors are of type *peer.Error, except if the result of a proposal cannot
// be encoded.
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

// serve decodes a request, executes it and encodes the reply.
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

// toPeerError converts an error of a group to the *peer.Error sent to the caller.
func (h *Host) toPeerError(groupName string, err error) error {
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

// regionGroup returns this host's member of a region's group, or a not-leader error.
func (h *Host) regionGroup(name string) (*regionGroup, error) {
	g, ok := h.regions[name]
	if !ok {
		return nil, &peer.Error{Code: wire.CodeNotLeader}
	}
	return g, nil
}

// propose commits a command sent by a control host.
func (h *Host) propose(ctx context.Context, p wire.Proposal) (wire.ProposalReply, error) {
	runner, ok := h.runners[p.Group]
	if !ok {
		return wire.ProposalReply{}, &peer.Error{Code: wire.CodeNotLeader}
	}
	result, index, err := runner.Propose(ctx, p.Command)
	if err != nil {
		return wire.ProposalReply{}, h.toPeerError(p.Group, err)
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

// join admits a new disk of a control host to a group.
func (h *Host) join(ctx context.Context, j wire.Join) (wire.ProposalReply, error) {
	runner, ok := h.runners[j.Group]
	if !ok || !runner.Leads() {
		return wire.ProposalReply{}, &peer.Error{Code: wire.CodeNotLeader, Detail: h.leaderOf(j.Group)}
	}
	if err := runner.Replace(ctx, j.Name, j.ID); err != nil {
		return wire.ProposalReply{}, h.toPeerError(j.Group, err)
	}
	log.WithFields(log.Fields{"group": j.Group, "host": j.Name}).Info("admitted new disk")
	return wire.ProposalReply{}, nil
}

func (h *Host) report(_ context.Context, r wire.RegionReport) (wire.ReportReply, error) {
	if err := h.global.report(r); err != nil {
		return wire.ReportReply{}, h.toPeerError(wire.GroupGlobal, err)
	}
	return wire.ReportReply{}, nil
}

func (h *Host) groupOf(region string) string { return membership.GroupOf(h.hosts, region) }
