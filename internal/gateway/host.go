package gateway

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenalug/galenalug/dispatch"
	"github.com/galenalug/galenalug/internal/bodybuffer"
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
	// headerTimeout bounds the time to receive a request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a client's connection may be idle. It is longer than any idle
	// limit that clients are told, so that a client closes an idle connection before the gateway
	// does.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the size of a request's header.
	maxHeaderBytes = 64 << 10
	// maxDisconnectedTime is how long a gateway without a connection to a control host still passes
	// the balancer check. It is longer than an election and shorter than a lease.
	maxDisconnectedTime = 2500 * time.Millisecond
	// sweepInterval is the interval between sweeps of the backend connections.
	sweepInterval = time.Second
)

// Options are the parameters of New.
type Options struct {
	Settings *settings.GatewaySettings
	Secret   []byte // shared secret of the peers; empty on an open network
	Dialect  Dialect
	Registry *prometheus.Registry
	Events   io.Writer // destination of the decision log; default: standard output
}

// Host is an entry host that runs as a gateway.
type Host struct {
	settings    *settings.GatewaySettings
	dialect     Dialect
	view        *view
	leaderLink  *leaderLink
	backends    *backends
	regionLinks *regionLinks // for large requests to other regions
	// responseLinks bounds large responses from other regions.
	responseLinks *regionLinks
	responseSizes *responseSizes
	evidence      *crashEvidence
	admission     *admission // nil unless the settings ask for planned admission
	slots         slotClient
	linkDelay     *linkDelay
	metrics       *metrics
	events        *eventlog.Log
	server        *http.Server
	listener      net.Listener // of server
	clientConns   *clientConns
	pipelining    *pipelining
	readyServer   *http.Server
	clients       *clientLimits
	stopping      atomic.Bool     // the balancer check fails, and clients are asked to leave
	stopEnd       atomic.Int64    // when requests in flight are given up, on clock.Now; 0 unless stopping
	givingUp      context.Context // ends at stopEnd
	giveUp        context.CancelFunc
	draining      atomic.Bool // new requests are refused
	cancel        context.CancelFunc
	done          sync.WaitGroup

	// mu guards the fields below. No other lock is acquired while it is held.
	mu            sync.Mutex
	picker        routes.Picker
	retryLimiters map[string]*retry.WindowLimiter // by service
	keyCounts     keyCounts                       // for the load report
	seeds         []string
}

// New creates a gateway. It serves no requests before Start.
func New(o Options) (*Host, error) {
	m, err := newMetrics(o.Registry)
	if err != nil {
		return nil, err
	}
	if o.Events == nil {
		o.Events = os.Stdout
	}
	clients, err := newClientLimits(o.Settings, o.Registry)
	if err != nil {
		return nil, err
	}
	v := newView(clock.Milliseconds(o.Settings.DrainMs))
	h := &Host{
		settings: o.Settings,
		clients:  clients,
		dialect:  o.Dialect,
		view:     v,
		backends: newBackends(backendOptions{
			notices: m.notices, digestBytes: m.digestBytes, buffers: bodybuffer.NewPoolOf(clients.budget), maxConns: clients.host.Servers(),
			warmup: &warmupContext{view: v, regions: countRegions(o.Settings), requests: m.coldRequests},
		}),
		regionLinks:   newRegionLinks(m.links, requestsOut),
		responseLinks: newRegionLinks(m.links, responsesIn),
		responseSizes: newResponseSizes(),
		evidence:      newCrashEvidence(),
		linkDelay:     &linkDelay{},
		clientConns:   newClientConns(),
		metrics:       m,
		events:        eventlog.New(o.Events, o.Settings.Name),
		retryLimiters: map[string]*retry.WindowLimiter{},
		seeds:         fleet.SeedAddresses(o.Settings.Seeds, o.Settings.PeerPort),
	}
	h.backends.onCrash, h.backends.byWork = h.reportCrash, h.byWork()
	if o.Settings.ShareCapacity {
		h.admission = &admission{}
	}
	h.backends.warmup.wake = h.wantTokens
	h.pipelining = newPipelining(h, o.Settings.PipelineDepth)
	h.clientConns.ahead = &h.pipelining.running
	h.givingUp, h.giveUp = context.WithCancel(context.Background())
	if err := m.registerGauges(o.Registry, h.view, h.linkDelay, h.backends); err != nil {
		return nil, err
	}
	h.leaderLink = &leaderLink{
		self:         peer.Identity{Name: o.Settings.Name, Role: peer.RoleEntry},
		secret:       o.Secret,
		metrics:      peer.NewMetrics(o.Registry),
		seeds:        h.currentSeeds,
		view:         h.view,
		report:       h.takeLoadReport,
		onDisconnect: m.disconnects.Inc,
		backends:     h.backends,
		tokensWanted: make(chan struct{}, 1),
		evidence:     h.evidence,
		admission:    h.admission,
		delay:        h.linkDelay,
	}
	h.slots.leader, h.leaderLink.slots = h.leaderLink.notifier, &h.slots
	discardLog := stdlog.New(io.Discard, "", 0) // net/http would log errors that clients cause
	h.server = &http.Server{
		Handler:           http.HandlerFunc(h.serve),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         h.clientConns.setState,
		ConnContext:       withClientConn,
		ErrorLog:          discardLog,
	}
	h.readyServer = newReadyServer(h.serveReady, discardLog)
	return h, nil
}

// Start opens the listeners and serves in the background.
func (h *Host) Start() error {
	listener, err := net.Listen("tcp", h.settings.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for clients")
	}
	readyListener, err := net.Listen("tcp", h.settings.ReadyListen)
	if err != nil {
		_ = listener.Close() // no connection was accepted
		return errors.Wrap(err, "listen for the balancer check")
	}
	log.WithField("host", h.settings.Name).Info("gateway starting")
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel, h.listener = cancel, listener
	h.done.Go(func() { h.leaderLink.run(ctx) })
	h.done.Go(func() { h.sweep(ctx) })
	clients := h.clients.guard.Listen(listener)
	if h.pipelining.depth > 0 {
		clients = &pipelineListener{Listener: clients, shared: h.pipelining}
	}
	h.done.Go(func() { serveUntilClosed(h.server, clients) })
	h.done.Go(func() { serveUntilClosed(h.readyServer, h.clients.readyGuard.Listen(readyListener)) })
	h.done.Go(func() { h.clients.guard.Watch(ctx) })
	h.done.Go(func() { h.clients.readyGuard.Watch(ctx) })
	return nil
}

func serveUntilClosed(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		log.WithError(err).Error("listener failed")
	}
}

// serveReady responds to the balancer check.
func (h *Host) serveReady(w http.ResponseWriter, r *http.Request) {
	refuseBody(w, r)
	now := clockNow()
	disconnected := h.leaderLink.disconnectedFor(now) > maxDisconnectedTime
	if h.stopping.Load() || disconnected || !h.view.ready() || !h.view.mayUseConfig(now) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (h *Host) sweep(ctx context.Context) {
	var left leftServices
	for ctx.Err() == nil {
		clock.Sleep(ctx, sweepInterval)
		h.backends.sweep(clockNow(), h.view.has)
		h.checkLimits()
		h.dropLeftServices(clockNow(), &left)
		h.admission.forget(clockNow())
	}
}

// SetSeeds replaces the control hosts that the settings list as seeds.
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

func (h *Host) pickService(version uint64, route *routes.Route) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.picker.Pick(version, route)
}

// available returns the servers that may get requests, those that are about to stop only if there are
// no others.
func (h *Host) available(now time.Duration, servers []keyrange.Server) []keyrange.Server {
	servers = slices.DeleteFunc(servers, func(s keyrange.Server) bool { return h.unavailable(now, s) })
	return h.staying(now, servers)
}

// unavailable reports whether a server gets no requests now.
func (h *Host) unavailable(now time.Duration, s keyrange.Server) bool {
	b := h.backends.get(s)
	return b.unavailable(now) || h.hasLeft(h.arrivalTime(now), b)
}

// countRegions returns the number of regions with failure domains.
func countRegions(s *settings.GatewaySettings) int {
	regions := map[string]bool{}
	for _, region := range s.Domains {
		regions[region] = true
	}
	return max(len(regions), 1)
}

// distance returns the distance to a failure domain.
func (h *Host) distance(domain string) dispatch.Distance {
	switch {
	case domain == h.settings.Domain:
		return dispatch.SameDomain
	case h.settings.Domains[domain] == h.settings.Domains[h.settings.Domain]:
		return dispatch.SameRegion
	}
	return dispatch.OtherRegion
}

// stateDump is the gateway's state as the admin endpoint returns it.
type stateDump struct {
	trace.Dump
	View     Stamp    `json:"view"`
	Controls []string `json:"controls"`

	Cold []coldServer `json:"cold,omitempty"` // servers that are cold, or may be
}

// Dump returns the gateway's state for the admin endpoint.
func (h *Host) Dump() any {
	now := clockNow()
	_, stamp, _ := h.view.snapshot(now)
	return stateDump{
		Dump: trace.Dump{
			Host: h.settings.Name, Versions: h.view.versions.All(), Evacuations: h.view.evacuationTrace.All(), Owners: h.view.dumpOwners(now),
		},
		View:     stamp,
		Controls: h.view.controlAddresses(),
		Cold:     h.backends.coldServers(now),
	}
}
