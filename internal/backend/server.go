// Package backend is the stand-in backend server of the tests and the demo. It
// announces itself to the entry hosts, holds grants of slots under a lease,
// checks fencing tokens if told to, and drains, starts cold, sheds load, and
// accepts cancellation and deadlines.
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
	maxBodyBytes = 256 << 20
	idleTimeout  = 60 * time.Second
	exitWait     = time.Second           // for open connections, after the requests ended
	drainPoll    = 10 * time.Millisecond // between two looks at what a drain waits for
	unkeyedQuiet = 1 * time.Second       // without a request, after which an undivided service's server may stop
)

// Options are what a test may set beyond the settings.
type Options struct {
	Settings settings.BackendSettings
	Secret   []byte
	Logger   log.Interface        // default: log.Log
	Clock    func() time.Duration // monotonic; default: time since New
	LoadLag  time.Duration        // age that the reported load may reach
}

// Server is one stand-in backend server.
type Server struct {
	options  Options
	settings settings.BackendSettings
	logger   log.Interface
	clock    func() time.Duration
	listener *limitListener
	engine   *hertz.Hertz
	client   *client.Client
	history  *history
	freezer  freezer
	slots    chan struct{} // one for each request that runs
	cancel   context.CancelFunc
	ctx      context.Context
	loops    sync.WaitGroup

	// mu guards the fields below.
	mu           sync.Mutex
	owned        *ownership
	draining     bool
	drainAcked   bool // an announcement with draining was answered
	waiting      int  // requests waiting for a slot or running
	lastRequest  time.Duration
	reportedLoad int
	loadTakenAt  time.Duration
	runs         map[string]int // runs by idempotency key
	answered     int
	refused      map[string]int // refusals by reason
	uploads      *uploads
}

// New listens on the settings' address; Start begins to announce and serve.
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
	if s.history, err = openHistory(optional(s.settings.HistoryFile)); err != nil {
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

func optional(text *string) string {
	if text == nil {
		return ""
	}
	return *text
}

func newClient() (*client.Client, error) {
	c, err := client.NewClient(client.WithDialer(standard.NewDialer()), client.WithDialTimeout(dialTimeout))
	return c, errors.Wrap(err, "make HTTP client")
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
		hertz.WithExitWaitTime(exitWait),
	)
	engine.Any("/*path", s.handle)
	return engine
}

// Address returns the IP:port that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Start serves and announces in the background.
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
			s.logger.WithError(err).Error("listener failed")
		}
	}()
	return nil
}

// Stop drains: it announces the leaving and goes on serving until its grants are
// given back and its requests have ended, or the context's end.
func (s *Server) Stop(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.lastRequest = s.clock()
	s.mu.Unlock()
	ticker := time.NewTicker(drainPoll)
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
	if !s.drainAcked || s.waiting > 0 {
		return false
	}
	if s.settings.Keyed {
		return s.owned.empty()
	}
	return s.clock()-s.lastRequest >= unkeyedQuiet
}

// Close stops at once, without draining.
func (s *Server) Close() {
	s.cancel()
	s.freezer.thaw()
	// Shutdown waits until the answers are written; it fails if Start never ran.
	_ = s.engine.Shutdown(context.Background())
	_ = s.listener.Close()
	s.loops.Wait()
	s.client.CloseIdleConnections()
	if err := s.history.close(); err != nil {
		s.logger.WithError(err).Error("history file")
	}
}

// Freeze holds up everything that the server does, as a paused process would be.
// Time goes on.
func (s *Server) Freeze() { s.freezer.freeze() }

// Thaw ends a freeze.
func (s *Server) Thaw() { s.freezer.thaw() }

// Runs returns how often requests with an idempotency key ran.
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
		Load:         s.waiting,
		Answered:     s.answered,
		Refused:      refused,
		DistinctRuns: len(s.runs),
	}
}

// freezer holds up callers of wait while frozen. Its zero value is not frozen.
type freezer struct {
	mu     sync.Mutex
	frozen chan struct{} // closed at the thaw; nil when not frozen
}

func (f *freezer) freeze() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.frozen == nil {
		f.frozen = make(chan struct{})
	}
}

func (f *freezer) thaw() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.frozen != nil {
		close(f.frozen)
		f.frozen = nil
	}
}

func (f *freezer) wait() {
	f.mu.Lock()
	frozen := f.frozen
	f.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}
