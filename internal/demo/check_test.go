package demo

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/galenalug/galenalug/internal/backend"
)

func run(server string, slot int, token uint64, start, end int64, key string) backend.Run {
	return backend.Run{Server: server, Incarnation: server, Slot: slot, Token: token, StartNanos: start, EndNanos: end, IdempotencyKey: key}
}

func TestCheck(t *testing.T) {
	tests := []struct {
		name   string
		orders []Order
		runs   []backend.Run
		want   Faults
	}{
		{
			name:   "no fault: a handover, runs side by side on one server, an unknown order that ran",
			orders: []Order{{"a", Answered}, {"b", Unknown}, {"c", NotRun}, {"d", Unknown}},
			runs: []backend.Run{
				run("s1", 1, 10, 0, 5, "a"), run("s1", 1, 10, 2, 6, ""), run("s2", 1, 11, 6, 7, "b"), run("s2", 2, 3, 0, 9, ""),
			},
		},
		{
			name: "two servers overlap",
			runs: []backend.Run{run("s1", 1, 10, 0, 5, ""), run("s2", 1, 11, 4, 7, "")},
			want: Faults{WrongOwner: 1},
		},
		{
			name: "a short run between does not hide an overlap with a long one",
			runs: []backend.Run{run("s1", 1, 10, 0, 9, ""), run("s1", 1, 10, 1, 2, ""), run("s2", 1, 11, 4, 7, "")},
			want: Faults{WrongOwner: 1},
		},
		{
			name: "a former owner runs after its successor",
			runs: []backend.Run{run("s2", 1, 11, 0, 1, ""), run("s1", 1, 10, 2, 3, "")},
			want: Faults{WrongOwner: 1},
		},
		{
			name: "two incarnations of one server are two owners",
			runs: []backend.Run{
				{Server: "s1", Incarnation: "first", Slot: 1, Token: 10, StartNanos: 0, EndNanos: 5},
				{Server: "s1", Incarnation: "second", Slot: 1, Token: 11, StartNanos: 4, EndNanos: 7},
			},
			want: Faults{WrongOwner: 1},
		},
		{
			name:   "doubled, untruthful, missing and stray",
			orders: []Order{{"a", Answered}, {"b", NotRun}, {"c", Answered}},
			runs: []backend.Run{
				run("s1", 1, 10, 0, 1, "a"), run("s1", 1, 10, 2, 3, "a"), run("s1", 1, 10, 4, 5, "b"), run("s1", 1, 10, 6, 7, "x"),
			},
			want: Faults{Duplicated: 1, RanButRefused: 1, NotFound: 1, NotSent: 1},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := Check(test.orders, test.runs); got != test.want {
				t.Fatalf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

// A key is unavailable from the first failed request until the next response. A report also fails if no
// order was answered.
func TestUnavailableTime(t *testing.T) {
	recorded := newTally(time.UnixMilli(0))
	at := func(millis int) time.Time { return time.UnixMilli(int64(millis)) }
	recorded.request("a", result{outcome: Answered}, at(0), at(5))
	recorded.request("a", result{outcome: NotRun}, at(10), at(20))
	recorded.request("a", result{outcome: Unknown}, at(30), at(40))
	recorded.request("b", result{outcome: Answered}, at(10), at(50))
	recorded.request("a", result{outcome: Answered}, at(100), at(110))
	recorded.request("b", result{outcome: NotRun}, at(120), at(130))
	report := recorded.report()
	if report.LongestUnavailable != 100*time.Millisecond || report.LongestUnavailableAt != 10*time.Millisecond || report.StillFailing != 1 || !report.Failed() {
		t.Fatalf("got %+v, want a failed report with key b still failing and 100 ms unavailable from 10 ms", report)
	}
	recorded.order(Order{"order-1", Answered})
	if recorded.report().Failed() {
		t.Fatal("Failed() is true for a report with an answered order and no faults")
	}
}

func TestReadHistory(t *testing.T) {
	path := filepath.Join(t.TempDir(), "history")
	if err := os.WriteFile(path, []byte("{\"server\":\"s1\",\"slot\":3}\n{\"server\":"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadHistory(path); err == nil {
		t.Fatal("ReadHistory accepted a truncated line")
	}
}

// A key that fails for one caller while another one is answered counts as unavailable to one caller for
// the whole time, but to all callers only since the last response.
func TestWindows(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }
	tally := newTally(start)
	answered, failed := result{outcome: Answered}, result{outcome: Unknown}
	tally.request("a", answered, at(0), at(10)) // before the first mark
	tally.request("a", answered, at(150), at(160))
	tally.request("a", failed, at(120), at(300)) // fails while another caller is answered
	tally.request("a", answered, at(400), at(410))
	tally.request("b", failed, at(500), at(510))
	tally.request("b", answered, at(900), at(910))
	marks := filepath.Join(t.TempDir(), "marks")
	if err := os.WriteFile(marks, []byte("1000.1 kill:x\n1000.450000 pause:y\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	list, err := readMarks(marks)
	if err != nil {
		t.Fatal(err)
	}
	want := []Window{
		{Mark{at(100), "kill:x"}, map[Outcome]int{Answered: 2, Unknown: 1}, 290 * time.Millisecond, 250 * time.Millisecond},
		{Mark{at(450), "pause:y"}, map[Outcome]int{Answered: 1, Unknown: 1}, 410 * time.Millisecond, 410 * time.Millisecond},
	}
	if got := windowsOf(list, tally.events); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
