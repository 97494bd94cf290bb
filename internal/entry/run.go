package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/admission"
	"github.com/galenalug/galenalug/internal/forward"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/retry"
)

// maxReroutes bounds the attempts of one request that ended as not run because
// the owner changed or could not be reached.
const maxReroutes = 64

// freeGrantTries is the number of tries after which a refused grant is tried
// again only within the retry budget. They take about 240 ms together.
const freeGrantTries = 6

// run is one request on its way through the host.
type run struct {
	in             *input
	keyed          bool
	record         *record // in the run ledger; nil without one
	tries          int
	tried          map[gateKey]bool
	refusedBy      *destination // grant that did not run it
	retrySameGrant bool         // the grant may be tried again at retryAt
	retryAt        time.Time
}

// execute sends a request until it ends, and records the end.
func (h *Host) execute(ctx context.Context, in *input) (*forward.Answer, *refusal) {
	keyed, err := h.table.Service(in.service)
	if err != nil {
		return nil, routeRefusal(err)
	}
	r := &run{in: in, keyed: keyed, tried: map[gateKey]bool{}}
	if failure := h.admit(r); failure != nil {
		return nil, failure
	}
	if !in.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, in.deadline)
		defer cancel()
	}
	kept, failure := h.begin(ctx, r)
	if kept != nil || failure != nil {
		return kept, failure
	}
	h.budgets.firstAttempt(in.service, h.now())
	answer, failure := h.sendUntilDone(ctx, r)
	h.finish(r, answer, failure)
	return answer, failure
}

// admit checks what must hold before anything is recorded or sent.
func (h *Host) admit(r *run) *refusal {
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

func (h *Host) sendUntilDone(ctx context.Context, r *run) (*forward.Answer, *refusal) {
	for {
		to, failure := h.route(ctx, r)
		if failure != nil {
			return nil, failure
		}
		answer, attemptErr, failure := h.attempt(ctx, r, to)
		if failure == errGrantOver {
			continue
		}
		if failure != nil {
			return nil, failure
		}
		if attemptErr == nil {
			return answer, nil
		}
		again, delay := h.again(r, to, attemptErr)
		if !again {
			return nil, attemptRefusal(attemptErr)
		}
		h.metrics.retries.WithLabelValues(attemptErr.Reason).Inc()
		if failure := sleep(ctx, delay, attemptErr); failure != nil {
			return nil, failure
		}
	}
}

// grantOf returns the grant of a keyed request, nil for others.
func (h *Host) grantOf(r *run, to destination) *grant {
	if !to.keyed {
		return nil
	}
	return &grant{changed: h.table.Changed, stands: func() bool {
		route, err := h.table.Route(r.in.service, r.in.key)
		return err == nil && route.Slot == to.slot && route.Token == to.token
	}}
}

// attempt waits for a slot of the server and sends the request once.
func (h *Host) attempt(ctx context.Context, r *run, to destination) (*forward.Answer, *forward.Error, *refusal) {
	var deadline time.Duration
	if !r.in.deadline.IsZero() {
		deadline = h.sinceOrigin(r.in.deadline)
	}
	chosenAt := time.Now()
	hold, failure := h.gates.of(to.server).enter(ctx, r.in.class, r.in.customer, deadline, h.grantOf(r, to))
	if failure != nil {
		h.ended(r, to, chosenAt, blameFor(failure.reason))
		return nil, nil, failure
	}
	if to.keyed {
		h.observer.Routed(r.in.service, to.slot, r.in.key)
	}
	r.tries++
	r.tried[keyOf(to.server)] = true
	started := time.Now()
	answer, err := h.sender.Send(r.attemptContext(), h.newRequest(r, to))
	if err == nil {
		h.observer.Answered(to.server, time.Since(started))
		h.ended(r, to, chosenAt, blamePraise)
		if answer.Stream == nil {
			to.attemptEnded(time.Time{})
		}
		holdUntilClosed(answer, hold, func() { to.attemptEnded(h.runsUntil(r)) })
		return answer, nil, nil
	}
	attemptErr := asAttemptError(err)
	if attemptErr.Outcome == retry.NotRun {
		to.attemptEnded(time.Time{})
	} else {
		to.attemptEnded(h.runsUntil(r))
	}
	hold.finish(admissionOutcome(attemptErr))
	h.ended(r, to, chosenAt, blameFor(attemptErr.Reason))
	h.observeFailure(to.server, attemptErr, time.Since(started))
	return nil, attemptErr, nil
}

// runsUntil returns the time until which a request whose answer was not seen whole
// may run at its server.
func (h *Host) runsUntil(r *run) time.Time {
	if r.in.deadline.IsZero() {
		return time.Now().Add(time.Duration(h.settings.MaxDeadlineMs) * time.Millisecond)
	}
	return r.in.deadline
}

// ended tells the chooser of an attempt's end.
func (h *Host) ended(r *run, to destination, chosenAt time.Time, blame serverBlame) {
	if to.chosen {
		h.choosers.finished(h.now(), r.in, to.server, time.Since(chosenAt), blame)
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

// holdUntilClosed keeps the slot until the caller has the whole answer.
func holdUntilClosed(answer *forward.Answer, hold *ticket, closed func()) {
	if answer.Stream == nil {
		hold.finish(admission.Succeeded)
		return
	}
	answer.Stream = &heldStream{ReadCloser: answer.Stream, hold: hold, closed: closed}
}

// again decides whether to send a request once more.
func (h *Host) again(r *run, to destination, err *forward.Error) (bool, time.Duration) {
	if r.in.stream != nil && r.in.stream.started() {
		return false, 0 // the body can't be sent a second time
	}
	if finalRefusal(err.Reason) {
		return false, 0
	}
	rerouted := to.keyed && err.Outcome == retry.NotRun && ownerMayChange(err.Reason)
	if rerouted && r.tries < maxReroutes {
		r.refusedBy = &to
		r.retrySameGrant = h.mayRetryGrant(r, err.Reason)
		r.retryAt = time.Now().Add(ownerRetryDelay(r.tries))
		return true, 0
	}
	r.refusedBy = nil
	attempt := retry.Attempt{
		Outcome:     err.Outcome,
		Number:      r.tries,
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

// mayRetryGrant decides whether the grant that did not run a request may be tried
// again; if not, only another grant will do. The first tries after a refusal are
// free, since the owner hears of a new grant later than this host. All others
// spend from the retry budget, so that they can't hold the owner down.
func (h *Host) mayRetryGrant(r *run, reason string) bool {
	switch {
	case reason == wire.RefusedDraining:
		return false
	case reason != forward.ReasonConnect && r.tries <= freeGrantTries:
		return true
	default:
		return h.spendRetry(r.in.service)
	}
}

// ownerMayChange reports whether a refusal may end with another grant, or with the
// owner hearing of the grant that the table shows already.
func ownerMayChange(reason string) bool {
	switch reason {
	case wire.RefusedStaleToken, wire.RefusedNotOwner, wire.RefusedDraining,
		forward.ReasonNotWritable, forward.ReasonConnect:
		return true
	default:
		return false
	}
}

// unboundedTime stands for the time left of a request without a deadline.
const unboundedTime = time.Hour

func (h *Host) timeLeft(in *input) time.Duration {
	if in.deadline.IsZero() {
		return unboundedTime
	}
	return time.Until(in.deadline)
}

func sleep(ctx context.Context, delay time.Duration, last *forward.Error) *refusal {
	if delay <= 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return attemptRefusal(last)
	}
}

// attemptRefusal turns the end of the last attempt into what the caller sees.
func attemptRefusal(err *forward.Error) *refusal {
	if err.Outcome != retry.NotRun {
		return unknownAttempt(err)
	}
	failure := notRun(503, err.Reason, "%v", err)
	switch err.Reason {
	case forward.ReasonDeadline: // equals wire.RefusedDeadline
		failure.status = 504
	case wire.RefusedShedding, forward.ReasonPoolFull:
		failure.retryAfter = shedRetryAfter
	case forward.ReasonCallerBody:
		failure.status = 400
	case wire.RefusedIncomplete:
		failure.status = 409
	case wire.RefusedDigest:
		failure.status = 422
	}
	return failure
}

func unknownAttempt(err *forward.Error) *refusal {
	if err.Reason == forward.ReasonTimeout {
		return unknown(504, err.Reason, "%v", err)
	}
	return unknown(502, err.Reason, "%v", err)
}
