package fleet

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/group"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/routes"
)

// Errors returned by calls.
var (
	// ErrUnavailable means that the call had no effect: there is no leader, or no quorum.
	ErrUnavailable = errors.New("fleet: unavailable; nothing was done")
	// ErrUnknownOutcome means that the change may or may not take effect.
	ErrUnknownOutcome = errors.New("fleet: the outcome is not known")
)

// Put requests to replace the configuration. It returns once the new one is in force on every gateway
// in contact, and the others stop using older ones within the configured time: see package rollout.
func (h *Host) Put(ctx context.Context, put routes.Put) (routes.PutReply, error) {
	var reply routes.PutReply
	if !h.Leads() {
		err := h.forwardToLeader(ctx, wire.KindPutConfig, put, &reply)
		return reply, err
	}
	if err := h.runner.ReadBarrier(ctx); err != nil {
		return reply, mapLogError(err)
	}
	reply, change, err := h.state.checkPut(put)
	if err != nil {
		return reply, errors.Wrapf(ErrUnavailable, "version %d: %v", put.Config.Version, err)
	}
	if change != nil {
		result, err := h.propose(ctx, *change)
		if err != nil {
			return reply, err
		}
		reply, _ = result.(routes.PutReply)
	}
	h.logPut(put, reply)
	if reply.Outcome != routes.OutcomeAccepted {
		return reply, nil
	}
	return reply, h.acknowledge(ctx, put.Config.Version)
}

func (h *Host) logPut(put routes.Put, reply routes.PutReply) {
	h.metrics.configChanges.WithLabelValues(string(reply.Outcome)).Inc()
	log.WithFields(log.Fields{
		"version": put.Config.Version, "base": put.Base, "outcome": reply.Outcome,
		"in_force": reply.Current, "detail": reply.Detail,
	}).Info("configuration change")
}

// Document returns the operator's source text of the configuration in force. The read is
// linearizable. The text is empty if the configuration was put without one; see Config.
func (h *Host) Document(ctx context.Context) ([]byte, error) {
	var document []byte
	if !h.Leads() {
		err := h.forwardToLeader(ctx, wire.KindGetDocument, struct{}{}, &document)
		return document, err
	}
	if err := h.readBarrier(ctx); err != nil {
		return nil, err
	}
	return h.state.document(), nil
}

// Config returns the configuration in force. The read is linearizable.
func (h *Host) Config(ctx context.Context) (routes.Config, error) {
	var config routes.Config
	if !h.Leads() {
		err := h.forwardToLeader(ctx, wire.KindGetConfig, struct{}{}, &config)
		return config, err
	}
	if err := h.readBarrier(ctx); err != nil {
		return config, err
	}
	return h.state.config(), nil
}

// Servers returns the backend servers that the leader knows. It fails while a new leader may not know all of them.
func (h *Host) Servers(ctx context.Context) (keyrange.ServerList, error) {
	list := keyrange.ServerList{Servers: []keyrange.RegionServer{}}
	if !h.Leads() {
		err := h.forwardToLeader(ctx, wire.KindGetServers, struct{}{}, &list)
		return list, err
	}
	if err := h.confirmLeadership(ctx); err != nil {
		return list, err
	}
	servers, err := h.publishedServers()
	if err != nil {
		return list, err
	}
	for _, s := range servers {
		list.Servers = append(list.Servers, keyrange.RegionServer{
			ID: s.ID, Service: s.Service, Domain: s.Domain, Region: h.settings.Domains[s.Domain], Slots: s.Slots, Draining: s.Draining,
		})
	}
	slices.SortFunc(list.Servers, func(a, b keyrange.RegionServer) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	return list, nil
}

// publishedServers returns the servers of the table that gateways get. It fails if this host does not lead, or may not
// know all servers.
func (h *Host) publishedServers() ([]keyrange.Server, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leading == nil {
		return nil, errors.Wrap(ErrUnavailable, "this host is no longer the leader")
	}
	if h.leading.coordinator.Partial(clock.Now()) {
		return nil, errors.Wrap(ErrUnavailable, "the leader was elected recently and may not know all servers yet")
	}
	return h.leading.coordinator.PublishedServers(), nil
}

// readBarrier returns nil once reads of the local state reflect every change that was committed
// before the call. It fails if no configuration was put yet.
func (h *Host) readBarrier(ctx context.Context) error {
	if err := h.runner.ReadBarrier(ctx); err != nil {
		return mapLogError(err)
	}
	if h.state.config().Version == 0 {
		return errors.Wrap(ErrUnavailable, "there is no configuration yet")
	}
	return nil
}

func (h *Host) propose(ctx context.Context, c command) (any, error) {
	data, err := cbor.Marshal(c)
	if err != nil {
		return nil, errors.Wrap(err, "encode log entry")
	}
	result, _, err := h.runner.Propose(ctx, data)
	return result, mapLogError(err)
}

// mapLogError converts an error of the replicated log to an error of this package.
func mapLogError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, group.ErrUnknownOutcome):
		return errors.Wrap(ErrUnknownOutcome, err.Error())
	default:
		return errors.Wrap(ErrUnavailable, err.Error())
	}
}

// callTimeout limits the processing of a call from a peer, and the recording of the lease.
const callTimeout = 3 * time.Second
