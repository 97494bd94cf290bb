package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/backend"
	"github.com/galenalug/galenalug/internal/wire"
)

const (
	requestDeadline = 2 * time.Second
	requestTimeout  = 4 * time.Second // of the caller, beyond the deadline it asks for
	failurePause    = 20 * time.Millisecond
	maxTries        = 5 // tries of one order whose outcome is unknown
	warmUpPause     = 50 * time.Millisecond
	orderShare      = 0.5 // orders among all requests
	reasonNoBytes   = "connection failed"
	reasonNoHeader  = "no outcome in the answer"
	maxConnections  = 256
	customer        = "depot-hai-chau"
	pathOrders      = "/orders"
	pathStock       = "/stock"
)

// Options are the options of Run.
type Options struct {
	Entries   []string // addresses of entry hosts
	Service   string
	Keys      int
	Workers   int
	ThinkTime time.Duration // pause of a worker after an answer
	Duration  time.Duration
	WarmUp    time.Duration // longest wait until each key is answered by each entry host
	Histories []string      // servers' history files, read at the end
	Seed      uint64
	Marks     string          // file of marks, read at the end; empty for none
	Stop      <-chan struct{} // ends the load before its duration; may be nil
}

// driver sends the load.
type driver struct {
	options Options
	http    *client.Client
	tally   *tally
}

// result is what one request brought.
type result struct {
	outcome Outcome
	reason  string
	wrong   bool // the answer belongs to another request
}

// Run sends the load and then checks it against the histories.
func Run(ctx context.Context, options Options) (Report, error) {
	http, err := client.NewClient(client.WithDialer(standard.NewDialer()), client.WithMaxConnsPerHost(maxConnections))
	if err != nil {
		return Report{}, errors.Wrap(err, "make HTTP client")
	}
	d := &driver{options: options, http: http}
	if err := d.warmUp(ctx); err != nil {
		return Report{}, err
	}
	fmt.Println("load starts")
	d.tally = newTally(time.Now())
	loadCtx, cancel := context.WithTimeout(ctx, options.Duration)
	defer cancel()
	go func() {
		select {
		case <-options.Stop:
			cancel()
		case <-loadCtx.Done():
		}
	}()
	var workers sync.WaitGroup
	for i := range options.Workers {
		workers.Go(func() { d.work(loadCtx, i) })
	}
	workers.Wait()
	// A run whose outcome is unknown may still end until its deadline.
	if !pause(ctx, requestDeadline) {
		return Report{}, errors.Wrap(ctx.Err(), "wait for the last runs")
	}
	return d.finish()
}

func (d *driver) finish() (Report, error) {
	report := d.tally.report()
	var runs []backend.Run
	for _, path := range d.options.Histories {
		history, err := ReadHistory(path)
		if err != nil {
			return report, err
		}
		runs = append(runs, history...)
	}
	marks, err := readMarks(d.options.Marks)
	if err != nil {
		return report, err
	}
	// A key without an answer at the end was unavailable until then.
	events := d.tally.events
	for _, since := range d.tally.failingSince {
		events = append(events, event{at: since, outcome: stillFailing, unavailable: time.Since(since), gap: time.Since(since)})
	}
	report.Windows = windowsOf(marks, events)
	report.Runs = len(runs)
	report.Faults = Check(report.Orders, runs)
	return report, nil
}

// warmUp waits until every entry host answers a lookup of every key.
func (d *driver) warmUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.options.WarmUp)
	defer cancel()
	for _, entry := range d.options.Entries {
		for key := range d.options.Keys {
			got := result{}
			for got.outcome != Answered {
				got = d.send(ctx, entry, keyName(key), "")
				if got.outcome != Answered && !pause(ctx, warmUpPause) {
					return errors.Errorf("%s does not answer for key %s: %s", entry, keyName(key), got.reason)
				}
			}
		}
	}
	return nil
}

func keyName(key int) string { return "pram-" + strconv.Itoa(key) }

func pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// work sends one request after another until the context ends. A request that
// was begun is finished. Each worker has its entry host, so that those of the
// others go on while an entry host does not answer.
func (d *driver) work(ctx context.Context, worker int) {
	random := rand.New(rand.NewPCG(d.options.Seed, uint64(worker)))
	entry := worker % len(d.options.Entries)
	for sequence := 0; ctx.Err() == nil; sequence++ {
		key := keyName(random.IntN(d.options.Keys))
		var got Outcome
		if random.Float64() < orderShare {
			got = d.placeOrder(entry, key, fmt.Sprintf("order-%d-%d", worker, sequence))
		} else {
			got = d.attempt(entry, key, "").outcome
		}
		wait := d.options.ThinkTime
		if got != Answered {
			wait = failurePause
		}
		pause(ctx, wait)
	}
}

// placeOrder sends an order. While its outcome is unknown it sends it again,
// through the other entry hosts in turn, as a caller that lost the answer does.
func (d *driver) placeOrder(entry int, key, idempotencyKey string) Outcome {
	outcome := NotRun
	for try := range maxTries {
		got := d.attempt(entry+try, key, idempotencyKey).outcome
		if got == Answered {
			outcome = Answered
			break
		}
		if got == Unknown {
			outcome = Unknown
		}
		if outcome == NotRun {
			break
		}
		time.Sleep(failurePause)
	}
	d.tally.order(Order{IdempotencyKey: idempotencyKey, Outcome: outcome})
	return outcome
}

func (d *driver) attempt(entry int, key, idempotencyKey string) result {
	sent := time.Now()
	got := d.send(context.Background(), d.options.Entries[entry%len(d.options.Entries)], key, idempotencyKey)
	d.tally.request(key, got, sent, time.Now())
	return got
}

// send sends a lookup, or an order if it has an idempotency key.
func (d *driver) send(ctx context.Context, entry, key, idempotencyKey string) result {
	request, response := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(response)
	path := pathStock
	request.SetMethod(consts.MethodGet)
	if idempotencyKey != "" {
		path = pathOrders
		request.SetMethod(consts.MethodPost)
		request.Header.Set(wire.HeaderIdempotencyKey, idempotencyKey)
		request.SetBody([]byte(`{"wheels": 4}`))
	}
	request.SetRequestURI("http://" + entry + wire.PathServices + d.options.Service + path)
	request.Header.Set(wire.HeaderKey, key)
	request.Header.Set(wire.HeaderCustomer, customer)
	request.Header.Set(wire.HeaderDeadlineMillis, strconv.FormatInt(requestDeadline.Milliseconds(), 10))
	if err := d.http.DoTimeout(ctx, request, response, requestTimeout); err != nil {
		return result{outcome: Unknown, reason: reasonNoBytes}
	}
	return read(response, key, idempotencyKey)
}

// read tells the outcome, and whether the answer is that of this request.
func read(response *protocol.Response, key, idempotencyKey string) result {
	outcome := Outcome(response.Header.Get(wire.HeaderOutcome))
	switch outcome {
	case Answered:
		var answer backend.Response
		err := json.Unmarshal(response.Body(), &answer)
		wrong := err != nil || answer.Server == "" || answer.Key != key || answer.IdempotencyKey != idempotencyKey
		return result{outcome: Answered, wrong: wrong}
	case NotRun, Unknown:
		var refusal wire.Refusal
		if err := json.Unmarshal(response.Body(), &refusal); err != nil {
			return result{outcome: outcome, reason: "unreadable refusal"}
		}
		return result{outcome: outcome, reason: strings.TrimSpace(string(outcome) + " " + refusal.Reason)}
	default:
		return result{outcome: Unknown, reason: reasonNoHeader}
	}
}
