package forward

import (
	"context"
	"io"
	"net/http/httputil"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/bodybuffer"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/retry"
)

const (
	// lengthUnframed is hertz's content length of a body that ends when the connection closes.
	lengthUnframed = -2
	// lengthChunked is hertz's content length of a chunked body.
	lengthChunked = -1
	// earlyRefusalTimeout bounds the wait for a refusal after a write failed.
	earlyRefusalTimeout = 50 * time.Millisecond
	// maxInterimResponses is the number of interim (1xx) responses that are skipped before a response.
	maxInterimResponses = 8
)

var (
	errUnframed            = errors.New("response has neither a length nor chunked encoding, so truncation cannot be detected")
	errTooManyInterim      = errors.New("too many interim responses")
	errRequestBodyTooShort = errors.New("request body ended before its declared length")
)

// exchange is one request and its response on one connection.
type exchange struct {
	pool     *pool
	conn     *conn
	request  *Request
	counters *counters
	buffers  *bodybuffer.Pool
	// stopCancelWatch ends the watch of the context, which closes the connection on cancellation. It
	// returns false if the context was canceled before.
	stopCancelWatch func() bool
}

// run sends the request and reads the response. If that fails, it closes the connection, unless nothing
// was written to it.
func (e *exchange) run(ctx context.Context) (*Response, error) {
	// Check again, because opening the connection may have taken long.
	if failure := checkSendable(ctx, e.request); failure != nil {
		e.returnUnused()
		return nil, failure
	}
	e.conn.meter = e.request.Meter
	e.stopCancelWatch = context.AfterFunc(ctx, func() { _ = e.conn.Close() })
	response, err := e.roundTrip()
	if err != nil {
		e.stopCancelWatch()
		failure := e.classify(ctx, err)
		e.pool.discard(e.conn)
		return nil, failure
	}
	return response, nil
}

// returnUnused returns the connection to the pool after nothing was written to it in this exchange. A
// connection that has not completed any exchange yet is closed instead.
func (e *exchange) returnUnused() {
	if e.conn.fresh {
		e.pool.discard(e.conn)
		return
	}
	e.pool.returnUnused(e.conn)
}

func (e *exchange) roundTrip() (*Response, error) {
	e.extendDeadline()
	if err := e.write(); err != nil {
		return e.readEarlyRefusal(err)
	}
	header, err := e.readHeader()
	if err != nil {
		return nil, err
	}
	return e.readResponse(header)
}

// extendDeadline sets the connection's deadline to that of the request, or to the idle timeout from
// now if that is earlier.
func (e *exchange) extendDeadline() {
	deadline := e.request.Deadline
	if e.request.IdleTimeout > 0 {
		if idle := time.Now().Add(e.request.IdleTimeout); deadline.IsZero() || idle.Before(deadline) {
			deadline = idle
		}
	}
	_ = e.conn.SetDeadline(deadline) // an error recurs at the next read or write
}

func (e *exchange) write() error {
	header := e.request.Header
	e.setDeadlineHeader(header)
	if e.request.Stream != nil {
		return e.writeStream(header)
	}
	if len(e.request.Body) > 0 || !header.IgnoreBody() {
		header.SetContentLength(len(e.request.Body))
	}
	head := header.Header()
	if len(e.request.Body) == 0 {
		_, err := e.conn.Write(head)
		return err
	}
	message := make([]byte, 0, len(head)+len(e.request.Body))
	message = append(message, head...)
	message = append(message, e.request.Body...)
	_, err := e.conn.Write(message)
	return err
}

func (e *exchange) setDeadlineHeader(header *protocol.RequestHeader) {
	if e.request.Deadline.IsZero() {
		return
	}
	remaining := max(time.Until(e.request.Deadline).Milliseconds(), 1)
	header.Set(wire.HeaderDeadlineMillis, strconv.FormatInt(remaining, 10))
}

// writeStream writes the header and the streamed body. On an error the body remains incomplete.
func (e *exchange) writeStream(header *protocol.RequestHeader) error {
	header.SetContentLength(e.request.Length)
	if _, err := e.conn.Write(header.Header()); err != nil {
		return err
	}
	writer := &progressWriter{exchange: e}
	if e.request.Length >= 0 {
		return e.copyWithLength(writer)
	}
	chunked := httputil.NewChunkedWriter(writer)
	if err := copyBody(chunked, e.request.Stream); err != nil {
		return err // without the last chunk, so that the server detects a truncated body
	}
	if err := chunked.Close(); err != nil {
		return err
	}
	_, err := writer.Write([]byte("\r\n"))
	return err
}

func (e *exchange) copyWithLength(writer io.Writer) error {
	limited := &io.LimitedReader{R: e.request.Stream, N: int64(e.request.Length)}
	if err := copyBody(writer, limited); err != nil {
		return err
	}
	if limited.N > 0 {
		return &bodyReadError{errRequestBodyTooShort}
	}
	return nil
}

// bodyReadError is an error in reading the request body from the caller.
type bodyReadError struct{ error }

// copyBody copies until io.EOF. Errors of the reader are returned as a *bodyReadError.
func copyBody(writer io.Writer, reader io.Reader) error {
	buffer := make([]byte, 32<<10)
	for {
		n, err := reader.Read(buffer)
		if n > 0 {
			if _, writeErr := writer.Write(buffer[:n]); writeErr != nil {
				return writeErr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return &bodyReadError{err}
		}
	}
}

// progressWriter extends the connection's deadline before each write.
type progressWriter struct{ exchange *exchange }

func (w *progressWriter) Write(p []byte) (int, error) {
	w.exchange.extendDeadline()
	return w.exchange.conn.Write(p)
}

// readEarlyRefusal checks after a failed write whether the server refused the request before it closed
// the connection. It returns the refusal, or else writeErr. Any other response is ignored, because the
// server did not receive the complete request.
func (e *exchange) readEarlyRefusal(writeErr error) (*Response, error) {
	var bodyErr *bodyReadError
	if e.conn.written == 0 || errors.As(writeErr, &bodyErr) {
		return nil, writeErr
	}
	_ = e.conn.SetReadDeadline(time.Now().Add(earlyRefusalTimeout))
	header, err := e.readHeader()
	if err != nil {
		return nil, writeErr
	}
	if refused := header.Peek(wire.HeaderRefused); len(refused) > 0 {
		return nil, &refusal{reason: string(refused)}
	}
	return nil, writeErr
}

// readHeader reads the header of the final response and skips interim (1xx) ones.
func (e *exchange) readHeader() (*protocol.ResponseHeader, error) {
	header := &protocol.ResponseHeader{}
	header.SetNoDefaultContentType(true)
	for range maxInterimResponses + 1 {
		if err := e.conn.readHeader(header); err != nil {
			return nil, err
		}
		if header.StatusCode() >= 200 || header.StatusCode() == 101 {
			return header, nil
		}
		e.extendDeadline()
	}
	return nil, errors.Wrapf(errTooManyInterim, "more than %d", maxInterimResponses)
}

// readResponse reads the body up to MaxBuffered bytes, or returns it as a stream if it is longer or there is no memory
// for it.
func (e *exchange) readResponse(header *protocol.ResponseHeader) (*Response, error) {
	e.extendDeadline()
	if header.StatusCode() == 101 {
		return nil, errors.New("server switched protocols without a request to upgrade")
	}
	body, length, err := e.body(header)
	if err != nil {
		return nil, err
	}
	if refused := header.Peek(wire.HeaderRefused); len(refused) > 0 {
		return nil, &refusal{reason: string(refused)}
	}
	response := &Response{Header: header, Length: length}
	if length > e.request.MaxBuffered {
		response.Stream = body
		return response, nil
	}
	start, err := e.buffers.Read(body, int64(length), int64(e.request.MaxBuffered))
	if err != nil {
		return nil, err
	}
	switch {
	case !start.Complete:
		response.Stream = &prefixedBody{prefix: start.Data, ReadCloser: body, release: start.Release}
		return response, nil
	case len(start.Data) <= bodybuffer.MinBytes:
		response.Body = start.Data
		start.Release()
	default:
		response.Length = len(start.Data)
		response.Stream = &prefixedBody{prefix: start.Data, ReadCloser: io.NopCloser(body), release: start.Release}
	}
	response.Complete = true
	return response, body.Close()
}

// refusal is a response by which the server states that it did not run the request. Its connection is
// closed: responses name no request, so a refusal that a faulty server writes once more would pass for
// the answer to the next one.
type refusal struct{ reason string }

// Error implements error.
func (r *refusal) Error() string { return "server refused the request: " + r.reason }

// classify returns the error of a failed attempt with its outcome and reason.
func (e *exchange) classify(ctx context.Context, err error) *Error {
	result := retry.AttemptResult{BytesWritten: e.conn.written}
	var refused *refusal
	if errors.As(err, &refused) {
		result.Refused = true
		return &Error{Outcome: retry.Classify(result), Reason: refused.reason, Err: err}
	}
	reason := ReasonBroken
	var bodyErr *bodyReadError
	switch {
	case ctx.Err() != nil:
		reason = ReasonCanceled
	case errors.As(err, &bodyErr):
		reason = ReasonCallerBody
	case e.conn.timedOut(err):
		reason = ReasonTimeout
		e.counters.timeouts.Add(1)
	}
	return &Error{Outcome: retry.Classify(result), Reason: reason, Err: err}
}
