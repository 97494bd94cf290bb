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
	// joinInterval is the interval of the membership loop, without jitter.
	joinInterval = 500 * time.Millisecond
	// joinTimeout limits one join request. The leader continues to admit the member after it.
	joinTimeout = time.Second
	// admitTimeout limits the admission or the removal of one member.
	admitTimeout = 5 * time.Second
	// removalTimeout is the time without an acknowledgement after which a surplus voter is removed.
	removalTimeout = 4 * time.Second
)

// membershipLoop requests to join the group until this member is a voter. On the leader it removes
// members that no longer respond.
func (h *Host) membershipLoop(ctx context.Context) {
	for ctx.Err() == nil {
		status := h.runner.Status().Node
		h.voters.Store(voterAddresses(status))
		switch {
		case h.Leads():
			h.removeUnresponsive(ctx, status)
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

// isVoter reports whether the member is a voter according to its own log.
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
		log.WithError(err).Error("encoding the join request failed")
		return
	}
	for _, address := range h.otherControlHosts() {
		callContext, cancel := context.WithTimeout(ctx, joinTimeout)
		_, err := h.peers.client(address).Call(callContext, wire.KindJoin, body)
		cancel()
		if err == nil {
			return
		}
		log.WithFields(log.Fields{"host": h.name, "contact": address, "error": err.Error()}).Info("join request failed; retrying")
	}
}

// otherControlHosts returns the addresses of the other known control hosts: the leader first, the
// rest in random order.
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

// admitMember makes a member a voter and removes earlier members of the same host, which had other
// disks. A follower forwards the request to the leader.
func (h *Host) admitMember(ctx context.Context, join wire.Join) error {
	if !h.Leads() {
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

// removeUnresponsive removes one voter that has not responded for removalTimeout or has never
// responded, if the group has more voters than needed to tolerate the configured losses.
func (h *Host) removeUnresponsive(ctx context.Context, status replog.Status) {
	voters, unresponsive := 0, ""
	for _, m := range status.Members {
		if m.Learner {
			continue
		}
		voters++
		if !m.Live && m.ID != status.ID && (m.AckedAge > removalTimeout || m.AckedAge == 0) {
			unresponsive = m.Name
		}
	}
	if unresponsive == "" || voters <= 2*h.settings.ToleratedLosses+1 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, admitTimeout)
	defer cancel()
	if err := h.runner.Remove(ctx, unresponsive); err != nil {
		log.WithError(err).WithField("member", unresponsive).Warn("removing the unresponsive member failed")
		return
	}
	log.WithField("member", unresponsive).Info("unresponsive member removed")
}

// forwardToLeader sends a call to the leader and decodes its reply. reply may be nil.
func (h *Host) forwardToLeader(ctx context.Context, kind int, request, reply any) error {
	leader := h.runner.Leader()
	if leader == "" || leader == h.name {
		return errors.Wrap(ErrUnavailable, "no leader is known")
	}
	body, err := cbor.Marshal(request)
	if err != nil {
		return errors.Wrap(err, "encode call")
	}
	encoded, err := h.peers.client(leader).Call(ctx, kind, body)
	if err != nil {
		return mapCallError(err)
	}
	if reply == nil {
		return nil
	}
	return errors.Wrap(cbor.Unmarshal(encoded, reply), "decode answer of the leader")
}

// mapCallError converts an error of a call to another host to an error of this package.
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
