package demo

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// tally collects the outcomes of all requests.
type tally struct {
	mu           sync.Mutex
	counts       map[Outcome]int
	reasons      map[string]int // of requests that were not answered
	orders       []Order
	wrongAnswers int
	failingSince map[string]time.Time // by key, while its requests fail
	longest      time.Duration
	longestAt    time.Time // when the longest unavailability began
	started      time.Time
	events       []event
	lastAnswered map[string]time.Time // by key, when the last answer came
}

// event is one request for the table of windows.
type event struct {
	at          time.Time // when it was sent, or its key became unavailable
	outcome     Outcome
	unavailable time.Duration // of its key, until its answer; only if answered
	gap         time.Duration // the part without any answer for the key
}

func newTally(started time.Time) *tally {
	return &tally{started: started, counts: map[Outcome]int{}, reasons: map[string]int{}, failingSince: map[string]time.Time{},
		lastAnswered: map[string]time.Time{}}
}

// request records one request for a key. A key counts as unavailable from the
// sending of the first failed request, or of the answered one, to the answer.
func (t *tally) request(key string, result result, sent, ended time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[result.outcome]++
	if result.wrong {
		t.wrongAnswers++
	}
	since, failing := t.failingSince[key]
	if result.outcome != Answered {
		t.reasons[result.reason]++
		t.events = append(t.events, event{at: sent, outcome: result.outcome})
		if !failing || sent.Before(since) {
			t.failingSince[key] = sent
		}
		return
	}
	if !failing || sent.Before(since) {
		since = sent
	}
	if unavailable := ended.Sub(since); unavailable > t.longest {
		t.longest = unavailable
		t.longestAt = since
	}
	// Another caller may have had an answer since the failed request was sent.
	gapSince := since
	if last := t.lastAnswered[key]; last.After(gapSince) {
		gapSince = last
	}
	t.events = append(t.events, event{at: since, outcome: Answered, unavailable: ended.Sub(since), gap: ended.Sub(gapSince)})
	t.lastAnswered[key] = ended
	delete(t.failingSince, key)
}

func (t *tally) order(order Order) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.orders = append(t.orders, order)
}

// Report is the result of the demo.
type Report struct {
	Counts       map[Outcome]int // requests by outcome
	Reasons      map[string]int  // of requests that were not answered
	Orders       []Order
	WrongAnswers int // answers that belong to another request
	Longest      time.Duration
	LongestAt    time.Duration // when it began, since the start of the load
	StillFailing int           // keys without an answer at the end
	Runs         int           // runs found in the histories
	Faults       Faults
	Windows      []Window
}

func (t *tally) report() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Report{
		Counts:       t.counts,
		Reasons:      t.reasons,
		Orders:       t.orders,
		WrongAnswers: t.wrongAnswers,
		Longest:      t.longest,
		LongestAt:    t.longestAt.Sub(t.started),
		StillFailing: len(t.failingSince),
	}
}

// Failed reports whether the demo found a fault, or proved nothing because no
// order was answered.
func (r Report) Failed() bool {
	return r.Faults.Any() || r.WrongAnswers > 0 || r.ordersAnswered() == 0
}

func (r Report) ordersAnswered() int {
	count := 0
	for _, order := range r.Orders {
		if order.Outcome == Answered {
			count++
		}
	}
	return count
}

// Print writes the table.
func (r Report) Print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(name string, value any) { _, _ = fmt.Fprintf(table, "%s\t%v\t\n", name, value) }
	row("requests sent", r.Counts[Answered]+r.Counts[NotRun]+r.Counts[Unknown])
	row("answered", r.Counts[Answered])
	row("refused as not run", r.Counts[NotRun])
	row("unknown", r.Counts[Unknown])
	row("orders", len(r.Orders))
	row("orders answered", r.ordersAnswered())
	row("runs found on the servers", r.Runs)
	row("wrong owner", r.Faults.WrongOwner)
	row("doubled", r.Faults.Doubled)
	row("refused as not run, but ran", r.Faults.Untruthful)
	row("answered, but no run found", r.Faults.Missing)
	row("runs that nobody sent", r.Faults.Stray)
	row("answers to another request", r.WrongAnswers)
	row("keys without an answer at the end", r.StillFailing)
	row("longest time a key was unavailable", r.Longest.Round(time.Millisecond))
	row("which began after", r.LongestAt.Round(time.Millisecond))
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "print table")
	}
	if err := printWindows(w, r.Windows); err != nil {
		return err
	}
	for reason, count := range r.Reasons {
		if _, err := fmt.Fprintf(w, "not answered: %d times %s\n", count, reason); err != nil {
			return errors.Wrap(err, "print reasons")
		}
	}
	return nil
}
