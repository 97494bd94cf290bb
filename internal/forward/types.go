package forward

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/galenalug/galenalug/admission"
	"github.com/galenalug/galenalug/retry"
)

// Target identifies a backend server, its address and its connection limit.
type Target struct {
	Group       string // log group that holds the session
	Session     uint64
	Address     string // IP:port
	Connections int    // maximum number of connections that the server accepts
}

// Request is one attempt to send a request.
type Request struct {
	Target      Target
	Class       admission.Class
	Header      *protocol.RequestHeader // complete except for the framing of the body and the deadline
	Body        []byte
	Stream      io.Reader     // replaces Body if not nil
	Length      int           // length of Stream in bytes; -1 if unknown
	Deadline    time.Time     // zero for none
	IdleTimeout time.Duration // longest time without progress; 0 for none
	Repeatable  bool          // whether running the request twice does no harm
	// Writable reports whether the request may still be sent. It is called right before the first byte
	// is written; nil permits sending.
	Writable func() bool
	// Meter receives the byte counts of the exchange; nil for none.
	Meter Meter
	// MaxBuffered is the size in bytes of the largest response body that Send reads completely before
	// it returns. A body of more than bodybuffer.MinBytes is streamed if there is no memory for it.
	MaxBuffered int
}

// Meter receives the number of bytes sent and received in one exchange, headers included.
type Meter interface {
	Sent(bytes int)
	Received(bytes int)
}

// Response is a response whose header was received. Either Body holds the complete body, or Stream
// yields it and fails if the body is truncated. Stream must be closed if it is not nil.
type Response struct {
	Header   *protocol.ResponseHeader
	Body     []byte
	Stream   io.ReadCloser
	Length   int  // of Stream in bytes; -1 if unknown
	Complete bool // the whole body was received: Stream can't fail, and the exchange has ended
}

// Values of Error.Reason, in addition to those that servers send in wire.HeaderRefused.
const (
	ReasonConnect     = "connect"      // no connection could be opened
	ReasonPoolFull    = "connections"  // all connections allowed to the server are in use
	ReasonNotWritable = "not-writable" // Request.Writable forbade sending
	ReasonDeadline    = "deadline"     // the deadline passed before the first byte was written
	ReasonTimeout     = "timeout"      // no complete response within the deadline or idle timeout
	ReasonBroken      = "broken"       // the connection broke, or the response was malformed
	ReasonCanceled    = "canceled"     // the caller's context was canceled
	ReasonCallerBody  = "caller-body"  // the request body could not be read from the caller
)

// Error describes an attempt that failed or was not made.
type Error struct {
	Outcome retry.Outcome
	Reason  string
	Err     error // cause; may be nil
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", e.Outcome, e.Reason)
	}
	return fmt.Sprintf("%s: %s: %v", e.Outcome, e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Sender sends one attempt.
type Sender interface {
	// Send writes the request at most once. The error is an *Error.
	Send(ctx context.Context, request *Request) (*Response, error)
}
