package entry

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/forward"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/retry"
)

// handleCaller answers one request of a caller. The work runs on the pool; this
// goroutine belongs to hertz and waits.
func (h *Host) handleCaller(ctx context.Context, caller *app.RequestContext) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	if h.stopping.Load() {
		// Callers leave on their own before idle connections are closed on them.
		caller.SetConnectionClose()
	}
	arrived := time.Now()
	in, failure := parseInput(&caller.Request.Header, arrived, h.bounds)
	if failure != nil {
		h.refuse(caller, nil, failure)
		return
	}
	in.id = h.nextRequestID()
	in.caller = ctx
	if failure := h.readBody(caller, in); failure != nil {
		h.refuse(caller, in, failure)
		return
	}
	var answer *forward.Answer
	done := make(chan struct{})
	err := h.workers.Submit(func() {
		defer close(done)
		answer, failure = h.execute(ctx, in)
	})
	if err != nil {
		h.refuse(caller, in, notRun(503, reasonWorkers, "every worker of the host is busy"))
		return
	}
	<-done
	switch {
	case failure != nil:
		h.refuse(caller, in, failure)
	case answer == nil: // the worker panicked; the pool logged it
		h.refuse(caller, in, unknown(500, reasonInternal, "the host failed"))
	default:
		h.answer(caller, in, answer)
	}
}

// readBody reads the body of a lookup or order whole, and leaves that of an
// upload to be streamed.
func (h *Host) readBody(caller *app.RequestContext, in *input) *refusal {
	if in.header.IgnoreBody() || in.contentLength == 0 || caller.Request.BodyStream() == nil {
		return nil
	}
	reader := caller.Request.BodyStream()
	if in.contentLength > 0 {
		// Hertz's stream may read past the body into the next request.
		reader = io.LimitReader(reader, int64(in.contentLength))
	} else {
		reader = &promptReader{reader: reader, buffered: caller.GetConn().Len}
	}
	if in.streamed() {
		in.stream = &countedReader{reader: reader, most: int64(h.bounds.maxUploadBytes)}
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(reader, int64(h.bounds.maxBodyBytes)+1))
	switch {
	case len(body) > h.bounds.maxBodyBytes:
		caller.SetConnectionClose()
		return notRun(413, reasonTooLarge, "the body has more than %d bytes", h.bounds.maxBodyBytes)
	case err != nil, in.contentLength > 0 && len(body) < in.contentLength:
		caller.SetConnectionClose()
		return badRequest("the body broke off")
	}
	in.body = body
	return nil
}

// answer passes a backend server's answer on.
func (h *Host) answer(caller *app.RequestContext, in *input, answer *forward.Answer) {
	h.metrics.ended(in, retry.Answered, time.Since(in.arrived))
	header := &caller.Response.Header
	header.SetStatusCode(answer.Header.StatusCode())
	header.SetNoDefaultContentType(true)
	dropped := connectionTokens(answer.Header.Peek("Connection"))
	answer.Header.VisitAll(func(key, value []byte) {
		if passesOn(string(key), dropped) {
			header.Add(string(key), string(value))
		}
	})
	header.Set(wire.HeaderOutcome, wire.OutcomeAnswered)
	header.Set(wire.HeaderRequestID, in.id)
	if in.keeper != "" {
		header.Set(wire.HeaderUploadServer, in.keeper)
	}
	if in.stream != nil {
		// Bytes may be left where the server answered before the body's end.
		caller.SetConnectionClose()
	}
	switch {
	case answer.Stream != nil:
		caller.Response.SetBodyStream(&callerStream{ReadCloser: answer.Stream, caller: caller}, answer.Length)
	case in.method == "HEAD":
		caller.Response.SkipBody = true
		if length := answer.Header.ContentLength(); length >= 0 {
			header.SetContentLength(length)
		}
	default:
		caller.Response.SetBodyRaw(answer.Body)
	}
}

// refuse answers a request that got no answer from a backend server.
func (h *Host) refuse(caller *app.RequestContext, in *input, failure *refusal) {
	if in != nil {
		h.metrics.ended(in, failure.outcome, time.Since(in.arrived))
		caller.Response.Header.Set(wire.HeaderRequestID, in.id)
		if in.stream != nil {
			caller.SetConnectionClose()
		}
	}
	body, err := json.Marshal(wire.Refusal{
		Detail:           failure.detail,
		Outcome:          failure.outcome.String(),
		Reason:           failure.reason,
		RetryAfterMillis: int(failure.retryAfter.Milliseconds()),
	})
	if err != nil {
		body = nil
	}
	caller.Response.Header.Set(wire.HeaderOutcome, failure.outcome.String())
	if failure.retryAfter > 0 {
		seconds := math.Ceil(failure.retryAfter.Seconds())
		caller.Response.Header.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	caller.Data(failure.status, "application/json", body)
}

// leastSilence is the wait from which a request without an answer says something of
// the server: a multiple of the 14 ms in which 99 of 100 are answered. A shorter
// deadline is its caller's choice, and callers must not be able to bring a server
// down by it.
const leastSilence = 50 * time.Millisecond

// observeFailure reports to the control hosts what an attempt showed of a server
// that was waited for as given.
func (h *Host) observeFailure(server Server, err *forward.Error, waited time.Duration) {
	switch err.Reason {
	case wire.RefusedShedding:
		h.observer.Answered(server, 0) // it serves, though not this request
	case forward.ReasonTimeout:
		if waited >= leastSilence {
			h.observer.TimedOut(server)
		}
		h.probe(server)
	case forward.ReasonConnect:
		if !errors.Is(err, context.Canceled) {
			h.observer.ConnectionFailed(server)
		}
	case forward.ReasonBroken:
		h.observer.ConnectionFailed(server)
		h.probe(server)
	}
}
