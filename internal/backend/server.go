// Package backend implements a backend server for tests and the demo. It announces itself to the
// entry hosts, holds slot grants under a lease and, if configured, checks fencing tokens. It supports
// draining, cold starts, load shedding, cancellation and deadlines, and simulates the processing of
// requests by a delay.
package backend

import (
	"context"
	"crypto/rand"
	"net"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cloudwego/hertz/pkg/app/client"
	hertz "github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/settings"
)

const (
	maxBodyBytes      = 256 << 20
	idleTimeout       = 60 * time.Second
	shutdownTimeout   = time.Second // for open connections to close after all requests ended
	drainPollInterval = 10 * time.Millisecond
	// unkeyedDrainIdle is how long a draining server of a service without keys must be idle before it
	// stops. It has no grants whose release would show that entry hosts send it no more requests.
	unkeyedDrainIdle = 1 * time.Second
)

// Options holds the settings, and what a test may override.
type Options struct {
	Settings   settings.BackendSettings
	Secret     []byte
	Logger     log.Interface        // default: log.Log
	Clock      func() time.Duration // monotonic; default: time since New
	MaxLoadAge time.Duration        // announcements may report a load sampled up to this long ago
}

// Server is a backend server.
type Server struct {
	options    Options
	settings   settings.BackendSettings
	logger     log.Interface
	clock      func() time.Duration
	listener   *limitListener
	engine     *hertz.Hertz
	client     *client.Client
	history    *history
	freezeGate freezeGate
	slots      chan struct{} // semaphore of executing requests
	cancel     context.CancelFunc
	ctx        context.Context
	loops      sync.WaitGroup

	// mu guards the fields below.
	mu                sync.Mutex
	owned             *ownership
	draining          bool
	drainAcknowledged bool // an entry host answered an announcement that says draining
	inFlight          int  // requests that wait for a slot or execute
	lastRequest       time.Duration
	reportedLoad      int
	loadSampledAt     time.Duration
	runs              map[string]int // runs by idempotency key
	answered          int
	refused           map[string]int // refusals by reason
	uploads           *uploads
}

// New listens on the configured address. Announcements and requests are processed after Start.
func New(options Options) (*Server, error) {
	s := &Server{
		options:  options,
		settings: options.Settings,
		logger:   options.Logger,
		clock:    options.Clock,
		slots:    make(chan struct{}, options.Settings.Slots),
		owned:    newOwnership(rand.Text()),
		runs:     map[string]int{},
		refused:  map[string]int{},
		uploads:  newUploads(),
	}
	if s.logger == nil {
		s.logger = log.Log
	}
	if s.clock == nil {
		start := time.Now()
		s.clock = func() time.Duration { return time.Since(start) }
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	var err error
	if s.client, err = newClient(); err != nil {
		return nil, err
	}
	if s.history, err = openHistory(stringOrEmpty(s.settings.HistoryFile)); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", s.settings.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen for requests")
	}
	s.listener = &limitListener{Listener: listener, limit: int64(s.settings.Connections)}
	s.engine = s.newEngine()
	return s, nil
}

func stringOrEmpty(text *string) string {
	if text == nil {
		return ""
	}
	return *text
}

func newClient() (*client.Client, error) {
	c, err := client.NewClient(client.WithDialer(standard.NewDialer()), client.WithDialTimeout(dialTimeout))
	return c, errors.Wrap(err, "create HTTP client")
}

func (s *Server) newEngine() *hertz.Hertz {
	engine := hertz.New(
		hertz.WithListener(s.listener),
		hertz.WithTransport(standard.NewTransporter),
		hertz.WithSenseClientDisconnection(true),
		hertz.WithDisablePrintRoute(true),
		hertz.WithDisableDefaultDate(true),
		hertz.WithIdleTimeout(idleTimeout),
		hertz.WithMaxRequestBodySize(maxBodyBytes),
		hertz.WithExitWaitTime(shutdownTimeout),
	)
	engine.Any("/*path", s.handle)
	return engine
}

// Address returns the IP:port that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Start serves requests and announces the server in the background.
func (s *Server) Start() error {
	s.loops.Add(2)
	go func() {
		defer s.loops.Done()
		s.announceLoop(s.ctx)
	}()
	go func() {
		defer s.loops.Done()
		s.grantsLoop(s.ctx)
	}()
	go func() {
		if err := s.engine.Run(); err != nil {
			s.logger.WithError(err).Error("request listener failed")
		}
	}()
	return nil
}

// Stop drains the server: it announces that it is draining and serves requests until all grants are
// released and all requests have ended, or until the context ends.
func (s *Server) Stop(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.lastRequest = s.clock()
	s.mu.Unlock()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for !s.drained() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			s.Close()
			return errors.Wrap(ctx.Err(), "drain")
		}
	}
	s.Close()
	return nil
}

func (s *Server) drained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.drainAcknowledged || s.inFlight > 0 {
		return false
	}
	if s.settings.Keyed {
		return s.owned.empty()
	}
	return s.clock()-s.lastRequest >= unkeyedDrainIdle
}

// Close stops at once, without draining.
func (s *Server) Close() {
	s.cancel()
	s.freezeGate.unfreeze()
	// Shutdown waits until pending responses are written. It fails if Start was not called.
	_ = s.engine.Shutdown(context.Background())
	_ = s.listener.Close()
	s.loops.Wait()
	s.client.CloseIdleConnections()
	if err := s.history.close(); err != nil {
		s.logger.WithError(err).Error("closing the history file failed")
	}
}

// Freeze suspends announcements, grant updates and requests, as if the process were stopped by
// SIGSTOP. The clock continues.
func (s *Server) Freeze() { s.freezeGate.freeze() }

// Unfreeze resumes a frozen server.
func (s *Server) Unfreeze() { s.freezeGate.unfreeze() }

// Runs returns the number of runs with an idempotency key.
func (s *Server) Runs(idempotencyKey string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[idempotencyKey]
}

// State is the server's state dump.
type State struct {
	Name         string         `json:"name"`
	Address      string         `json:"address"`
	Incarnation  string         `json:"incarnation"`
	Session      uint64         `json:"session"`
	LeaseLeft    string         `json:"lease_left"`
	Version      uint64         `json:"grants_version"`
	Held         int            `json:"held"`
	Releasing    int            `json:"releasing"`
	Draining     bool           `json:"draining"`
	Load         int            `json:"load"`
	Answered     int            `json:"answered"`
	Refused      map[string]int `json:"refused"`
	DistinctRuns int            `json:"distinct_runs"`
}

// Dump returns the state.
func (s *Server) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	refused := make(map[string]int, len(s.refused))
	for reason, count := range s.refused {
		refused[reason] = count
	}
	return State{
		Name:         s.settings.Name,
		Address:      s.Address(),
		Incarnation:  s.owned.incarnation,
		Session:      s.owned.session,
		LeaseLeft:    max(0, s.owned.leaseEnd-s.clock()).String(),
		Version:      s.owned.version,
		Held:         len(s.owned.held),
		Releasing:    len(s.owned.releasing),
		Draining:     s.draining,
		Load:         s.inFlight,
		Answered:     s.answered,
		Refused:      refused,
		DistinctRuns: len(s.runs),
	}
}

// freezeGate blocks callers of wait while frozen. The zero value is not frozen.
type freezeGate struct {
	mu     sync.Mutex
	frozen chan struct{} // closed by unfreeze; nil when not frozen
}

func (f *freezeGate) freeze() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.frozen == nil {
		f.frozen = make(chan struct{})
	}
}

func (f *freezeGate) unfreeze() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.frozen != nil {
		close(f.frozen)
		f.frozen = nil
	}
}

func (f *freezeGate) wait() {
	f.mu.Lock()
	frozen := f.frozen
	f.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}
