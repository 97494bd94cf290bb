package forward

import (
	"context"
	"io"
	"net/http/httputil"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/retry"
)

const (
	// lengthUnframed is hertz's content length of a body that ends with the
	// connection.
	lengthUnframed = -2
	// lengthChunked is hertz's content length of a chunked body.
	lengthChunked = -1
	// maxRefusalBytes is the longest body of a server's refusal that is read to
	// save its connection.
	maxRefusalBytes = 16 << 10
	// earlyAnswerWait bounds the wait for an answer after a write failed.
	earlyAnswerWait = 50 * time.Millisecond
)

var (
	errUnframed     = errors.New("the answer has no length, so that its end can't be told from a break")
	errBodyTooShort = errors.New("the caller's body ended early")
)

// exchange is one request and its answer on one connection.
type exchange struct {
	pool    *pool
	conn    *conn
	request *Request
	counts  *counters
	stop    func() bool // ends the watch for the caller's leaving
}

func (e *exchange) run(ctx context.Context) (*Answer, error) {
	// Asked again: opening the connection took time.
	if failure := checkStart(ctx, e.request); failure != nil {
		e.giveBack()
		return nil, failure
	}
	e.conn.meter = e.request.Meter
	e.stop = context.AfterFunc(ctx, func() { _ = e.conn.Close() })
	answer, err := e.converse()
	if err != nil {
		e.stop()
		failure := e.failure(ctx, err)
		var fromServer *refusal
		if !errors.As(err, &fromServer) || !fromServer.connectionKept {
			e.pool.discard(e.conn)
		}
		return nil, failure
	}
	return answer, nil
}

// giveBack returns a connection that carried nothing. One that was never used
// stays proven by its dial.
func (e *exchange) giveBack() {
	if e.conn.fresh {
		e.pool.discard(e.conn)
		return
	}
	e.pool.putBack(e.conn)
}

func (e *exchange) converse() (*Answer, error) {
	e.extend()
	if err := e.write(); err != nil {
		return e.earlyAnswer(err)
	}
	header, err := e.readHeader()
	if err != nil {
		return nil, err
	}
	return e.readAnswer(header)
}

// extend moves the connection's deadline: to the request's, or by the idle time
// after each progress of an upload.
func (e *exchange) extend() {
	deadline := e.request.Deadline
	if e.request.IdleTimeout > 0 {
		if idle := time.Now().Add(e.request.IdleTimeout); deadline.IsZero() || idle.Before(deadline) {
			deadline = idle
		}
	}
	_ = e.conn.SetDeadline(deadline) // an error shows at the next read or write
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
	left := max(time.Until(e.request.Deadline).Milliseconds(), 1)
	header.Set(wire.HeaderDeadlineMillis, strconv.FormatInt(left, 10))
}

func (e *exchange) writeStream(header *protocol.RequestHeader) error {
	header.SetContentLength(e.request.Length)
	if _, err := e.conn.Write(header.Header()); err != nil {
		return err
	}
	writer := &progressWriter{exchange: e}
	if e.request.Length >= 0 {
		return e.copyFixed(writer)
	}
	chunked := httputil.NewChunkedWriter(writer)
	if err := copyBody(chunked, e.request.Stream); err != nil {
		return err // no last chunk: the server sees a broken body
	}
	if err := chunked.Close(); err != nil {
		return err
	}
	_, err := writer.Write([]byte("\r\n"))
	return err
}

func (e *exchange) copyFixed(writer io.Writer) error {
	limited := &io.LimitedReader{R: e.request.Stream, N: int64(e.request.Length)}
	if err := copyBody(writer, limited); err != nil {
		return err
	}
	if limited.N > 0 {
		return &callerError{errBodyTooShort}
	}
	return nil
}

// callerError is a fault of the caller's body.
type callerError struct{ error }

// copyBody copies until io.EOF and tells the reader's errors from the writer's.
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
			return &callerError{err}
		}
	}
}

// progressWriter moves the deadline before each write.
type progressWriter struct{ exchange *exchange }

func (w *progressWriter) Write(p []byte) (int, error) {
	w.exchange.extend()
	return w.exchange.conn.Write(p)
}

// earlyAnswer looks for an answer that the server gave before it closed its
// side: a refusal, mostly. Only a refusal counts, because any other answer is
// to a request that did not arrive whole.
func (e *exchange) earlyAnswer(writeErr error) (*Answer, error) {
	var fromCaller *callerError
	if e.conn.written == 0 || errors.As(writeErr, &fromCaller) {
		return nil, writeErr
	}
	_ = e.conn.SetReadDeadline(time.Now().Add(earlyAnswerWait))
	header, err := e.readHeader()
	if err != nil {
		return nil, writeErr
	}
	if refused := header.Peek(wire.HeaderRefused); len(refused) > 0 {
		return nil, &refusal{reason: string(refused)}
	}
	return nil, writeErr
}

// readHeader reads the header of the final answer and passes over interim ones.
func (e *exchange) readHeader() (*protocol.ResponseHeader, error) {
	header := &protocol.ResponseHeader{}
	header.SetNoDefaultContentType(true)
	for {
		if err := resp.ReadHeader(header, e.conn); err != nil {
			return nil, err
		}
		if header.StatusCode() >= 200 || header.StatusCode() == 101 {
			return header, nil
		}
		e.extend()
	}
}

func (e *exchange) readAnswer(header *protocol.ResponseHeader) (*Answer, error) {
	e.extend()
	if header.StatusCode() == 101 {
		return nil, errors.New("the server switched protocols unasked")
	}
	body, length, err := e.body(header)
	if err != nil {
		return nil, err
	}
	if refused := header.Peek(wire.HeaderRefused); len(refused) > 0 {
		return nil, e.refused(string(refused), body, length)
	}
	answer := &Answer{Header: header, Length: length}
	if length > e.request.MaxBuffered {
		answer.Stream = body
		return answer, nil
	}
	answer.Body, err = io.ReadAll(io.LimitReader(body, int64(e.request.MaxBuffered)+1))
	if err != nil {
		return nil, err
	}
	if len(answer.Body) > e.request.MaxBuffered {
		answer.Stream = &prefixed{prefix: answer.Body, ReadCloser: body}
		answer.Body = nil
		return answer, nil
	}
	return answer, body.Close()
}

// refused reads a short refusal to its end, so that its connection can be kept.
func (e *exchange) refused(reason string, body *answerBody, length int) error {
	if length >= 0 && length <= maxRefusalBytes {
		_, _ = io.Copy(io.Discard, body)
	}
	if body.whole {
		_ = body.Close()
		return &refusal{reason: reason, connectionKept: true}
	}
	return &refusal{reason: reason}
}

// refusal is the server's word that it did not run the request.
type refusal struct {
	reason         string
	connectionKept bool
}

// Error implements error.
func (r *refusal) Error() string { return "the server refused: " + r.reason }

func (e *exchange) failure(ctx context.Context, err error) *Error {
	end := retry.AttemptResult{BytesWritten: e.conn.written}
	var fromServer *refusal
	if errors.As(err, &fromServer) {
		end.Refused = true
		return &Error{Outcome: retry.Classify(end), Reason: fromServer.reason, Err: err}
	}
	reason := ReasonBroken
	var fromCaller *callerError
	switch {
	case ctx.Err() != nil:
		reason = ReasonCanceled
	case errors.As(err, &fromCaller):
		reason = ReasonCallerBody
	case e.conn.timedOut(err):
		reason = ReasonTimeout
		e.counts.timeouts.Add(1)
	}
	return &Error{Outcome: retry.Classify(end), Reason: reason, Err: err}
}
