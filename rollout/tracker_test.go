package rollout

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/galenalug/galenalug/lease"
)

const (
	testLease = 5 * time.Second
	testBound = 2500 * time.Millisecond
)

func newTestTracker() *Tracker { return NewTracker(Options{Lease: testLease, Bound: testBound}) }

func TestAcknowledgementWaitsForReplicas(t *testing.T) {
	tracker := newTestTracker()
	if granted := tracker.Report(0, "a", 1, 1); granted != testLease {
		t.Errorf("report of the newest version: lease %v, want %v", granted, testLease)
	}
	tracker.Report(time.Second, "b", 1, 1)
	wantA, wantB := lease.WithDrift(testLease)-testBound, time.Second+lease.WithDrift(testLease)-testBound
	if at := tracker.AcknowledgeAt(time.Second, 2); at != wantB {
		t.Errorf("two replicas behind: acknowledge at %v, want %v", at, wantB)
	}
	tracker.Report(2*time.Second, "b", 2, 2)
	if at := tracker.AcknowledgeAt(2*time.Second, 2); at != wantA {
		t.Errorf("one replica behind: acknowledge at %v, want %v", at, wantA)
	}
	if behind := tracker.Behind(2*time.Second, 2); len(behind) != 1 || behind[0] != "a" {
		t.Errorf("replicas behind: %v, want [a]", behind)
	}
	if granted := tracker.Report(2*time.Second, "a", 1, 2); granted != 0 {
		t.Errorf("report of an older version: lease %v, want none", granted)
	}
	tracker.Report(2*time.Second, "a", 2, 2)
	if at := tracker.AcknowledgeAt(2*time.Second, 2); at > 0 {
		t.Errorf("all replicas use the version: acknowledge at %v, want at once", at)
	}
}

func TestRemovedReplicaDelaysNothing(t *testing.T) {
	tracker := newTestTracker()
	tracker.Report(0, "a", 1, 1)
	tracker.Remove("a")
	if at := tracker.AcknowledgeAt(0, 2); at > 0 {
		t.Errorf("acknowledge at %v, want at once", at)
	}
}

// Guards against a new leader that acknowledges a change while a gateway holds a lease on the old
// version that only the former leader knows of.
func TestInheritedLeasesDelayAcknowledgement(t *testing.T) {
	tracker := newTestTracker()
	tracker.Inherit(time.Second)
	tracker.Report(2*time.Second, "a", 2, 2)
	want := time.Second + lease.WithDrift(testLease) - testBound
	if at := tracker.AcknowledgeAt(2*time.Second, 2); at != want {
		t.Errorf("acknowledge at %v, want %v", at, want)
	}
}

// testReplica is a replica of the model. Its clock runs at a rate of its own.
type testReplica struct {
	version uint64
	holder  lease.Holder
	rate    float64
}

func (r *testReplica) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now) * r.rate)
}

// testReport is a report on its way to the leader, or its reply on the way back.
type testReport struct {
	replica *testReplica
	name    string
	version uint64
	sentAt  time.Duration // on the replica's clock
	replied bool
	granted time.Duration
}

// testModel is a leader with its replicas in virtual time.
type testModel struct {
	now      time.Duration
	tracker  *Tracker
	newest   uint64
	acked    map[uint64]time.Duration // time of the acknowledgement by version
	names    []string
	replicas map[string]*testReplica
	reports  []*testReport
}

// No replica uses a version later than the bound after a newer one was acknowledged, whatever the
// delays of messages, lost replicas, changes of leader and clock drift.
func TestModelNoReplicaUsesOldVersionAfterBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &testModel{
			tracker: newTestTracker(), newest: 1, acked: map[uint64]time.Duration{1: 0}, replicas: map[string]*testReplica{},
		}
		for i := range rapid.IntRange(1, 4).Draw(t, "replicas") {
			name := string(rune('a' + i))
			m.names = append(m.names, name)
			m.replicas[name] = &testReplica{version: 1, rate: rapid.SampledFrom([]float64{1, 1 - 0.98*lease.MaxDrift}).Draw(t, "rate")}
		}
		t.Repeat(map[string]func(*rapid.T){
			"pass time":     m.passTime,
			"commit":        func(*rapid.T) { m.newest++ },
			"acknowledge":   m.acknowledge,
			"update":        m.update,
			"report":        m.report,
			"deliver":       m.deliver,
			"change leader": m.changeLeader,
			"":              m.check,
		})
	})
}

func (m *testModel) passTime(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
}

func (m *testModel) acknowledge(*rapid.T) {
	if _, done := m.acked[m.newest]; !done && m.now >= m.tracker.AcknowledgeAt(m.now, m.newest) {
		m.acked[m.newest] = m.now
	}
}

func (m *testModel) update(t *rapid.T) {
	r := m.replicas[rapid.SampledFrom(m.names).Draw(t, "replica")]
	r.version = rapid.Uint64Range(r.version, m.newest).Draw(t, "version")
}

func (m *testModel) report(t *rapid.T) {
	name := rapid.SampledFrom(m.names).Draw(t, "replica")
	r := m.replicas[name]
	m.reports = append(m.reports, &testReport{replica: r, name: name, version: r.version, sentAt: r.clock(m.now)})
}

// deliver delivers one message, in any order.
func (m *testModel) deliver(t *rapid.T) {
	if len(m.reports) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.reports)-1).Draw(t, "report")
	report := m.reports[i]
	if !report.replied {
		report.replied, report.granted = true, m.tracker.Report(m.now, report.name, report.version, m.newest)
		return
	}
	if report.granted > 0 {
		report.replica.holder.Renewed(1, report.sentAt, report.granted)
	}
	m.reports = append(m.reports[:i], m.reports[i+1:]...)
}

func (m *testModel) changeLeader(*rapid.T) {
	m.tracker = newTestTracker()
	m.tracker.Inherit(m.now)
}

func (m *testModel) check(t *rapid.T) {
	for name, r := range m.replicas {
		if !r.holder.Valid(r.clock(m.now)) {
			continue
		}
		for version, at := range m.acked {
			if r.version < version && m.now > at+testBound {
				t.Fatalf("at %v replica %s uses version %d; version %d was acknowledged at %v", m.now, name, r.version, version, at)
			}
		}
	}
}
