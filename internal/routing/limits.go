package routing

import (
	"sync"
	"time"

	"github.com/galenalug/galenalug/allowance"
	"github.com/galenalug/galenalug/internal/wire"
)

// Times of allowance shares.
const (
	shareLease   = 2 * time.Second        // lease of a share, as the control hosts grant it
	firstWait    = 250 * time.Millisecond // longest wait for a customer's first share
	idleForget   = 30 * time.Second       // time without requests after which a share is given up
	demandWindow = time.Second            // time over which demand is measured
)

// Limits holds this host's shares of allowances.
type Limits struct {
	now  func() time.Duration
	kick chan struct{}

	mu    sync.Mutex
	pairs map[allowance.Pair]*sharedLimit
}

// sharedLimit is this host's share of one customer's allowance for one service.
type sharedLimit struct {
	holder  allowance.Holder
	bucket  *allowance.Bucket
	ready   chan struct{} // closed once a share was first granted or refused
	isReady bool
	offered int // requests since windowAt
	demand  float64
	window  time.Duration
	lastUse time.Duration
}

// sentShare is a renewal of a share on its way.
type sentShare struct {
	pair   allowance.Pair
	sent   allowance.Sent
	wanted float64
}

func newLimits(now func() time.Duration) *Limits {
	return &Limits{now: now, kick: make(chan struct{}, 1), pairs: map[allowance.Pair]*sharedLimit{}}
}

// kicks returns the channel that asks for a renewal at once, nil for groups that
// grant no shares.
func (l *Limits) kicks(home bool) <-chan struct{} {
	if !home {
		return nil
	}
	return l.kick
}

// Admit takes one request from a customer's allowance. The first request of a
// customer waits a moment for the host's first share.
func (l *Limits) Admit(customer, service string) (bool, time.Duration) {
	limit, ready := l.use(allowance.Pair{Customer: customer, Service: service})
	timer := time.NewTimer(firstWait)
	defer timer.Stop()
	select {
	case <-ready:
	case <-timer.C:
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return limit.bucket.Admit(l.now())
}

// use counts a request, and asks for a share at the first one.
func (l *Limits) use(pair allowance.Pair) (*sharedLimit, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	limit, ok := l.pairs[pair]
	if !ok {
		limit = &sharedLimit{bucket: allowance.NewBucket(0), ready: make(chan struct{}), window: now}
		l.pairs[pair] = limit
		select {
		case l.kick <- struct{}{}:
		default:
		}
	}
	limit.offered++
	limit.lastUse = now
	return limit, limit.ready
}

// prepare starts the renewal of all shares.
func (l *Limits) prepare(now time.Duration) []sentShare {
	l.mu.Lock()
	defer l.mu.Unlock()
	var sent []sentShare
	for pair, limit := range l.pairs {
		if now-limit.lastUse > idleForget {
			delete(l.pairs, pair)
			continue
		}
		sent = append(sent, sentShare{pair: pair, sent: limit.holder.Prepare(now, 0), wanted: limit.measure(now)})
	}
	return sent
}

// measure returns the requests a second offered lately.
func (s *sharedLimit) measure(now time.Duration) float64 {
	elapsed := now - s.window
	current := float64(s.offered) / max(elapsed, demandWindow/10).Seconds()
	if elapsed >= demandWindow {
		s.demand = current
		s.offered = 0
		s.window = now
	}
	return max(s.demand, current)
}

func wireShares(sent []sentShare) []wire.Share {
	shares := make([]wire.Share, 0, len(sent))
	for _, s := range sent {
		shares = append(shares, wire.Share{
			Customer: s.pair.Customer,
			Service:  s.pair.Service,
			Held:     s.sent.Held.Share,
			Number:   s.sent.Held.Number,
			Wanted:   s.wanted,
		})
	}
	return shares
}

// accept takes the answer to a renewal of shares.
func (l *Limits) accept(now time.Duration, sent []sentShare, granted []wire.Share) {
	l.mu.Lock()
	defer l.mu.Unlock()
	bySent := make(map[allowance.Pair]allowance.Sent, len(sent))
	for _, s := range sent {
		bySent[s.pair] = s.sent
	}
	for _, share := range granted {
		pair := allowance.Pair{Customer: share.Customer, Service: share.Service}
		limit, ok := l.pairs[pair]
		if !ok {
			continue
		}
		limit.take(now, bySent[pair], allowance.Grant{Number: share.Number, Share: share.Granted})
	}
}

func (s *sharedLimit) take(now time.Duration, sent allowance.Sent, grant allowance.Grant) {
	if s.holder.Accept(now, sent, shareLease, grant) {
		s.bucket.Set(now, s.holder.Share(now), burst(s.holder.Share(now)), s.holder.Until())
	}
	if !s.isReady {
		s.isReady = true
		close(s.ready)
	}
}

// burst is the number of requests that may come at once: a tenth of a second's.
func burst(share float64) int {
	const burstTime = 0.1 // seconds
	return max(1, int(share*burstTime))
}
