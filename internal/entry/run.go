package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/admission"
	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/forward"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/retry"
)

// maxReroutes bounds the attempts of a request that is rerouted because the owner changed or could
// not be reached.
const maxReroutes = 64

// unbudgetedGrantRetries is the number of retries of a request that may use a refused grant again
// without spending from the retry budget. The waits before them add up to about 240 ms.
const unbudgetedGrantRetries = 6

// pendingRequest is the state of a request that the host is executing.
type pendingRequest struct {
	in             *inboundRequest
	keyed          bool
	record         *runRecord // in the run ledger; nil without one
	attempts       int
	triedSessions  map[sessionKey]bool
	refusedBy      *destination // where the last attempt did not run; nil if any grant may be used
	retrySameGrant bool         // the grant of refusedBy may be retried at retryAt
	retryAt        time.Time
}

// execute admits and records a request, sends it until it ends, and records the end.
func (h *Host) execute(ctx context.Context, in *inboundRequest) (*forward.Response, *refusal) {
	keyed, err := h.table.IsKeyed(in.service)
	if err != nil {
		return nil, routeRefusal(err)
	}
	r := &pendingRequest{in: in, keyed: keyed, triedSessions: map[sessionKey]bool{}}
	if failure := h.admit(r); failure != nil {
		return nil, failure
	}
	if !in.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, in.deadline)
		defer cancel()
	}
	recorded, failure := h.beginRun(ctx, r)
	if recorded != nil || failure != nil {
		return recorded, failure
	}
	h.budgets.firstAttempt(in.service, h.now())
	response, failure := h.sendUntilDone(ctx, r)
	h.finishRun(r, response, failure)
	return response, failure
}

// admit checks the key and the customer's allowance before anything is recorded or sent.
func (h *Host) admit(r *pendingRequest) *refusal {
	if r.keyed && r.in.key == "" {
		return badRequest("%s is missing: the service is divided by key", wire.HeaderKey)
	}
	retryAfter, err := h.limits.Admit(r.in.customer, r.in.service)
	if err == nil {
		return nil
	}
	failure := limitRefusal(err)
	failure.retryAfter = retryAfter
	return failure
}

func (h *Host) sendUntilDone(ctx context.Context, r *pendingRequest) (*forward.Response, *refusal) {
	for {
		to, failure := h.route(ctx, r)
		if failure != nil {
			return nil, failure
		}
		response, attemptErr, failure := h.attempt(ctx, r, to)
		if failure == errGrantEnded {
			continue
		}
		if failure != nil {
			return nil, failure
		}
		if attemptErr == nil {
			return response, nil
		}
		again, delay := h.shouldRetry(r, to, attemptErr)
		if !again {
			return nil, attemptRefusal(attemptErr)
		}
		h.metrics.retries.WithLabelValues(attemptErr.Reason).Inc()
		if failure := sleepBeforeRetry(ctx, delay, attemptErr); failure != nil {
			return nil, failure
		}
	}
}

// currentGrant returns the grant that a keyed request is routed by, or nil for other requests.
func (h *Host) currentGrant(r *pendingRequest, to destination) *grant {
	if !to.keyed {
		return nil
	}
	return &grant{changed: h.table.Changed, valid: func() bool {
		route, err := h.table.Route(r.in.service, r.in.key)
		return err == nil && route.Slot == to.slot && route.Token == to.token
	}}
}

// attempt waits for a slot of the server and sends the request once. It returns a refusal if the
// request was not sent, and a forward.Error if sending failed.
func (h *Host) attempt(ctx context.Context, r *pendingRequest, to destination) (*forward.Response, *forward.Error, *refusal) {
	var deadline time.Duration
	if !r.in.deadline.IsZero() {
		deadline = h.sinceOrigin(r.in.deadline)
	}
	chosenAt := time.Now()
	permit, failure := h.gates.gateFor(to.server).acquire(ctx, r.in.class, r.in.customer, deadline, h.currentGrant(r, to))
	if failure != nil {
		h.reportAttemptEnd(r, to, chosenAt, signalForFailure(failure.reason))
		return nil, nil, failure
	}
	if to.keyed {
		h.observer.Routed(r.in.service, to.slot, r.in.key)
	}
	r.attempts++
	r.triedSessions[sessionKeyOf(to.server)] = true
	started := time.Now()
	response, err := h.sender.Send(r.attemptContext(), h.newAttemptRequest(r, to))
	if err == nil {
		h.observer.Answered(to.server, time.Since(started))
		h.reportAttemptEnd(r, to, chosenAt, signalAnswered)
		if response.Complete {
			to.attemptEnded(time.Time{})
		}
		releaseWhenClosed(response, permit, func() { to.attemptEnded(h.mayRunUntil(r)) })
		return response, nil, nil
	}
	attemptErr := asAttemptError(err)
	if attemptErr.Outcome == retry.NotRun {
		to.attemptEnded(time.Time{})
	} else {
		to.attemptEnded(h.mayRunUntil(r))
	}
	permit.release(admissionOutcome(attemptErr))
	h.reportAttemptEnd(r, to, chosenAt, signalForFailure(attemptErr.Reason))
	h.reportFailedAttempt(to.server, attemptErr, time.Since(started))
	return nil, attemptErr, nil
}

// mayRunUntil returns the time until which a request may still run at its server if its response was
// not received completely.
func (h *Host) mayRunUntil(r *pendingRequest) time.Time {
	if r.in.deadline.IsZero() {
		return time.Now().Add(time.Duration(h.settings.MaxDeadlineMs) * time.Millisecond)
	}
	return r.in.deadline
}

// reportAttemptEnd reports an attempt's end to the choosers, if they selected the server.
func (h *Host) reportAttemptEnd(r *pendingRequest, to destination, chosenAt time.Time, signal serverSignal) {
	if to.chosenByChooser {
		h.choosers.attemptFinished(h.now(), r.in, to.server, time.Since(chosenAt), signal)
	}
}

func asAttemptError(err error) *forward.Error {
	var attemptErr *forward.Error
	if errors.As(err, &attemptErr) {
		return attemptErr
	}
	return &forward.Error{Outcome: retry.Unknown, Reason: forward.ReasonBroken, Err: err}
}

func admissionOutcome(err *forward.Error) admission.Outcome {
	switch err.Reason {
	case wire.RefusedShedding:
		return admission.Shed
	case forward.ReasonTimeout:
		return admission.TimedOut
	default:
		return admission.Failed
	}
}

// releaseWhenClosed releases the slot permit, for an incomplete response only once its stream is closed.
func releaseWhenClosed(response *forward.Response, permit *slotPermit, onClose func()) {
	if response.Complete {
		permit.release(admission.Succeeded)
		return
	}
	response.Stream = &permitStream{ReadCloser: response.Stream, permit: permit, onClose: onClose}
}

// shouldRetry decides whether to retry a request after a failed attempt, and after which delay.
func (h *Host) shouldRetry(r *pendingRequest, to destination, err *forward.Error) (bool, time.Duration) {
	if r.in.stream != nil && r.in.stream.started() {
		return false, 0 // a partly read body can't be sent again
	}
	if isFinalRefusal(err.Reason) {
		return false, 0
	}
	rerouted := to.keyed && err.Outcome == retry.NotRun && ownerMayChange(err.Reason)
	if rerouted && r.attempts < maxReroutes {
		r.refusedBy = &to
		r.retrySameGrant = h.mayRetryGrant(r, err.Reason)
		r.retryAt = time.Now().Add(ownerRetryDelay(r.attempts))
		return true, 0
	}
	r.refusedBy = nil
	attempt := retry.Attempt{
		Outcome:     err.Outcome,
		Number:      r.attempts,
		Repeatable:  r.in.repeatable,
		Overloaded:  err.Reason == wire.RefusedShedding || err.Reason == forward.ReasonPoolFull,
		Bulk:        r.in.class == admission.Upload,
		CrossRegion: to.server.Region != h.settings.Region,
		TimeLeft:    h.timeLeft(r.in),
	}
	if err.Reason == forward.ReasonCanceled || err.Reason == forward.ReasonDeadline {
		return false, 0
	}
	decision := h.decideRetry(r.in.service, attempt)
	return decision.Retry, decision.Delay
}

// mayRetryGrant decides whether a request that did not run may be retried under the same grant.
// If not, it waits for a new grant. The first retries after a refusal are free, because the owner may
// learn of a new grant later than this host. All others spend from the retry budget, so that retries
// can't keep the owner overloaded.
func (h *Host) mayRetryGrant(r *pendingRequest, reason string) bool {
	switch {
	case reason == wire.RefusedDraining:
		return false
	case reason != forward.ReasonConnect && r.attempts <= unbudgetedGrantRetries:
		return true
	default:
		return h.spendRetry(r.in.service)
	}
}

// ownerMayChange reports whether a failure may be resolved by a new grant, or by the owner learning of
// the grant that is already in the routing table.
func ownerMayChange(reason string) bool {
	switch reason {
	case wire.RefusedStaleToken, wire.RefusedNotOwner, wire.RefusedDraining,
		forward.ReasonNotWritable, forward.ReasonConnect:
		return true
	default:
		return false
	}
}

// unboundedTimeLeft is the time left of a request without a deadline.
const unboundedTimeLeft = time.Hour

func (h *Host) timeLeft(in *inboundRequest) time.Duration {
	if in.deadline.IsZero() {
		return unboundedTimeLeft
	}
	return time.Until(in.deadline)
}

func sleepBeforeRetry(ctx context.Context, delay time.Duration, last *forward.Error) *refusal {
	if delay <= 0 || clock.Sleep(ctx, delay) {
		return nil
	}
	return attemptRefusal(last)
}

// attemptRefusal returns the refusal for a request whose last attempt failed.
func attemptRefusal(err *forward.Error) *refusal {
	if err.Outcome != retry.NotRun {
		return unknownOutcomeRefusal(err)
	}
	failure := refuseNotRun(503, err.Reason, "%v", err)
	switch err.Reason {
	case forward.ReasonDeadline: // equals wire.RefusedDeadline
		failure.status = 504
	case wire.RefusedShedding, forward.ReasonPoolFull:
		failure.retryAfter = overloadRetryAfter
	case forward.ReasonCallerBody:
		failure.status = 400
	case wire.RefusedIncomplete:
		failure.status = 409
	case wire.RefusedDigest:
		failure.status = 422
	}
	return failure
}

func unknownOutcomeRefusal(err *forward.Error) *refusal {
	if err.Reason == forward.ReasonTimeout {
		return refuseUnknown(504, err.Reason, "%v", err)
	}
	return refuseUnknown(502, err.Reason, "%v", err)
}
