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

// Target is a backend server to send to.
type Target struct {
	Group       string // log group of the session
	Session     uint64
	Address     string // IP:port
	Connections int    // connections the server accepts
}

// Request is one attempt of a request.
type Request struct {
	Target      Target
	Class       admission.Class
	Header      *protocol.RequestHeader // complete but for the body's framing and the deadline
	Body        []byte
	Stream      io.Reader // the body, when not nil, instead of Body
	Length      int       // length of Stream; -1 if not known
	Deadline    time.Time // zero for an upload without one
	IdleTimeout time.Duration
	Repeatable  bool
	// Writable is asked right before the first byte; nil allows.
	Writable func() bool
	// Meter hears of the bytes on the connection; nil for none.
	Meter Meter
	// MaxBuffered is the longest answer that is read whole before Send returns.
	MaxBuffered int
}

// Meter counts the bytes of one exchange, headers included.
type Meter interface {
	Sent(bytes int)
	Received(bytes int)
}

// Answer is an answer whose header arrived. Either Body holds the whole of it,
// or Stream yields the rest and fails unless the whole arrives. Stream must be
// closed.
type Answer struct {
	Header *protocol.ResponseHeader
	Body   []byte
	Stream io.ReadCloser
	Length int // length of Stream; -1 if not known
}

// Reasons of Error, besides those in wire.HeaderRefused.
const (
	ReasonConnect     = "connect"      // no connection could be opened
	ReasonPoolFull    = "connections"  // every connection allowed is in use
	ReasonNotWritable = "not-writable" // the lease ended before the first byte
	ReasonDeadline    = "deadline"     // the deadline passed before the first byte
	ReasonTimeout     = "timeout"      // no whole answer within the deadline
	ReasonBroken      = "broken"       // the connection broke, or the answer was malformed
	ReasonCanceled    = "canceled"     // the caller went away
	ReasonCallerBody  = "caller-body"  // the caller's body broke off
)

// Error is an attempt without an answer.
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
	Send(ctx context.Context, request *Request) (*Answer, error)
}
