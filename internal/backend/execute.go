package backend

import (
	"context"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/wire"
)

// coldFactor multiplies the service time right after the start.
const coldFactor = 3

const pathRuns = "/runs" // GET ?key={idempotency key}, for tests that call the server directly

// Response is the response body of an executed request.
type Response struct {
	Server         string `json:"server"`
	Key            string `json:"key"`
	IdempotencyKey string `json:"idempotency_key"`
	Count          int    `json:"count"` // requests executed by the server so far
	Runs           int    `json:"runs"`  // runs of the idempotency key so far
}

// RunCount is the response body of GET /runs?key={idempotency key}.
type RunCount struct {
	IdempotencyKey string `json:"key"`
	Runs           int    `json:"runs"`
}

// call is a request that is being processed.
type call struct {
	grant    wire.Grant
	fenced   bool
	deadline time.Duration // on the server's clock; 0 for none
	run      Run
	upload   *uploadRequest // nil unless the request belongs to an upload in parts
}

// handle serves a request whose body has been received completely.
func (s *Server) handle(ctx context.Context, request *app.RequestContext) {
	path := string(request.Path())
	switch {
	case path == wire.PathProbe:
		s.freezeGate.wait()
		request.SetStatusCode(consts.StatusOK)
	case path == pathRuns && len(request.GetHeader(wire.HeaderSlot)) == 0:
		key := request.Query("key")
		request.JSON(consts.StatusOK, RunCount{IdempotencyKey: key, Runs: s.Runs(key)})
	default:
		s.serveCall(ctx, request)
	}
}

func (s *Server) serveCall(ctx context.Context, request *app.RequestContext) {
	c, reason := s.parse(request)
	if reason == "" {
		reason = s.admit()
	}
	if reason != "" {
		s.refuse(request, reason)
		return
	}
	defer s.requestDone()
	if reason := s.acquireSlot(ctx, c); reason != "" {
		s.refuse(request, reason)
		return
	}
	defer func() { <-s.slots }()
	executed, reason := s.execute(ctx, c)
	if reason != "" {
		s.refuse(request, reason)
		return
	}
	executed.write(request)
}

// parse returns the call that the headers describe, or the refusal reason. If the server checks
// fencing tokens, a request without a valid slot and token is refused with RefusedNotOwner.
func (s *Server) parse(request *app.RequestContext) (*call, string) {
	header := func(name string) string { return string(request.GetHeader(name)) }
	c := &call{
		fenced: s.settings.Keyed && s.settings.Fencing,
		run: Run{
			Server:         s.settings.Name,
			Key:            header(wire.HeaderKey),
			Customer:       header(wire.HeaderCustomer),
			IdempotencyKey: header(wire.HeaderIdempotencyKey),
			RequestID:      header(wire.HeaderRequestID),
			Method:         string(request.Method()),
			Path:           string(request.Path()),
		},
	}
	slot, slotErr := strconv.Atoi(header(wire.HeaderSlot))
	token, tokenErr := strconv.ParseUint(header(wire.HeaderToken), 10, 64)
	if c.fenced && (slotErr != nil || tokenErr != nil) {
		return nil, wire.RefusedNotOwner
	}
	c.grant = wire.Grant{Slot: slot, Token: token}
	c.run.Slot = slot
	c.run.Token = token
	if text := header(wire.HeaderDeadlineMillis); text != "" {
		timeoutMs, err := strconv.ParseInt(text, 10, 64)
		if err != nil || timeoutMs <= 0 {
			return nil, wire.RefusedDeadline
		}
		c.deadline = s.clock() + time.Duration(timeoutMs)*time.Millisecond
	}
	var reason string
	c.upload, reason = parseUpload(request)
	return c, reason
}

// admit counts a request as in flight, or returns the refusal reason. The limit is the larger of the
// numbers of connections and slots; requests beyond the number of slots wait for one.
func (s *Server) admit() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight >= max(s.settings.Connections, s.settings.Slots) {
		return wire.RefusedShedding
	}
	s.inFlight++
	s.lastRequest = s.clock()
	return ""
}

func (s *Server) requestDone() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// acquireSlot waits for a free slot until the deadline passes or the client disconnects.
func (s *Server) acquireSlot(ctx context.Context, c *call) string {
	select { // take a free slot even if the deadline has passed: begin checks it
	case s.slots <- struct{}{}:
		return ""
	default:
	}
	var expired <-chan time.Time
	if c.deadline > 0 {
		timer := time.NewTimer(c.deadline - s.clock())
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case s.slots <- struct{}{}:
		return ""
	case <-expired:
		return wire.RefusedDeadline
	case <-ctx.Done():
		return wire.RefusedDeadline
	}
}

// execute checks the grant, simulates the processing and applies the request. A request has no effect
// before applyRequest, so that it can be refused as not run until then.
func (s *Server) execute(ctx context.Context, c *call) (result, string) {
	s.freezeGate.wait()
	if reason := s.begin(c); reason != "" {
		return result{}, reason
	}
	defer s.end(c)
	c.run.StartNanos = monotonicNanos()
	c.run.StartedAt = time.Now()
	clock.Sleep(ctx, s.serviceTime())
	s.freezeGate.wait()
	if ctx.Err() != nil {
		return result{}, wire.RefusedDeadline
	}
	return s.applyRequest(c)
}

func (s *Server) begin(c *call) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	if c.deadline > 0 && now >= c.deadline {
		return wire.RefusedDeadline
	}
	if !c.fenced {
		return ""
	}
	return s.owned.begin(c.grant, now)
}

func (s *Server) end(c *call) {
	if !c.fenced {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owned.end(c.grant)
}

// applyRequest performs the request's effect. It checks the lease and the grant again under the same
// lock, since both may have ended during the processing.
func (s *Server) applyRequest(c *call) (result, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	if c.deadline > 0 && now >= c.deadline {
		return result{}, wire.RefusedDeadline
	}
	if c.fenced {
		if reason := s.owned.recheck(c.grant, now); reason != "" {
			return result{}, reason
		}
	}
	if c.upload != nil {
		return s.applyUpload(c)
	}
	return s.recordRun(c), ""
}

// recordRun appends the run to the history, counts it and returns the response. The caller holds mu.
func (s *Server) recordRun(c *call) result {
	c.run.Incarnation = s.owned.incarnation
	c.run.EndNanos = monotonicNanos()
	c.run.EndedAt = time.Now()
	if err := s.history.add(c.run); err != nil {
		s.logger.WithError(err).Error("recording a run in the history file failed")
	}
	s.answered++
	if c.run.IdempotencyKey != "" {
		s.runs[c.run.IdempotencyKey]++
	}
	return result{status: consts.StatusOK, response: &Response{
		Server:         s.settings.Name,
		Key:            c.run.Key,
		IdempotencyKey: c.run.IdempotencyKey,
		Count:          s.answered,
		Runs:           s.runs[c.run.IdempotencyKey],
	}}
}

// serviceTime returns the simulated service time. After a cold start it decreases linearly from
// coldFactor times the normal one.
func (s *Server) serviceTime() time.Duration {
	normal := time.Duration(s.settings.WorkMs) * time.Millisecond
	cold := time.Duration(s.settings.ColdMs) * time.Millisecond
	coldLeft := cold - s.clock()
	if coldLeft <= 0 {
		return normal
	}
	return normal + time.Duration(float64(normal)*(coldFactor-1)*float64(coldLeft)/float64(cold))
}

// refuse responds that the request was not run.
func (s *Server) refuse(request *app.RequestContext, reason string) {
	s.mu.Lock()
	s.refused[reason]++
	s.mu.Unlock()
	request.Response.Header.Set(wire.HeaderRefused, reason)
	request.JSON(consts.StatusServiceUnavailable, wire.Refusal{
		Outcome: wire.OutcomeNotRun,
		Reason:  reason,
		Detail:  "the backend server did not run the request",
	})
}
