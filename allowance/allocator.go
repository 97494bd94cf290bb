package allowance

import (
	"math"
	"time"
)

// Pair is what an allowance is for.
type Pair struct {
	Customer string
	Service  string
}

// Grant is a share of an allowance, given for one lease.
type Grant struct {
	Number uint64  // rises from grant to grant, also over changes of leader; 0 for none
	Share  float64 // requests a second
}

func (g Grant) epoch() uint64 { return g.Number >> epochShift }

// Renewal is a child's request for a share.
type Renewal struct {
	Child  string // unique to one incarnation of the child
	Pair   Pair
	Held   Grant   // from Holder.Prepare
	Demand float64 // requests a second offered to the child, refused ones included
}

// AllocatorConfig is the settings of an Allocator.
type AllocatorConfig struct {
	Epoch uint64        // higher than that of every earlier allocator: the leader's term
	Lease time.Duration // time for which a share is given, counted from when the child sent its renewal
	Drift float64       // largest difference of two clocks' speed, as a part of one
	Floor float64       // part of each limit that is kept for children with little demand
}

// Defaults of AllocatorConfig.
const (
	DefaultDrift = 0.01
	DefaultFloor = 0.02
)

// epochShift is the place of the epoch in grant numbers: 2^24 epochs of 2^40
// grants each.
const epochShift = 40

// Allocator divides limits among children.
type Allocator struct {
	config     AllocatorConfig
	numbers    uint64        // grants given
	claimUntil time.Duration // end of the phase in which only claims are granted
	pairs      map[Pair]*division
}

// NewAllocator returns the allocator of a leader elected at now. Shares that an
// earlier allocator gave may still be held, so for one lease it grants each child
// no more than the child holds.
func NewAllocator(config AllocatorConfig, now time.Duration) *Allocator {
	a := &Allocator{config: config, pairs: make(map[Pair]*division)}
	a.claimUntil = now + a.reservation()
	return a
}

// NewFirstAllocator returns an allocator that knows that no share is held, as at
// the first start of a system. It grants at once.
func NewFirstAllocator(config AllocatorConfig, now time.Duration) *Allocator {
	a := NewAllocator(config, now)
	a.claimUntil = now
	return a
}

// reservation is the time for which a grant stays reserved.
func (a *Allocator) reservation() time.Duration {
	return time.Duration(math.Ceil(float64(a.config.Lease) * (1 + a.config.Drift)))
}

// Claiming reports whether only claims are granted at now.
func (a *Allocator) Claiming(now time.Duration) bool { return now < a.claimUntil }

// Pairs returns the number of pairs kept.
func (a *Allocator) Pairs() int { return len(a.pairs) }

// Reserved returns the sum of the shares of a pair that children may hold at now.
func (a *Allocator) Reserved(now time.Duration, pair Pair) float64 {
	d := a.pairs[pair]
	if d == nil {
		return 0
	}
	d.expire(now)
	return d.reserved
}

// WithinLimit reports whether children surely hold no more than a limit of a pair at now.
// They do not exceed it later if Renew is called with no higher limit from now on.
func (a *Allocator) WithinLimit(now time.Duration, pair Pair, limit float64) bool {
	return !a.Claiming(now) && a.Reserved(now, pair) <= limit
}

// Demand returns the sum of what a pair's children want at now, requests a second.
func (a *Allocator) Demand(now time.Duration, pair Pair) float64 {
	d := a.pairs[pair]
	if d == nil {
		return 0
	}
	d.expire(now)
	return d.wanted
}

// Sweep drops the shares whose lease is over and the pairs without any. Call it
// about once in a lease.
func (a *Allocator) Sweep(now time.Duration) {
	for pair, d := range a.pairs {
		d.expire(now)
		if len(d.children) == 0 {
			delete(a.pairs, pair)
		}
	}
}

// Renew grants a child a share of a pair's limit, requests a second. The share
// may be zero. now is read after the renewal arrived.
func (a *Allocator) Renew(now time.Duration, limit float64, r Renewal) Grant {
	d := a.pairs[r.Pair]
	if d == nil {
		d = newDivision()
		a.pairs[r.Pair] = d
	}
	d.expire(now)
	d.setLimit(limit)
	c := d.child(r.Child)
	d.want(c, r.Demand)
	if r.Held.epoch() == a.config.Epoch {
		d.acknowledge(c, r.Held.Number)
	}
	share := d.offer(c, a.config.Floor)
	if a.Claiming(now) {
		share = d.claim(c, r.Held)
	}
	a.numbers++
	grant := Grant{Number: a.config.Epoch<<epochShift + a.numbers, Share: quantize(share)}
	d.reserve(c, reservation{Grant: grant, ends: now + a.reservation()})
	return grant
}

// quantum is the unit of shares. Sums of its multiples up to MaxRate are exact in
// floating point.
const quantum = 1.0 / (1 << 20)

func quantize(share float64) float64 {
	if !(share > 0) {
		return 0
	}
	return math.Floor(share/quantum) * quantum
}

// Demands returns what is wanted of each pair at now, in no order.
func (a *Allocator) Demands(now time.Duration) []Demand {
	demands := make([]Demand, 0, len(a.pairs))
	for pair := range a.pairs {
		if wanted := a.Demand(now, pair); wanted > 0 {
			demands = append(demands, Demand{Pair: pair, Rate: wanted})
		}
	}
	return demands
}
