package dispatch

import (
	"testing"
	"time"
)

const ms = time.Millisecond

func loaded(own, others int, serviceTime time.Duration) *Load {
	l := &Load{}
	for range own {
		l.Start()
	}
	l.ObserveServiceTime(serviceTime)
	if others > 0 {
		l.ObserveReport(time.Second, Report{Running: own + others - 1})
	}
	return l
}

// The owner of a hot key is full, but each gateway sends only a part of the load. A gateway that
// counts only its own requests would admit too many.
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
		{"free capacity", 2, 3, 0, 2, time.Second, Admitted},
		{"full of requests of other gateways", 1, 12, 0, 2, time.Second, QueueFull},
		{"full for ordinary but not for urgent requests", 1, 12, 0, 1, time.Second, Admitted},
		{"free capacity, but requests of this gateway are queued ahead", 1, 9, 4, 2, time.Second, QueueFull},
		{"wait exceeds the time until the deadline", 1, 11, 0, 1, 100 * ms, TooLate},
	} {
		candidate := Candidate{Load: loaded(c.own, c.others, 100*ms), Slots: 6, ConnectionLimit: 20, Ahead: c.ahead}
		if got := Admit(now, &candidate, Request{Priority: c.priority, UntilDeadline: c.left}); got != c.want {
			t.Errorf("%s: Admit = %q, want %q", c.name, got, c.want)
		}
	}
}

func TestReportWeightDecreasesWithAge(t *testing.T) {
	l := loaded(1, 10, 100*ms)
	if got := l.Requests(time.Second + reportLifetime/2); got != 6 {
		t.Errorf("at half the lifetime of a report: %v requests, want 6", got)
	}
	if got := l.Requests(time.Second + reportLifetime); got != 1 {
		t.Errorf("at the end of the lifetime of a report: %v requests, want 1", got)
	}
}

func TestChooseKeepsLargeBodiesInTheRegion(t *testing.T) {
	near := Candidate{ID: "near", Load: loaded(8, 0, 100*ms), Slots: 6, ConnectionLimit: 20, Distance: SameRegion}
	far := Candidate{ID: "far", Load: loaded(0, 0, 100*ms), Slots: 6, ConnectionLimit: 20, Distance: OtherRegion}
	r := Request{Priority: 1, UntilDeadline: time.Second, UntilTarget: 50 * ms}
	if i, _ := Choose(0, []Candidate{near, far}, r); i != 1 {
		t.Error("a small request was not sent to the idle server of the other region")
	}
	r.Bulk = true
	if i, _ := Choose(0, []Candidate{near, far}, r); i != 0 {
		t.Error("a large body was sent to another region although the own region has capacity")
	}
	near.Load = loaded(20, 0, 100*ms)
	if i, _ := Choose(0, []Candidate{near, far}, r); i != -1 {
		t.Error("a large body was sent to another region although the own region has a server")
	}
	if i, _ := Choose(0, []Candidate{far}, r); i != 0 {
		t.Error("a large body was not sent to the other region although the own region has no server")
	}
}

// A server is added while a nearer and faster one has capacity. Without a first request its speed
// would never be learned, and it would never be chosen.
func TestChooseSendsOneRequestToAnUntriedServer(t *testing.T) {
	known := Candidate{ID: "known", Load: loaded(0, 0, 10*ms), Slots: 6, ConnectionLimit: 20, Distance: SameDomain}
	added := Candidate{ID: "added", Load: &Load{}, Slots: 6, ConnectionLimit: 20, Distance: SameRegion}
	r := Request{Priority: 1, UntilDeadline: time.Second, UntilTarget: 500 * ms}
	if i, _ := Choose(0, []Candidate{known, added}, r); i != 1 {
		t.Error("the added server got no request")
	}
	added.Load.Start()
	if i, _ := Choose(0, []Candidate{known, added}, r); i != 0 {
		t.Error("the added server got a second request before it answered the first")
	}
}

// More requests wait for one server than it can answer in time. Urgent requests must be served
// first, and the estimated wait must grow with the number of requests ahead.
func TestWaitQueueOrderAndEstimatedWait(t *testing.T) {
	var queue WaitQueue
	ordinary := queue.Enqueue(2)
	urgent := queue.Enqueue(1)
	later := queue.Enqueue(2)
	if queue.Ahead(urgent) != 0 || queue.Ahead(ordinary) != 1 || queue.Ahead(later) != 2 {
		t.Errorf("requests ahead of the urgent, the ordinary and the later one: %d, %d, %d; want 0, 1, 2", queue.Ahead(urgent), queue.Ahead(ordinary), queue.Ahead(later))
	}
	queue.Remove(urgent)
	if queue.Ahead(later) != 1 || queue.AheadOfNew(1) != 0 {
		t.Error("a removed request still counts")
	}
	l := loaded(2, 10, 100*ms)
	short, long := EstimatedQueueWait(time.Second, l, 6, 0), EstimatedQueueWait(time.Second, l, 6, 9)
	if short >= 500*ms || long <= 500*ms {
		t.Errorf("estimated waits are %v and %v, want one below and one above 500 ms", short, long)
	}
}

// Eighty gateways send requests for one key, each one request at a time, so that none of them can
// detect the overload itself. The given fraction must be allowed, urgent requests first.
func TestShareAllowsItsFractionUrgentRequestsFirst(t *testing.T) {
	var s Share
	allowed := map[int64]int{}
	for i := range 1000 {
		priority := int64(2)
		if i%10 == 0 {
			priority = 1
		}
		if s.Allow(300, priority) {
			allowed[priority]++
		}
	}
	if total := allowed[1] + allowed[2]; total < 290 || total > 310 {
		t.Errorf("%d of 1000 requests were allowed, want about 300", total)
	}
	if allowed[1] < 95 {
		t.Errorf("%d of 100 urgent requests were allowed, want 95 or more", allowed[1])
	}
	if !s.Allow(0, 2) {
		t.Error("a request for a server that is not overloaded was not allowed")
	}
	if OneEachOverloads(10, 6) || !OneEachOverloads(80, 6) {
		t.Error("want one request from each of 10 gateways to fit a server with 6 slots, and from each of 80 not to")
	}
}

// With many gateways and many servers, a gateway sends a given server one request in many seconds.
// The service time of such a server must be estimated from other servers of the service.
func TestUntriedServerIsExpectedToTakeTheMeanServiceTime(t *testing.T) {
	var service MeanServiceTime
	for range 20 {
		service.Observe(600 * ms)
	}
	var l Load
	if l.HasServiceTime() {
		t.Error("there is a service time before any response")
	}
	l.SetExpectedServiceTime(service.Value())
	if got := l.ServiceTime(); !l.HasServiceTime() || got < 550*ms {
		t.Errorf("service time %v, based on responses: %v; want the mean of the service, 600ms", got, l.HasServiceTime())
	}
	l.ObserveServiceTime(200 * ms)
	if got := l.ServiceTime(); got < 400*ms || got > 600*ms {
		t.Errorf("service time %v after one response in 200ms; want a value between that and the mean of the service", got)
	}
}

// A key becomes hot, and all gateways send to its owner at the same moment, before any of them can
// see the load. The connection limit must keep their sum in bounds.
func TestConnectionLimitDependsOnTheNumberOfGateways(t *testing.T) {
	for _, c := range []struct {
		name                     string
		maxConnections, gateways int64
		slots, want              int
	}{
		{"few gateways", 120, 10, 6, 12},
		{"many gateways", 580, 87, 6, 2},
		{"more gateways than connections", 120, 440, 6, 2},
		{"no other gateway is known yet", 120, 0, 6, 120},
		{"no limit of the server", 0, 10, 6, 12},
	} {
		if got := ConnectionLimit(c.maxConnections, c.gateways, c.slots); got != c.want {
			t.Errorf("%s: limit of %d connections, want %d", c.name, got, c.want)
		}
	}
}

// With many gateways, a server's queue may be full of other gateways' requests. The time of a
// request says nothing about the server's speed if the request may have waited, so only a recent
// report counts.
func TestFreeSlotIsKnownOnlyFromARecentReport(t *testing.T) {
	now := time.Second
	var l Load
	if l.HasFreeSlot(now, 6) {
		t.Error("free slot without any report")
	}
	l.Start()
	l.ObserveReport(now, Report{Running: 2, Slots: 6})
	l.End()
	if !l.HasFreeSlot(now, 6) || l.HasFreeSlot(now, 2) {
		t.Error("want a free slot for a recent report with 2 of 6 slots in use, and none with 2 of 2")
	}
	if l.HasFreeSlot(now+reportLifetime, 6) {
		t.Error("free slot from an outdated report")
	}
}

// Guards against a paused or limited server that is chosen while another one can run the request, and
// against a reason that hides what the request can wait for.
func TestChoosePassesOverPausedAndLimitedServers(t *testing.T) {
	free := Candidate{ID: "free", Load: loaded(0, 0, 100*ms), Slots: 6, ConnectionLimit: 20, Distance: OtherRegion}
	paused := Candidate{ID: "paused", Load: loaded(0, 0, 10*ms), Slots: 6, ConnectionLimit: 20, PausedFor: time.Second}
	limited := Candidate{ID: "limited", Load: loaded(0, 0, 10*ms), Slots: 6, ConnectionLimit: 20, Limited: true, Tokens: 1, Ahead: 1}
	full := Candidate{ID: "full", Load: loaded(30, 0, 10*ms), Slots: 6, ConnectionLimit: 40}
	r := Request{Priority: 1, UntilDeadline: time.Second, UntilTarget: 500 * ms}
	for _, c := range []struct {
		candidates []Candidate
		want       int
		reason     Reason
	}{
		{[]Candidate{paused, limited, free}, 2, Admitted},
		{[]Candidate{paused, paused}, -1, Paused},
		{[]Candidate{full, paused}, -1, QueueFull},
		{[]Candidate{limited, full, paused}, -1, RateLimited},
		{nil, -1, QueueFull},
	} {
		if got, reason := Choose(0, c.candidates, r); got != c.want || reason != c.reason {
			t.Errorf("%v: Choose = %d, %q, want %d, %q", c.candidates, got, reason, c.want, c.reason)
		}
	}
}
