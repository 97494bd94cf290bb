package allowance

import (
	"math"
	"time"
)

// reservation is a grant that its child may hold until it ends.
type reservation struct {
	Grant
	ends time.Duration
}

// maxReservations bounds the unacknowledged grants kept for one child.
const maxReservations = 16

// child is one child's part of a division.
type child struct {
	reservations []reservation // by number; older ones until acknowledged or over
	reserved     float64       // largest of the reservations
	wanted       float64
	ceiling      float64 // share that it may keep while a limit is lowered
}

func (c *child) measure() {
	c.reserved = 0
	for _, r := range c.reservations {
		c.reserved = math.Max(c.reserved, r.Share)
	}
}

// division is one pair's limit as it is divided among children.
type division struct {
	children  map[string]*child
	limit     float64
	reserved  float64       // sum over children; exact, see quantum
	wanted    float64       // sum over children
	firstEnd  time.Duration // no reservation ends before
	shrinking bool          // reserved is above a lowered limit; ceilings hold
}

func newDivision() *division {
	return &division{children: make(map[string]*child), firstEnd: math.MaxInt64}
}

func (d *division) child(name string) *child {
	c := d.children[name]
	if c == nil {
		c = &child{}
		d.children[name] = c
	}
	return c
}

// expire drops reservations that are over, and children without any.
func (d *division) expire(now time.Duration) {
	if now < d.firstEnd {
		return
	}
	d.reserved, d.wanted, d.firstEnd = 0, 0, math.MaxInt64
	for name, c := range d.children {
		c.dropEnded(now)
		if len(c.reservations) == 0 {
			delete(d.children, name)
			continue
		}
		d.reserved += c.reserved
		d.wanted += c.wanted
		for _, r := range c.reservations {
			d.firstEnd = min(d.firstEnd, r.ends)
		}
	}
	d.checkShrunk()
}

func (c *child) dropEnded(now time.Duration) {
	kept := c.reservations[:0]
	for _, r := range c.reservations {
		if r.ends > now {
			kept = append(kept, r)
		}
	}
	c.reservations = kept
	c.measure()
}

// setLimit takes a changed limit. When children may hold more than a lowered
// limit, each gets a ceiling in proportion to what it holds.
func (d *division) setLimit(limit float64) {
	if limit == d.limit {
		return
	}
	lowered := limit < d.limit
	d.limit = limit
	if lowered && d.reserved > limit {
		d.lowerCeilings()
	}
	d.checkShrunk()
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

func (d *division) checkShrunk() {
	if d.shrinking && d.reserved <= d.limit {
		d.shrinking = false
	}
}

func (d *division) want(c *child, wanted float64) {
	if !(wanted > 0) || math.IsInf(wanted, 0) {
		wanted = 0
	}
	wanted = math.Min(wanted, MaxRate)
	d.wanted += wanted - c.wanted
	c.wanted = wanted
}

// acknowledge drops the grants before the one that the child holds: a child that
// holds a grant takes no earlier one.
func (d *division) acknowledge(c *child, number uint64) {
	for len(c.reservations) > 0 && c.reservations[0].Number < number {
		c.reservations = c.reservations[1:]
	}
	d.update(c)
}

// update takes a child's changed reservations into the sum.
func (d *division) update(c *child) {
	d.reserved -= c.reserved
	c.measure()
	d.reserved += c.reserved
	d.checkShrunk()
}

func (d *division) reserve(c *child, r reservation) {
	if len(c.reservations) == maxReservations {
		c.mergeOldest()
	}
	c.reservations = append(c.reservations, r)
	d.firstEnd = min(d.firstEnd, r.ends)
	d.update(c)
}

// mergeOldest makes one reservation of the two oldest, that covers both.
func (c *child) mergeOldest() {
	first, second := c.reservations[0], c.reservations[1]
	second.Share = math.Max(first.Share, second.Share)
	second.ends = max(first.ends, second.ends)
	c.reservations = append(c.reservations[:0], c.reservations[1:]...)
	c.reservations[0] = second
}

// available is what no other child may hold.
func (d *division) available(c *child) float64 {
	return math.Max(0, d.limit-(d.reserved-c.reserved))
}

// offer returns the share that a child may have now.
func (d *division) offer(c *child, floor float64) float64 {
	available := d.available(c)
	if len(c.reservations) == 0 {
		// A first grant leaves something to the next newcomer.
		available /= 2
	}
	if d.shrinking {
		available = math.Max(available, math.Min(c.ceiling, c.reserved))
	}
	return math.Min(d.target(c, floor), available)
}

// target divides the limit in proportion to demand, and the floor equally. One
// part of the floor is left for a newcomer.
func (d *division) target(c *child, floor float64) float64 {
	n := float64(len(d.children))
	equal := d.limit * floor / (n + 1)
	rest := d.limit * (1 - floor)
	if d.wanted <= 0 {
		return equal + rest/n
	}
	return equal + rest*c.wanted/d.wanted
}

// claim returns what a child may keep of a share that it holds from an earlier
// allocator, or from this one.
func (d *division) claim(c *child, held Grant) float64 {
	if !(held.Share > 0) {
		return 0
	}
	return math.Min(held.Share, d.available(c))
}
