package allowance

import (
	"math"
	"time"
)

// reservation is a grant that a child may hold until the reservation expires.
type reservation struct {
	Grant
	expires time.Duration
}

// maxReservations bounds the unacknowledged grants tracked per child.
const maxReservations = 16

// child is the state of one child in a division. Shares and demands are in requests per second.
type child struct {
	reservations []reservation // by number; older ones are kept until acknowledged or expired
	reserved     float64       // largest share among the reservations
	demand       float64
	ceiling      float64 // share that it may keep while a lowered limit takes effect
}

func (c *child) updateReserved() {
	c.reserved = 0
	for _, r := range c.reservations {
		c.reserved = math.Max(c.reserved, r.Share)
	}
}

// division is the state of one pair's limit and its division among children, in requests per second.
type division struct {
	children   map[string]*child
	limit      float64
	reserved   float64       // sum over children; exact, see quantum
	demand     float64       // sum over children
	nextExpiry time.Duration // no reservation expires earlier
	shrinking  bool          // reserved exceeds a lowered limit; ceilings apply
}

func newDivision() *division {
	return &division{children: make(map[string]*child), nextExpiry: math.MaxInt64}
}

func (d *division) child(name string) *child {
	c := d.children[name]
	if c == nil {
		c = &child{}
		d.children[name] = c
	}
	return c
}

// expire removes expired reservations, and children that have none left.
func (d *division) expire(now time.Duration) {
	if now < d.nextExpiry {
		return
	}
	d.reserved, d.demand, d.nextExpiry = 0, 0, math.MaxInt64
	for name, c := range d.children {
		c.removeExpired(now)
		if len(c.reservations) == 0 {
			delete(d.children, name)
			continue
		}
		d.reserved += c.reserved
		d.demand += c.demand
		for _, r := range c.reservations {
			d.nextExpiry = min(d.nextExpiry, r.expires)
		}
	}
	d.updateShrinking()
}

func (c *child) removeExpired(now time.Duration) {
	kept := c.reservations[:0]
	for _, r := range c.reservations {
		if r.expires > now {
			kept = append(kept, r)
		}
	}
	c.reservations = kept
	c.updateReserved()
}

// setLimit updates the limit. If children may hold more than a lowered limit, each gets a ceiling
// in proportion to its reservation.
func (d *division) setLimit(limit float64) {
	if limit == d.limit {
		return
	}
	lowered := limit < d.limit
	d.limit = limit
	if lowered && d.reserved > limit {
		d.lowerCeilings()
	}
	d.updateShrinking()
}

func (d *division) lowerCeilings() {
	sum := 0.0
	for _, c := range d.children {
		if !d.shrinking {
			c.ceiling = c.reserved
		}
		c.ceiling = math.Min(c.ceiling, c.reserved)
		sum += c.ceiling
	}
	d.shrinking = true
	if sum <= d.limit {
		return
	}
	for _, c := range d.children {
		c.ceiling = quantize(c.ceiling * d.limit / sum)
	}
}

// updateShrinking ends the shrinking state once the reservations fit the limit.
func (d *division) updateShrinking() {
	if d.shrinking && d.reserved <= d.limit {
		d.shrinking = false
	}
}

func (d *division) setDemand(c *child, demand float64) {
	if !(demand > 0) || math.IsInf(demand, 0) {
		demand = 0
	}
	demand = math.Min(demand, MaxRate)
	d.demand += demand - c.demand
	c.demand = demand
}

// acknowledge removes the reservations of grants earlier than the one that the child holds,
// because a child that holds a grant accepts no earlier one.
func (d *division) acknowledge(c *child, number uint64) {
	for len(c.reservations) > 0 && c.reservations[0].Number < number {
		c.reservations = c.reservations[1:]
	}
	d.update(c)
}

// update adjusts the sum of reserved shares after a child's reservations have changed.
func (d *division) update(c *child) {
	d.reserved -= c.reserved
	c.updateReserved()
	d.reserved += c.reserved
	d.updateShrinking()
}

func (d *division) reserve(c *child, r reservation) {
	if len(c.reservations) == maxReservations {
		c.mergeOldest()
	}
	c.reservations = append(c.reservations, r)
	d.nextExpiry = min(d.nextExpiry, r.expires)
	d.update(c)
}

// mergeOldest replaces the two oldest reservations with one that covers both.
func (c *child) mergeOldest() {
	first, second := c.reservations[0], c.reservations[1]
	second.Share = math.Max(first.Share, second.Share)
	second.expires = max(first.expires, second.expires)
	c.reservations = append(c.reservations[:0], c.reservations[1:]...)
	c.reservations[0] = second
}

// available returns what remains of the limit after the reservations of all other children.
func (d *division) available(c *child) float64 {
	return math.Max(0, d.limit-(d.reserved-c.reserved))
}

// offer returns the share to grant to a child outside the claim phase.
func (d *division) offer(c *child, floor float64) float64 {
	available := d.available(c)
	if len(c.reservations) == 0 {
		// A first grant takes at most half, so that the next new child also gets a share.
		available /= 2
	}
	if d.shrinking {
		available = math.Max(available, math.Min(c.ceiling, c.reserved))
	}
	return math.Min(d.target(c, floor), available)
}

// target returns a child's share of the limit: in proportion to its demand, plus an equal part of
// the floor. One such part of the floor is left for a new child.
func (d *division) target(c *child, floor float64) float64 {
	n := float64(len(d.children))
	equal := d.limit * floor / (n + 1)
	rest := d.limit * (1 - floor)
	if d.demand <= 0 {
		return equal + rest/n
	}
	return equal + rest*c.demand/d.demand
}

// claim returns the share to grant to a child in the claim phase: the share that it holds, from an
// earlier allocator or from this one, as far as the limit allows.
func (d *division) claim(c *child, held Grant) float64 {
	if !(held.Share > 0) {
		return 0
	}
	return math.Min(held.Share, d.available(c))
}
