package peer

import (
	"context"
	"net"
	"sync"

	"github.com/apex/log"
	"github.com/cloudwego/hertz/pkg/app"
	hertz "github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
	hertzsocket "github.com/hertz-contrib/websocket"
	"github.com/panjf2000/ants/v2"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/wire"
)

// Server accepts connections from peers.
type Server struct {
	options  ServerOptions
	listener net.Listener
	engine   *hertz.Hertz
	pool     *ants.Pool
	stopped  chan struct{} // closed when the listener's goroutine has ended

	// mu guards conns, started and stopping. Connections are added to handlers while it is held, so
	// none is added once Stop has set stopping.
	mu       sync.Mutex
	conns    map[*Conn]struct{}
	started  bool
	stopping bool
	handlers sync.WaitGroup // counts open connections and running calls
}

// NewServer opens the listener. Connections are accepted after Start.
func NewServer(options ServerOptions) (*Server, error) {
	options.Limits = options.Limits.withDefaults()
	setDefault(&options.Workers, DefaultWorkers)
	if options.Logger == nil {
		options.Logger = log.Log
	}
	if options.Metrics == nil {
		options.Metrics = NewMetrics(nil)
	}
	pool, err := ants.NewPool(options.Workers, ants.WithNonblocking(true))
	if err != nil {
		return nil, errors.Wrap(err, "create worker pool")
	}
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		pool.Release()
		return nil, errors.Wrap(err, "listen for peers")
	}
	if options.Guard != nil {
		listener = options.Guard.Listen(listener)
	}
	s := &Server{
		options:  options,
		listener: listener,
		pool:     pool,
		stopped:  make(chan struct{}),
		conns:    map[*Conn]struct{}{},
	}
	s.engine = s.newEngine()
	return s, nil
}

// maxUpgradeBytes is the maximum size of the head of a peer's request, bytes.
const maxUpgradeBytes = 8 << 10

func (s *Server) newEngine() *hertz.Hertz {
	engine := hertz.New(
		hertz.WithListener(s.listener),
		hertz.WithTransport(standard.NewTransporter),
		hertz.WithDisablePrintRoute(true),
		hertz.WithDisableDefaultDate(true), // its goroutine never ends
		hertz.WithReadTimeout(s.options.Limits.HandshakeTimeout),
		hertz.WithIdleTimeout(s.options.Limits.HandshakeTimeout),
		hertz.WithMaxRequestBodySize(maxHelloBytes),
		hertz.WithMaxHeaderBytes(maxUpgradeBytes),
	)
	// A pooled connection object could be closed by its previous user after it was reused.
	engine.NoHijackConnPool = true
	upgrader := hertzsocket.HertzUpgrader{WriteBufferSize: chunkBytes}
	engine.GET(Path, func(_ context.Context, request *app.RequestContext) {
		if err := upgrader.Upgrade(request, s.serve); err != nil {
			s.options.Logger.WithError(err).Debug("peer upgrade failed")
		}
	})
	return engine
}

// Start accepts connections in the background.
func (s *Server) Start() error {
	s.mu.Lock()
	s.started = true
	s.mu.Unlock()
	go func() {
		defer close(s.stopped)
		if err := s.engine.Run(); err != nil {
			s.options.Logger.WithError(err).Error("peer listener failed")
		}
	}()
	return nil
}

// Address returns the listen address, IP:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Stop closes the listener and all connections, and waits for running handlers or the end of the
// context. It must be called exactly once, also on a server that was not started.
func (s *Server) Stop(ctx context.Context) error {
	_ = s.listener.Close()
	s.mu.Lock()
	s.stopping = true
	started := s.started
	conns := make([]*Conn, 0, len(s.conns))
	for conn := range s.conns {
		conns = append(conns, conn)
	}
	s.mu.Unlock()
	for _, conn := range conns {
		conn.Close()
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.handlers.Wait()
		if started {
			<-s.stopped
		}
		s.pool.Release() // no call is running, so its workers end by themselves
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "stop peer server")
	}
}

// serve runs one connection. hertz closes the socket when serve returns.
func (s *Server) serve(socket *hertzsocket.Conn) {
	remote := socket.RemoteAddr().String()
	identity, err := authenticateServer(socket, s.options.Self, s.options.Secret, s.options.Limits.HandshakeTimeout)
	if err != nil {
		s.options.Metrics.refused.Inc()
		s.options.Logger.WithFields(log.Fields{"remote": remote, "error": err.Error()}).Warn("peer handshake failed")
		return
	}
	s.options.Guard.Find(remote).SetServing(true)
	conn := newConn(socket, identity, s.options.Limits, s.options.Metrics, false)
	conn.onCall = s.call
	conn.onNotify = s.notify
	if !s.add(conn) {
		return
	}
	defer s.remove(conn)
	err = conn.serve()
	s.options.Logger.WithFields(log.Fields{"peer": identity.Name, "error": err.Error()}).Debug("peer connection ended")
	s.options.Handler.Closed(conn)
}

func (s *Server) add(conn *Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.conns[conn] = struct{}{}
	s.handlers.Add(1)
	return true
}

func (s *Server) remove(conn *Conn) {
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
	s.handlers.Done()
}

// call runs a call in the worker pool. The connection is counted in handlers meanwhile, so adding to
// handlers can't race with the Wait in Stop.
func (s *Server) call(conn *Conn, frame wire.Frame) {
	s.handlers.Add(1)
	err := s.pool.Submit(func() {
		defer s.handlers.Done()
		body, err := s.options.Handler.Call(conn.ctx, conn, frame.Kind, frame.Body)
		s.reply(conn, frame, body, err)
	})
	if err != nil {
		s.handlers.Done()
		s.reply(conn, frame, nil, &Error{Code: wire.CodeUnavailable, Detail: "all workers are busy"})
	}
}

func (s *Server) reply(conn *Conn, call wire.Frame, body []byte, err error) {
	reply := wire.Frame{Kind: call.Kind, CallID: call.CallID, Reply: true, Body: body}
	if err != nil {
		var typed *Error
		if !errors.As(err, &typed) {
			typed = &Error{Code: wire.CodeInternal, Detail: err.Error()}
		}
		reply.Body = nil
		reply.ErrorCode = typed.Code
		reply.ErrorDetail = typed.Detail
	}
	if _, err := conn.enqueue(reply); err != nil {
		s.options.Logger.WithFields(log.Fields{"peer": conn.identity.Name, "error": err.Error()}).Debug("reply not queued; closing the connection")
		conn.Close()
	}
}

func (s *Server) notify(conn *Conn, frame wire.Frame) {
	s.options.Handler.Notify(conn, frame.Kind, frame.Body)
}
