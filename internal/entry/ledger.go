package entry

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/galenalug/galenalug/internal/forward"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/ledger"
	"github.com/galenalug/galenalug/retry"
)

// States of wire.RunReply and wire.RunFinish.
const (
	stateNew      = string(ledger.StateNew)
	stateRunning  = string(ledger.StateRunning)
	stateAnswered = string(ledger.StateAnswered)
	stateNotKept  = string(ledger.StateNotKept)
	stateUnknown  = string(ledger.StateUnknown)
	stateNotRun   = string(ledger.StateNotRun)
	stateConflict = string(ledger.StateConflict)
)

const (
	// finishTimeout bounds one try to record how a request ended.
	finishTimeout = time.Second
	// finishTries bounds the tries.
	finishTries = 20
	// finishPause is the time between two tries.
	finishPause = 250 * time.Millisecond
	// finishWorkers bounds the records finished at the same time.
	finishWorkers = 512
)

// record is a request's record in the run ledger.
type record struct {
	group   string
	slot    int
	attempt uint64
}

// begin records a request that may not be repeated. It returns the kept answer
// of an earlier run, or the refusal that the record's state demands.
func (h *Host) begin(ctx context.Context, r *run) (*forward.Answer, *refusal) {
	in := r.in
	if in.repeatable || in.idempotencyKey == "" {
		return nil, nil
	}
	group, slot, err := h.table.Home(in.service, in.ledgerKey())
	if err != nil {
		return nil, routeRefusal(err)
	}
	begin := wire.RunBegin{
		Customer:       in.customer,
		Digest:         in.digest(),
		Host:           h.settings.Name,
		Key:            in.idempotencyKey,
		Slot:           slot,
		Service:        in.service,
		Nonce:          newNonce(),
		DeadlineMillis: min(int(h.timeLeft(in).Milliseconds()), ledger.MaxDeadlineMillis),
	}
	reply, err := h.runs.Begin(ctx, group, begin)
	if err != nil {
		return nil, notRun(503, reasonLedger, "the run ledger could not record the request: %v", err)
	}
	if reply.Refusal != "" {
		return nil, notRun(503, reasonLedger, "the run ledger refused the request: %s", reply.Refusal)
	}
	if reply.State == stateNew {
		r.record = &record{group: group, slot: slot, attempt: reply.Attempt}
		return nil, nil
	}
	return earlierRun(reply)
}

// newNonce returns a number that tells this try from every other one.
func newNonce() []byte {
	nonce := make([]byte, ledger.MaxNonceBytes)
	_, _ = rand.Read(nonce) // never fails, by its contract
	return nonce
}

// earlierRun answers a resend from the record of the first try.
func earlierRun(reply wire.RunReply) (*forward.Answer, *refusal) {
	switch reply.State {
	case stateAnswered:
		return keptAnswer(reply), nil
	case stateRunning:
		return nil, unknown(409, reasonInProgress, "the request with this %s is in progress", wire.HeaderIdempotencyKey)
	case stateNotKept:
		return nil, unknown(409, reasonNotKept, "the first try was answered; its answer was too long to keep")
	case stateConflict:
		return nil, notRun(422, reasonConflict, "the %s was used for another request", wire.HeaderIdempotencyKey)
	default:
		return nil, unknown(502, reasonEarlierUnknown, "whether the first try of the request ran is not known")
	}
}

func keptAnswer(reply wire.RunReply) *forward.Answer {
	header := &protocol.ResponseHeader{}
	header.SetNoDefaultContentType(true)
	header.SetStatusCode(reply.Status)
	if reply.ContentType != "" {
		header.SetContentType(reply.ContentType)
	}
	return &forward.Answer{Header: header, Body: reply.Body, Length: len(reply.Body)}
}

// ledgerKey decides the record's home: the request's key, or the caller's id
// for services that are not divided by key.
func (in *input) ledgerKey() string {
	if in.key != "" {
		return in.key
	}
	return in.idempotencyKey
}

// digest identifies the request's content. The body of an upload is not held,
// so its length and the caller's Digest header stand for it.
func (in *input) digest() []byte {
	hash := sha256.New()
	parts := []string{in.method, in.target, in.key, in.class.String()}
	if in.stream != nil {
		parts = append(parts, strconv.Itoa(in.contentLength), in.digestHeader)
	}
	parts = append(parts, in.batchContent...)
	for _, part := range parts {
		_, _ = hash.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	_, _ = hash.Write(in.body)
	return hash.Sum(nil)
}

// finish records how a request ended. A request that did not run is recorded
// before the caller hears of it, so that a resend finds the way free.
func (h *Host) finish(r *run, answer *forward.Answer, failure *refusal) {
	if r.record == nil {
		return
	}
	message := wire.RunFinish{
		Customer: r.in.customer,
		Key:      r.in.idempotencyKey,
		Attempt:  r.record.attempt,
		Slot:     r.record.slot,
		Service:  r.in.service,
		State:    finishState(answer, failure),
	}
	if message.State == stateAnswered {
		message.Status = answer.Header.StatusCode()
		message.ContentType = string(answer.Header.ContentType())
		message.Body = answer.Body
	}
	if message.State == stateNotRun && h.finishOnce(r.record.group, message) {
		return
	}
	h.finishLater(r.record.group, message)
}

func finishState(answer *forward.Answer, failure *refusal) string {
	switch {
	case failure != nil && failure.outcome == retry.NotRun:
		return stateNotRun
	case answer != nil && answer.Stream == nil && len(answer.Body) <= ledger.MaxBodyBytes:
		return stateAnswered
	case answer != nil:
		return stateNotKept
	default:
		return stateUnknown
	}
}

func (h *Host) finishOnce(group string, message wire.RunFinish) bool {
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	_, err := h.runs.Finish(ctx, group, message)
	return err == nil
}

// finishLater records the end in the background. When every worker is busy the
// record stays as running, which is truthful: its outcome is not known to others.
func (h *Host) finishLater(group string, message wire.RunFinish) {
	h.background.Add(1)
	err := h.finishers.Submit(func() {
		defer h.background.Done()
		h.finishWithRetries(group, message)
	})
	if err != nil {
		h.background.Done()
		h.metrics.unfinished.Inc()
	}
}

func (h *Host) finishWithRetries(group string, message wire.RunFinish) {
	for range finishTries {
		if h.finishOnce(group, message) {
			return
		}
		select {
		case <-h.closed:
			h.metrics.unfinished.Inc()
			return
		case <-time.After(finishPause):
		}
	}
	h.metrics.unfinished.Inc()
}
