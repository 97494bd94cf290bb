package gateway

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenalug/galenalug/dispatch"
	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/eventlog"
	"github.com/galenalug/galenalug/internal/fleet"
	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/settings"
	"github.com/galenalug/galenalug/internal/trace"
	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/retry"
	"github.com/galenalug/galenalug/routes"
)

const (
	// headerTimeout bounds the arrival of a request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a client's connection may be idle: above any limit
	// that clients are told, since they decide by theirs when to stop using it.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 64 << 10
	// cutOffAfter is how long a gateway without a control host still takes new
	// connections: longer than an election, shorter than a lease.
	cutOffAfter = 2500 * time.Millisecond
	// unreadyTime is how long a stopping gateway still takes connections: the
	// balancer asks each second and takes a host out after two misses.
	unreadyTime = 2300 * time.Millisecond
	// stopReserve is the part of the stop's time that is left for its end.
	stopReserve = 900 * time.Millisecond
	// retryPart is the part of the retry budget that is used: requests arrive at
	// servers a little after they were counted.
	retryPart = 0.85
	// slackPart is the part of a gateway's share of the slack that it uses: the
	// number of gateways that it knows may be too small for a while.
	slackPart = 0.5
	// sweepInterval is the time between two looks for unused connections.
	sweepInterval = time.Second
)

// Options of a Host.
type Options struct {
	Settings *settings.GatewaySettings
	Secret   []byte // of peers; empty on an open network
	Dialect  Dialect
	Registry *prometheus.Registry
	Events   io.Writer // where lines about requests go; default: standard output
}

// Host is one gateway.
type Host struct {
	settings *settings.GatewaySettings
	dialect  Dialect
	view     *view
	link     *link
	backends *backends
	metrics  *metrics
	events   *eventlog.Log
	server   *http.Server
	clients  *clients
	ready    *http.Server
	stopping atomic.Bool
	cancel   context.CancelFunc
	done     sync.WaitGroup

	// mu guards the fields below. It is a leaf.
	mu      sync.Mutex
	picker  routes.Picker
	windows map[string]*retry.WindowLimiter // by service
	keys    map[string]map[int64]int64      // requests by service and key, for the load report
	seeds   []string
}

// New makes a gateway. Start starts it.
func New(o Options) (*Host, error) {
	m, err := newMetrics(o.Registry)
	if err != nil {
		return nil, err
	}
	if o.Events == nil {
		o.Events = os.Stdout
	}
	h := &Host{
		settings: o.Settings,
		dialect:  o.Dialect,
		view:     newView(clock.Milliseconds(o.Settings.DrainMs)),
		backends: newBackends(),
		clients:  newClients(),
		metrics:  m,
		events:   eventlog.New(o.Events, o.Settings.Name),
		windows:  map[string]*retry.WindowLimiter{},
		keys:     map[string]map[int64]int64{},
		seeds:    fleet.SeedAddresses(o.Settings.Seeds, o.Settings.PeerPort),
	}
	if err := m.watch(o.Registry, h.view); err != nil {
		return nil, err
	}
	h.link = &link{
		self:    peer.Identity{Name: o.Settings.Name, Role: peer.RoleEntry},
		secret:  o.Secret,
		metrics: peer.NewMetrics(o.Registry),
		seeds:   h.currentSeeds,
		view:    h.view,
		report:  h.takeReport,
		onLost:  m.lost.Inc,
	}
	quiet := stdlog.New(io.Discard, "", 0) // net/http reports clients' faults there
	h.server = &http.Server{
		Handler:           http.HandlerFunc(h.serve),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         h.clients.note,
		ErrorLog:          quiet,
	}
	h.ready = &http.Server{
		Handler: http.HandlerFunc(h.serveReady), ReadHeaderTimeout: headerTimeout, ErrorLog: quiet,
	}
	return h, nil
}

// Start listens and serves in the background.
func (h *Host) Start() error {
	listener, err := net.Listen("tcp", h.settings.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for clients")
	}
	readyListener, err := net.Listen("tcp", h.settings.ReadyListen)
	if err != nil {
		_ = listener.Close() // nobody was served
		return errors.Wrap(err, "listen for the balancer check")
	}
	log.WithField("host", h.settings.Name).Info("gateway starts")
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.done.Go(func() { h.link.run(ctx) })
	h.done.Go(func() { h.sweep(ctx) })
	h.done.Go(func() { serveUntilClosed(h.server, listener) })
	h.done.Go(func() { serveUntilClosed(h.ready, readyListener) })
	return nil
}

func serveUntilClosed(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		log.WithError(err).Error("listener ended")
	}
}

// Stop fails the balancer check, serves until new connections go elsewhere, and
// finishes the requests under way.
func (h *Host) Stop(ctx context.Context) error {
	log.WithField("host", h.settings.Name).Info("gateway stops")
	h.stopping.Store(true)
	total := clock.Seconds(h.settings.StopSeconds)
	ctx, cancel := context.WithTimeout(ctx, total-stopReserve)
	defer cancel()
	wait(ctx, min(unreadyTime, total/2))
	h.clients.awaitRead(ctx)
	err := h.server.Shutdown(ctx)
	h.cancel()
	_ = h.ready.Close() // the balancer asks elsewhere by now
	h.done.Wait()
	h.events.Close()
	return errors.Wrap(err, "finish requests under way")
}

// serveReady answers the balancer check.
func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	cutOff := h.link.lostFor(clockNow()) > cutOffAfter
	if h.stopping.Load() || cutOff || !h.view.complete() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (h *Host) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		wait(ctx, sweepInterval)
		h.backends.sweep(h.view.has)
	}
}

// SetSeeds replaces the control hosts that the settings name.
func (h *Host) SetSeeds(seeds []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seeds = fleet.SeedAddresses(seeds, h.settings.PeerPort)
}

func (h *Host) currentSeeds() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.seeds...)
}

func (h *Host) pick(version uint64, route *routes.Route) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.picker.Pick(version, route)
}

func (h *Host) countRequest(service string, key int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.window(service).RecordRequest(clockNow())
	if key == NoKey {
		return
	}
	if h.keys[service] == nil {
		h.keys[service] = map[int64]int64{}
	}
	h.keys[service][key]++
}

// spendRetry takes one repeat from the service's budget.
func (h *Host) spendRetry(service string) bool {
	slack := slackPart * h.settings.RetrySlack / float64(h.view.gateways())
	h.mu.Lock()
	defer h.mu.Unlock()
	allowed := h.window(service).AllowRetry(clockNow(), slack)
	h.metrics.repeats.WithLabelValues(strconv.FormatBool(allowed)).Inc()
	return allowed
}

// window is called with the lock held.
func (h *Host) window(service string) *retry.WindowLimiter {
	w := h.windows[service]
	if w == nil {
		w = retry.NewWindowLimiter(retryPart*h.settings.RetryRatio, clock.Seconds(h.settings.RetryWindowSeconds))
		h.windows[service] = w
	}
	return w
}

// takeReport returns the load since the last call.
func (h *Host) takeReport() keyrange.LoadReport {
	report := keyrange.LoadReport{Servers: h.backends.observations()}
	h.mu.Lock()
	defer h.mu.Unlock()
	for service, keys := range h.keys {
		part := keyrange.ServiceLoad{Service: service}
		for key, count := range keys {
			part.Keys = append(part.Keys, keyrange.KeyLoad{Key: key, Count: count})
		}
		report.Services = append(report.Services, part)
	}
	h.keys = map[string]map[int64]int64{}
	return report
}

// present returns the servers that are not known to be gone.
func (h *Host) present(now time.Duration, servers []keyrange.Server) []keyrange.Server {
	return slices.DeleteFunc(servers, func(s keyrange.Server) bool { return h.backends.of(s).absent(now) })
}

// distance returns how far a failure domain is.
func (h *Host) distance(domain string) dispatch.Distance {
	switch {
	case domain == h.settings.Domain:
		return dispatch.SameDomain
	case h.settings.Domains[domain] == h.settings.Domains[h.settings.Domain]:
		return dispatch.SameRegion
	}
	return dispatch.OtherRegion
}

// stateDump is the gateway's state.
type stateDump struct {
	trace.Dump
	View     Stamp    `json:"view"`
	Controls []string `json:"controls"`
}

// Dump returns the gateway's state.
func (h *Host) Dump() any {
	now := clockNow()
	_, stamp, _ := h.view.snapshot(now)
	return stateDump{
		Dump: trace.Dump{
			Host: h.settings.Name, Versions: h.view.versions.All(), Owners: h.view.ownersKnown(now),
		},
		View:     stamp,
		Controls: h.view.contacts(),
	}
}
