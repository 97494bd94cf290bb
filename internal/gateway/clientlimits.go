package gateway

import (
	"context"
	stdlog "log"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenalug/galenalug/internal/clientconn"
	"github.com/galenalug/galenalug/internal/hostlimits"
	"github.com/galenalug/galenalug/internal/membudget"
	"github.com/galenalug/galenalug/internal/settings"
	"github.com/galenalug/galenalug/routes"
)

const (
	// maxReadyConns is the number of connections to the readiness check. A balancer has one or a few.
	maxReadyConns = 16
	// readyStall is how long a connection to the readiness check may be idle or stalled before it gives way. A check
	// takes a round trip, and must be answered also when the clients have opened all connections.
	readyStall = 250 * time.Millisecond
	// readyHeadBytes bounds the head of a readiness check, bytes. net/http adds 4 KiB to it.
	readyHeadBytes = 2 << 10
	// readyTimeout bounds each phase of a readiness check.
	readyTimeout = 3 * time.Second
	// attemptsPerRequest is the number of connections that a request may use at the same time: it may be hedged.
	attemptsPerRequest = 2
	// turnTimeout is how long a request waits for others to end, if there are too many.
	turnTimeout = 100 * time.Millisecond
)

// clientLimits bounds what clients may take of the host.
type clientLimits struct {
	host       hostlimits.Host
	budget     *membudget.Budget
	metrics    *clientconn.Metrics
	guard      *clientconn.Guard
	readyGuard *clientconn.Guard
	running    chan struct{} // as many elements as requests that may have a connection to a server
	checked    uint64        // version of the configuration that was checked; used by the sweep only
}

func newClientLimits(s *settings.GatewaySettings, registry *prometheus.Registry) (*clientLimits, error) {
	host := hostlimits.Read(s.MemoryMb, s.MaxDescriptors)
	budget := membudget.New(host.Budget())
	metrics, err := clientconn.NewMetrics(registry, budget)
	if err != nil {
		return nil, err
	}
	rate := clientconn.RateOf(s.ClientMinBytesPerSecond, s.ClientMinRateSeconds)
	return &clientLimits{
		host: host, budget: budget, metrics: metrics, running: make(chan struct{}, host.Servers()/attemptsPerRequest),
		guard: clientconn.New(clientconn.Options{
			Name: "clients", Max: host.Clients(), Rate: rate, Metrics: metrics,
		}),
		readyGuard: clientconn.New(clientconn.Options{
			Name: "ready", Max: maxReadyConns, Rate: rate, Stall: readyStall, Metrics: metrics,
		}),
	}, nil
}

// place is a request's place among those in progress. The zero value holds none. It is not safe for concurrent use.
type place struct {
	limits *clientLimits // nil while no place is held
	conn   *clientconn.Conn
}

// take takes a place for a request of the client, and reports whether there was one.
func (p *place) take(ctx context.Context, limits *clientLimits, client *clientconn.Conn) bool {
	if !limits.startRequest(ctx) {
		return false
	}
	p.limits, p.conn = limits, client
	client.AddAtServer(1)
	return true
}

// giveBack gives the place back, if one is held.
func (p *place) giveBack() {
	if p.limits == nil {
		return
	}
	p.conn.AddAtServer(-1)
	<-p.limits.running
	p.limits = nil
}

// startRequest reports whether another request may be sent to servers. If there are too many, those of stalled clients
// give way. The caller receives from running when the request ends.
func (l *clientLimits) startRequest(ctx context.Context) bool {
	select {
	case l.running <- struct{}{}:
		return true
	default:
	}
	l.guard.Relieve()
	timer := time.NewTimer(turnTimeout)
	defer timer.Stop()
	select {
	case l.running <- struct{}{}:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// ClientMetrics returns the metrics of the clients' connections, to which those of other listeners are added.
func (h *Host) ClientMetrics() *clientconn.Metrics { return h.clients.metrics }

// newReadyServer returns the server of the readiness check.
func newReadyServer(serve http.HandlerFunc, errorLog *stdlog.Logger) *http.Server {
	return &http.Server{
		Handler: serve, ErrorLog: errorLog, ConnContext: clientconn.WithConn,
		ReadHeaderTimeout: readyTimeout, ReadTimeout: readyTimeout, WriteTimeout: readyTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: readyHeadBytes,
	}
}

// refuseBody closes the connection of a request with a body after the response. The body is not read.
func refuseBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		w.Header().Set("Connection", "close")
		clientconn.From(r.Context()).StopReading()
	}
}

// checkLimits logs a warning for each limit of a new configuration that this host can't bear.
func (h *Host) checkLimits() {
	table, _, _ := h.view.snapshot(clockNow())
	if table == nil || table.Version() == h.clients.checked {
		return
	}
	h.clients.checked = table.Version()
	for _, warning := range h.clients.host.Check(configLimits(table.Limits())...) {
		log.WithField("version", table.Version()).Warn(warning)
	}
}

// configLimits returns the limits of a configuration, and the memory of one request at each.
func configLimits(l routes.Limits) []hostlimits.Limit {
	buffered := min(l.BodyBytes, maxBufferedBody) // the rest of a body is streamed
	return []hostlimits.Limit{
		{Name: "maxHeaderBytes", Value: l.HeaderBytes, Bytes: headMemory(l.HeaderBytes, l.HeaderBytes/minFieldBytes)},
		{Name: "maxBodyBytes", Value: l.BodyBytes, Bytes: buffered},
	}
}
