package admission

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

// TestSessions runs the golden files of testdata. Each command states its time in milliseconds, e.g.
// "enqueue at=3 id=1 class=order customer=a deadline=50".
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var q *Queue
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "new" {
				q = New(Config{Slots: intArg(t, d, "slots"), MaxLimit: intArg(t, d, "max"), QueueLength: intArg(t, d, "queue"), Shares: DefaultShares()})
				return fmt.Sprintf("limit %d\n", q.Limit())
			}
			return runCommand(t, d, q)
		})
	})
}

func runCommand(t *testing.T, d *datadriven.TestData, q *Queue) string {
	now := millis(intArg(t, d, "at"))
	switch d.Cmd {
	case "enqueue":
		var out strings.Builder
		for range max(1, intArg(t, d, "count")) {
			request := Request{ID: ID(intArg(t, d, "id")), Customer: stringArg(d, "customer"), Deadline: millis(intArg(t, d, "deadline"))}
			request.Class = parseClass(t, stringArg(d, "class"))
			request.ID += ID(strings.Count(out.String(), "\n"))
			v := q.Enqueue(now, request)
			fmt.Fprintf(&out, "%d accepted=%t %s wait=%v evicted=%v\n", request.ID, v.Accepted, v.Reason, v.Wait, v.Evicted)
		}
		return out.String()
	case "next":
		return fmt.Sprintf("start %v\n", q.Next(now))
	case "finish":
		outcome := map[string]Outcome{"": Succeeded, "shed": Shed, "timeout": TimedOut, "failed": Failed}[stringArg(d, "outcome")]
		q.Finish(now, ID(intArg(t, d, "id")), outcome, millis(intArg(t, d, "took")))
		return fmt.Sprintf("limit %d running %v\n", q.Limit(), q.runningByClass)
	case "cancel":
		q.Cancel(now, ID(intArg(t, d, "id")))
		return fmt.Sprintf("running %v\n", q.runningByClass)
	case "expire":
		return fmt.Sprintf("expired %v\n", q.Expire(now))
	}
	d.Fatalf(t, "unknown command %s", d.Cmd)
	return ""
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func stringArg(d *datadriven.TestData, key string) string {
	var value string
	if d.HasArg(key) {
		value = d.CmdArgs[argIndex(d, key)].Vals[0]
	}
	return value
}

func intArg(t *testing.T, d *datadriven.TestData, key string) int {
	var value int
	if d.HasArg(key) {
		d.ScanArgs(t, key, &value)
	}
	return value
}

func parseClass(t *testing.T, name string) Class {
	for c := Lookup; c < NumClasses; c++ {
		if c.String() == name {
			return c
		}
	}
	t.Fatalf("unknown class %q", name)
	return 0
}

// TestInvariants checks the guarantees of the package with random schedules.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		q := New(Config{Slots: 6, MaxLimit: 12, QueueLength: 4, Shares: DefaultShares()})
		var now time.Duration
		running, waiting := map[ID]bool{}, map[ID]Request{}
		for id := ID(1); id < 120; id++ {
			now += time.Duration(rapid.IntRange(0, 3).Draw(r, "pause")) * time.Millisecond
			request := Request{ID: id, Class: Class(rapid.IntRange(0, 2).Draw(r, "class")), Customer: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "customer")}
			if rapid.Bool().Draw(r, "bounded") {
				request.Deadline = now + time.Duration(rapid.IntRange(1, 40).Draw(r, "left"))*time.Millisecond
			}
			decision := q.Enqueue(now, request)
			for _, evicted := range decision.Evicted {
				delete(waiting, evicted)
			}
			if decision.Accepted {
				waiting[id] = request
			}
			for _, expired := range q.Expire(now) {
				if waiting[expired].Deadline == 0 {
					r.Fatalf("request %d expired without a deadline", expired)
				}
				delete(waiting, expired)
			}
			for _, started := range q.Next(now) {
				if _, found := waiting[started]; !found {
					r.Fatalf("request %d started without waiting", started)
				}
				delete(waiting, started)
				running[started] = true
			}
			checkInvariants(r, q, running, waiting)
			for started := range running {
				if rapid.IntRange(0, 2).Draw(r, "end") == 0 {
					q.Finish(now, started, Outcome(rapid.IntRange(1, 4).Draw(r, "outcome")), 2*time.Millisecond)
					delete(running, started)
					break
				}
			}
		}
	})
}

func checkInvariants(r *rapid.T, q *Queue, running map[ID]bool, waiting map[ID]Request) {
	if len(q.running) != len(running) || len(q.waiting) != len(waiting) {
		r.Fatalf("%d requests running and %d waiting, want %d and %d", len(q.running), len(q.waiting), len(running), len(waiting))
	}
	for c := Lookup; c < NumClasses; c++ {
		if q.Waiting(c) > q.config.QueueLength {
			r.Fatalf("%d requests wait in class %v, above the queue length of %d", q.Waiting(c), c, q.config.QueueLength)
		}
	}
	if q.Limit() < minLimit || q.Limit() > 12 {
		r.Fatalf("limit is %d, want %d to 12", q.Limit(), minLimit)
	}
}

func argIndex(d *datadriven.TestData, key string) int {
	for i, arg := range d.CmdArgs {
		if arg.Key == key {
			return i
		}
	}
	return -1
}
