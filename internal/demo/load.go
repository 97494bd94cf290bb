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
	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/wire"
)

const (
	requestDeadline  = 2 * time.Second
	requestTimeout   = 4 * time.Second       // client timeout, longer than the requested deadline
	retryDelay       = 20 * time.Millisecond // after a failed request
	maxAttempts      = 5                     // for an order whose outcome is unknown
	warmUpRetryDelay = 50 * time.Millisecond
	orderShare       = 0.5 // fraction of orders among all requests
	reasonNoResponse = "connection failed"
	reasonNoOutcome  = "no outcome in the answer"
	maxConnections   = 256
	customer         = "depot-hai-chau"
	pathOrders       = "/orders"
	pathStock        = "/stock"
)

// Options holds the options of Run.
type Options struct {
	Entries   []string // addresses of entry hosts
	Service   string
	Keys      int
	Workers   int
	ThinkTime time.Duration // pause of a worker after an answered request
	Duration  time.Duration
	WarmUp    time.Duration // timeout of the warm-up
	Histories []string      // paths of the servers' history files
	Seed      uint64
	Marks     string          // path of the file of marks; empty for none
	Stop      <-chan struct{} // stops the load early when closed; may be nil
}

// driver generates the load.
type driver struct {
	options Options
	http    *client.Client
	tally   *tally
}

// result is the result of one request.
type result struct {
	outcome       Outcome
	reason        string // why the request was not answered
	wrongResponse bool   // the response belongs to another request
}

// Run generates the load and checks its outcomes against the histories.
func Run(ctx context.Context, options Options) (Report, error) {
	http, err := client.NewClient(client.WithDialer(standard.NewDialer()), client.WithMaxConnsPerHost(maxConnections))
	if err != nil {
		return Report{}, errors.Wrap(err, "create HTTP client")
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
	// A request with unknown outcome may still run until its deadline.
	if !clock.Sleep(ctx, requestDeadline) {
		return Report{}, errors.Wrap(ctx.Err(), "wait for requests with unknown outcome")
	}
	return d.buildReport()
}

func (d *driver) buildReport() (Report, error) {
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
	// A key that still fails was unavailable until the end.
	events := d.tally.events
	for _, since := range d.tally.failingSince {
		events = append(events, event{at: since, outcome: stillFailing, unavailable: time.Since(since), unavailableToAll: time.Since(since)})
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
				if got.outcome != Answered && !clock.Sleep(ctx, warmUpRetryDelay) {
					return errors.Errorf("entry host %s did not answer for key %s during the warm-up: %s", entry, keyName(key), got.reason)
				}
			}
		}
	}
	return nil
}

func keyName(key int) string { return "pram-" + strconv.Itoa(key) }

// work sends requests one after the other until the context ends. It does not cancel a request in
// flight. Apart from repeated orders, each worker uses one entry host, so that an unresponsive entry
// host does not block all workers.
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
			wait = retryDelay
		}
		clock.Sleep(ctx, wait)
	}
}

// placeOrder sends an order. While the outcome is unknown, it repeats the order through the other entry
// hosts in turn, as a caller does that received no response.
func (d *driver) placeOrder(entry int, key, idempotencyKey string) Outcome {
	outcome := NotRun
	for attempt := range maxAttempts {
		got := d.attempt(entry+attempt, key, idempotencyKey).outcome
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
		time.Sleep(retryDelay)
	}
	d.tally.order(Order{IdempotencyKey: idempotencyKey, Outcome: outcome})
	return outcome
}

// attempt sends a request and records its result.
func (d *driver) attempt(entry int, key, idempotencyKey string) result {
	sent := time.Now()
	got := d.send(context.Background(), d.options.Entries[entry%len(d.options.Entries)], key, idempotencyKey)
	d.tally.request(key, got, sent, time.Now())
	return got
}

// send sends an order if idempotencyKey is set, and a lookup otherwise.
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
		return result{outcome: Unknown, reason: reasonNoResponse}
	}
	return parseResponse(response, key, idempotencyKey)
}

// parseResponse returns the outcome, and whether the response belongs to another request.
func parseResponse(response *protocol.Response, key, idempotencyKey string) result {
	outcome := Outcome(response.Header.Get(wire.HeaderOutcome))
	switch outcome {
	case Answered:
		var body backend.Response
		err := json.Unmarshal(response.Body(), &body)
		wrong := err != nil || body.Server == "" || body.Key != key || body.IdempotencyKey != idempotencyKey
		return result{outcome: Answered, wrongResponse: wrong}
	case NotRun, Unknown:
		var refusal wire.Refusal
		if err := json.Unmarshal(response.Body(), &refusal); err != nil {
			return result{outcome: outcome, reason: "unreadable refusal"}
		}
		return result{outcome: outcome, reason: strings.TrimSpace(string(outcome) + " " + refusal.Reason)}
	default:
		return result{outcome: Unknown, reason: reasonNoOutcome}
	}
}
