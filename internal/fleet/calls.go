package fleet

import (
	"context"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/evacuation"
	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/groupcall"
	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/quarantine"
	"github.com/galenalug/galenalug/ratelimit"
	"github.com/galenalug/galenalug/routes"
)

// handler serves calls and messages from gateways and other control hosts.
type handler struct{ host *Host }

// Call serves a call. Except for join requests, a follower doesn't forward calls from peers: it
// answers with the address of the leader.
func (a *handler) Call(ctx context.Context, from *peer.Conn, kind int, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	h := a.host
	if kind == wire.KindJoin {
		return encodeReply(decodeAndHandle(body, func(join wire.Join) (any, error) { return nil, h.admitMember(ctx, join) }))
	}
	if !h.Leads() {
		return nil, &peer.Error{Code: wire.CodeNotLeader, Detail: h.runner.Leader()}
	}
	switch kind {
	case wire.KindServerHeartbeat:
		return encodeReply(decodeAndHandle(body, func(hb keyrange.Heartbeat) (any, error) { return h.handleHeartbeat(ctx, hb) }))
	case wire.KindServerLeave:
		return encodeReply(decodeAndHandle(body, func(leave keyrange.Leave) (any, error) { return nil, h.recordLeave(ctx, leave) }))
	case wire.KindPutConfig:
		return encodeReply(decodeAndHandle(body, func(put routes.Put) (any, error) { return h.Put(ctx, put) }))
	case wire.KindEvacuate:
		return encodeReply(decodeAndHandle(body, func(change evacuation.ConditionalChange) (any, error) { return h.changeEvacuation(ctx, change) }))
	case wire.KindGetEvacuations:
		status, err := h.Evacuations(ctx)
		return encodeReply(status, err)
	case wire.KindGetDocument:
		document, err := h.Document(ctx)
		return encodeReply(document, err)
	case wire.KindGetConfig:
		config, err := h.Config(ctx)
		return encodeReply(config, err)
	case wire.KindGetServers:
		servers, err := h.Servers(ctx)
		return encodeReply(servers, err)
	case wire.KindConfigReport:
		return encodeReply(decodeAndHandle(body, func(report routes.ConfigReport) (any, error) {
			if err := h.confirmLeadership(ctx); err != nil {
				return nil, err
			}
			return h.handleConfigReport(from, report)
		}))
	case wire.KindTokenRequest:
		return encodeReply(decodeAndHandle(body, func(request ratelimit.TokenRequest) (any, error) {
			if err := h.confirmLeadership(ctx); err != nil {
				return nil, err
			}
			return h.issueTokens(request)
		}))
	case wire.KindPermitRequest:
		return encodeReply(decodeAndHandle(body, func(request quarantine.PermitRequest) (any, error) {
			if err := h.confirmLeadership(ctx); err != nil {
				return nil, err
			}
			return h.permitRun(request)
		}))
	case wire.KindSubscribe:
		return encodeReply(decodeAndHandle(body, func(report routes.ConfigReport) (any, error) {
			if err := h.confirmLeadership(ctx); err != nil {
				return nil, err
			}
			return nil, h.subscribe(from, report)
		}))
	}
	return nil, &peer.Error{Code: wire.CodeInvalid, Detail: "unknown call"}
}

// decodeAndHandle decodes the body of a call and passes it to handle.
func decodeAndHandle[T any](body []byte, handle func(T) (any, error)) (any, error) {
	var request T
	if err := cbor.Unmarshal(body, &request); err != nil {
		return nil, &peer.Error{Code: wire.CodeInvalid, Detail: err.Error()}
	}
	return handle(request)
}

// encodeReply encodes a reply, or converts an error to one that can be sent to a peer.
func encodeReply(reply any, err error) ([]byte, error) {
	var typed *peer.Error
	switch {
	case errors.As(err, &typed):
		return nil, typed
	case errors.Is(err, ErrUnavailable):
		return nil, &peer.Error{Code: wire.CodeUnavailable, Detail: err.Error()}
	case err != nil:
		return nil, &peer.Error{Code: wire.CodeUnknown, Detail: err.Error()}
	case reply == nil:
		return nil, nil
	}
	return cbor.Marshal(reply)
}

// Notify handles messages of the replicated log, load reports and crash reports.
func (a *handler) Notify(from *peer.Conn, kind int, body []byte) {
	switch kind {
	case wire.KindRaft:
		a.host.peers.recordHeard(from.Identity())
		a.host.deliverRaft(body)
	case wire.KindCrashReport:
		a.host.handleCrashReport(from.Identity().Name, body)
	case wire.KindLoadReport:
		a.host.handleLoadReport(from.Identity().Name, body)
	case wire.KindDemandReport:
		a.host.handleDemandReport(body)
	case wire.KindSlotRequest:
		a.host.handleSlotRequest(from, body)
	case wire.KindSlotRelease:
		a.host.handleSlotRelease(from, body)
	case wire.KindEvacuationSent:
		a.host.handleEvacuationTraffic(from.Identity().Name, body)
	default:
		log.WithField("kind", kind).Warn("unknown message from a peer")
	}
}

// Closed removes the subscription of a gateway that disconnected.
func (a *handler) Closed(conn *peer.Conn) {
	a.host.mu.Lock()
	defer a.host.mu.Unlock()
	if _, known := a.host.subscribers[conn]; known {
		delete(a.host.subscribers, conn)
		a.host.forgetSlots(conn)
		log.WithField("gateway", conn.Identity().Name).Info("gateway disconnected")
	}
}

func (h *Host) deliverRaft(body []byte) {
	_, messages, err := groupcall.DecodeRaft(body)
	if err != nil {
		log.WithError(err).Warn("invalid messages of the replicated log dropped")
		return
	}
	if h.runner != nil {
		h.runner.Deliver(messages)
	}
}

func (h *Host) handleLoadReport(gateway string, body []byte) {
	var report keyrange.LoadReport
	if err := cbor.Unmarshal(body, &report); err != nil {
		log.WithError(err).Warn("invalid load report dropped")
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leading != nil {
		h.leading.coordinator.Report(clock.Now(), gateway, report)
		h.leading.observeLoads(clock.Now(), report)
	}
}
