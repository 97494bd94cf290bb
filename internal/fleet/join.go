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
	joinInterval = 200 * time.Millisecond
	// joinTimeout limits one join request.
	joinTimeout = time.Second
	// admitTimeout limits how long the leader tries to add one member.
	admitTimeout = 5 * time.Second
	// replaceAfter is how long a voter must have been silent before a host at another address takes
	// its place: an election with its retries, and a network connection that is made again.
	replaceAfter = 1500 * time.Millisecond
	// removeAfter is the time without an acknowledgement after which a surplus voter is removed.
	removeAfter = 4 * time.Second
)

// voterPolicy returns how the leader keeps the voters of the replicated log.
func (h *Host) voterPolicy() *replog.VoterPolicy {
	return &replog.VoterPolicy{
		Voters:       2*h.settings.ToleratedLosses + 1,
		ReplaceAfter: replaceAfter,
		RemoveAfter:  removeAfter,
	}
}

// membershipLoop requests to join the group until this member is a voter. It also does so while it
// hears no leader: it may have been removed without being told.
func (h *Host) membershipLoop(ctx context.Context) {
	for ctx.Err() == nil {
		status := h.runner.Status().Node
		h.voters.Store(voterAddresses(status))
		h.observeLogSize(status)
		if !isVoter(status) || status.Leader == 0 {
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

// requestJoin asks all known control hosts at the same time, since some may not answer, and returns at
// the first success or when joinTimeout is over.
func (h *Host) requestJoin(ctx context.Context, status replog.Status) {
	body, err := cbor.Marshal(wire.Join{Group: groupName, Name: h.name, ID: status.ID})
	if err != nil {
		log.WithError(err).Error("encoding the join request failed")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	addresses := h.otherControlHosts()
	results := make(chan error, len(addresses))
	for _, address := range addresses {
		go func() {
			_, err := h.peers.client(address).Call(ctx, wire.KindJoin, body)
			results <- errors.Wrap(err, address)
		}()
	}
	for range addresses {
		err := <-results
		if err == nil {
			return
		}
		if !isVoter(status) && ctx.Err() == nil {
			log.WithFields(log.Fields{"host": h.name, "error": err.Error()}).Info("join request failed; retrying")
		}
	}
}

// otherControlHosts returns the addresses of the other known control hosts.
func (h *Host) otherControlHosts() []string {
	addresses := append(h.seeds(), h.memberAddresses()...)
	addresses = append(addresses, h.peers.heardAddresses()...)
	if leader := h.runner.Leader(); leader != "" {
		addresses = append(addresses, leader)
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

// admitMember adds a member as a learner; the leader makes it a voter once it has caught up. A follower
// forwards the request to the leader.
func (h *Host) admitMember(ctx context.Context, join wire.Join) error {
	if !h.Leads() {
		return h.forwardToLeader(ctx, wire.KindJoin, join, nil)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), admitTimeout)
	defer cancel()
	return mapLogError(h.runner.AddLearner(ctx, join.Name, join.ID))
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
