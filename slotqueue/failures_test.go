package slotqueue

import (
	"slices"
	"testing"
	"time"
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
