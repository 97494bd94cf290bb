package control

import (
	"context"

	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/ledger"
)

func (h *Host) runBegin(ctx context.Context, r wire.RunBegin) (wire.RunReply, error) {
	g, at, err := h.ledgerGroup(r.Group)
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
		return wire.RunReply{}, h.toPeerError(g.name, err)
	}
	return runReply(reply), nil
}

func (h *Host) runFinish(ctx context.Context, r wire.RunFinish) (wire.RunReply, error) {
	g, at, err := h.ledgerGroup(r.Group)
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
		return wire.RunReply{}, h.toPeerError(g.name, err)
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

// ledgerGroup returns the region group with the given name, and the logical time of its ledger.
func (h *Host) ledgerGroup(name string) (*regionGroup, uint64, error) {
	g, err := h.regionGroup(name)
	if err != nil {
		return nil, 0, err
	}
	at, err := g.logicalTime()
	if err != nil {
		return nil, 0, h.toPeerError(g.name, err)
	}
	return g, at, nil
}
