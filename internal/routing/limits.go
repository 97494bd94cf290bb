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

// Times of share renewals.
const (
	shareInterval     = 500 * time.Millisecond // between renewals of one share
	immediateInterval = 50 * time.Millisecond  // least time between renewals requested for new pairs
	firstShareTimeout = 250 * time.Millisecond // longest wait of a request for a pair's first share
	idleTimeout       = 30 * time.Second       // time without requests after which a share is dropped
	demandWindow      = time.Second            // period over which demand is measured
)

// Limits of the shares of one host.
const (
	maxPairs             = 20_000 // pairs of customer and service
	baseSharesPerRenewal = 12     // shares in one renewal, or pairs/renewalsPerCycle if that is more
	renewalsPerCycle     = 15     // with many pairs, number of renewals that cover all of them
	demandRiseFactor     = 2      // growth over the demand last reported that makes a share due at once
)

// Limits enforces this host's shares of customers' allowances. It is safe for concurrent use.
type Limits struct {
	now      func() time.Duration
	renewNow chan struct{} // requests a renewal before the next regular one

	mu            sync.Mutex
	pairs         map[allowance.Pair]*sharedLimit
	lastImmediate time.Duration // last request for an immediate renewal
}

// sharedLimit is this host's share of one customer's allowance for one service.
type sharedLimit struct {
	pair    allowance.Pair
	holder  allowance.Holder
	bucket  *allowance.Bucket
	ready   chan struct{} // closed at the first reply to a renewal
	replied bool
	refusal error // why the control hosts grant nothing; nil if they grant a share

	requests    int           // requests since windowStart
	demand      float64       // rate in the last complete window, requests per second
	windowStart time.Duration // of the current window
	lastUse     time.Duration

	wasRenewed bool
	renewedAt  time.Duration // when the last renewal was sent; unset unless wasRenewed
	lastDemand float64       // demand reported in the last renewal, requests per second
}

// pendingRenewal is a renewal of one share that awaits its reply.
type pendingRenewal struct {
	pair   allowance.Pair
	sent   allowance.SentRenewal
	wanted float64 // demand, requests per second
}

func newLimits(now func() time.Duration) *Limits {
	return &Limits{
		now:           now,
		renewNow:      make(chan struct{}, 1),
		pairs:         map[allowance.Pair]*sharedLimit{},
		lastImmediate: -immediateInterval,
	}
}

// renewRequests returns the channel that requests immediate renewals. It returns nil unless
// home is set, because shares are renewed only with the home group.
func (l *Limits) renewRequests(home bool) <-chan struct{} {
	if !home {
		return nil
	}
	return l.renewNow
}

// Admit takes one request from a customer's allowance. Requests that arrive before the host has its
// first share of the allowance wait for it up to firstShareTimeout. If the request is refused, Admit
// returns the time after which to retry, or 0 if a retry does not help.
func (l *Limits) Admit(customer, service string) (time.Duration, error) {
	limit, ready := l.recordRequest(allowance.Pair{Customer: customer, Service: service})
	if limit == nil {
		return shareInterval, entry.ErrNoShare
	}
	waitFor(ready, firstShareTimeout)
	l.mu.Lock()
	defer l.mu.Unlock()
	return limit.admit(l.now())
}

// waitFor waits until a channel is closed or the timeout has passed.
func waitFor(ready <-chan struct{}, timeout time.Duration) {
	select {
	case <-ready:
		return
	default:
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ready:
	case <-timer.C:
	}
}

func (s *sharedLimit) admit(now time.Duration) (time.Duration, error) {
	if s.refusal != nil {
		return 0, s.refusal
	}
	if s.holder.Share(now) <= 0 {
		return shareInterval, entry.ErrNoShare
	}
	if ok, retryAfter := s.bucket.Admit(now); !ok {
		return retryAfter, entry.ErrAllowanceSpent
	}
	return 0, nil
}

// recordRequest counts a request, and requests a share if the pair is new. It returns nil if the pair
// is new and there are already maxPairs pairs.
func (l *Limits) recordRequest(pair allowance.Pair) (*sharedLimit, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	limit, ok := l.pairs[pair]
	if !ok {
		if len(l.pairs) >= maxPairs {
			return nil, nil
		}
		limit = &sharedLimit{pair: pair, bucket: allowance.NewBucket(0), ready: make(chan struct{}), windowStart: now}
		l.pairs[pair] = limit
		l.requestRenewal(now)
	}
	limit.requests++
	limit.lastUse = now
	return limit, limit.ready
}

// requestRenewal requests an immediate renewal. It does nothing within immediateInterval of the last
// one, because the next regular renewal follows soon. The caller holds mu.
func (l *Limits) requestRenewal(now time.Duration) {
	if now-l.lastImmediate < immediateInterval {
		return
	}
	l.lastImmediate = now
	select {
	case l.renewNow <- struct{}{}:
	default:
	}
}

// prepare starts a renewal of the shares that are due.
func (l *Limits) prepare(now time.Duration) []pendingRenewal {
	l.mu.Lock()
	defer l.mu.Unlock()
	var sent []pendingRenewal
	for _, limit := range l.due(now) {
		limit.wasRenewed = true
		limit.renewedAt = now
		limit.lastDemand = limit.measureDemand(now)
		sent = append(sent, pendingRenewal{pair: limit.pair, sent: limit.holder.Prepare(now, 0), wanted: limit.lastDemand})
	}
	return sent
}

// due returns the shares to renew, in order of priority: new shares, shares whose demand has risen, and
// shares last renewed shareInterval ago or earlier. Within a priority, the least recently renewed come
// first. It also removes idle shares. The caller holds mu.
func (l *Limits) due(now time.Duration) []*sharedLimit {
	var due []*sharedLimit
	priorities := map[*sharedLimit]int{}
	for pair, limit := range l.pairs {
		if now-limit.lastUse > idleTimeout {
			delete(l.pairs, pair)
			continue
		}
		if priority := limit.renewalPriority(now); priority > 0 {
			priorities[limit] = priority
			due = append(due, limit)
		}
	}
	slices.SortFunc(due, func(a, b *sharedLimit) int {
		return cmp.Or(cmp.Compare(priorities[b], priorities[a]), cmp.Compare(a.renewedAt, b.renewedAt))
	})
	maxShares := max(baseSharesPerRenewal, len(l.pairs)/renewalsPerCycle)
	return due[:min(len(due), maxShares)]
}

// renewalPriority returns the priority of a share's renewal, higher first, and 0 if it is not due.
func (s *sharedLimit) renewalPriority(now time.Duration) int {
	wanted := s.measureDemand(now)
	switch {
	case !s.wasRenewed:
		return 3
	case wanted > demandRiseFactor*s.lastDemand && wanted > s.holder.Share(now):
		return 2
	case now-s.renewedAt >= shareInterval:
		return 1
	}
	return 0
}

// measureDemand returns the recent rate of requests per second, admitted or not. It is the larger of
// the rates in the last complete window and in the current one, so that a rise shows at once. The
// current window counts as at least a tenth of a full one, so that a few early requests do not give a
// high rate. If the current window is complete, measureDemand starts a new one.
func (s *sharedLimit) measureDemand(now time.Duration) float64 {
	elapsed := now - s.windowStart
	current := float64(s.requests) / max(elapsed, demandWindow/10).Seconds()
	if elapsed >= demandWindow {
		s.demand = current
		s.requests = 0
		s.windowStart = now
	}
	return max(s.demand, current)
}

// wireShares converts renewals to their wire format.
func wireShares(sent []pendingRenewal) []wire.Share {
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

// accept processes the reply to a renewal of shares.
func (l *Limits) accept(now time.Duration, sent []pendingRenewal, granted []wire.Share) {
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
		limit.applyGrant(now, bySent[pair], share)
	}
}

// applyGrant processes the reply for one share.
func (s *sharedLimit) applyGrant(now time.Duration, sent allowance.SentRenewal, granted wire.Share) {
	grant := allowance.Grant{Number: granted.Number, Share: granted.Granted}
	if s.holder.Accept(now, sent, wire.ShareLease, grant) {
		s.bucket.Set(now, s.holder.Share(now), granted.Burst, s.holder.Expiry())
		s.refusal = refusalError(granted.Refusal)
	}
	if !s.replied {
		s.replied = true
		close(s.ready)
	}
}

// refusalError returns the error for the refusal of a wire.Share, and nil if there is none.
func refusalError(refusal string) error {
	switch refusal {
	case wire.ShareNoPlan:
		return entry.ErrNoPlan
	case wire.ShareNotAllowed:
		return entry.ErrNotAllowed
	}
	return nil
}
