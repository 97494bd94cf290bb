package allowance

import (
	"math"
	"time"
)

// Pair identifies a customer's use of one service, to which a limit applies.
type Pair struct {
	Customer string
	Service  string
}

// Grant is a share of a limit for the duration of one lease.
type Grant struct {
	Number uint64  // increases with every grant, also across leaders; 0 for no grant
	Share  float64 // requests per second
}

func (g Grant) epoch() uint64 { return g.Number >> epochShift }

// Renewal is a child's request for a share of a pair's limit.
type Renewal struct {
	Child  string // unique to one incarnation of the child
	Pair   Pair
	Held   Grant   // from Holder.Prepare
	Demand float64 // requests per second that arrive at the child, including refused ones
}

// AllocatorConfig configures an Allocator.
type AllocatorConfig struct {
	Epoch uint64        // the leader's term; higher than that of every earlier allocator
	Lease time.Duration // duration of a grant, from the time at which the child sent its renewal
	Drift float64       // largest relative difference between the rates of two clocks
	Floor float64       // fraction of each limit divided equally among children, whatever their demand
}

// Defaults for AllocatorConfig.
const (
	DefaultDrift = 0.01
	DefaultFloor = 0.02
)

// epochShift is the bit position of the epoch in grant numbers: 2^24 epochs of 2^40 grants each.
const epochShift = 40

// Allocator divides the limits of pairs among children.
type Allocator struct {
	config     AllocatorConfig
	issued     uint64        // number of grants
	claimUntil time.Duration // end of the claim phase, see Claiming
	pairs      map[Pair]*division
}

// NewAllocator returns the allocator of a leader elected at now. Children may still hold shares
// that an earlier allocator granted, so until all of these have expired it grants each child no more
// than the child holds.
func NewAllocator(config AllocatorConfig, now time.Duration) *Allocator {
	a := &Allocator{config: config, pairs: make(map[Pair]*division)}
	a.claimUntil = now + a.reservation()
	return a
}

// NewFirstAllocator returns an allocator for a state in which no child holds a share, as at the
// first start of a system. It has no claim phase.
func NewFirstAllocator(config AllocatorConfig, now time.Duration) *Allocator {
	a := NewAllocator(config, now)
	a.claimUntil = now
	return a
}

// reservation returns the time for which a grant stays reserved: the lease extended by the drift,
// so that a reservation does not end before the lease does on the child's clock.
func (a *Allocator) reservation() time.Duration {
	return time.Duration(math.Ceil(float64(a.config.Lease) * (1 + a.config.Drift)))
}

// Claiming reports whether the allocator is in its claim phase at now: it grants each child no more
// than the share that the child already holds.
func (a *Allocator) Claiming(now time.Duration) bool { return now < a.claimUntil }

// Pairs returns the number of pairs with state in the allocator.
func (a *Allocator) Pairs() int { return len(a.pairs) }

// Reserved returns the sum of a pair's shares that children may hold at now, in requests per second.
// In the claim phase, children may also hold shares from an earlier allocator that they have not
// claimed yet; these are not included.
func (a *Allocator) Reserved(now time.Duration, pair Pair) float64 {
	d := a.pairs[pair]
	if d == nil {
		return 0
	}
	d.expire(now)
	return d.reserved
}

// WithinLimit reports whether the children's shares of a pair certainly do not exceed limit at now.
// This stays true as long as Renew is called with no higher limit.
func (a *Allocator) WithinLimit(now time.Duration, pair Pair, limit float64) bool {
	return !a.Claiming(now) && a.Reserved(now, pair) <= limit
}

// Demand returns the sum of the children's demand of a pair at now, in requests per second.
func (a *Allocator) Demand(now time.Duration, pair Pair) float64 {
	d := a.pairs[pair]
	if d == nil {
		return 0
	}
	d.expire(now)
	return d.demand
}

// Sweep removes expired reservations and the pairs that have none left. Call it about once per
// lease.
func (a *Allocator) Sweep(now time.Duration) {
	for pair, d := range a.pairs {
		d.expire(now)
		if len(d.children) == 0 {
			delete(a.pairs, pair)
		}
	}
}

// Renew grants a child a share of a pair's limit, in requests per second. The share may be zero.
// The caller must read now after the renewal has arrived, so that the grant stays reserved until its
// lease has expired.
func (a *Allocator) Renew(now time.Duration, limit float64, r Renewal) Grant {
	d := a.pairs[r.Pair]
	if d == nil {
		d = newDivision()
		a.pairs[r.Pair] = d
	}
	d.expire(now)
	d.setLimit(limit)
	c := d.child(r.Child)
	d.setDemand(c, r.Demand)
	if r.Held.epoch() == a.config.Epoch {
		d.acknowledge(c, r.Held.Number)
	}
	share := d.offer(c, a.config.Floor)
	if a.Claiming(now) {
		share = d.claim(c, r.Held)
	}
	a.issued++
	grant := Grant{Number: a.config.Epoch<<epochShift + a.issued, Share: quantize(share)}
	d.reserve(c, reservation{Grant: grant, expires: now + a.reservation()})
	return grant
}

// quantum is the unit of shares in requests per second. Sums of its multiples up to MaxRate are
// exact in floating point.
const quantum = 1.0 / (1 << 20)

func quantize(share float64) float64 {
	if !(share > 0) {
		return 0
	}
	return math.Floor(share/quantum) * quantum
}

// Demands returns the demand of each pair that has any at now, in no particular order.
func (a *Allocator) Demands(now time.Duration) []Demand {
	demands := make([]Demand, 0, len(a.pairs))
	for pair := range a.pairs {
		if demand := a.Demand(now, pair); demand > 0 {
			demands = append(demands, Demand{Pair: pair, Rate: demand})
		}
	}
	return demands
}
