package allowance

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// shareSession runs the commands of a data file against a tree, either with regions or with hosts
// directly under the global allocator.
type shareSession struct {
	*tree
	buckets map[string]*Bucket
}

func (s *shareSession) node(name string) *node {
	for _, n := range append(append([]*node{}, s.regions...), s.hosts...) {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (s *shareSession) run(t *testing.T, d *datadriven.TestData) string {
	var name string
	demand, number, count := 0.0, 0, 1
	elapsed, grace := time.Duration(0), 0
	for key, value := range map[string]any{"node": &name, "want": &demand, "n": &number, "times": &count, "grace": &grace} {
		d.MaybeScanArgs(t, key, value)
	}
	if d.HasArg("for") {
		var text string
		d.ScanArgs(t, "for", &text)
		elapsed, _ = time.ParseDuration(text)
	}
	switch d.Cmd {
	case "flat": // hosts directly under the global allocator, no shares held before
		s.tree = &tree{limit: 1000, epoch: 1, global: NewFirstAllocator(AllocatorConfig{Epoch: 1, Lease: regionLease, Drift: drift, Floor: DefaultFloor}, 0)}
		for i := range count {
			s.hosts = append(s.hosts, &node{name: fmt.Sprint("host-", i), rate: 1})
		}
	case "tree":
		s.tree = newTree()
		s.now = 2 * regionLease
	case "send":
		s.send(s.node(name), demand)
	case "deliver":
		s.deliver(number)
	case "drop":
		s.drop(number)
	case "renew":
		for range count {
			s.send(s.node(name), demand)
			s.deliver(len(s.messages) - 1)
			s.deliver(len(s.messages) - 1)
		}
	case "wait":
		s.now += elapsed
	case "limit":
		s.setLimit(demand)
	case "elect":
		s.epoch++
		s.global = newAllocatorAt(s.epoch, regionLease, s.now)
	case "admit":
		return s.admit(s.node(name), demand, elapsed, time.Duration(grace)*time.Millisecond)
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return s.show()
}

// admit offers evenly spaced requests to a bucket with the holder's current share, which is not
// renewed in the meantime.
func (s *shareSession) admit(n *node, offered float64, elapsed, grace time.Duration) string {
	if s.buckets[n.name] == nil {
		s.buckets[n.name] = NewBucket(grace)
	}
	b := s.buckets[n.name]
	limit := Limit{RequestsPerSecond: s.limit, Burst: s.limit / 10}
	share := n.holder.Share(s.now)
	b.Set(s.now, share, BurstShare(limit, share), n.holder.Expiry())
	admitted, total := 0, int(offered*elapsed.Seconds())
	var retry time.Duration
	for i := range total {
		ok, after := b.Admit(s.now + elapsed*time.Duration(i)/time.Duration(total))
		if ok {
			admitted++
		} else {
			retry = after
		}
	}
	s.now += elapsed
	return fmt.Sprintf("admitted %d of %d, then retry after %v", admitted, total, retry.Round(time.Millisecond))
}

func (s *shareSession) show() string {
	var out strings.Builder
	fmt.Fprintf(&out, "%v limit=%g reserved=%.1f claiming=%v\n", s.now, s.limit, s.global.Reserved(s.now, testPair), s.global.Claiming(s.now))
	for _, n := range append(append([]*node{}, s.regions...), s.hosts...) {
		if share := n.holder.Share(n.clock(s.now)); share > 0 {
			fmt.Fprintf(&out, "%s %.1f\n", n.name, share)
		}
	}
	return out.String()
}

func TestShareSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/shares", func(t *testing.T, path string) {
		s := &shareSession{buckets: map[string]*Bucket{}}
		datadriven.RunTest(t, path, s.run)
	})
}

// runLists runs one command of a data file. Lists are in YAML, as operators write them.
func runLists(t *testing.T, l **Lists, d *datadriven.TestData) string {
	operator, customer, service := "an", "", ""
	for key, value := range map[string]*string{"operator": &operator, "customer": &customer, "service": &service} {
		d.MaybeScanArgs(t, key, value)
	}
	c := Command{Operator: operator}
	switch d.Cmd {
	case "plans":
		list, err := ParsePlans([]byte(d.Input))
		if err != nil {
			return err.Error()
		}
		c.Plans = &list
	case "allowances":
		list, err := ParseAllowances([]byte(d.Input))
		if err != nil {
			return err.Error()
		}
		c.Allowances = &list
	case "limit":
		limit, err := (*l).Limit(customer, service)
		return fmt.Sprintf("%s %g/s burst %g err=%v", limit.Service, limit.RequestsPerSecond, limit.Burst, err)
	case "restore":
		*l = roundTrip(t, *l)
		return fmt.Sprintf("plans=%d allowances=%d", (*l).Plans().Version, (*l).Allowances().Version)
	}
	data, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if c, err = DecodeCommand(data); err != nil {
		t.Fatal(err)
	}
	return formatResult((*l).Apply(c))
}

func formatResult(r Result) string {
	out := []string{fmt.Sprintf("%s, version %d in force", r.Outcome, r.Version)}
	if r.Winner != nil {
		out = append(out, fmt.Sprintf("winner %d by %s", r.Winner.Version, r.Winner.Operator))
		for _, difference := range r.Winner.Differences {
			out = append(out, fmt.Sprintf("%s: winner %q, loser %q", difference.Entry, difference.Winner, difference.Loser))
		}
	}
	if r.Problems != nil {
		out = append(out, r.Problems.Error())
	}
	return strings.Join(out, "\n")
}

// roundTrip returns l restored from its snapshot.
func roundTrip(t testing.TB, l *Lists) *Lists {
	data, err := l.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := RestoreLists(data)
	if err != nil {
		t.Fatal(err)
	}
	return restored
}

func TestListSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/lists", func(t *testing.T, path string) {
		l := NewLists()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return runLists(t, &l, d) })
	})
}
