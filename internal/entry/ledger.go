package entry

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"

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
	// beginPause is the longest wait for a table change between two tries.
	beginRetryInterval = 50 * time.Millisecond
	// finishTimeout bounds one try to record how a request ended.
	finishTimeout = time.Second
	// finishTries bounds the tries.
	maxFinishAttempts = 20
	// finishPause is the time between two tries.
	finishRetryInterval = 250 * time.Millisecond
	// finishWorkers bounds the records finished at the same time.
	maxBackgroundTasks = 512
)

// record is a request's record in the run ledger.
type runRecord struct {
	group   string
	slot    int
	attempt uint64
}

// begin records a request that may not be repeated. It returns the kept answer
// of an earlier run, or the refusal that the record's state demands. A Begin
// whose outcome is not known, or that met a slot on its way to another group, is
// sent again with the same nonce until the deadline: the ledger takes it for the
// same try.
func (h *Host) beginRun(ctx context.Context, r *pendingRequest) (*forward.Answer, *refusal) {
	if r.in.repeatable || r.in.idempotencyKey == "" {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, h.config.maxDeadline)
	defer cancel()
	nonce := newNonce()
	for {
		changed := h.table.Changed()
		reply, failure, final := h.beginRunOnce(ctx, r, nonce)
		if failure == nil {
			return h.handleBeginReply(r, reply)
		}
		if final {
			return nil, failure
		}
		if waited := h.waitForTable(ctx, changed, time.Now().Add(beginRetryInterval)); waited != nil {
			return nil, waitRefusal(ctx, waited, failure)
		}
	}
}

// lastRefusal is what the caller hears after a wait that failed: the cause of the
// wait, if it was the deadline that ended it.
func waitRefusal(ctx context.Context, waited, cause *refusal) *refusal {
	if ctx.Err() == context.DeadlineExceeded { //nolint:errorlint // Err returns it unwrapped
		return cause
	}
	return waited
}

// beginReply is the ledger's reply, and where the record is.
type beginReply struct {
	wire.RunReply
	record runRecord
}

// beginOnce tries once to record a request. A refusal that is not final may end
// with another try.
func (h *Host) beginRunOnce(ctx context.Context, r *pendingRequest, nonce []byte) (reply beginReply, failure *refusal, final bool) {
	in := r.in
	group, slot, err := h.table.Home(in.service, in.ledgerKey())
	if err != nil {
		return reply, routeRefusal(err), errors.Is(err, ErrUnknownService)
	}
	begin := wire.RunBegin{
		Customer:       in.customer,
		Digest:         in.digest(),
		Host:           h.settings.Name,
		Key:            in.idempotencyKey,
		Slot:           slot,
		Service:        in.service,
		Nonce:          nonce,
		DeadlineMillis: min(max(1, int(h.timeLeft(in).Milliseconds())), ledger.MaxDeadlineMillis),
	}
	reply.RunReply, err = h.runs.Begin(ctx, group, begin)
	reply.record = runRecord{group: group, slot: slot, attempt: reply.Attempt}
	if err != nil {
		return reply, refuseNotRun(503, reasonLedger, "the run ledger could not record the request: %v", err), false
	}
	if reply.Refusal != "" {
		failure = refuseNotRun(503, reasonLedger, "the run ledger refused the request: %s", reply.Refusal)
		return reply, failure, reply.Refusal != string(ledger.RefusedSealed)
	}
	return reply, nil, true
}

func (h *Host) handleBeginReply(r *pendingRequest, reply beginReply) (*forward.Answer, *refusal) {
	if reply.State == stateNew {
		r.record = &reply.record
		return nil, nil
	}
	return replayRecordedRun(reply.RunReply)
}

// newNonce returns a number that tells this try from every other one.
func newNonce() []byte {
	nonce := make([]byte, ledger.MaxNonceBytes)
	_, _ = rand.Read(nonce) // never fails, by its contract
	return nonce
}

// earlierRun answers a resend from the record of the first try.
func replayRecordedRun(reply wire.RunReply) (*forward.Answer, *refusal) {
	switch reply.State {
	case stateAnswered:
		return recordedAnswer(reply), nil
	case stateRunning:
		return nil, refuseUnknown(409, reasonInProgress, "the request with this %s is in progress", wire.HeaderIdempotencyKey)
	case stateNotKept:
		return nil, refuseUnknown(409, reasonNotKept, "the first try was answered; its answer was too long to keep")
	case stateConflict:
		return nil, refuseNotRun(422, reasonConflict, "the %s was used for another request", wire.HeaderIdempotencyKey)
	default:
		return nil, refuseUnknown(502, reasonEarlierUnknown, "whether the first try of the request ran is not known")
	}
}

func recordedAnswer(reply wire.RunReply) *forward.Answer {
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
func (in *inboundRequest) ledgerKey() string {
	if in.key != "" {
		return in.key
	}
	return in.idempotencyKey
}

// digest identifies the request's content. The body of an upload is not held,
// so its length and the caller's Digest header stand for it.
func (in *inboundRequest) digest() []byte {
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
func (h *Host) finishRun(r *pendingRequest, answer *forward.Answer, failure *refusal) {
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
	if message.State == stateNotRun && h.finishRunOnce(r.record.group, message) {
		return
	}
	h.finishRunInBackground(r, message)
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

// finishOnce reports whether the end is recorded, or never can be. A slot on its
// way to another group takes no Finish.
func (h *Host) finishRunOnce(group string, message wire.RunFinish) bool {
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	reply, err := h.runs.Finish(ctx, group, message)
	return err == nil && reply.Refusal != string(ledger.RefusedSealed)
}

// finishLater records the end in the background. When every worker is busy the
// record stays as running, which is truthful: its outcome is not known to others.
func (h *Host) finishRunInBackground(r *pendingRequest, message wire.RunFinish) {
	h.backgroundTasks.Add(1)
	err := h.backgroundPool.Submit(func() {
		defer h.backgroundTasks.Done()
		h.finishRunWithRetries(r, message)
	})
	if err != nil {
		h.backgroundTasks.Done()
		h.metrics.unfinished.Inc()
	}
}

func (h *Host) finishRunWithRetries(r *pendingRequest, message wire.RunFinish) {
	group := r.record.group
	service, key := r.in.service, r.in.ledgerKey()
	for range maxFinishAttempts {
		if h.finishRunOnce(group, message) {
			return
		}
		if home, _, err := h.table.Home(service, key); err == nil {
			group = home // the slot may have moved with its records
		}
		select {
		case <-h.stopFinished:
			h.metrics.unfinished.Inc()
			return
		case <-time.After(finishRetryInterval):
		}
	}
	h.metrics.unfinished.Inc()
}
