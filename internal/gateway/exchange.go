package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/galenalug/galenalug/internal/idle"
)

const (
	// dialTimeout bounds the opening of a connection: two regions are 40 ms apart
	// and one lost packet costs no more than the connection.
	dialTimeout = 450 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the
	// connection counts as dead. It bounds a dead path, not a slow server.
	unackedTimeout = 1500 * time.Millisecond
	// bufferedResponse is the longest response body that is read whole before its
	// first byte goes to the client.
	bufferedResponse = 256 << 10
	// maxStrays is the number of responses to other requests that are passed over
	// on one connection.
	maxStrays = 2
	// connBufferBytes is the size of a connection's read buffer.
	connBufferBytes = 4 << 10
)

// failure says how an exchange without a response ended.
type failure struct {
	reason   string
	mayRun   bool // whether the server may have run the request
	noServer bool // the server's host refused the connection
	err      error
}

// Error implements error.
func (f *failure) Error() string { return fmt.Sprintf("%s: %v", f.reason, f.err) }

// Unwrap returns the cause.
func (f *failure) Unwrap() error { return f.err }

// Reasons of failures.
const (
	reasonConnect  = "connect"
	reasonBroken   = "broken"
	reasonTimeout  = "timeout"
	reasonCanceled = "client-left"
	reasonUnsealed = "unsealed-response"
)

// outbound is a request as it goes to a backend server.
type outbound struct {
	method, target, host string
	header               http.Header
	id                   string
	body                 []byte
	stream               io.Reader // the body, when not nil, instead of body
	streamLength         int64     // of stream; -1 if not known
	deadline             time.Time
	slots                int // requests that the server runs at once
}

// inbound is a backend server's response. Either body holds the whole of it, or
// rest yields what follows body.
type inbound struct {
	status int
	header http.Header
	info   ResponseInfo
	body   []byte
	rest   io.Reader
	finish func(whole bool) // ends the exchange; called once
}

// conn is a connection to a backend server.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	written atomic.Int64  // bytes of the current request
	idleFor time.Duration // how long the server keeps it open without a request
	used    time.Time     // end of the last exchange
}

// Write counts the bytes that the network took.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

func dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2},
	}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := setUnackedTimeout(raw); err != nil {
		_ = raw.Close() // nothing was sent
		return nil, err
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, connBufferBytes), used: time.Now(), idleFor: defaultIdle}, nil
}

func setUnackedTimeout(c net.Conn) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "set TCP_USER_TIMEOUT")
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err == nil {
		err = optionErr
	}
	return errors.Wrap(err, "set TCP_USER_TIMEOUT")
}

// quiet tells whether an idle connection is open and holds no bytes that nobody
// asked for.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 || time.Since(c.used) > c.idleFor {
		return false
	}
	return idle.Peek(c.Conn) == idle.Quiet
}

// exchange sends a request on a connection and reads its response. The
// connection is closed unless the response's finish gives it back.
func exchange(ctx context.Context, c *conn, o *outbound, dialect Dialect, release func(*conn, bool)) (*inbound, error) {
	c.written.Store(0)
	if err := c.SetDeadline(o.deadline); err != nil {
		release(c, false)
		return nil, &failure{reason: reasonBroken, err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	sent := make(chan error, 1)
	go func() { sent <- write(c, o) }()
	in, err := read(c, o, dialect)
	if err != nil {
		stop()
		release(c, false)
		<-sent //nolint:errcheck // the read failed first, and says why
		return nil, describe(ctx, c, err)
	}
	keep := in.finish != nil
	in.finish = func(whole bool) {
		// The server may have answered before it read the whole body; the rest
		// must follow, or the connection is of no use.
		bodySent := <-sent == nil
		undisturbed := stop()
		release(c, whole && keep && bodySent && undisturbed && c.reader.Buffered() == 0)
	}
	return in, nil
}

func describe(ctx context.Context, c *conn, err error) *failure {
	f := &failure{reason: reasonBroken, mayRun: c.written.Load() > 0, err: err}
	var netErr net.Error
	switch {
	case ctx.Err() != nil:
		f.reason = reasonCanceled
	case errors.As(err, &netErr) && netErr.Timeout():
		f.reason = reasonTimeout
	}
	return f
}

func write(c *conn, o *outbound) error {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", o.method, o.target, o.host)
	length := int64(len(o.body))
	if o.stream != nil {
		length = o.streamLength
	}
	switch {
	case length < 0:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	case length > 0 || o.method != http.MethodGet && o.method != http.MethodHead:
		fmt.Fprintf(&head, "Content-Length: %d\r\n", length)
	}
	if err := o.header.Write(&head); err != nil {
		return err
	}
	head.WriteString("\r\n")
	if o.stream == nil {
		head.Write(o.body)
	}
	if _, err := c.Write(head.Bytes()); err != nil || o.stream == nil {
		return err
	}
	return writeStream(c, o)
}

func writeStream(c *conn, o *outbound) error {
	if o.streamLength >= 0 {
		n, err := io.Copy(c, o.stream)
		if err == nil && n != o.streamLength {
			return io.ErrUnexpectedEOF
		}
		return err
	}
	chunked := httputil.NewChunkedWriter(c)
	if _, err := io.Copy(chunked, o.stream); err != nil {
		return err // no last chunk: the server sees a broken body
	}
	if err := chunked.Close(); err != nil {
		return err
	}
	_, err := io.WriteString(c, "\r\n")
	return err
}

// read reads the response of the request, and passes over late responses to
// others.
func read(c *conn, o *outbound, dialect Dialect) (*inbound, error) {
	for range maxStrays + 1 {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: o.method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		info := dialect.ParseResponse(response.StatusCode, response.Header)
		if info.ID != "" && info.ID != o.id {
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				return nil, err
			}
			continue
		}
		return readBody(c, response, info)
	}
	return nil, errors.New("the connection carries responses of other requests")
}

func readBody(c *conn, response *http.Response, info ResponseInfo) (*inbound, error) {
	c.idleFor = idleTime(response.Header)
	in := &inbound{status: response.StatusCode, header: response.Header, info: info}
	body, err := io.ReadAll(io.LimitReader(response.Body, bufferedResponse))
	if err != nil {
		return nil, err
	}
	in.body = body
	if len(body) == bufferedResponse {
		in.rest = response.Body
	}
	if !response.Close {
		in.finish = func(bool) {} // exchange replaces it
	}
	return in, nil
}
