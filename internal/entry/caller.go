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

	"github.com/galenalug/galenalug/internal/bodybuffer"
	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/forward"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/retry"
)

// handleRequest serves one request from a caller. The request is executed on the worker pool while
// the hertz goroutine waits for the result.
func (h *Host) handleRequest(ctx context.Context, c *app.RequestContext) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	if h.stopping.Load() {
		// Lets callers close their connections before the shutdown closes idle ones.
		c.SetConnectionClose()
	}
	arrived := time.Now()
	held := h.callers.open(c)
	defer held.close()
	if !held.takeHead(c) {
		h.writeRefusal(c, nil, held.refuseForMemory(c))
		return
	}
	in, failure := parseInput(&c.Request.Header, arrived, h.config)
	if failure != nil {
		h.writeRefusal(c, nil, failure)
		return
	}
	in.id = h.nextRequestID()
	if failure := h.readBody(c, in, held); failure != nil {
		h.writeRefusal(c, in, failure)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	in.callerContext = ctx
	defer held.senseDisconnect(cancel)()
	var response *forward.Response
	defer func() { cancelAfter(response, cancel) }()
	done := make(chan struct{})
	err := h.workerPool.Submit(func() {
		defer close(done)
		response, failure = h.execute(ctx, in)
	})
	if err != nil {
		h.writeRefusal(c, in, refuseNotRun(503, reasonWorkers, "every worker of the host is busy"))
		return
	}
	<-done
	switch {
	case failure != nil:
		h.writeRefusal(c, in, failure)
	case response == nil: // the worker panicked; the pool has logged it
		h.writeRefusal(c, in, refuseUnknown(500, reasonInternal, "the host failed"))
	default:
		if response.Stream != nil {
			response.Stream = &cancelingStream{ReadCloser: response.Stream, cancel: cancel}
		}
		h.writeResponse(c, in, response)
	}
}

// readBody sets up the body of an upload for streaming, and reads any other body into memory, also
// that of a commit.
func (h *Host) readBody(c *app.RequestContext, in *inboundRequest, held *heldByCaller) *refusal {
	if in.header.IgnoreBody() || in.contentLength == 0 || c.Request.BodyStream() == nil {
		return nil
	}
	reader := c.Request.BodyStream()
	if in.contentLength > 0 {
		// Hertz's body stream may read past the end of the body into the next request.
		reader = io.LimitReader(reader, int64(in.contentLength))
	} else {
		reader = &chunkedBodyReader{reader: reader, buffered: c.GetConn().Len}
	}
	reader = &bodyReader{reader: reader, held: held, timeout: h.config.uploadIdleTimeout}
	if in.streamsBody() {
		in.stream = &limitedReader{reader: reader, maxBytes: int64(h.config.maxUploadBytes)}
		return nil
	}
	body, _, err := bodybuffer.ReadRequest(reader, max(int64(in.contentLength), -1), int64(h.config.maxBodyBytes)+1, held.account, clock.Now)
	switch {
	case errors.Is(err, bodybuffer.ErrMemoryShort), held.account.Evicted():
		return held.refuseForMemory(c)
	case held.conn.SendsTooSlowly():
		c.SetConnectionClose()
		return refuseNotRun(408, reasonTooSlow, "the body arrives too slowly")
	case len(body) > h.config.maxBodyBytes:
		c.SetConnectionClose()
		return refuseNotRun(413, reasonTooLarge, "the body has more than %d bytes", h.config.maxBodyBytes)
	case err != nil, in.contentLength > 0 && len(body) < in.contentLength:
		c.SetConnectionClose()
		return badRequest("the body broke off")
	}
	in.body = body
	return nil
}

// writeResponse writes a backend server's response to the caller.
func (h *Host) writeResponse(c *app.RequestContext, in *inboundRequest, response *forward.Response) {
	h.metrics.observeRequest(in, retry.Answered, time.Since(in.arrived))
	header := &c.Response.Header
	header.SetStatusCode(response.Header.StatusCode())
	header.SetNoDefaultContentType(true)
	dropped := connectionTokens(response.Header.Peek("Connection"))
	response.Header.VisitAll(func(key, value []byte) {
		if isForwardedHeader(string(key), dropped) {
			header.Add(string(key), string(value))
		}
	})
	header.Set(wire.HeaderOutcome, wire.OutcomeAnswered)
	header.Set(wire.HeaderRequestID, in.id)
	if in.uploadServer != "" {
		header.Set(wire.HeaderUploadServer, in.uploadServer)
	}
	if in.stream != nil {
		// Part of the body may be unread if the server answered before the end of the body.
		c.SetConnectionClose()
	}
	switch {
	case response.Stream != nil:
		c.Response.SetBodyStream(&responseStream{ReadCloser: response.Stream, requestContext: c}, response.Length)
	case in.method == "HEAD":
		c.Response.SkipBody = true
		if length := response.Header.ContentLength(); length >= 0 {
			header.SetContentLength(length)
		}
	default:
		c.Response.SetBodyRaw(response.Body)
	}
}

// writeRefusal writes the response to a request to which no backend server responded. in is nil if the
// request was not parsed or is not for a service.
func (h *Host) writeRefusal(c *app.RequestContext, in *inboundRequest, failure *refusal) {
	if in != nil {
		h.metrics.observeRequest(in, failure.outcome, time.Since(in.arrived))
		c.Response.Header.Set(wire.HeaderRequestID, in.id)
		if in.stream != nil {
			c.SetConnectionClose()
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
	c.Response.Header.Set(wire.HeaderOutcome, failure.outcome.String())
	if failure.retryAfter > 0 {
		seconds := math.Ceil(failure.retryAfter.Seconds())
		c.Response.Header.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	c.Data(failure.status, "application/json", body)
}

// minTimeoutEvidence is the shortest wait after which a timeout counts as evidence against a server,
// a multiple of the 14 ms p99 latency. Timeouts at shorter deadlines are not reported: callers choose
// their deadlines and must not be able to have a server taken out of service by them.
const minTimeoutEvidence = 50 * time.Millisecond

// reportFailedAttempt tells the observer what a failed attempt shows about the server's health.
// waited is the time from the start of the attempt to the failure.
func (h *Host) reportFailedAttempt(server Server, err *forward.Error, waited time.Duration) {
	switch err.Reason {
	case wire.RefusedShedding:
		h.observer.Answered(server, 0) // overloaded, but responding
	case forward.ReasonTimeout:
		if waited >= minTimeoutEvidence {
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
