package peer

import (
	"context"
	"net"
	"time"

	"github.com/apex/log"

	"github.com/galenalug/galenalug/internal/clientconn"
)

// Default timeouts and limits.
const (
	DefaultPingInterval     = time.Second
	DefaultIdleTimeout      = 3 * time.Second
	DefaultHandshakeTimeout = 3 * time.Second
	DefaultBackoffMin       = 50 * time.Millisecond
	DefaultBackoffMax       = 2 * time.Second
	DefaultMessageBytes     = 16 << 20 // maximum message size
	DefaultQueueFrames      = 1024     // maximum frames in the send queue
	DefaultQueueBytes       = 32 << 20 // maximum bytes in the send queue
	DefaultWorkers          = 256      // maximum concurrent calls
)

// Limits holds the timeouts and size limits of a connection. Zero fields take their defaults.
type Limits struct {
	PingInterval     time.Duration // interval between pings
	IdleTimeout      time.Duration // maximum time without progress of a read or write
	HandshakeTimeout time.Duration // for connecting and for authentication
	BackoffMin       time.Duration // initial delay before reconnecting
	BackoffMax       time.Duration // maximum delay before reconnecting
	MessageBytes     int64         // maximum message size
	QueueFrames      int           // maximum frames in the send queue
	QueueBytes       int64         // maximum bytes in the send queue
}

func (l Limits) withDefaults() Limits {
	setDefault(&l.PingInterval, DefaultPingInterval)
	setDefault(&l.IdleTimeout, DefaultIdleTimeout)
	setDefault(&l.HandshakeTimeout, DefaultHandshakeTimeout)
	setDefault(&l.BackoffMin, DefaultBackoffMin)
	setDefault(&l.BackoffMax, DefaultBackoffMax)
	setDefault(&l.MessageBytes, DefaultMessageBytes)
	setDefault(&l.QueueFrames, DefaultQueueFrames)
	setDefault(&l.QueueBytes, DefaultQueueBytes)
	return l
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Handler handles the messages of peers.
type Handler interface {
	// Call handles a call and returns the body of the reply. An *Error is sent as it is, any other
	// error as wire.CodeInternal. The context ends with the connection.
	Call(ctx context.Context, from *Conn, kind int, body []byte) ([]byte, error)
	// Notify handles a one-way message. It is called in the order of sending and must not block,
	// because it delays the connection's next message.
	Notify(from *Conn, kind int, body []byte)
	// Closed is called when a connection has ended.
	Closed(conn *Conn)
}

// ServerOptions are the options of NewServer.
type ServerOptions struct {
	Listen  string // IP:port; with port 0, the system assigns a free port
	Self    Identity
	Secret  []byte
	Handler Handler
	Logger  log.Interface // default: log.Log
	Workers int           // maximum concurrent calls; default: DefaultWorkers
	Limits  Limits
	Metrics *Metrics // default: unregistered metrics
	// Guard bounds the open connections. Those of authenticated peers don't give way. Default: no bound.
	Guard *clientconn.Guard
}

// ClientOptions are the options of NewClient.
type ClientOptions struct {
	Address      string // IP:port
	Self         Identity
	ExpectedName string // name that the peer must prove
	Secret       []byte
	Handler      Handler       // for notifications from the server; Call is not used; may be nil
	OnConnect    func()        // called after each authentication; may be nil
	Logger       log.Interface // default: log.Log
	Seed         uint64        // for the jitter of the backoff
	Limits       Limits
	Metrics      *Metrics // default: unregistered metrics
	// Dial opens the TCP connection. Default: net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}
