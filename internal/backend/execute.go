package backend

import (
	"context"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/galenalug/galenalug/internal/wire"
)

// coldFactor is how much longer than usual a request takes right after the start.
const coldFactor = 3

const pathRuns = "/runs" // GET ?key=, sent straight to the server by tests

// Response is the body of an executed request.
type Response struct {
	Server         string `json:"server"`
	Key            string `json:"key"`
	IdempotencyKey string `json:"idempotency_key"`
	Count          int    `json:"count"` // requests answered by the server so far
	Runs           int    `json:"runs"`  // runs of the idempotency key so far
}

// RunCount is the answer of GET /runs?key=.
type RunCount struct {
	Key  string `json:"key"`
	Runs int    `json:"runs"`
}

// call is one request on its way through the server.
type call struct {
	grant    wire.Grant
	fenced   bool
	deadline time.Duration // on the server's clock; 0 for none
	run      Run
	upload   *uploadCall // nil but for a request of an upload in parts
}

// handle answers one request, whose body has arrived as a whole.
func (s *Server) handle(ctx context.Context, request *app.RequestContext) {
	path := string(request.Path())
	switch {
	case path == wire.PathProbe:
		s.freezer.wait()
		request.SetStatusCode(consts.StatusOK)
	case path == pathRuns && len(request.GetHeader(wire.HeaderSlot)) == 0:
		key := request.Query("key")
		request.JSON(consts.StatusOK, RunCount{Key: key, Runs: s.Runs(key)})
	default:
		s.serveCall(ctx, request)
	}
}

func (s *Server) serveCall(ctx context.Context, request *app.RequestContext) {
	c, reason := s.parse(request)
	if reason == "" {
		reason = s.enter()
	}
	if reason != "" {
		s.refuse(request, reason)
		return
	}
	defer s.leave()
	if reason := s.takeSlot(ctx, c); reason != "" {
		s.refuse(request, reason)
		return
	}
	defer func() { <-s.slots }()
	done, reason := s.execute(ctx, c)
	if reason != "" {
		s.refuse(request, reason)
		return
	}
	done.write(request)
}

// parse reads the headers; a keyed request without slot or token has no owner here.
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
		left, err := strconv.ParseInt(text, 10, 64)
		if err != nil || left <= 0 {
			return nil, wire.RefusedDeadline
		}
		c.deadline = s.clock() + time.Duration(left)*time.Millisecond
	}
	var reason string
	c.upload, reason = parseUpload(request)
	return c, reason
}

// enter admits a request to the queue, which is as long as the connections
// allow beyond the slots.
func (s *Server) enter() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting >= max(s.settings.Connections, s.settings.Slots) {
		return wire.RefusedShedding
	}
	s.waiting++
	s.lastRequest = s.clock()
	return ""
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
}

// takeSlot waits for a free slot until the deadline or the caller's leaving.
func (s *Server) takeSlot(ctx context.Context, c *call) string {
	select { // a free slot goes to the request also when its time is nearly over
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

// execute checks the grant, does the work, and takes effect. Until the effect
// the request counts as not run, so a refusal is the truth.
func (s *Server) execute(ctx context.Context, c *call) (result, string) {
	s.freezer.wait()
	if reason := s.begin(c); reason != "" {
		return result{}, reason
	}
	defer s.end(c)
	c.run.StartNanos = hostNanos()
	c.run.StartedAt = time.Now()
	pause(ctx, s.workTime())
	s.freezer.wait()
	if ctx.Err() != nil {
		return result{}, wire.RefusedDeadline
	}
	return s.takeEffect(c)
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

// takeEffect runs the request for good. The lease and the grant are looked at
// again under the same lock, since both may have ended during the work.
func (s *Server) takeEffect(c *call) (result, string) {
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
		return s.uploadEffect(c)
	}
	return s.run(c), ""
}

// run records one run. The caller holds mu.
func (s *Server) run(c *call) result {
	c.run.Incarnation = s.owned.incarnation
	c.run.EndNanos = hostNanos()
	c.run.EndedAt = time.Now()
	if err := s.history.add(c.run); err != nil {
		s.logger.WithError(err).Error("history file")
	}
	s.answered++
	if c.run.IdempotencyKey != "" {
		s.runs[c.run.IdempotencyKey]++
	}
	return result{status: consts.StatusOK, answer: &Response{
		Server:         s.settings.Name,
		Key:            c.run.Key,
		IdempotencyKey: c.run.IdempotencyKey,
		Count:          s.answered,
		Runs:           s.runs[c.run.IdempotencyKey],
	}}
}

// workTime is longer while the server is cold.
func (s *Server) workTime() time.Duration {
	work := time.Duration(s.settings.WorkMs) * time.Millisecond
	cold := time.Duration(s.settings.ColdMs) * time.Millisecond
	left := cold - s.clock()
	if left <= 0 {
		return work
	}
	return work + time.Duration(float64(work)*(coldFactor-1)*float64(left)/float64(cold))
}

// refuse answers that the request did not run.
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
