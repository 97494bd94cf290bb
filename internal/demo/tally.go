package demo

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// tally collects the results of all requests and orders.
type tally struct {
	mu                   sync.Mutex
	counts               map[Outcome]int
	reasons              map[string]int // of requests that were not answered
	orders               []Order
	wrongResponses       int
	failingSince         map[string]time.Time // by unavailable key
	longestUnavailable   time.Duration
	longestUnavailableAt time.Time // start of the longest unavailability
	started              time.Time // start of the load
	events               []event
	lastAnswered         map[string]time.Time // time of the last answer, by key
}

// event is what the table of windows counts: a request without a response, or the unavailability of a
// key until a response or, with outcome stillFailing, until the end of the load.
type event struct {
	at               time.Time // when the request was sent or the key became unavailable
	outcome          Outcome
	unavailable      time.Duration // of the key to one caller; 0 for a request without a response
	unavailableToAll time.Duration // the part of it without a response to any caller
}

func newTally(started time.Time) *tally {
	return &tally{started: started, counts: map[Outcome]int{}, reasons: map[string]int{}, failingSince: map[string]time.Time{},
		lastAnswered: map[string]time.Time{}}
}

// request records one request for a key. A key is unavailable from when the first failed request was
// sent until the next response. If no request failed, its unavailability is the latency of the answered
// request.
func (t *tally) request(key string, result result, sent, ended time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[result.outcome]++
	if result.wrongResponse {
		t.wrongResponses++
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
	if unavailable := ended.Sub(since); unavailable > t.longestUnavailable {
		t.longestUnavailable = unavailable
		t.longestUnavailableAt = since
	}
	// Another caller may have received a response since the failed request was sent.
	unavailableToAllSince := since
	if last := t.lastAnswered[key]; last.After(unavailableToAllSince) {
		unavailableToAllSince = last
	}
	t.events = append(t.events, event{at: since, outcome: Answered, unavailable: ended.Sub(since), unavailableToAll: ended.Sub(unavailableToAllSince)})
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
	Counts               map[Outcome]int // requests by outcome
	Reasons              map[string]int  // of requests that were not answered
	Orders               []Order
	WrongResponses       int           // responses that belong to another request
	LongestUnavailable   time.Duration // longest unavailability of a key
	LongestUnavailableAt time.Duration // its start, since the start of the load
	StillFailing         int           // keys that are unavailable at the end
	Runs                 int           // runs found in the histories
	Faults               Faults
	Windows              []Window
}

func (t *tally) report() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Report{
		Counts:               t.counts,
		Reasons:              t.reasons,
		Orders:               t.orders,
		WrongResponses:       t.wrongResponses,
		LongestUnavailable:   t.longestUnavailable,
		LongestUnavailableAt: t.longestUnavailableAt.Sub(t.started),
		StillFailing:         len(t.failingSince),
	}
}

// Failed reports whether the demo found a fault. It also fails if no order was answered, because the
// checks then have nothing to check.
func (r Report) Failed() bool {
	return r.Faults.Any() || r.WrongResponses > 0 || r.ordersAnswered() == 0
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

// Print writes the report as tables.
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
	row("doubled", r.Faults.Duplicated)
	row("refused as not run, but ran", r.Faults.RanButRefused)
	row("answered, but no run found", r.Faults.NotFound)
	row("runs that nobody sent", r.Faults.NotSent)
	row("answers to another request", r.WrongResponses)
	row("keys without an answer at the end", r.StillFailing)
	row("longest time a key was unavailable", r.LongestUnavailable.Round(time.Millisecond))
	row("which began after", r.LongestUnavailableAt.Round(time.Millisecond))
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "print report")
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
