package slotqueue

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/galenalug/galenalug/admitshare"
)

func request(id, priority int64) Request {
	return Request{ID: id, Service: "s", Priority: priority, WorkMicros: 100_000, TargetMillis: 1000, DeadlineMillis: 2000}
}

// queueOf returns a queue with servers of one slot each.
func queueOf(ids ...string) *Queue[int] {
	q := New[int]()
	q.SetServers(0, "s", serversOf(ids...))
	return q
}

func serversOf(ids ...string) []Server {
	var servers []Server
	for _, id := range ids {
		servers = append(servers, Server{ID: id, Slots: 1})
	}
	return servers
}

// fill adds requests until one waits, and returns the number that have a slot.
func fill(t *testing.T, q *Queue[int], gateway int) int64 {
	t.Helper()
	for id := int64(1); id < 20; id++ {
		if len(q.Add(0, gateway, request(id, 1))) == 0 {
			return id - 1
		}
	}
	t.Fatal("no request waits")
	return 0
}

// Guards against slots that are lost with a gateway that ends before it gives them back.
func TestSlotsOfLostGatewayExpire(t *testing.T) {
	q := queueOf("a")
	granted := fill(t, q, 1)
	q.Forget(1)
	if waiting, taken := q.Waiting("s"); waiting != 0 || int64(taken) != granted {
		t.Errorf("%d requests wait and %d have slots, want 0 and %d: they may still run", waiting, taken, granted)
	}
	q.Tick(time.Hour)
	if _, taken := q.Waiting("s"); taken != 0 {
		t.Errorf("%d slots are taken after their deadlines", taken)
	}
}

// Guards against a server that refuses or fails all requests at once, and gets all of them since it seems to be idle.
func TestRefusingServerGetsFewRequests(t *testing.T) {
	for _, outcome := range []Outcome{Refused, Failed} {
		q, got := queueOf("bad", "good"), 0
		for id := int64(1); id <= 100; id++ {
			now := time.Duration(id) * 10 * time.Millisecond
			for _, d := range q.Add(now, 1, request(id, 1)) {
				if d.Answer.ServerID == "bad" {
					got++
					q.Release(now+time.Millisecond, 1, Release{ID: id, Outcome: outcome})
				} else {
					q.Release(now+9*time.Millisecond, 1, Release{ID: id, Outcome: Served, AtServerMicros: 8000})
				}
			}
		}
		if got > 10 {
			t.Errorf("%s: the server got %d of 100 requests", outcome, got)
		}
	}
}

// Load: more arrives than can run. Guards against urgent requests that wait behind others, and against requests that can still
// be in time and wait behind those that can't.
func TestOrderOfWaitingRequests(t *testing.T) {
	q := queueOf("a")
	fill(t, q, 1)
	late := request(102, 1)
	late.DeadlineMillis = 950 // its client has waited for longer than the target allows
	for _, r := range []Request{request(101, 2), late, request(103, 1), request(104, 0)} {
		q.Add(0, 2, r)
	}
	var order []int64
	release := func(id int64) {
		for _, d := range q.Release(0, 1, Release{ID: id, Outcome: Served, AtServerMicros: 90_000}) {
			if d.Gateway == 2 {
				order = append(order, d.Answer.ID)
				for _, next := range q.Release(0, 2, Release{ID: d.Answer.ID, Outcome: Served, AtServerMicros: 90_000}) {
					order = append(order, next.Answer.ID)
				}
			}
		}
	}
	for id := int64(1); id < 20 && len(order) < 4; id++ {
		release(id)
	}
	order = slices.DeleteFunc(order, func(id int64) bool { return id < 100 })
	if want := []int64{104, 103}; len(order) < 2 || !slices.Equal(order[:2], want) {
		t.Errorf("order %v, want %v first", order, want)
	}
}

// Guards against requests without an answer: when the service is no longer queued, when it has no servers, and when no slot
// becomes free in time.
func TestEachRequestGetsAnAnswer(t *testing.T) {
	q := queueOf("a")
	fill(t, q, 1)
	if d := q.Tick(time.Hour); len(d) != 1 || !d[0].Answer.Refused {
		t.Errorf("decisions %+v for an overdue request", d)
	}
	q = queueOf("a")
	waiting := fill(t, q, 1) + 1
	if d := q.Remove("s"); len(d) != 1 || d[0].Answer != (Answer{ID: waiting}) {
		t.Errorf("decisions %+v for the end of the queue", d)
	}
	if d := q.Add(0, 1, request(9, 1)); len(d) != 1 || d[0].Answer != (Answer{ID: 9}) {
		t.Errorf("decisions %+v without a queue", d)
	}
}

// Guards against slots of an earlier process that count for the one that runs now.
func TestRestartedServerHasFreeSlots(t *testing.T) {
	q := queueOf("a")
	fill(t, q, 1)
	restarted := serversOf("a")
	restarted[0].StartMillis = 7
	if d := q.SetServers(time.Millisecond, "s", restarted); len(d) != 1 || d[0].Answer.StartMillis != 7 {
		t.Errorf("decisions %+v, want a slot of the new process", d)
	}
}

// Guards against slots that leak when a faulty gateway uses the number of a request twice.
func TestRepeatedNumberTakesOneSlot(t *testing.T) {
	q := queueOf("a")
	q.Add(0, 1, request(1, 1))
	if d := q.Add(0, 1, request(1, 1)); len(d) != 1 || d[0].Answer != (Answer{ID: 1}) {
		t.Errorf("decisions %+v for a repeated number", d)
	}
	q.Release(0, 1, Release{ID: 1, Outcome: Served})
	if _, taken := q.Waiting("s"); taken != 0 {
		t.Errorf("%d slots taken after the release", taken)
	}
}

// Guards against times and speeds out of range that keep slots forever, and against servers that get no requests for them.
func TestInvalidValuesDoNoHarm(t *testing.T) {
	for _, value := range []int64{math.MinInt64, -1, math.MaxInt64, math.MaxInt64 / 1000} {
		q := New[int]()
		q.SetServers(0, "s", []Server{{ID: "a", Slots: value / 1000, Speed: math.NaN()}, {ID: "b", Slots: 1, Speed: math.Inf(1)}})
		bad := Request{ID: 1, Service: "s", TargetMillis: value, DeadlineMillis: value, WorkMicros: value}
		if d := q.Add(0, 1, bad); len(d) != 1 || d[0].Answer.ServerID == "" {
			t.Errorf("%d: decisions %+v", value, d)
		}
		q.Tick(2 * time.Hour)
		if _, taken := q.Waiting("s"); taken != 0 {
			t.Errorf("%d: %d slots taken after 2 h", value, taken)
		}
	}
}

// Guards against unbounded memory for a gateway that sends ever new groups or long texts.
func TestGroupsAreBounded(t *testing.T) {
	q := queueOf("a")
	for priority := range int64(1000) {
		q.Add(0, 1, request(priority, priority))
	}
	if n := len(q.services["s"].groups); n > 512 {
		t.Errorf("%d groups", n)
	}
	long := request(2000, 1)
	long.Avoid = []string{strings.Repeat("x", 1<<20)}
	if d := q.Add(0, 1, long); len(d) != 1 || d[0].Answer != (Answer{ID: 2000}) {
		t.Errorf("decisions %+v for a long text", d)
	}
	q.Tick(time.Hour)
	q.Tick(time.Hour)
	if s := q.services["s"]; len(s.groups)+len(s.clients) > 0 {
		t.Errorf("%d groups of %d clients without requests", len(s.groups), len(s.clients))
	}
}

// Load: one region is asked for more than it can run. Guards against refusals, for that reason, in regions with free slots,
// and against requests that wait in the queue although the leader has no server for them.
func TestOverloadOfOneRegionSparesOthers(t *testing.T) {
	q := New[int]()
	q.SetServers(0, "s", []Server{{ID: "n", Region: "north", Slots: 1}, {ID: "s", Region: "south", Slots: 8}})
	in := func(id int64, regions string) []Decision[int] {
		r := request(id, 1)
		r.Regions = regions
		return q.Add(0, 1, r)
	}
	for id := range int64(200) {
		in(id, "north")
	}
	for i, regions := range []string{"south", ""} {
		if d := in(int64(300+i), regions); len(d) != 1 || d[0].Answer.ServerID != "s" {
			t.Errorf("regions %q: decisions %+v, want a slot", regions, d)
		}
	}
	for id := int64(400); len(in(id, "south")) > 0; id++ {
		if id > 420 {
			t.Fatal("no request waits")
		}
	}
	if d := in(500, "south"); len(d) > 0 {
		t.Errorf("decisions %+v, want a short wait behind one request", d)
	}
	if d := in(600, "west"); len(d) != 1 || d[0].Answer != (Answer{ID: 600}) {
		t.Errorf("decisions %+v for a region without servers", d)
	}
}

// Guards against a request that avoids the free server and blocks those behind it.
func TestAvoidedServerServesOthers(t *testing.T) {
	q := queueOf("a", "b")
	granted := map[string][]int64{}
	id := int64(0)
	for {
		id++
		d := q.Add(0, 1, request(id, 1))
		if len(d) == 0 {
			q.Release(0, 1, Release{ID: id})
			break
		}
		granted[d[0].Answer.ServerID] = append(granted[d[0].Answer.ServerID], id)
	}
	avoiding := request(100, 1)
	avoiding.Avoid = []string{"a"}
	q.Add(0, 2, avoiding)
	q.Add(0, 2, request(101, 1))
	if d := q.Release(0, 1, Release{ID: granted["a"][0], Outcome: Served}); len(d) != 1 || d[0].Answer.ID != 101 {
		t.Errorf("decisions %+v, want the slot for the request that does not avoid the server", d)
	}
}

// Guards against groups of few regions with long names that are taken for groups of many.
func TestGroupsWithFewerRegionsGoFirst(t *testing.T) {
	s := &service[int]{}
	s.group(admitshare.Group{Regions: "a,b"}, false)
	s.group(admitshare.Group{Regions: "northeast"}, false)
	if s.groups[0].Regions != "northeast" {
		t.Error("two regions go before one")
	}
}

// Guards against requests whose time at the gateway, as before a second attempt, counts twice.
func TestTimeAtGatewayCountsOnce(t *testing.T) {
	s := &service[int]{clients: map[admitshare.Group]*usualTime{}}
	r := request(1, 1)
	s.untilTarget(0, r)
	r.TargetMillis, r.DeadlineMillis = r.TargetMillis-400, r.DeadlineMillis-400
	if left := s.untilTarget(0, r); left != 600*time.Millisecond {
		t.Errorf("%v until the target, want 600ms", left)
	}
}
