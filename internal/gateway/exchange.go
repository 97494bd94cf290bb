package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/bodybuffer"
	"github.com/galenalug/galenalug/internal/httphead"
	"github.com/galenalug/galenalug/internal/readlimit"
)

const (
	// maxLateResponses is the number of late responses to earlier requests that are skipped before
	// the response to a request. Interim (1xx) responses count as well.
	maxLateResponses = 2
	// maxResponseHead is the maximum size of a response's head, bytes.
	maxResponseHead = 64 << 10
	// maxSkippedBody is the maximum size of the body of a late response, bytes. A new connection costs less
	// than reading more.
	maxSkippedBody = 256 << 10
	// maxRefusalBody is the maximum size of the body of a response that states that the request did
	// not run, bytes. The connection of a longer one is closed.
	maxRefusalBody = 16 << 10
	// maxBufferedResponse is the size up to which a response body is read in full before the response is sent to the
	// client, if there is memory for it, bytes. An error within that part can still be retried or reported.
	maxBufferedResponse = 256 << 10
)

// maxJoinedBody is the size up to which a request body is copied behind the head, so that both are written at once,
// bytes. A copy of a larger one would double its memory.
const maxJoinedBody = 16 << 10

// exchangeError is the error of an exchange that yielded no response.
type exchangeError struct {
	reason      string
	mayHaveRun  bool // whether the server may have run the request
	connRefused bool // the server's host refused the TCP connection
	err         error
}

// Error implements error.
func (e *exchangeError) Error() string { return fmt.Sprintf("%s: %v", e.reason, e.err) }

// Unwrap returns the cause.
func (e *exchangeError) Unwrap() error { return e.err }

// Reasons of exchange errors.
const (
	reasonConnect  = "connect"
	reasonBroken   = "broken"
	reasonTooLong  = "response-too-long"
	reasonTimeout  = "timeout"
	reasonCanceled = "client-left"
	reasonUnsealed = "unsealed-response"
)

// backendResponse is a backend server's response. If rest is nil, body is the complete body;
// otherwise rest yields the part after body.
type backendResponse struct {
	status int
	header http.Header
	info   ResponseInfo
	body   []byte
	rest   io.Reader
	finish func(complete bool) // ends the exchange; must be called exactly once

	releaseBody func()           // returns the memory of body; called by finish
	buffers     *bodybuffer.Pool // the memory for body
}

// exchange sends a request on a connection and reads the response. The connection is passed to
// release when the exchange ends; it is kept only if the whole exchange succeeded.
func exchange(ctx context.Context, c *conn, req *backendRequest, dialect Dialect, release func(*conn, bool)) (*backendResponse, error) {
	c.written.Store(0)
	req.progress.conn.Store(c)
	mark(&req.progress.connectedAt)
	if err := c.SetDeadline(req.deadline); err != nil {
		release(c, false)
		return nil, &exchangeError{reason: reasonBroken, err: err}
	}
	watch := watchClient(c, req)
	stopCancel := context.AfterFunc(ctx, func() { _ = c.Close() }) // the exchange ends with an error
	stop := func() (notCanceled bool) {
		watch.end()
		return stopCancel()
	}
	answered := make(chan struct{})
	defer close(answered)
	if req.bulk != nil {
		go req.bulk.watch(c, answered)
	}
	sending := startSending(func() error { return send(c, req, watch) })
	resp, err := read(c, req, dialect, sending)
	if err != nil {
		stop()
		release(c, false)
		<-sending.done // the read error is returned, not that of the write
		return nil, newExchangeError(ctx, c, watch, err)
	}
	keepAlive := resp.finish != nil
	resp.finish = func(complete bool) {
		// The server may respond before it has read the whole request body. The connection can be
		// reused only after the rest was sent.
		<-sending.done
		bodySent := sending.err == nil
		notCanceled := stop()
		if resp.info.NotExecuted {
			c.refused = append(c.refused, req.id)
		}
		release(c, complete && keepAlive && bodySent && notCanceled && c.reader.Buffered() == 0)
		resp.releaseBody()
	}
	return resp, nil
}

// send writes the request. If the client's body breaks off, it closes the connection: the server waits
// for the rest in vain.
func send(c *conn, req *backendRequest, watch *clientWatch) error {
	err := write(c, req)
	if err == nil {
		mark(&req.progress.writtenAt)
	}
	if req.stream != nil && req.stream.brokeOff() {
		watch.clientLeft()
	}
	return err
}

func newExchangeError(ctx context.Context, c *conn, watch *clientWatch, err error) *exchangeError {
	e := &exchangeError{reason: reasonOfRead(err), mayHaveRun: c.written.Load() > 0, err: err}
	if ctx.Err() != nil || watch.hasAborted() {
		e.reason = reasonCanceled
	}
	return e
}

// reasonOfRead returns the reason of an exchange that ended with the error of a read.
func reasonOfRead(err error) string {
	var netErr net.Error
	switch {
	case errors.Is(err, readlimit.ErrTooLong):
		return reasonTooLong
	case errors.As(err, &netErr) && netErr.Timeout():
		return reasonTimeout
	}
	return reasonBroken
}

func write(c *conn, req *backendRequest) error {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.method, req.target, req.host)
	length := int64(len(req.body))
	if req.stream != nil {
		length = req.streamLength
	}
	switch {
	case length < 0:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	case length > 0 || req.method != http.MethodGet && req.method != http.MethodHead:
		fmt.Fprintf(&head, "Content-Length: %d\r\n", length)
	}
	if err := req.header.Write(&head); err != nil {
		return err
	}
	head.WriteString("\r\n")
	rest := req.body
	if req.stream == nil && len(rest) <= maxJoinedBody {
		head.Write(rest)
		rest = nil
	}
	if _, err := c.Write(head.Bytes()); err != nil {
		return err
	}
	if req.stream != nil {
		return writeStream(c, req)
	}
	if len(rest) == 0 {
		return nil
	}
	_, err := c.Write(rest)
	return err
}

func writeStream(c *conn, req *backendRequest) error {
	if req.streamLength >= 0 {
		n, err := io.Copy(c, req.stream)
		if err == nil && n != req.streamLength {
			return io.ErrUnexpectedEOF
		}
		return err
	}
	chunked := httputil.NewChunkedWriter(c)
	if _, err := io.Copy(chunked, req.stream); err != nil {
		return err // without the last chunk the server sees a truncated body
	}
	if err := chunked.Close(); err != nil {
		return err
	}
	_, err := io.WriteString(c, "\r\n")
	return err
}

// errNoID is the error of a response that does not name the request that it answers. It may answer an
// earlier request on the connection.
var errNoID = errors.New("response without the ID of the request")

// errSwitched is the error of a server that changes the protocol without being asked to.
var errSwitched = errors.New("server switched protocols")

// read reads the response to the request. It skips interim (1xx) responses and late responses to
// earlier requests.
func read(c *conn, req *backendRequest, dialect Dialect, sending *sending) (*backendResponse, error) {
	for range maxLateResponses + 1 {
		c.limit.Limit(maxResponseHead)
		httpResp, err := httphead.ReadResponse(c.reader, c.heads, &http.Request{Method: req.method})
		if err != nil {
			return nil, err
		}
		if httpResp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errSwitched
		}
		if httpResp.StatusCode < http.StatusOK {
			continue
		}
		info := dialect.ParseResponse(httpResp.StatusCode, httpResp.Header)
		if info.ID == "" && req.id != "" {
			return nil, errNoID
		}
		if info.ID != req.id {
			c.limit.Limit(maxSkippedBody)
			if _, err := io.Copy(io.Discard, httpResp.Body); err != nil {
				return nil, err
			}
			continue
		}
		c.limit.Unlimit()
		if httphead.EndsWithConnection(httpResp) {
			httpResp.Body = &closeDelimitedBody{ReadCloser: httpResp.Body, sending: sending, deadline: req.deadline}
		}
		return readBody(c, httpResp, info)
	}
	return nil, errors.New("too many interim responses or responses to earlier requests")
}

func readBody(c *conn, httpResp *http.Response, info ResponseInfo) (*backendResponse, error) {
	c.maxIdle = keepAliveTime(httpResp.Header)
	resp := &backendResponse{status: httpResp.StatusCode, header: httpResp.Header, info: info, buffers: c.buffers}
	start, err := readStart(c, httpResp, info)
	if err != nil {
		return nil, err
	}
	resp.body, resp.releaseBody = start.Data, start.Release
	if !start.Complete {
		resp.rest = httpResp.Body
	}
	if !httpResp.Close {
		resp.finish = func(bool) {} // marks the connection as reusable; exchange replaces it
	}
	return resp, nil
}

// readStart reads the part of the body that is read before the response is sent. What follows the first bytes of a
// refusal is not needed.
func readStart(c *conn, httpResp *http.Response, info ResponseInfo) (bodybuffer.Start, error) {
	if !info.NotExecuted {
		return c.buffers.Read(httpResp.Body, httpResp.ContentLength, maxBufferedResponse)
	}
	body, err := io.ReadAll(io.LimitReader(httpResp.Body, maxRefusalBody))
	return bodybuffer.Start{Data: body, Complete: len(body) < maxRefusalBody, Release: func() {}}, err
}
