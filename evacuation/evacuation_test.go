package evacuation

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/galenalug/galenalug/lease"
	"github.com/galenalug/galenalug/rollout"
)

// Guards against repeats of a call that count as changes: each would have to reach all entry hosts again.
func TestRepeatedChangesChangeNothing(t *testing.T) {
	var s Set
	for i, step := range []struct {
		change   Change
		revision uint64
		names    []string
	}{
		{Change{Domain: "b"}, 0, nil},
		{Change{Domain: "b", Start: true, Millis: 1, By: "x"}, 1, []string{"b"}},
		{Change{Domain: "b", Start: true, Millis: 2, By: "y"}, 1, []string{"b"}},
		{Change{Domain: "a", Start: true}, 2, []string{"a", "b"}},
		{Change{Domain: "b"}, 3, []string{"a"}},
		{Change{Domain: "b"}, 3, []string{"a"}},
		{Change{Domain: "b", Start: true}, 4, []string{"a", "b"}},
	} {
		before := slices.Clone(s.Domains)
		next := s.Apply(step.change)
		if next.Revision != step.revision || !slices.Equal(next.Names(), step.names) {
			t.Errorf("step %d: revision %d, domains %v; want %d, %v", i, next.Revision, next.Names(), step.revision, step.names)
		}
		if !slices.Equal(s.Domains, before) {
			t.Errorf("step %d changed the former set", i)
		}
		s = next
	}
	if b, _ := s.Find("b"); b.Revision != 4 {
		t.Errorf("revision of the second start is %d, want 4", b.Revision)
	}
}

// Guards against a new leader that does not know of the latest end of an evacuation, or takes an older one for it.
func TestSetKeepsLatestEnds(t *testing.T) {
	var s Set
	for _, c := range []Change{
		{Domain: "b", Start: true}, {Domain: "b", Millis: 10}, {Domain: "c", Start: true}, {Domain: "c", Millis: 20},
		{Domain: "a", Start: true}, {Domain: "a", Millis: 30}, {Domain: "b", Start: true}, {Domain: "b", Millis: 40},
		{Domain: "a", Start: true}, {Domain: "b", Millis: 50},
	} {
		s = s.Apply(c)
	}
	if got := s.EndedSince(20); !slices.Equal(got, []string{"b", "c"}) {
		t.Errorf("ended since 20: %v, want b and c", got)
	}
	if got := s.EndedSince(21); !slices.Equal(got, []string{"b"}) {
		t.Errorf("ended since 21: %v, want b", got)
	}
}

const (
	modelLease    = 5 * time.Second
	modelEvacuate = 5 * time.Second
)

// modelHost is an entry host of the model. Its clock runs at a rate of its own.
type modelHost struct {
	follower    Follower
	holder      lease.Holder
	confirmedAt time.Duration
	rate        float64
}

func (h *modelHost) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now) * h.rate)
}

// sendsTo reports whether the host sends requests to a domain.
func (h *modelHost) sendsTo(now time.Duration, domain string, owner bool) bool {
	at := h.clock(now)
	return h.holder.Valid(at) && !h.follower.Blocked(at, domain, owner)
}

// modelReport is a report on its way to the leader, or its reply on the way back.
type modelReport struct {
	host     *modelHost
	name     string
	revision uint64
	sentAt   time.Duration
	replied  bool
	granted  bool
}

type model struct {
	now     time.Duration
	tracker *rollout.Tracker
	state   State
	copies  []ConditionalChange      // of changes that the operator has repeated or given up
	acked   map[string]time.Duration // time of the first acknowledgement of a start that is in force
	hosts   map[string]*modelHost
	names   []string
	sets    []Set // sent so far
	reports []*modelReport
}

func newModelTracker() *rollout.Tracker {
	return rollout.NewTracker(rollout.Options{Lease: modelLease, Bound: Bound(modelEvacuate)})
}

// From the bound after the acknowledgement of a start until the end, no entry host sends requests to the domain, to
// owners of keys neither, whatever the delays of messages and calls, lost hosts, changes of leader and clock drift.
func TestModelNoRequestsAfterTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{tracker: newModelTracker(), acked: map[string]time.Duration{}, hosts: map[string]*modelHost{}, now: time.Second}
		m.sets = []Set{{}}
		for i := range rapid.IntRange(1, 3).Draw(t, "hosts") {
			name := string(rune('x' + i))
			m.names = append(m.names, name)
			m.hosts[name] = &modelHost{rate: rapid.SampledFrom([]float64{1, 1 - 0.98*lease.MaxDrift}).Draw(t, "rate")}
		}
		t.Repeat(map[string]func(*rapid.T){
			"pass time": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond
			},
			"change": m.change, "late copy": m.late, "acknowledge": m.acknowledge, "update": m.update, "report": m.report, "deliver": m.deliver, "follow": m.follow,
			"change leader": func(*rapid.T) {
				m.tracker = newModelTracker()
				m.tracker.Inherit(m.now)
			},
			"": m.check,
		})
	})
}

func (m *model) change(t *rapid.T) {
	c := Change{Domain: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain"), Start: rapid.Bool().Draw(t, "start")}
	conditional := ConditionalChange{Change: c, Sequence: m.state.Sequence(c.Domain)}
	m.apply(conditional)
	m.copies = append(m.copies, conditional)
	if !c.Start {
		delete(m.acked, c.Domain)
	}
}

// apply applies a change, of which the entry hosts may hear from then on.
func (m *model) apply(c ConditionalChange) {
	m.state.Apply(c)
	m.sets = append(m.sets, m.state.Set())
}

// late applies a copy of a change that the operator has made before.
func (m *model) late(t *rapid.T) {
	if len(m.copies) > 0 {
		m.apply(rapid.SampledFrom(m.copies).Draw(t, "copy"))
	}
}

func (m *model) acknowledge(*rapid.T) {
	for _, d := range m.state.Set().Domains {
		if _, done := m.acked[d.Name]; !done && m.now >= m.tracker.AcknowledgeAt(m.now, d.Revision) {
			m.acked[d.Name] = m.now
		}
	}
}

func (m *model) update(t *rapid.T) {
	h := m.hosts[rapid.SampledFrom(m.names).Draw(t, "host")]
	set := m.sets[rapid.IntRange(0, len(m.sets)-1).Draw(t, "set")]
	h.follower.Update(Update{Set: set, BoundMillis: Bound(modelEvacuate).Milliseconds()}, h.confirmedAt)
}

func (m *model) report(t *rapid.T) {
	name := rapid.SampledFrom(m.names).Draw(t, "host")
	h := m.hosts[name]
	m.reports = append(m.reports, &modelReport{host: h, name: name, revision: h.follower.Revision(), sentAt: h.clock(m.now)})
}

// follow has a host report, be sent the newest set and report again, all at once, and then acknowledges what it can.
func (m *model) follow(t *rapid.T) {
	name := rapid.SampledFrom(m.names).Draw(t, "host")
	h := m.hosts[name]
	if m.tracker.Report(m.now, name, h.follower.Revision(), m.state.Set().Revision) > 0 {
		h.holder.Renewed(1, h.clock(m.now), modelLease)
		h.confirmedAt = h.clock(m.now)
	}
	if rapid.Bool().Draw(t, "change first") {
		m.change(t)
	}
	h.follower.Update(Update{Set: m.state.Set(), BoundMillis: Bound(modelEvacuate).Milliseconds()}, h.confirmedAt)
	m.tracker.Report(m.now, name, h.follower.Revision(), m.state.Set().Revision)
	h.holder.Renewed(1, h.clock(m.now), modelLease)
	m.acknowledge(t)
}

// deliver delivers one message, in any order.
func (m *model) deliver(t *rapid.T) {
	if len(m.reports) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.reports)-1).Draw(t, "report")
	r := m.reports[i]
	if !r.replied {
		r.replied, r.granted = true, m.tracker.Report(m.now, r.name, r.revision, m.state.Set().Revision) > 0
		return
	}
	if r.granted {
		r.host.holder.Renewed(1, r.sentAt, modelLease)
		r.host.confirmedAt = max(r.host.confirmedAt, r.sentAt)
	}
	m.reports = slices.Delete(m.reports, i, i+1)
}

func (m *model) check(t *rapid.T) {
	for domain, at := range m.acked {
		if !m.state.Set().InForce(Change{Domain: domain, Start: true}) {
			t.Fatalf("at %v the evacuation of %s, acknowledged at %v, has ended without an end", m.now, domain, at)
		}
		for name, h := range m.hosts {
			if m.now >= at+Bound(modelEvacuate) && h.sendsTo(m.now, domain, true) {
				t.Fatalf("at %v host %s sends to %s, which was acknowledged at %v", m.now, name, domain, at)
			}
		}
	}
}

// Guards against keys without an owner as soon as the set arrives, and against an owner that gets requests for longer
// because the set arrived late.
func TestOwnersGetRequestsUntilTheBound(t *testing.T) {
	var f Follower
	f.Update(Update{BoundMillis: 4600}, 0)
	f.Update(Update{Set: Set{}.Apply(Change{Domain: "a", Start: true}), BoundMillis: 4600}, 10*time.Second)
	if !f.Blocked(10*time.Second, "a", false) || f.Blocked(14500*time.Millisecond, "a", true) || !f.Blocked(14600*time.Millisecond, "a", true) {
		t.Error("want servers without the key blocked at once, and the owner until 4.6 s after the set was last known to be the newest")
	}
	var unconfirmed Follower
	unconfirmed.Update(Update{Set: Set{}.Apply(Change{Domain: "a", Start: true}), BoundMillis: 4600}, 0)
	if !unconfirmed.Blocked(time.Second, "a", true) {
		t.Error("an owner gets requests although the start may be long ago")
	}
}
