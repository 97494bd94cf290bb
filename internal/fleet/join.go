package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/replog"
)

const (
	// joinInterval is the time between two requests to join the group.
	joinInterval = 500 * time.Millisecond
	// joinTimeout bounds one request to join; the leader's work goes on after it.
	joinTimeout = time.Second
	// admitTimeout bounds the work of admitting one disk.
	admitTimeout = 5 * time.Second
	// removalSilence is the silence after which a member gives way to a newcomer.
	removalSilence = 4 * time.Second
)

// membershipLoop asks to join until this disk is a voter, and removes members that are
// gone while this host leads.
func (h *Host) membershipLoop(ctx context.Context) {
	for ctx.Err() == nil {
		status := h.runner.Status().Node
		h.voters.Store(voterAddresses(status))
		switch {
		case h.leads():
			h.removeSilent(ctx, status)
		case !isVoter(status):
			h.requestJoin(ctx, status)
		}
		jitter := time.Duration(rand.Int64N(int64(joinInterval) / 4))
		select {
		case <-ctx.Done():
		case <-time.After(joinInterval + jitter):
		}
	}
}

func voterAddresses(status replog.Status) []string {
	var names []string
	for _, m := range status.Members {
		if !m.Learner {
			names = append(names, m.Name)
		}
	}
	return names
}

// isVoter tells whether the disk is a voter by its own log.
func isVoter(status replog.Status) bool {
	for _, m := range status.Members {
		if m.ID == status.ID {
			return !m.Learner
		}
	}
	return false
}

func (h *Host) requestJoin(ctx context.Context, status replog.Status) {
	body, err := cbor.Marshal(wire.Join{Group: groupName, Name: h.name, ID: status.ID})
	if err != nil {
		log.WithError(err).Error("encode join")
		return
	}
	for _, address := range h.otherControlHosts() {
		callContext, cancel := context.WithTimeout(ctx, joinTimeout)
		_, err := h.peers.client(address).Call(callContext, wire.KindJoin, body)
		cancel()
		if err == nil {
			return
		}
		log.WithFields(log.Fields{"host": h.name, "contact": address, "error": err.Error()}).Info("joining the group failed; trying again")
	}
}

// contacts returns the control hosts to ask, in random order, the leader first.
func (h *Host) otherControlHosts() []string {
	addresses := append(h.seeds(), h.memberAddresses()...)
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	if leader := h.runner.Leader(); leader != "" {
		addresses = append([]string{leader}, addresses...)
	}
	seen := map[string]bool{h.name: true}
	var others []string
	for _, address := range addresses {
		if !seen[address] {
			seen[address] = true
			others = append(others, address)
		}
	}
	return others
}

func (h *Host) memberAddresses() []string {
	var names []string
	for _, m := range h.runner.Status().Node.Members {
		if m.Name != "" {
			names = append(names, m.Name)
		}
	}
	return names
}

// admit makes a disk a voter in place of other disks of its host. It is done on
// the leader; other hosts pass the request on.
func (h *Host) admitMember(ctx context.Context, join wire.Join) error {
	if !h.leads() {
		return h.forwardToLeader(ctx, wire.KindJoin, join, nil)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), admitTimeout)
	defer cancel()
	if err := h.runner.Replace(ctx, join.Name, join.ID); err != nil {
		return mapLogError(err)
	}
	log.WithFields(log.Fields{"member": join.Name, "id": join.ID}).Info("member admitted")
	return nil
}

// removeSilent removes one member that was silent for long, if the group has
// more voters than it needs without it.
func (h *Host) removeSilent(ctx context.Context, status replog.Status) {
	voters, silent := 0, ""
	for _, m := range status.Members {
		if m.Learner {
			continue
		}
		voters++
		if !m.Live && m.ID != status.ID && (m.AckedAge > removalSilence || m.AckedAge == 0) {
			silent = m.Name
		}
	}
	if silent == "" || voters <= 2*h.settings.ToleratedLosses+1 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, admitTimeout)
	defer cancel()
	if err := h.runner.Remove(ctx, silent); err != nil {
		log.WithError(err).WithField("member", silent).Warn("silent member not removed")
		return
	}
	log.WithField("member", silent).Info("silent member removed")
}

// forwardToLeader passes a call on to the leader.
func (h *Host) forwardToLeader(ctx context.Context, kind int, request, reply any) error {
	leader := h.runner.Leader()
	if leader == "" || leader == h.name {
		return errors.Wrap(ErrUnavailable, "no leader is known")
	}
	body, err := cbor.Marshal(request)
	if err != nil {
		return errors.Wrap(err, "encode call")
	}
	answer, err := h.peers.client(leader).Call(ctx, kind, body)
	if err != nil {
		return mapCallError(err)
	}
	if reply == nil {
		return nil
	}
	return errors.Wrap(cbor.Unmarshal(answer, reply), "decode answer of the leader")
}

// mapCallError turns an error of a call into one of this package.
func mapCallError(err error) error {
	var peerError *peer.Error
	if errors.As(err, &peerError) && peerError.Code != wire.CodeUnknown && peerError.Code != wire.CodeInternal {
		return errors.Wrap(ErrUnavailable, peerError.Error())
	}
	if errors.Is(err, peer.ErrNotConnected) || errors.Is(err, peer.ErrQueueFull) {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return errors.Wrap(ErrUnknownOutcome, err.Error())
}
