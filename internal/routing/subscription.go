package routing

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/wire"
)

// subscription is the subscription to a group's table at one of the control hosts that replicate it.
type subscription struct {
	candidates  []string      // control hosts that replicate the table, nearest first
	current     int           // index of the host that sends the updates
	subscribed  bool          // whether the subscription was sent to that host
	behindSince time.Duration // when the table was first seen behind the leader's; 0 if it is not
}

// receiver handles messages from the control hosts.
type receiver struct{ link *Link }

// Call rejects calls, because control hosts make none.
func (r *receiver) Call(context.Context, *peer.Conn, int, []byte) ([]byte, error) {
	return nil, &peer.Error{Code: wire.CodeInvalid, Detail: "entry hosts take no calls"}
}

// Notify handles table updates. It ignores those of a host to which this host is not subscribed.
func (r *receiver) Notify(from *peer.Conn, kind int, body []byte) {
	if kind != wire.KindTable {
		return
	}
	var update wire.TableUpdate
	if err := cbor.Unmarshal(body, &update); err != nil {
		log.WithError(err).Warn("dropped a table update that cannot be decoded")
		return
	}
	if !r.link.isSubscribedTo(update.Group, from.Identity().Name) {
		return
	}
	if !r.link.table.update(update) {
		r.link.resubscribe(update.Group)
	}
}

// Closed does nothing, because checkSubscriptions detects closed connections.
func (r *receiver) Closed(*peer.Conn) {}

func (l *Link) isSubscribedTo(group, host string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	sub, ok := l.subscriptions[group]
	return ok && sub.candidates[sub.current] == host
}

// markUnsubscribed marks the subscriptions at a host as lost. It is called when a new connection to the
// host is established, because subscriptions end with the connection that carried them.
func (l *Link) markUnsubscribed(host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, sub := range l.subscriptions {
		if sub.candidates[sub.current] == host {
			sub.subscribed = false
		}
	}
}

// resubscribe subscribes to a group's table again from version 0, which requests the full table.
func (l *Link) resubscribe(group string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sub := l.subscriptions[group]
	sub.subscribed = l.subscribe(group, sub.candidates[sub.current], 0)
}

// checkSubscriptions renews the subscriptions that were lost, and moves those whose host is
// disconnected or lags behind the leader.
func (l *Link) checkSubscriptions() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for group, sub := range l.subscriptions {
		l.checkSubscription(group, sub)
	}
}

// checkSubscription checks one subscription. The caller holds mu.
func (l *Link) checkSubscription(group string, sub *subscription) {
	connected := l.clients[sub.candidates[sub.current]].Connected()
	stale := sub.behindSince != 0 && l.now()-sub.behindSince > maxStaleness
	if connected && sub.subscribed && !stale {
		return
	}
	if !connected || stale {
		sub.current = (sub.current + 1) % len(sub.candidates)
		sub.behindSince = 0
	}
	sub.subscribed = l.subscribe(group, sub.candidates[sub.current], l.table.version(group))
}

// subscribe requests updates of a group's table after a version. It reports whether the request was
// sent.
func (l *Link) subscribe(group, host string, version uint64) bool {
	body, err := cbor.Marshal(wire.Watch{Group: group, Version: version})
	if err != nil {
		return false
	}
	return l.clients[host].Notify(wire.KindWatch, body) == nil
}

// recordLeaderVersion records whether this host's table is behind the leader's version.
func (l *Link) recordLeaderVersion(group string, leader uint64) {
	held := l.table.version(group)
	l.mu.Lock()
	defer l.mu.Unlock()
	sub := l.subscriptions[group]
	switch {
	case held >= leader:
		sub.behindSince = 0
	case sub.behindSince == 0:
		sub.behindSince = l.now()
	}
}
