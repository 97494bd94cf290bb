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
	// beginRetryInterval is the longest wait for a table change between two attempts at Begin.
	beginRetryInterval = 50 * time.Millisecond
	// finishTimeout bounds one attempt to record how a request ended.
	finishTimeout = time.Second
	// maxFinishAttempts bounds the attempts to record how a request ended.
	maxFinishAttempts = 20
	// finishRetryInterval is the time between two such attempts.
	finishRetryInterval = 250 * time.Millisecond
	// maxBackgroundTasks bounds the concurrent tasks in the background: records being finished and
	// probes.
	maxBackgroundTasks = 512
)

// runRecord locates a request's record in the run ledger.
type runRecord struct {
	group   string
	slot    int
	attempt uint64
}

// beginRun records a request that is not repeatable and has an idempotency key. If the ledger has a
// record of an earlier run, beginRun returns the recorded response, or the refusal for the record's
// state. A Begin whose outcome is unknown, or that is refused because the slot is moving to another
// group, is retried until the deadline with the same nonce, by which the ledger recognizes it as the
// same attempt.
func (h *Host) beginRun(ctx context.Context, r *pendingRequest) (*forward.Response, *refusal) {
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

// waitRefusal returns the refusal after a failed wait: the cause of the wait if the deadline ended
// it, and the refusal of the wait itself otherwise.
func waitRefusal(ctx context.Context, waited, cause *refusal) *refusal {
	if ctx.Err() == context.DeadlineExceeded { //nolint:errorlint // Err returns it unwrapped
		return cause
	}
	return waited
}

// beginReply is the ledger's reply and the location of the record.
type beginReply struct {
	wire.RunReply
	record runRecord
}

// beginRunOnce attempts once to record a request. Unless the failure is final, another attempt may
// succeed.
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

func (h *Host) handleBeginReply(r *pendingRequest, reply beginReply) (*forward.Response, *refusal) {
	if reply.State == stateNew {
		r.record = &reply.record
		return nil, nil
	}
	return replayRecordedRun(reply.RunReply)
}

// newNonce returns a random number that identifies one attempt to begin a run.
func newNonce() []byte {
	nonce := make([]byte, ledger.MaxNonceBytes)
	_, _ = rand.Read(nonce) // documented never to return an error
	return nonce
}

// replayRecordedRun answers a resent request from the record of the earlier run.
func replayRecordedRun(reply wire.RunReply) (*forward.Response, *refusal) {
	switch reply.State {
	case stateAnswered:
		return recordedResponse(reply), nil
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

func recordedResponse(reply wire.RunReply) *forward.Response {
	header := &protocol.ResponseHeader{}
	header.SetNoDefaultContentType(true)
	header.SetStatusCode(reply.Status)
	if reply.ContentType != "" {
		header.SetContentType(reply.ContentType)
	}
	return &forward.Response{Header: header, Body: reply.Body, Length: len(reply.Body), Complete: true}
}

// ledgerKey returns the key that determines the record's home: the request's key, or its idempotency
// key for services that are not partitioned by key.
func (in *inboundRequest) ledgerKey() string {
	if in.key != "" {
		return in.key
	}
	return in.idempotencyKey
}

// digest returns a hash of the request's content. The body of an upload is not held in memory, so its
// length and the caller's Digest header are hashed instead.
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

// finishRun records how a request ended, normally in the background. If the request did not run, the
// first attempt to record this is made before the caller is answered, so that a resend is not refused
// as already in progress.
func (h *Host) finishRun(r *pendingRequest, response *forward.Response, failure *refusal) {
	if r.record == nil {
		return
	}
	message := wire.RunFinish{
		Customer: r.in.customer,
		Key:      r.in.idempotencyKey,
		Attempt:  r.record.attempt,
		Slot:     r.record.slot,
		Service:  r.in.service,
		State:    finishState(response, failure),
	}
	if message.State == stateAnswered {
		message.Status = response.Header.StatusCode()
		message.ContentType = string(response.Header.ContentType())
		message.Body = response.Body
	}
	if message.State == stateNotRun && h.finishRunOnce(r.record.group, message) {
		return
	}
	h.finishRunInBackground(r, message)
}

func finishState(response *forward.Response, failure *refusal) string {
	switch {
	case failure != nil && failure.outcome == retry.NotRun:
		return stateNotRun
	case response != nil && response.Stream == nil && len(response.Body) <= ledger.MaxBodyBytes:
		return stateAnswered
	case response != nil:
		return stateNotKept
	default:
		return stateUnknown
	}
}

// finishRunOnce returns true if no further attempt is needed: the end is recorded, or the ledger
// refused it for good. A slot that is moving to another group is sealed and accepts no Finish.
func (h *Host) finishRunOnce(group string, message wire.RunFinish) bool {
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	reply, err := h.runs.Finish(ctx, group, message)
	return err == nil && reply.Refusal != string(ledger.RefusedSealed)
}

// finishRunInBackground records the end in the background. If all background workers are busy, the
// record stays in the running state. That is safe, because a resend is then told that the outcome is
// unknown.
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
			group = home // the slot may have moved, and its records with it
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
