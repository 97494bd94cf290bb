package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/fleet"
	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/wire"
)

const (
	// contactInterval is the delay before the next control host is contacted in parallel.
	contactInterval = 100 * time.Millisecond
	// subscribeInterval is the time between two requests to subscribe at one control host.
	subscribeInterval = 150 * time.Millisecond
	// searchTimeout bounds a search. The next one starts with the control hosts known by then.
	searchTimeout = 10 * time.Second
	// silenceLimit is the time without any message from the leader after which the gateway looks for
	// another one. The leader sends a ping every 400 ms. The connection stays in use meanwhile: on a
	// full link it may only be slow.
	silenceLimit = time.Second
	// silenceInterval is the interval between checks for silence.
	silenceInterval = 100 * time.Millisecond
)

// search contacts the control hosts in parallel and keeps the connections until one of them accepts
// a subscription. It returns nil if the context or searchTimeout ends first. A host that does not
// answer delays no other, and on a slow link only the first request to a host pays for the round
// trips of a new connection.
func (l *leaderLink) search(ctx context.Context) *subscription {
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	found := make(chan *subscription)
	hints := make(chan string)
	var contacts sync.WaitGroup
	defer contacts.Wait()
	defer cancel()
	contacted := map[string]bool{"": true}
	contact := func(address string) {
		if contacted[address] {
			return
		}
		contacted[address] = true
		contacts.Go(func() { l.contact(ctx, address, found, hints) })
	}
	pending := l.candidates()
	ticker := time.NewTicker(contactInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-found:
			return s
		case leader := <-hints:
			contact(leader)
		case <-ticker.C:
			for len(pending) > 0 && contacted[pending[0]] {
				pending = pending[1:]
			}
			if len(pending) > 0 {
				contact(pending[0])
			}
		}
	}
}

// candidates returns the control hosts to contact: those of the latest table and then the seeds,
// each in random order.
func (l *leaderLink) candidates() []string {
	addresses := l.view.controlAddresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	seeds := l.seeds()
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	return append(addresses, seeds...)
}

// contact connects to a control host and asks it for a subscription until it accepts or the context
// ends. It passes on the leaders that the host names.
func (l *leaderLink) contact(ctx context.Context, address string, found chan<- *subscription, hints chan<- string) {
	connected := make(chan struct{}, 1)
	s := &subscription{address: address, ended: make(chan struct{}, 1)}
	s.client = peer.NewClient(peer.ClientOptions{
		Address:      address,
		Self:         l.self,
		ExpectedName: address,
		Secret:       l.secret,
		Handler:      &updateHandler{view: l.view, backends: l.backends, needsFullConfig: &l.needsFullConfig, evidence: l.evidence, admission: l.admission, slots: l.slots, ended: s.ended},
		OnConnect:    func() { signal(connected) },
		Seed:         rand.Uint64(),
		Limits:       fleet.GatewayLimits(),
		Metrics:      l.metrics,
		Dial:         l.dial,
	})
	for ctx.Err() == nil {
		select { // the end of an earlier connection to this host
		case <-s.ended:
		default:
		}
		_, err := s.client.Call(ctx, wire.KindSubscribe, l.subscribeBody())
		if err == nil {
			select {
			case found <- s:
				return
			case <-ctx.Done():
			}
			break
		}
		var refused *peer.Error
		if errors.As(err, &refused) && refused.Code == wire.CodeNotLeader {
			select {
			case hints <- refused.Detail:
			case <-ctx.Done():
			}
		}
		select {
		case <-ctx.Done():
		case <-connected:
		case <-time.After(subscribeInterval):
		}
	}
	s.client.Close()
}

// watch looks for another leader while the subscription is silent, and returns the subscription there,
// or nil if there is none when the context ends.
func (l *leaderLink) watch(ctx context.Context, s *subscription) *subscription {
	for ctx.Err() == nil {
		clock.Sleep(ctx, silenceInterval)
		if s.client.Silence() < silenceLimit {
			continue
		}
		log.WithFields(log.Fields{
			"control": s.address, "silent_ms": s.client.Silence().Milliseconds(),
		}).Warn("control host is silent; looking for another leader")
		searchCtx, cancel := context.WithCancel(ctx)
		go func() {
			defer cancel()
			for searchCtx.Err() == nil && s.client.Silence() >= silenceLimit {
				clock.Sleep(searchCtx, silenceInterval)
			}
		}()
		next := l.search(searchCtx)
		cancel()
		if next != nil {
			return next
		}
	}
	return nil
}
