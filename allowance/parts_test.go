package allowance

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

var orders = Pair{Customer: "uniform", Service: "orders"}

// partRegion is one region: the state of its log, and its leader with a copy of the global log.
type partRegion struct {
	name        string
	accepted    *AcceptedParts
	allocator   *Allocator
	epoch       uint64
	copied      int  // number of commands of the global log in the leader's copy
	partitioned bool // from the leader of the global log
	unreachable bool // for its own hosts
	hosts       []*Holder
	demand      float64 // of all hosts together, reported by the first one
}

// partSystem simulates a global log and two regions with one pair, in virtual time.
type partSystem struct {
	now                  time.Duration
	limit                float64
	log                  []PartCommand // global
	regions              []*partRegion
	planner              *PartPlanner
	pendingConfirmations []PartCommand // sent but not committed
	allConfirmations     []PartCommand // ever sent, for duplicates and late copies
}

func newPartSystem() *partSystem {
	s := &partSystem{limit: 1000, planner: NewPartPlanner([]string{"lisboa", "norte"})}
	for _, name := range []string{"lisboa", "norte"} {
		r := &partRegion{name: name, accepted: NewAcceptedParts(), hosts: []*Holder{{}, {}}}
		s.regions = append(s.regions, r)
		s.elect(r, 0)
	}
	s.now = 3 * hostLease // after the claim phase of the first leaders
	return s
}

// elect gives a region a new leader whose copy of the global log has the given number of commands.
func (s *partSystem) elect(r *partRegion, copied int) {
	r.epoch++
	r.copied = copied
	r.allocator = NewAllocator(AllocatorConfig{Epoch: r.epoch, Lease: hostLease, Drift: drift}, s.now)
}

// parts returns the state after a number of commands of the global log. It restores the state
// from a snapshot on the way, so that snapshots are covered too.
func (s *partSystem) parts(commands int) *Parts {
	p := NewParts()
	for i, c := range s.log[:commands] {
		p.Apply(uint64(i+1), c)
		if i%3 == 0 {
			data, _ := p.Snapshot()
			p, _ = RestoreParts(data)
		}
	}
	return p
}

func (s *partSystem) limitIn(r *partRegion) float64 {
	part := s.parts(r.copied).Part(orders, r.name, len(s.regions))
	return s.limit * r.accepted.EffectiveFraction(orders, part)
}

// renew renews a host's share. If lost is true, the host does not receive the reply.
func (s *partSystem) renew(r *partRegion, host int, lost bool) {
	holder := r.hosts[host]
	sent := holder.Prepare(s.now, 0)
	demand := 0.0
	if host == 0 {
		demand = r.demand
	}
	renewal := Renewal{Child: fmt.Sprint(r.name, host), Pair: orders, Held: sent.Held, Demand: demand}
	if grant := r.allocator.Renew(s.now, s.limitIn(r), renewal); !lost {
		holder.Accept(s.now, sent, hostLease, grant)
	}
}

// lower makes a region's leader accept lowered parts, and confirm accepted ones that its hosts do
// not exceed.
func (s *partSystem) lower(r *partRegion) {
	for _, l := range s.parts(r.copied).LoweredParts(r.name) {
		switch {
		case !r.accepted.HasAccepted(l):
			r.accepted.Apply(l.AcceptedPart())
		case r.allocator.WithinLimit(s.now, orders, s.limitIn(r)):
			confirm := PartCommand{Confirmations: []PartConfirmation{l.Confirmation(r.name)}}
			s.pendingConfirmations = append(s.pendingConfirmations, confirm)
			s.allConfirmations = append(s.allConfirmations, confirm)
		}
	}
}

// renewToMaximum makes a region's hosts obtain the largest shares that they can get.
func (s *partSystem) renewToMaximum(r *partRegion) {
	r.demand = 2000
	for i := range 6 {
		s.renew(r, i%2, false)
	}
}

// plan reports the demands of reachable regions and commits the planned shifts, as the leader of
// the global log does.
func (s *partSystem) plan() {
	for _, r := range s.regions {
		if !r.partitioned {
			demands := ReportableDemands(r.allocator.Demands(s.now), func(Pair) float64 { return s.limit })
			s.planner.Report(s.now, r.name, demands)
		}
	}
	shifts := s.planner.Plan(s.now, s.parts(len(s.log)), func(Pair) float64 { return s.limit })
	if len(shifts) > 0 {
		s.log = append(s.log, PartCommand{Shifts: shifts})
	}
}

// held returns the sum of the hosts' shares in a region.
func (s *partSystem) held(r *partRegion) float64 {
	sum := 0.0
	for _, h := range r.hosts {
		sum += h.Share(s.now)
	}
	return sum
}

// run advances the whole system by a duration, in steps of 250 ms.
func (s *partSystem) run(elapsed time.Duration) {
	for end := s.now + elapsed; s.now < end; s.now += 250 * time.Millisecond {
		for _, r := range s.regions {
			if !r.unreachable {
				s.renew(r, 0, false)
				s.renew(r, 1, false)
			}
			if !r.partitioned {
				r.copied = len(s.log)
			}
			s.lower(r)
		}
		for _, r := range s.regions {
			if !r.partitioned {
				s.deliver(r.name)
			}
		}
		s.plan()
	}
}

// deliver commits a region's confirmations to the global log.
func (s *partSystem) deliver(region string) {
	remaining := s.pendingConfirmations[:0]
	for _, c := range s.pendingConfirmations {
		if c.Confirmations[0].Region == region {
			s.log = append(s.log, c)
		} else {
			remaining = append(remaining, c)
		}
	}
	s.pendingConfirmations = remaining
}

func (s *partSystem) show() string {
	var b strings.Builder
	parts := s.parts(len(s.log))
	for _, r := range s.regions {
		part := parts.Part(orders, r.name, len(s.regions))
		fmt.Fprintf(&b, "%s part=%.2f%% held=%.0f\n", r.name, float64(part.Units)*100/TotalPartUnits, s.held(r))
	}
	fmt.Fprintf(&b, "commands=%d pending=%v\n", len(s.log), parts.Pending(orders))
	return b.String()
}

func TestPartSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/parts", func(t *testing.T, path string) {
		s := newPartSystem()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var region, text string
			value := 0.0
			d.MaybeScanArgs(t, "region", &region)
			d.MaybeScanArgs(t, "to", &value)
			d.MaybeScanArgs(t, "for", &text)
			for _, r := range s.regions {
				if r.name != region {
					continue
				}
				switch d.Cmd {
				case "want":
					r.demand = value
				case "cut", "heal":
					r.partitioned = d.Cmd == "cut"
				case "silence":
					r.unreachable = true
				case "elect": // with a copy of the global log that may be stale
					s.elect(r, int(value))
				}
			}
			if d.Cmd == "limit" {
				s.limit = value
			}
			elapsed, _ := time.ParseDuration(text)
			s.run(elapsed)
			return s.show()
		})
	})
}

// The hosts of all regions together must not hold more than the limit, even with lost replies, late
// and duplicate confirmations, partitions, and new leaders with stale copies of the global log.
func TestPartsNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newPartSystem()
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			r := s.regions[rapid.IntRange(0, 1).Draw(t, "region")]
			s.step(t, r)
			if sum := s.held(s.regions[0]) + s.held(s.regions[1]); sum > s.limit {
				t.Fatalf("hosts hold %v, limit is %v\n%s", sum, s.limit, s.show())
			}
		}
		data, _ := s.parts(len(s.log)).Snapshot()
		restored, err := RestoreParts(data)
		if err != nil {
			t.Fatal(err)
		}
		if again, _ := restored.Snapshot(); !bytes.Equal(data, again) {
			t.Fatal("snapshot of the restored state differs")
		}
	})
}

func (s *partSystem) step(t *rapid.T, r *partRegion) {
	actions := []string{"renew", "renew", "renew", "want", "copy", "copy", "lower", "lower", "confirm", "confirm", "shift", "wait", "wait", "elect", "use", "run"}
	switch rapid.SampledFrom(actions).Draw(t, "action") {
	case "renew":
		s.renew(r, rapid.IntRange(0, 1).Draw(t, "host"), rapid.Bool().Draw(t, "lost"))
	case "want":
		r.demand = rapid.SampledFrom([]float64{0, 100, 2000}).Draw(t, "wanted")
	case "copy":
		r.copied = rapid.IntRange(r.copied, len(s.log)).Draw(t, "copied")
	case "lower":
		s.lower(r)
	case "confirm": // any confirmation ever sent, so also late and duplicate ones
		if len(s.allConfirmations) > 0 {
			s.log = append(s.log, rapid.SampledFrom(s.allConfirmations).Draw(t, "confirm"))
		}
		r.copied = len(s.log)
		s.renewToMaximum(r)
	case "use": // possibly with a stale copy of the global log
		s.renewToMaximum(r)
	case "shift":
		other := s.regions[rapid.IntRange(0, 1).Draw(t, "to")]
		s.log = append(s.log, PartCommand{Shifts: []PartShift{{
			Customer: orders.Customer, Service: orders.Service, Regions: s.planner.regions,
			From: r.name, To: other.name, Units: rapid.SampledFrom([]int{1000, 2000, 5000}).Draw(t, "units"),
		}}})
		if rapid.Bool().Draw(t, "copied") {
			r.copied = len(s.log)
		}
	case "wait":
		s.now += time.Duration(rapid.SampledFrom([]int{1, 100, 1000}).Draw(t, "ms")) * time.Millisecond
	case "elect":
		s.elect(r, rapid.SampledFrom([]int{0, len(s.log)}).Draw(t, "copied"))
		data, _ := r.accepted.Snapshot()
		r.accepted, _ = RestoreAcceptedParts(data)
		s.lower(r)
		s.lower(r)
	case "run":
		s.run(time.Duration(rapid.IntRange(1, 8).Draw(t, "quarters")) * 250 * time.Millisecond)
	}
}
