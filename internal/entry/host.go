package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/panjf2000/ants/v2"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenalug/galenalug/internal/bodybuffer"
	"github.com/galenalug/galenalug/internal/forward"
	"github.com/galenalug/galenalug/internal/settings"
	"github.com/galenalug/galenalug/internal/wire"
)

// sweepInterval is the interval at which unused gates, chooser states and connections are dropped.
const sweepInterval = 5 * time.Second

// Host is an entry host.
//
// Lock order: gates.mu before gate.mu; budgets.mu before randomMu. No other two locks of this package
// are held together.
type Host struct {
	settings       *settings.EntrySettings
	config         hostConfig
	table          Table
	runs           RunLedger
	limits         Limits
	sessions       Sessions
	observer       Observer
	serverSecret   string
	operatorSecret string
	logger         log.Interface
	registry       *prometheus.Registry
	metrics        *metrics
	sender         forward.Sender
	choosers       *choosers
	hasTables      func() bool
	dumpOther      func() any

	origin   time.Time // when the host was created; now and sinceOrigin count from it
	idPrefix string
	lastID   atomic.Uint64
	gates    *gates
	link     *regionLink
	budgets  *budgets
	randomMu sync.Mutex // guards random
	random   *rand.Rand
	probing  sync.Map // sessionKey of each server being probed

	workerPool      *ants.Pool
	backgroundPool  *ants.Pool
	backgroundTasks sync.WaitGroup // run records being finished, and probes
	inFlight        atomic.Int64
	ownerWaiters    atomic.Int64

	stopping     atomic.Bool
	stopOnce     sync.Once
	stopStarted  chan struct{} // closed when the shutdown starts
	stopFinished chan struct{} // closed when the shutdown has finished

	callerServer, adminServer     *server.Hertz
	callerListener, adminListener net.Listener
	callers                       *callerLimits
}

// New returns a host that listens on its addresses. Run starts serving.
func New(options Options) (*Host, error) {
	if err := options.check(); err != nil {
		return nil, err
	}
	lowerHertzLogLevel()
	h := newHost(options)
	var err error
	if h.metrics, err = newMetrics(options.Registry, h); err != nil {
		return nil, errors.Wrap(err, "entry: metrics")
	}
	if h.callers, err = newCallerLimits(options.Settings, h.config, options.Registry, h.logger); err != nil {
		return nil, errors.Wrap(err, "entry: metrics")
	}
	if client, ok := h.sender.(*forward.Client); ok {
		client.UseBuffers(bodybuffer.NewPoolOf(h.callers.budget))
	}
	if h.workerPool, err = ants.NewPool(h.config.workers, ants.WithNonblocking(true)); err != nil {
		return nil, errors.Wrap(err, "entry: worker pool")
	}
	if h.backgroundPool, err = ants.NewPool(maxBackgroundTasks, ants.WithNonblocking(true)); err != nil {
		return nil, errors.Wrap(err, "entry: background pool")
	}
	if err := h.listen(); err != nil {
		return nil, err
	}
	return h, nil
}

// lowerHertzLogLevel keeps hertz from logging every start and stop. The level is global, so it is set
// once per process.
var lowerHertzLogLevel = sync.OnceFunc(func() { hlog.SetLevel(hlog.LevelWarn) })

func newHost(options Options) *Host {
	h := &Host{
		settings:       options.Settings,
		config:         newHostConfig(options.Settings),
		table:          options.Table,
		runs:           options.RunLedger,
		limits:         options.Limits,
		sessions:       options.Sessions,
		observer:       options.Observer,
		serverSecret:   options.ServerSecret,
		operatorSecret: options.OperatorSecret,
		logger:         options.Logger,
		registry:       options.Registry,
		sender:         options.Sender,
		choosers:       newChoosers(options.Settings.Region, rand.New(rand.NewPCG(options.Seed, 2))),
		hasTables:      options.HasTables,
		dumpOther:      options.Dump,
		origin:         time.Now(),
		budgets:        newBudgets(),
		random:         rand.New(rand.NewPCG(options.Seed, 1)),
		stopStarted:    make(chan struct{}),
		stopFinished:   make(chan struct{}),
	}
	h.idPrefix = h.settings.Name + "-" + strconv.FormatInt(h.origin.UnixMilli(), 36) + "-"
	h.link = newRegionLink(h.now, h.config.linkBytesPerSecond)
	h.gates = newGates(h.now, h.config.queueLength)
	if h.sender == nil {
		h.sender = forward.NewClient(nil)
	}
	return h
}

func (h *Host) now() time.Duration { return time.Since(h.origin) }

func (h *Host) sinceOrigin(t time.Time) time.Duration { return t.Sub(h.origin) }

func (h *Host) nextRequestID() string {
	return h.idPrefix + strconv.FormatUint(h.lastID.Add(1), 36)
}

func (h *Host) listen() error {
	var err error
	if h.callerListener, err = net.Listen("tcp", h.settings.Listen); err != nil {
		return errors.Wrap(err, "entry: listen for callers")
	}
	if h.adminListener, err = net.Listen("tcp", h.settings.AdminListen); err != nil {
		_ = h.callerListener.Close()
		return errors.Wrap(err, "entry: listen for operators")
	}
	h.callerListener = h.callers.guard.Listen(h.callerListener)
	h.adminListener = h.callers.adminGuard.Listen(h.adminListener)
	h.callerServer = h.newCallerServer()
	h.adminServer = h.newAdminServer()
	return nil
}

// newCallerServer returns the server for callers and backend servers. It streams bodies, and closes
// connections that make no progress. Its transport reads no more than is asked for, unlike the other one of hertz, which
// holds in memory all that a client sends.
func (h *Host) newCallerServer() *server.Hertz {
	engine := server.New(
		server.WithListener(h.callerListener),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxHeaderBytes(maxHeadBytes),
		server.WithStreamBody(true),
		server.WithDisablePreParseMultipartForm(true),
		server.WithMaxRequestBodySize(h.config.maxUploadBytes),
		server.WithReadTimeout(h.config.uploadIdleTimeout),
		server.WithExitWaitTime(h.config.drainPeriod),
		server.WithRedirectTrailingSlash(false),
		server.WithDisablePrintRoute(true),
		server.WithDisableDefaultContentType(true),
	)
	engine.POST(wire.PathAnnounce, h.handleAnnounce)
	engine.GET(wire.PathGrants, h.handleGrants)
	engine.Any(wire.PathServices+":service/*path", h.handleRequest)
	engine.NoRoute(h.handleNoRoute)
	return engine
}

func (h *Host) newAdminServer() *server.Hertz {
	engine := server.New(
		server.WithListener(h.adminListener),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxHeaderBytes(maxHeadBytes),
		server.WithMaxRequestBodySize(maxAdminBodyBytes),
		server.WithReadTimeout(adminReadTimeout),
		server.WithIdleTimeout(adminIdleTimeout),
		server.WithExitWaitTime(time.Second),
		server.WithDisablePrintRoute(true),
	)
	engine.GET("/ready", h.handleReady)
	engine.GET("/metrics", h.handleMetrics)
	engine.GET("/dump", h.handleDump)
	return engine
}

// Addr returns the address that serves callers and backend servers.
func (h *Host) Addr() string { return h.callerListener.Addr().String() }

// AdminAddr returns the address that serves operators.
func (h *Host) AdminAddr() string { return h.adminListener.Addr().String() }

// Run serves until Stop has finished. It returns an error if serving fails before Stop is called.
func (h *Host) Run() error {
	failed := make(chan error, 2)
	go func() { failed <- h.callerServer.Run() }()
	go func() { failed <- h.adminServer.Run() }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go h.callers.guard.Watch(ctx)
	go h.callers.adminGuard.Watch(ctx)
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-h.stopFinished:
			return nil
		case err := <-failed:
			if err != nil && !h.stopping.Load() {
				return errors.Wrap(err, "entry: serve")
			}
		case <-ticker.C:
			h.sweep()
		}
	}
}

func (h *Host) sweep() {
	h.gates.sweep()
	for _, service := range h.choosers.services() {
		h.choosers.retainServers(service, h.table.Servers(service))
	}
	if client, ok := h.sender.(*forward.Client); ok {
		client.Prune(func(target forward.Target) bool { return h.gates.has(target.Group, target.Session) })
	}
}
