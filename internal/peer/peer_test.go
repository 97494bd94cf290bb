package peer

import (
	"bytes"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/gorilla/websocket"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"

	"github.com/galenalug/galenalug/internal/wire"
)

var (
	testSecret    = []byte("0123456789abcdef")
	entryOne      = Identity{Name: "entry-1", Role: RoleEntry}
	controlOne    = Identity{Name: "control-1", Role: RoleControl}
	discardLogger = &log.Logger{Handler: discard.Default, Level: log.FatalLevel}
)

const (
	kindEcho = wire.KindPropose
	kindHold = wire.KindJoin // answered once the test releases it
)

// recorder is a handler that passes what it receives to channels.
type recorder struct {
	held    chan struct{} // receives a value for each kindHold call
	release chan struct{}
	notes   chan string // bodies of notifications
	conns   chan *Conn  // connections of notifications
	closed  chan *Conn
}

func newRecorder() *recorder {
	return &recorder{
		held:    make(chan struct{}, 8),
		release: make(chan struct{}),
		notes:   make(chan string, 1024),
		conns:   make(chan *Conn, 1024),
		closed:  make(chan *Conn, 8),
	}
}

func (r *recorder) Call(_ context.Context, _ *Conn, kind int, body []byte) ([]byte, error) {
	if kind == kindHold {
		r.held <- struct{}{}
		<-r.release
	}
	if len(body) == 0 {
		return nil, &Error{Code: wire.CodeInvalid, Detail: "empty"}
	}
	return body, nil
}

func (r *recorder) Notify(from *Conn, _ int, body []byte) {
	r.conns <- from
	r.notes <- string(body)
}

func (r *recorder) Closed(conn *Conn) { r.closed <- conn }

func startServer(t *testing.T, handler Handler, limits Limits) *Server {
	t.Helper()
	ignore := goleak.IgnoreCurrent()
	server, err := NewServer(ServerOptions{
		Listen: "127.0.0.1:0", Self: controlOne, Secret: testSecret, Handler: handler, Logger: discardLogger, Limits: limits,
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := server.Stop(context.Background()); err != nil {
			t.Error(err)
		}
		goleak.VerifyNone(t, ignore)
	})
	return server
}

// startClient starts a client and waits until it is connected. The channel receives a value for each
// later connection.
func startClient(t *testing.T, options ClientOptions) (*Client, chan struct{}) {
	t.Helper()
	connected := make(chan struct{}, 64)
	options.Self = entryOne
	options.ExpectedName = controlOne.Name
	options.Secret = testSecret
	options.Logger = discardLogger
	options.OnConnect = func() { connected <- struct{}{} }
	client := NewClient(options)
	t.Cleanup(client.Close)
	<-connected
	return client, connected
}

// dialRaw opens a WebSocket without authentication.
func dialRaw(t *testing.T, server *Server) *websocket.Conn {
	t.Helper()
	conn, response, err := websocket.DefaultDialer.Dial("ws://"+server.Address()+Path, nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	t.Cleanup(func() { conn.Close() })
	return conn
}

func TestCallsAndNotifications(t *testing.T) {
	handler := newRecorder()
	server := startServer(t, handler, Limits{})
	client, _ := startClient(t, ClientOptions{Address: server.Address()})
	body, err := client.Call(context.Background(), kindEcho, []byte("stock"))
	if err != nil || string(body) != "stock" {
		t.Fatalf("reply %q, %v", body, err)
	}
	var refused *Error
	if _, err := client.Call(context.Background(), kindEcho, nil); !errors.As(err, &refused) || refused.Code != wire.CodeInvalid {
		t.Fatalf("error %v, expected code %s", err, wire.CodeInvalid)
	}
	for _, note := range []string{"a", "b", "c"} {
		if err := client.Notify(wire.KindWatch, []byte(note)); err != nil {
			t.Fatal(err)
		}
	}
	if order := <-handler.notes + <-handler.notes + <-handler.notes; order != "abc" {
		t.Fatalf("notifications arrived as %s", order)
	}
	conn := <-handler.conns
	if conn.Identity() != entryOne {
		t.Fatalf("identity %+v", conn.Identity())
	}
	if len(conn.Counts()) == 0 || len(client.Counts()) != 3 {
		t.Fatalf("counts %+v, %+v", conn.Counts(), client.Counts())
	}
}

// Replies may arrive in another order than their calls, and a reply to a call that has ended must be
// dropped without harm to later calls.
func TestAnswersOutOfOrderAndLate(t *testing.T) {
	handler := newRecorder()
	server := startServer(t, handler, Limits{})
	registry := prometheus.NewRegistry()
	client, _ := startClient(t, ClientOptions{Address: server.Address(), Metrics: NewMetrics(registry)})
	ctx, cancel := context.WithCancel(context.Background())
	first := make(chan error, 1)
	go func() {
		_, err := client.Call(ctx, kindHold, []byte("first"))
		first <- err
	}()
	<-handler.held
	body, err := client.Call(context.Background(), kindEcho, []byte("second"))
	if err != nil || string(body) != "second" {
		t.Fatalf("second call answered %q, %v", body, err)
	}
	cancel()
	if err := <-first; !errors.Is(err, ErrUnknownOutcome) {
		t.Fatalf("canceled call: error %v, want ErrUnknownOutcome", err)
	}
	var waiting sync.WaitGroup
	for _, request := range []string{"third", "fourth"} {
		waiting.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second) // only a bound for a hanging test
			defer cancel()
			if body, err := client.Call(ctx, kindHold, []byte(request)); err != nil || string(body) != request {
				t.Errorf("%s call answered %q, %v", request, body, err)
			}
		})
		<-handler.held
	}
	close(handler.release)
	waiting.Wait()
	for counter(t, registry, "galena_peer_late_answers_total") == 0 {
		if _, err := client.Call(context.Background(), kindEcho, []byte("x")); err != nil {
			t.Fatal(err)
		}
	}
}

func counter(t *testing.T, registry *prometheus.Registry, name string) float64 {
	t.Helper()
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() == name {
			return family.GetMetric()[0].GetCounter().GetValue()
		}
	}
	return 0
}

// A call that failed with ErrNotConnected must not be written afterwards, because the error states
// that nothing was sent.
func TestCanceledCallIsNotSent(t *testing.T) {
	conn := newConn(nil, controlOne, Limits{}.withDefaults(), NewMetrics(nil), true)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := conn.call(ctx, kindEcho, nil); !errors.Is(err, ErrNotConnected) {
		t.Fatalf("error %v, want ErrNotConnected", err)
	}
	if out := <-conn.queue; conn.write(out) != nil { // a write would fail, since there is no socket
		t.Fatal("a canceled call was written")
	}
}

func TestAuthentication(t *testing.T) {
	handler := newRecorder()
	server := startServer(t, handler, Limits{})
	tests := []struct {
		name   string
		expect string
		secret string
		ok     bool
	}{
		{"right secret", controlOne.Name, string(testSecret), true},
		{"wrong secret", controlOne.Name, "fedcba9876543210", false},
		{"another name", "control-2", string(testSecret), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := authenticateClient(dialRaw(t, server), entryOne, test.expect, []byte(test.secret), DefaultHandshakeTimeout)
			if test.ok != (err == nil) || (!test.ok && !errors.Is(err, ErrAuthenticationFailed)) {
				t.Fatalf("error %v, want authentication to succeed: %t", err, test.ok)
			}
		})
	}
}

// A client without the secret must not get beyond the server's hello: neither a frame before the
// authentication nor the server's own proof, reflected to it, may be accepted.
func TestServerRefusesWithoutProof(t *testing.T) {
	handler := newRecorder()
	server := startServer(t, handler, Limits{})
	frame, err := EncodeFrame(wire.Frame{Kind: wire.KindWatch, Body: []byte("x")})
	if err != nil {
		t.Fatal(err)
	}
	early := dialRaw(t, server)
	if err := early.WriteMessage(binaryMessage, frame); err != nil {
		t.Fatal(err)
	}
	if _, _, err := early.ReadMessage(); err == nil {
		t.Fatal("a frame before the authentication was answered")
	}
	forger := dialRaw(t, server)
	hello, err := newHello(entryOne)
	if err != nil {
		t.Fatal(err)
	}
	if err := sendHello(forger, hello); err != nil {
		t.Fatal(err)
	}
	serverHello, err := receiveHello(forger)
	if err != nil {
		t.Fatal(err)
	}
	hello.Proof = serverHello.Proof // the server's own proof, reflected
	if err := sendHello(forger, hello); err != nil {
		t.Fatal(err)
	}
	if _, _, err := forger.ReadMessage(); err == nil {
		t.Fatal("a reflected proof was accepted")
	}
	if len(handler.notes) != 0 {
		t.Fatal("a message reached the handler")
	}
}

// silentConn discards all data in both directions while silent is set, as if the network dropped
// every packet.
type silentConn struct {
	net.Conn
	silent *atomic.Bool
}

func (c silentConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for err == nil && c.silent.Load() {
		n, err = c.Conn.Read(b)
	}
	return n, err
}

func (c silentConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// A network failure without a TCP reset leaves a connection open on both sides; both must close it
// after IdleTimeout, and the client must reconnect.
func TestSilentConnectionIsReplaced(t *testing.T) {
	limits := Limits{PingInterval: 20 * time.Millisecond, IdleTimeout: 200 * time.Millisecond, BackoffMin: time.Millisecond}
	handler := newRecorder()
	server := startServer(t, handler, limits)
	silent := make(chan *atomic.Bool, 64)
	client, connected := startClient(t, ClientOptions{
		Address: server.Address(), Limits: limits,
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			flag := &atomic.Bool{}
			silent <- flag
			return silentConn{conn, flag}, err
		},
	})
	(<-silent).Store(true)
	<-handler.closed // the server timed out as well
	<-connected
	if _, err := client.Call(context.Background(), kindEcho, []byte("x")); err != nil {
		t.Fatal(err)
	}
}

func TestReconnectAfterServerCloses(t *testing.T) {
	handler := newRecorder()
	server := startServer(t, handler, Limits{})
	client, connected := startClient(t, ClientOptions{Address: server.Address(), Limits: Limits{BackoffMin: time.Millisecond}})
	if err := client.Notify(wire.KindWatch, nil); err != nil {
		t.Fatal(err)
	}
	(<-handler.conns).Close()
	<-handler.closed
	<-connected
	if _, err := client.Call(context.Background(), kindEcho, []byte("x")); err != nil {
		t.Fatal(err)
	}
}

func TestOversizedFrameIsRefused(t *testing.T) {
	handler := newRecorder()
	server := startServer(t, handler, Limits{MessageBytes: 1024})
	client, _ := startClient(t, ClientOptions{Address: server.Address(), Limits: Limits{MessageBytes: 8192}})
	if err := client.Notify(wire.KindWatch, make([]byte, 9000)); !errors.Is(err, ErrInvalidFrame) {
		t.Fatalf("frame beyond the sender's limit: error %v, want ErrInvalidFrame", err)
	}
	if err := client.Notify(wire.KindWatch, make([]byte, 4096)); err != nil {
		t.Fatal(err)
	}
	<-handler.closed
	if len(handler.notes) != 0 {
		t.Fatal("an oversized frame was delivered")
	}
}

// A peer that stops reading must not make the sender's queue grow without bound: when the queue is
// full, the connection is closed.
func TestSlowReaderIsDisconnected(t *testing.T) {
	handler := newRecorder()
	server := startServer(t, handler, Limits{QueueFrames: 2, IdleTimeout: time.Hour, PingInterval: time.Hour})
	raw := dialRaw(t, server)
	if _, err := authenticateClient(raw, entryOne, controlOne.Name, testSecret, DefaultHandshakeTimeout); err != nil {
		t.Fatal(err)
	}
	watch, err := EncodeFrame(wire.Frame{Kind: wire.KindWatch})
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.WriteMessage(binaryMessage, watch); err != nil {
		t.Fatal(err)
	}
	conn := <-handler.conns
	update := make([]byte, 1<<20)
	for err = nil; err == nil; {
		err = conn.Notify(wire.KindTable, update)
	}
	if !errors.Is(err, ErrQueueFull) {
		t.Fatalf("error %v, want ErrQueueFull", err)
	}
	<-handler.closed
}

func FuzzDecodeFrame(f *testing.F) {
	for _, frame := range []wire.Frame{
		{Kind: wire.KindReport},
		{Kind: wire.KindPropose, CallID: 7, Body: []byte("x")},
		{Kind: wire.KindPropose, CallID: 7, Reply: true, ErrorCode: wire.CodeConflict, ErrorDetail: "d"},
	} {
		message, err := EncodeFrame(frame)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(message)
	}
	f.Fuzz(func(t *testing.T, message []byte) {
		frame, err := DecodeFrame(message)
		if err != nil {
			return
		}
		encoded, err := EncodeFrame(frame)
		if err != nil {
			t.Fatal(err)
		}
		again, err := DecodeFrame(encoded)
		if err != nil || !bytes.Equal(again.Body, frame.Body) || again.CallID != frame.CallID {
			t.Fatalf("decoded %+v, then %+v, %v", frame, again, err)
		}
	})
}
