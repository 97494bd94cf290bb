package peer

import (
	"context"
	"net"
	"time"

	"github.com/apex/log"
)

// Default times and limits of a connection.
const (
	DefaultPingInterval     = time.Second
	DefaultSilenceTimeout   = 3 * time.Second
	DefaultHandshakeTimeout = 3 * time.Second
	DefaultBackoffMin       = 50 * time.Millisecond
	DefaultBackoffMax       = 2 * time.Second
	DefaultMessageBytes     = 16 << 20 // largest message
	DefaultQueueFrames      = 1024     // frames waiting to be written
	DefaultQueueBytes       = 32 << 20 // bytes waiting to be written
	DefaultWorkers          = 256      // calls handled at the same time
)

// Limits are the times and bounds of a connection. A zero field means its default.
type Limits struct {
	PingInterval     time.Duration // between two heartbeats
	SilenceTimeout   time.Duration // without a byte, after which the connection is closed
	HandshakeTimeout time.Duration // for opening a connection and the authentication
	BackoffMin       time.Duration // first wait before a new connection
	BackoffMax       time.Duration // longest wait before a new connection
	MessageBytes     int64         // largest message
	QueueFrames      int           // frames waiting to be written
	QueueBytes       int64         // bytes waiting to be written
}

func (l Limits) withDefaults() Limits {
	setDefault(&l.PingInterval, DefaultPingInterval)
	setDefault(&l.SilenceTimeout, DefaultSilenceTimeout)
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

// Handler takes what a peer sends.
type Handler interface {
	// Call answers a call. An *Error travels as it is; any other error travels
	// as wire.CodeInternal. The context ends with the connection.
	Call(ctx context.Context, from *Conn, kind int, body []byte) ([]byte, error)
	// Notify takes a one-way message. It is called in the order of sending and
	// holds up the connection's next message, so it must not wait.
	Notify(from *Conn, kind int, body []byte)
	// Closed tells that a connection ended.
	Closed(conn *Conn)
}

// ServerOptions are the options of NewServer.
type ServerOptions struct {
	Listen  string // IP:port; port 0 takes a free one
	Self    Identity
	Secret  []byte
	Handler Handler
	Logger  log.Interface // default: log.Log
	Workers int           // calls handled at the same time; default: DefaultWorkers
	Limits  Limits
	Metrics *Metrics // default: metrics that no registry shows
}

// ClientOptions are the options of NewClient.
type ClientOptions struct {
	Address      string // IP:port
	Self         Identity
	ExpectedName string // name that the peer must prove
	Secret       []byte
	Handler      Handler       // for notifications of the server; may be nil
	OnConnect    func()        // called after each authentication; may be nil
	Logger       log.Interface // default: log.Log
	Seed         uint64        // of the backoff's jitter
	Limits       Limits
	Metrics      *Metrics // default: metrics that no registry shows
	// Dial opens the TCP connection. Default: net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}
