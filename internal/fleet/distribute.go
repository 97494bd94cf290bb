package fleet

import (
	"time"

	"github.com/apex/log"

	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/routes"
)

// maxQueuedBytes is the number of bytes in a gateway's send queue from which it is sent no further
// configuration and no further updates of the table. It gets the newest ones when its link has caught
// up.
const maxQueuedBytes = 128 << 10

// encodedUpdates holds the updates to one version, so that each is encoded only once for all
// gateways. Its zero value is empty.
type encodedUpdates struct {
	version uint64            // version that the updates lead to
	bodies  map[uint64][]byte // by the version that they start from
}

// get returns the encoded update from a version to the newest one.
func (e *encodedUpdates) get(state *fleetState, from uint64) (newest uint64, body []byte, err error) {
	newest, update := state.updateSince(from)
	if e.bodies == nil || newest != e.version {
		*e = encodedUpdates{version: newest, bodies: map[uint64][]byte{}}
	}
	if body := e.bodies[from]; body != nil {
		return newest, body, nil
	}
	if body, err = routes.EncodeUpdate(update); err == nil {
		e.bodies[from] = body
	}
	return newest, body, err
}

// publishConfig sends the newest configuration to the gateways that have not been sent it. It must be
// called with Host.mu held.
func (h *Host) publishConfig(now time.Duration, l *leadership) {
	config := h.state.config()
	setServices(l.coordinator, config)
	if l.propagation == nil || l.propagation.version != config.Version {
		l.propagation = &propagation{version: config.Version, started: now}
	}
	for conn, s := range h.subscribers {
		if s.sentVersion != config.Version && conn.QueuedBytes() < maxQueuedBytes {
			h.sendConfig(l, conn, s)
		}
	}
	h.checkPropagation(now, l)
}

// sendConfig sends a gateway what it lacks of the newest configuration. It must be called with
// Host.mu held.
func (h *Host) sendConfig(l *leadership, conn *peer.Conn, s *subscriber) {
	newest, body, err := l.encodedUpdates.get(h.state, s.sentVersion)
	if err != nil {
		log.WithError(err).WithField("version", newest).Error("cannot encode the configuration")
		return
	}
	if newest == s.sentVersion {
		return
	}
	if err := conn.Notify(wire.KindConfigUpdate, body); err != nil {
		return // the connection is closed, and the gateway subscribes again
	}
	s.sentVersion = newest
}
