package control

import (
	"context"
	"crypto/subtle"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/adaptor"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"gopkg.in/yaml.v3"

	"github.com/galenalug/galenalug/allowance"
	"github.com/galenalug/galenalug/internal/clientconn"
	"github.com/galenalug/galenalug/internal/wire"
)

// Paths of the admin interface.
const (
	pathPlans      = "/galena/v1/plans"      // GET, PUT: YAML
	pathAllowances = "/galena/v1/allowances" // GET, PUT: YAML
	pathStatus     = "/galena/v1/status"     // GET: JSON
	pathDump       = "/dump"                 // GET: JSON
	pathMetrics    = "/metrics"              // GET, unauthenticated
	pathReady      = "/ready"                // GET, unauthenticated
)

// Limits and headers of the admin interface.
const (
	maxListBytes  = 16 << 20
	maxHeadBytes  = 16 << 10
	maxAdminConns = 64          // open connections of operators and scrapers
	readTimeout   = time.Minute // of a whole request
	idleTimeout   = 2 * time.Minute
	changeTimeout = 5 * time.Second
	headerOp      = "Galena-Operator" // operator name, reported to the loser of a conflict
)

// adminServer is the HTTP interface for operators.
type adminServer struct {
	host     *Host
	engine   *server.Hertz
	listener net.Listener
}

func (h *Host) startAdmin() error {
	listener, err := net.Listen("tcp", h.settings.AdminListen)
	if err != nil {
		return errors.Wrap(err, "admin listener")
	}
	guard := clientconn.New(clientconn.Options{Name: "admin", Max: maxAdminConns, Rate: clientconn.DefaultRate, Metrics: h.connections})
	a := &adminServer{host: h, listener: guard.Listen(listener)}
	a.engine = server.New(
		server.WithListener(a.listener),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(maxListBytes),
		server.WithStreamBody(true), // a body is read after the credential was checked
		server.WithMaxHeaderBytes(maxHeadBytes),
		server.WithReadTimeout(readTimeout),
		server.WithIdleTimeout(idleTimeout),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(0),
	)
	a.engine.GET(pathPlans, a.authenticated(a.getPlans))
	a.engine.PUT(pathPlans, a.authenticated(a.putPlans))
	a.engine.GET(pathAllowances, a.authenticated(a.getAllowances))
	a.engine.PUT(pathAllowances, a.authenticated(a.putAllowances))
	a.engine.GET(pathStatus, a.authenticated(a.status))
	a.engine.GET(pathDump, a.authenticated(a.dump))
	a.engine.GET(pathReady, func(_ context.Context, c *app.RequestContext) { c.SetStatusCode(http.StatusOK) })
	if h.options.Registry != nil {
		metrics := promhttp.HandlerFor(h.options.Registry, promhttp.HandlerOpts{})
		a.engine.GET(pathMetrics, adaptor.HertzHandler(metrics))
	}
	h.admin = a
	ctx, cancel := context.WithCancel(context.Background())
	h.done.Go(func() { guard.Watch(ctx) })
	h.done.Go(func() {
		defer cancel()
		if err := a.engine.Run(); err != nil {
			log.WithError(err).Error("admin server failed")
		}
	})
	return nil
}

// stop shuts the server down. Shutdown has no effect on a server that does not serve yet, so stop
// closes the listener first.
func (a *adminServer) stop(ctx context.Context) {
	_ = a.listener.Close()
	if err := a.engine.Shutdown(ctx); err != nil {
		log.WithError(err).Debug("admin server shutdown failed")
	}
}

// authenticated wraps a handler so that requests without the operator secret are rejected.
func (a *adminServer) authenticated(next app.HandlerFunc) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		given := strings.TrimPrefix(string(c.GetHeader("Authorization")), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(given), a.host.options.OperatorSecret) != 1 {
			refuse(c, http.StatusUnauthorized, "unauthorized", "the operators' credential is missing or wrong")
			return
		}
		next(ctx, c)
	}
}

func refuse(c *app.RequestContext, status int, reason, detail string) {
	c.JSON(status, wire.Refusal{Outcome: wire.OutcomeNotRun, Reason: reason, Detail: detail})
}

func (a *adminServer) getPlans(_ context.Context, c *app.RequestContext) {
	state := a.host.global.state
	state.mu.RLock()
	defer state.mu.RUnlock()
	writeYAML(c, state.lists.Plans())
}

func (a *adminServer) getAllowances(_ context.Context, c *app.RequestContext) {
	state := a.host.global.state
	state.mu.RLock()
	defer state.mu.RUnlock()
	writeYAML(c, state.lists.Allowances())
}

func writeYAML(c *app.RequestContext, value any) {
	body, err := yaml.Marshal(value)
	if err != nil {
		refuse(c, http.StatusInternalServerError, "internal", err.Error())
		return
	}
	c.Data(http.StatusOK, "application/yaml", body)
}

func (a *adminServer) putPlans(ctx context.Context, c *app.RequestContext) {
	list, err := allowance.ParsePlans(c.Request.Body())
	if err != nil {
		refuse(c, http.StatusBadRequest, "invalid", err.Error())
		return
	}
	a.change(ctx, c, allowance.Command{Plans: &list})
}

func (a *adminServer) putAllowances(ctx context.Context, c *app.RequestContext) {
	list, err := allowance.ParseAllowances(c.Request.Body())
	if err != nil {
		refuse(c, http.StatusBadRequest, "invalid", err.Error())
		return
	}
	a.change(ctx, c, allowance.Command{Allowances: &list})
}

// change commits a new list and responds with the result. A client may safely retry a change
// whose outcome is unknown.
func (a *adminServer) change(ctx context.Context, c *app.RequestContext, command allowance.Command) {
	command.Operator = string(c.GetHeader(headerOp))
	data, err := encodeLists(command)
	if err != nil {
		refuse(c, http.StatusInternalServerError, "internal", err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	reply, err := a.host.proposeTo(ctx, wire.GroupGlobal, data)
	if err != nil {
		respondUnknown(c, http.StatusServiceUnavailable, "unavailable", err)
		return
	}
	respondToChange(c, reply.Result)
}

// respondToChange responds with the encoded result of a committed change. If the result cannot be
// decoded, the outcome is reported as unknown, because the change may be in force.
func respondToChange(c *app.RequestContext, encoded []byte) {
	var result allowance.Result
	if err := cbor.Unmarshal(encoded, &result); err != nil {
		respondUnknown(c, http.StatusInternalServerError, "internal", err)
		return
	}
	if result.Succeeded() {
		c.JSON(http.StatusOK, result)
		return
	}
	c.JSON(httpStatus(result), listRefusal{
		Refusal: wire.Refusal{Outcome: wire.OutcomeNotRun, Reason: string(result.Outcome), Detail: refusalDetail(result)},
		Result:  result,
	})
}

// respondUnknown responds that it is unknown whether a change is in force.
func respondUnknown(c *app.RequestContext, status int, reason string, err error) {
	c.JSON(status, wire.Refusal{
		Outcome: wire.OutcomeUnknown,
		Reason:  reason,
		Detail:  "the change may or may not be accepted; send it again as it is: " + err.Error(),
	})
}

// listRefusal is the response body of a refused change.
type listRefusal struct {
	wire.Refusal
	Result allowance.Result `json:"result"`
}

// refusalDetail returns a human-readable reason for a refused change.
func refusalDetail(result allowance.Result) string {
	switch {
	case result.Outcome == allowance.OutcomeInvalid:
		return result.Problems.Error()
	case result.Winner == nil:
		return fmt.Sprintf("version %d is in force", result.Version)
	}
	text := fmt.Sprintf("version %d was taken by %s; version %d is in force",
		result.Winner.Version, result.Winner.Operator, result.Version)
	for _, d := range result.Winner.Differences {
		text += fmt.Sprintf("\n%s: theirs %q, yours %q", d.Entry, d.Winner, d.Loser)
	}
	return text
}

// httpStatus returns the HTTP status of a refused change.
func httpStatus(result allowance.Result) int {
	if result.Outcome == allowance.OutcomeInvalid {
		return http.StatusBadRequest
	}
	return http.StatusConflict
}

func (a *adminServer) status(_ context.Context, c *app.RequestContext) {
	c.JSON(http.StatusOK, a.host.status())
}

func (a *adminServer) dump(_ context.Context, c *app.RequestContext) {
	c.JSON(http.StatusOK, a.host.Dump())
}
