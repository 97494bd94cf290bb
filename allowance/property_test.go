package allowance

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain sets a fixed seed for the property tests, unless -rapid.seed is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

const (
	hostLease   = 800 * time.Millisecond
	regionLease = 3 * time.Second
	drift       = 0.1 // large, to make its effects visible
)

var testPair = Pair{Customer: "uniform", Service: "orders"}

// node is a child of the level above it: a region, or an entry host.
type node struct {
	name   string
	parent *node   // nil for a region
	rate   float64 // of its clock, 1 for exact
	holder Holder
	// Until this time the node receives no messages, and the messages that it sent are lost.
	partitionedUntil time.Duration
	// The allocator of a region, nil for a host.
	allocator *Allocator
	epoch     uint64
}

// message is a renewal in transit to the parent, or its reply in transit to the child.
type message struct {
	from   *node
	sent   SentRenewal
	demand float64
	reply  *Grant // nil for a renewal
}

// tree simulates a global allocator, regions under it and entry hosts under the regions.
type tree struct {
	now      time.Duration
	global   *Allocator
	epoch    uint64
	limit    float64
	previous float64       // highest limit that may still be in use
	lowered  time.Duration // when the limit was last lowered
	regions  []*node
	hosts    []*node // including replaced ones that still run
	messages []message
}

func newAllocatorAt(epoch uint64, lease, now time.Duration) *Allocator {
	return NewAllocator(AllocatorConfig{Epoch: epoch, Lease: lease, Drift: drift, Floor: DefaultFloor}, now)
}

func newTree() *tree {
	t := &tree{limit: 1000, previous: 1000, epoch: 1, global: newAllocatorAt(1, regionLease, 0)}
	for i := range 2 {
		region := &node{name: fmt.Sprint("region-", i), rate: 1, epoch: 1, allocator: newAllocatorAt(1, hostLease, 0)}
		t.regions = append(t.regions, region)
		for range 3 {
			t.addHost(region)
		}
	}
	return t
}

func (t *tree) addHost(region *node) {
	rate := 1 + drift/2*float64(len(t.hosts)%3-1)
	t.hosts = append(t.hosts, &node{name: fmt.Sprint("host-", len(t.hosts)), parent: region, rate: rate})
}

func (n *node) clock(now time.Duration) time.Duration { return time.Duration(float64(now) * n.rate) }

func (n *node) lease() time.Duration {
	if n.parent == nil {
		return regionLease
	}
	return hostLease
}

func (t *tree) send(n *node, demand float64) {
	inUse := 0.0
	if n.allocator != nil {
		inUse = n.allocator.Reserved(t.now, testPair)
		if n.allocator.Claiming(t.now) {
			inUse = math.Inf(1)
		}
	}
	t.messages = append(t.messages, message{from: n, sent: n.holder.Prepare(n.clock(t.now), inUse), demand: demand})
}

// deliver passes a renewal to the parent's current allocator, or a reply to the child.
func (t *tree) deliver(i int) {
	m := t.messages[i]
	t.drop(i)
	if t.now < m.from.partitionedUntil {
		return
	}
	if m.reply != nil {
		m.from.holder.Accept(m.from.clock(t.now), m.sent, m.from.lease(), *m.reply)
		return
	}
	allocator, limit := t.global, t.limit
	if region := m.from.parent; region != nil {
		allocator = region.allocator
		limit = region.holder.ShareFor(t.now, allocator.reservation())
	}
	grant := allocator.Renew(t.now, limit, Renewal{Child: m.from.name, Pair: testPair, Held: m.sent.Held, Demand: m.demand})
	m.reply = &grant
	t.messages = append(t.messages, m)
}

func (t *tree) drop(i int) { t.messages = append(t.messages[:i], t.messages[i+1:]...) }

func (t *tree) setLimit(limit float64) {
	t.previous = max(t.previous, t.limit, limit)
	if limit < t.limit {
		t.lowered = t.now
	}
	t.limit = limit
}

// step takes a random step. Most renewals are answered at once and in order, so that children hold
// large shares when a fault occurs.
func (t *tree) step(r *rand.Rand) {
	n := append(append([]*node{}, t.regions...), t.hosts...)[r.IntN(len(t.regions)+len(t.hosts))]
	switch action := r.IntN(100); {
	case action < 50:
		t.send(n, []float64{0, 10, 500, 2000}[r.IntN(4)])
		for range 2 {
			if r.IntN(5) > 0 && len(t.messages) > 0 {
				t.deliver(len(t.messages) - 1)
			}
		}
	case action < 60 && len(t.messages) > 0:
		t.deliver(r.IntN(len(t.messages)))
	case action < 63 && len(t.messages) > 0:
		t.drop(r.IntN(len(t.messages)))
	case action < 90:
		t.now += []time.Duration{time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond}[r.IntN(3)]
	case action < 92:
		t.now += time.Duration(r.IntN(1000)) * time.Millisecond
	case action < 93 && t.now > t.settled():
		t.setLimit(float64(r.IntN(4) * 500))
	case action < 94:
		t.epoch++
		t.global = newAllocatorAt(t.epoch, regionLease, t.now)
	case action < 95:
		region := t.regions[r.IntN(2)]
		region.epoch++
		region.allocator = newAllocatorAt(region.epoch, hostLease, t.now)
	case action < 96 && len(t.hosts) < 12:
		t.addHost(t.regions[r.IntN(2)])
	case action < 98:
		n.partitionedUntil = t.now + time.Duration(r.Int64N(int64(3*n.lease())))
	}
}

// settled returns the time from which no node exceeds a lowered limit: after the reservation of a
// region's share, the leases of its hosts' shares and the claim phase of a new leader.
func (t *tree) settled() time.Duration {
	return max(t.lowered+t.global.reservation()+2*hostLease, t.global.claimUntil)
}

// check compares the shares held with the limit, or with the previous limit until a lowered one has
// settled.
func (t *tree) check(r *rapid.T) {
	if t.now > t.settled() {
		t.previous = t.limit
	}
	regions, hosts := 0.0, 0.0
	for _, n := range t.regions {
		regions += n.holder.Share(t.now)
	}
	for _, n := range t.hosts {
		hosts += n.holder.Share(n.clock(t.now))
	}
	if limit := max(t.previous, t.limit); regions > limit || hosts > limit {
		r.Fatalf("at %v regions hold %v and hosts hold %v, limit is %v", t.now, regions, hosts, limit)
	}
}

// The shares held must never exceed the limit, with random message loss, delay and reordering,
// clock drift, restarts, partitions, and changes of leaders and limits.
func TestSharesNeverExceedLimit(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 0))
		tr := newTree()
		tr.now = regionLease + hostLease
		for range 10_000 {
			tr.step(random)
			tr.check(r)
		}
	})
}

// renewAll renews the shares of every region and then of every host, without message loss.
func (t *tree) renewAll(demands map[int]float64) {
	for _, region := range t.regions {
		t.send(region, region.allocator.Demand(t.now, testPair))
		t.deliver(len(t.messages) - 1)
		t.deliver(len(t.messages) - 1)
	}
	for i, host := range t.hosts {
		t.send(host, demands[i])
		t.deliver(len(t.messages) - 1)
		t.deliver(len(t.messages) - 1)
	}
	t.now += 100 * time.Millisecond
}

// The hosts through which a customer sends its requests must together obtain at least 90 % of the
// limit, whether one host or all of them, also after the demand has moved to other hosts.
func TestSharesFollowDemand(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		tr := newTree()
		tr.now = 2 * regionLease
		for range rapid.IntRange(1, 5).Draw(r, "moves") {
			demands := map[int]float64{}
			for range rapid.IntRange(1, 6).Draw(r, "hosts") {
				demands[rapid.IntRange(0, 5).Draw(r, "host")] = 2000
			}
			for range 2 * int(regionLease/(100*time.Millisecond)) {
				tr.renewAll(demands)
				tr.check(r)
			}
			sum := 0.0
			for i := range demands {
				sum += tr.hosts[i].holder.Share(tr.hosts[i].clock(tr.now))
			}
			if sum < 0.9*tr.limit {
				r.Fatalf("hosts with demand hold %v, limit is %v", sum, tr.limit)
			}
		}
	})
}
