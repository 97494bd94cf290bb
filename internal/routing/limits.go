package routing

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/galenalug/galenalug/allowance"
	"github.com/galenalug/galenalug/internal/entry"
	"github.com/galenalug/galenalug/internal/wire"
)

// Times of allowance shares.
const (
	shareInterval = 500 * time.Millisecond // between renewals of a share
	kickInterval  = 50 * time.Millisecond  // between renewals that a new customer asks for at once
	firstWait     = 250 * time.Millisecond // longest wait for a customer's first share
	idleForget    = 30 * time.Second       // time without requests after which a share is given up
	demandWindow  = time.Second            // time over which demand is measured
)

// Bounds of a host's shares.
const (
	maxPairs       = 20_000 // customers and services at the same time
	sharesAtOnce   = 12     // renewed together, unless there are many pairs
	renewalsInTime = 15     // renewals within which every share is renewed
	demandRise     = 2      // times the demand last told, from which on a share is renewed at once
)

// Limits holds this host's shares of allowances.
type Limits struct {
	now  func() time.Duration
	kick chan struct{}

	mu       sync.Mutex
	pairs    map[allowance.Pair]*sharedLimit
	kickedAt time.Duration
}

// sharedLimit is this host's share of one customer's allowance for one service.
type sharedLimit struct {
	pair    allowance.Pair
	holder  allowance.Holder
	bucket  *allowance.Bucket
	ready   chan struct{} // closed once a share was first granted or refused
	isReady bool
	refused error // why the control hosts grant nothing; nil if they do

	offered int // requests since window
	demand  float64
	window  time.Duration
	lastUse time.Duration

	isSent     bool
	sentAt     time.Duration // of the last renewal
	sentWanted float64
}

// sentShare is a renewal of a share on its way.
type sentShare struct {
	pair   allowance.Pair
	sent   allowance.SentRenewal
	wanted float64
}

func newLimits(now func() time.Duration) *Limits {
	return &Limits{
		now:      now,
		kick:     make(chan struct{}, 1),
		pairs:    map[allowance.Pair]*sharedLimit{},
		kickedAt: -kickInterval,
	}
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
func (l *Limits) Admit(customer, service string) (time.Duration, error) {
	limit, ready := l.use(allowance.Pair{Customer: customer, Service: service})
	if limit == nil {
		return shareInterval, entry.ErrNoShare
	}
	wait(ready, firstWait)
	l.mu.Lock()
	defer l.mu.Unlock()
	return limit.admit(l.now())
}

// wait waits until a channel is closed, but not longer than most.
func wait(ready <-chan struct{}, most time.Duration) {
	select {
	case <-ready:
		return
	default:
	}
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-ready:
	case <-timer.C:
	}
}

func (s *sharedLimit) admit(now time.Duration) (time.Duration, error) {
	if s.refused != nil {
		return 0, s.refused
	}
	if s.holder.Share(now) <= 0 {
		return shareInterval, entry.ErrNoShare
	}
	if ok, retryAfter := s.bucket.Admit(now); !ok {
		return retryAfter, entry.ErrAllowanceSpent
	}
	return 0, nil
}

// use counts a request, and asks for a share at the first one. It returns nil if
// there are too many customers.
func (l *Limits) use(pair allowance.Pair) (*sharedLimit, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	limit, ok := l.pairs[pair]
	if !ok {
		if len(l.pairs) >= maxPairs {
			return nil, nil
		}
		limit = &sharedLimit{pair: pair, bucket: allowance.NewBucket(0), ready: make(chan struct{}), window: now}
		l.pairs[pair] = limit
		l.renewSoon(now)
	}
	limit.offered++
	limit.lastUse = now
	return limit, limit.ready
}

// renewSoon asks for a renewal at once, unless one was asked for just now: the
// next regular one is near. The caller holds mu.
func (l *Limits) renewSoon(now time.Duration) {
	if now-l.kickedAt < kickInterval {
		return
	}
	l.kickedAt = now
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

// prepare starts the renewal of the shares that are due.
func (l *Limits) prepare(now time.Duration) []sentShare {
	l.mu.Lock()
	defer l.mu.Unlock()
	var sent []sentShare
	for _, limit := range l.due(now) {
		limit.isSent = true
		limit.sentAt = now
		limit.sentWanted = limit.measure(now)
		sent = append(sent, sentShare{pair: limit.pair, sent: limit.holder.Prepare(now, 0), wanted: limit.sentWanted})
	}
	return sent
}

// due returns the shares to renew: new ones, those whose demand has risen, and
// those renewed longest ago. It forgets idle ones. The caller holds mu.
func (l *Limits) due(now time.Duration) []*sharedLimit {
	var due []*sharedLimit
	ranks := map[*sharedLimit]int{}
	for pair, limit := range l.pairs {
		if now-limit.lastUse > idleForget {
			delete(l.pairs, pair)
			continue
		}
		if rank := limit.urgency(now); rank > 0 {
			ranks[limit] = rank
			due = append(due, limit)
		}
	}
	slices.SortFunc(due, func(a, b *sharedLimit) int {
		return cmp.Or(cmp.Compare(ranks[b], ranks[a]), cmp.Compare(a.sentAt, b.sentAt))
	})
	most := max(sharesAtOnce, len(l.pairs)/renewalsInTime)
	return due[:min(len(due), most)]
}

// urgency returns 0 for a share that need not be renewed yet.
func (s *sharedLimit) urgency(now time.Duration) int {
	wanted := s.measure(now)
	switch {
	case !s.isSent:
		return 3
	case wanted > demandRise*s.sentWanted && wanted > s.holder.Share(now):
		return 2
	case now-s.sentAt >= shareInterval:
		return 1
	}
	return 0
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
	bySent := make(map[allowance.Pair]allowance.SentRenewal, len(sent))
	for _, s := range sent {
		bySent[s.pair] = s.sent
	}
	for _, share := range granted {
		pair := allowance.Pair{Customer: share.Customer, Service: share.Service}
		limit, ok := l.pairs[pair]
		if !ok {
			continue
		}
		limit.take(now, bySent[pair], share)
	}
}

func (s *sharedLimit) take(now time.Duration, sent allowance.SentRenewal, granted wire.Share) {
	grant := allowance.Grant{Number: granted.Number, Share: granted.Granted}
	if s.holder.Accept(now, sent, wire.ShareLease, grant) {
		s.bucket.Set(now, s.holder.Share(now), granted.Burst, s.holder.Expiry())
		s.refused = refusalOf(granted.Refusal)
	}
	if !s.isReady {
		s.isReady = true
		close(s.ready)
	}
}

// refusalOf translates wire.Share's refusal.
func refusalOf(refusal string) error {
	switch refusal {
	case wire.ShareNoPlan:
		return entry.ErrNoPlan
	case wire.ShareNotAllowed:
		return entry.ErrNotAllowed
	}
	return nil
}
