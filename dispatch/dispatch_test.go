package dispatch

import (
	"testing"
	"time"
)

const ms = time.Millisecond

func loaded(own, others int, workTime time.Duration) *Load {
	l := &Load{}
	for range own {
		l.Start()
	}
	l.ObserveServiceTime(workTime)
	if others > 0 {
		l.ObserveReport(time.Second, Report{Running: own + others - 1})
	}
	return l
}

// Pattern: a hot key fills its owner, and every gateway sees a part of the load.
func TestAdmitCountsTheRequestsOfOtherGateways(t *testing.T) {
	now := time.Second
	for _, c := range []struct {
		name     string
		own      int
		others   int
		ahead    int
		priority int64
		left     time.Duration
		want     Reason
	}{
		{"room", 2, 3, 0, 2, time.Second, Admitted},
		{"full by others", 1, 12, 0, 2, time.Second, QueueFull},
		{"full for ordinary, not for urgent requests", 1, 12, 0, 1, time.Second, Admitted},
		{"room, but others of this gateway wait for it", 1, 9, 4, 2, time.Second, QueueFull},
		{"no time left", 1, 11, 0, 1, 100 * ms, TooLate},
	} {
		candidate := Candidate{Load: loaded(c.own, c.others, 100*ms), Slots: 6, ConnectionLimit: 20, Ahead: c.ahead}
		if got := Admit(now, &candidate, Request{Priority: c.priority, UntilDeadline: c.left}); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

func TestReportsLoseWeightAsTheyAge(t *testing.T) {
	l := loaded(1, 10, 100*ms)
	if got := l.Requests(time.Second + reportLife/2); got != 6 {
		t.Errorf("after half the life of a report: %v requests, want 6", got)
	}
	if got := l.Requests(time.Second + reportLife); got != 1 {
		t.Errorf("after the life of a report: %v requests, want 1", got)
	}
}

func TestChooseKeepsLargeBodiesInTheRegion(t *testing.T) {
	near := Candidate{ID: "near", Load: loaded(8, 0, 100*ms), Slots: 6, ConnectionLimit: 20, Distance: SameRegion}
	far := Candidate{ID: "far", Load: loaded(0, 0, 100*ms), Slots: 6, ConnectionLimit: 20, Distance: OtherRegion}
	r := Request{Priority: 1, UntilDeadline: time.Second, UntilTarget: 50 * ms}
	if i, _ := Choose(0, []Candidate{near, far}, r); i != 1 {
		t.Error("a small request did not go to the idle server")
	}
	r.Bulk = true
	if i, _ := Choose(0, []Candidate{near, far}, r); i != 0 {
		t.Error("a large body crossed regions although the region has room")
	}
	near.Load = loaded(20, 0, 100*ms)
	if i, _ := Choose(0, []Candidate{near, far}, r); i != -1 {
		t.Error("a large body crossed regions because its own region is full")
	}
	if i, _ := Choose(0, []Candidate{far}, r); i != 0 {
		t.Error("a large body was not sent to the other region although its own has no server")
	}
}

// Pattern: servers are added while others of the service have room.
func TestChooseTriesServersThatItDoesNotKnow(t *testing.T) {
	known := Candidate{ID: "known", Load: loaded(0, 0, 10*ms), Slots: 6, ConnectionLimit: 20, Distance: SameDomain}
	added := Candidate{ID: "added", Load: &Load{}, Slots: 6, ConnectionLimit: 20, Distance: SameRegion}
	r := Request{Priority: 1, UntilDeadline: time.Second, UntilTarget: 500 * ms}
	if i, _ := Choose(0, []Candidate{known, added}, r); i != 1 {
		t.Error("the server that was added got nothing")
	}
	added.Load.Start()
	if i, _ := Choose(0, []Candidate{known, added}, r); i != 0 {
		t.Error("the server that was added got a second request before the first was answered")
	}
}

// Pattern: more requests wait for one server than it can take in time.
func TestLineServesUrgentRequestsFirstAndRefusesWhatWouldWaitTooLong(t *testing.T) {
	var line WaitQueue
	ordinary := line.Enqueue(2)
	urgent := line.Enqueue(1)
	later := line.Enqueue(2)
	if line.Ahead(urgent) != 0 || line.Ahead(ordinary) != 1 || line.Ahead(later) != 2 {
		t.Errorf("places %d, %d, %d", line.Ahead(urgent), line.Ahead(ordinary), line.Ahead(later))
	}
	line.Remove(urgent)
	if line.Ahead(later) != 1 || line.AheadOfNew(1) != 0 {
		t.Error("a request that left still counts")
	}
	l := loaded(2, 10, 100*ms)
	short, long := EstimatedQueueWait(time.Second, l, 6, 0), EstimatedQueueWait(time.Second, l, 6, 9)
	if short >= 500*ms || long <= 500*ms {
		t.Errorf("expected waits %v and %v around 500 ms", short, long)
	}
}

// Pattern: one key is asked for by eighty gateways, each of which sees one request
// at a time.
func TestShareLetsItsPartPassUrgentRequestsFirst(t *testing.T) {
	var s Share
	passed := map[int64]int{}
	for i := range 1000 {
		priority := int64(2)
		if i%10 == 0 {
			priority = 1
		}
		if s.Allow(300, priority) {
			passed[priority]++
		}
	}
	if total := passed[1] + passed[2]; total < 290 || total > 310 {
		t.Errorf("%d of 1000 passed, want about 300", total)
	}
	if passed[1] < 95 {
		t.Errorf("%d of 100 urgent requests passed", passed[1])
	}
	if !s.Allow(0, 2) {
		t.Error("a request for a server without overload did not pass")
	}
	if OneEachOverloads(10, 6) || !OneEachOverloads(80, 6) {
		t.Error("ten gateways can judge by themselves, eighty can't")
	}
}

// Pattern: many gateways before many servers. Each pair meets once in many seconds,
// so what one server takes is known only by what the others took.
func TestServerThatWasNotTriedIsExpectedToTakeWhatOthersTake(t *testing.T) {
	var service MeanServiceTime
	for range 20 {
		service.Observe(600 * ms)
	}
	var l Load
	if l.HasServiceTime() {
		t.Error("known before anything was seen")
	}
	l.SetExpectedServiceTime(service.Value())
	if got := l.ServiceTime(); !l.HasServiceTime() || got < 550*ms {
		t.Errorf("work time %v, known %v; want that of the service, 600ms", got, l.HasServiceTime())
	}
	l.ObserveServiceTime(200 * ms)
	if got := l.ServiceTime(); got < 400*ms || got > 600*ms {
		t.Errorf("work time %v after one answer in 200ms; want between that and the service's", got)
	}
}

// Pattern: a key turns hot, and all gateways send to its owner at the same moment.
func TestGatewaysTogetherDoNotOverrunAServer(t *testing.T) {
	for _, c := range []struct {
		name           string
		most, gateways int64
		slots, want    int
	}{
		{"few gateways", 120, 10, 6, 12},
		{"many gateways", 580, 87, 6, 2},
		{"more gateways than connections", 120, 440, 6, 2},
		{"no other gateway is known yet", 120, 0, 6, 120},
	} {
		if got := ConnectionLimit(c.most, c.gateways, c.slots); got != c.want {
			t.Errorf("%s: %d connections, want %d", c.name, got, c.want)
		}
	}
}

// Pattern: many gateways before a full server. A request without an answer tells
// nothing of the server's speed if it may have waited in the queue.
func TestServerIsSurelyIdleOnlyByANewReport(t *testing.T) {
	now := time.Second
	var l Load
	if l.HasFreeSlot(now, 6) {
		t.Error("idle without any report")
	}
	l.Start()
	l.ObserveReport(now, Report{Running: 2, Slots: 6})
	l.End()
	if !l.HasFreeSlot(now, 6) || l.HasFreeSlot(now, 2) {
		t.Error("want idle by a new report with slots left, and only then")
	}
	if l.HasFreeSlot(now+reportLife, 6) {
		t.Error("idle by an old report")
	}
}
