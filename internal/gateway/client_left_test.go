package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// reachTime is how long after its client has left a request may still reach a server.
const reachTime = 500 * time.Millisecond

// sendRaw sends a request, or the beginning of one, on a connection of its own.
func (f *fixture) sendRaw(method, path, id string, length int, body string) net.Conn {
	f.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		f.t.Fatal(err)
	}
	head := method + " " + path + " HTTP/1.1\r\nHost: depot.example\r\nTest-Id: " + id + "\r\nTest-Key: 7\r\nTest-Left: 900\r\nContent-Length: " + strconv.Itoa(length) + "\r\n\r\n"
	if _, err := io.WriteString(conn, head+body); err != nil {
		f.t.Fatal(err)
	}
	return conn
}

// listen returns a listener for a backend server.
func listen(t *testing.T) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// slowDial opens connections after a delay, and ends early only if the context does.
func slowDial(delay time.Duration) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
}

// Guards against a request that is sent to a server although its client left while the connection was
// being opened, over a full link: it would run for nobody.
func TestRequestIsNotSentAfterClientLeftWhileConnecting(t *testing.T) {
	for _, path := range []string{"/look/1", "/order/1", "/photo/1"} {
		t.Run(path, func(t *testing.T) {
			server := newFakeBackend(t, okResponse("yes"))
			f := newFixture(t)
			f.host.backends.dial = slowDial(300 * time.Millisecond)
			f.publish(server)
			conn := f.sendRaw(http.MethodPost, path, "a1", 3, "two")
			time.Sleep(50 * time.Millisecond)
			_ = conn.Close()
			time.Sleep(reachTime)
			if n := server.count(); n != 0 {
				t.Errorf("%d requests reached the server after the client had left, want none", n)
			}
		})
	}
}

// smallBuffers opens connections whose kernel buffers hold little.
func smallBuffers(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return conn, conn.(*net.TCPConn).SetWriteBuffer(4 << 10)
}

// Guards against the body of a request whose client has left, and that no server can have in full yet,
// occupying a full link to its end.
func TestIncompleteRequestIsAbortedWhenClientLeaves(t *testing.T) {
	const size = 900 << 10
	f, listener := newFixture(t), listen(t)
	f.host.backends.dial = smallBuffers
	f.publish(&fakeBackend{t: t, listener: listener})
	client := f.sendRaw(http.MethodPost, "/order/1", "a1", size, strings.Repeat("x", size))
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	time.Sleep(100 * time.Millisecond)
	_ = client.Close()
	time.Sleep(100 * time.Millisecond)
	_ = conn.SetReadDeadline(time.Now().Add(reachTime))
	if n, err := io.Copy(io.Discard, conn); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the server could read %d bytes (error: %v), want the connection to be reset", n, err)
	}
}

// Guards against a request that waits in the kernel behind other bytes and reaches its server long after
// its client has left.
func TestUnacknowledgedRequestIsDiscardedWhenClientLeaves(t *testing.T) {
	const size = 900 << 10
	f, listener := newFixture(t), listen(t)
	f.host.backends.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return conn, conn.(*net.TCPConn).SetWriteBuffer(2 * size) // the whole request is written at once
	}
	f.publish(&fakeBackend{t: t, listener: listener})
	client := f.sendRaw(http.MethodPost, "/order/1", "a1", size, strings.Repeat("x", size))
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	time.Sleep(ackTime)
	_ = client.Close()
	time.Sleep(2 * ackTime)
	_ = conn.SetReadDeadline(time.Now().Add(reachTime))
	if n, err := io.Copy(io.Discard, conn); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the server could read %d bytes (error: %v), want the connection to be reset", n, err)
	}
}

// Guards against an order that is broken off at a server that has it in full: it may be running.
func TestOrderIsLeftToItsServerWhenClientLeaves(t *testing.T) {
	ended := make(chan error, 1)
	server := newFakeBackend(t, func(conn net.Conn, _ *http.Request, _ []byte) bool {
		_ = conn.SetReadDeadline(time.Now().Add(reachTime))
		_, err := conn.Read(make([]byte, 1))
		ended <- err
		return false
	})
	f := newFixture(t)
	f.publish(server)
	client := f.sendRaw(http.MethodPost, "/order/1", "a1", 3, "two")
	time.Sleep(100 * time.Millisecond)
	_ = client.Close()
	if err := <-ended; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the connection of the running order ended: %v", err)
	}
}

// streamedBytes is the size of a body that the gateway streams.
const streamedBytes = 4 * maxBufferedBody

// recorder is a backend server that never responds and records how each connection ended.
type recorder struct {
	listener net.Listener
	ended    chan recordedConn
}

// recordedConn is what a recorder received on a connection.
type recordedConn struct {
	bytes int64
	err   error // nil if a complete request was received
}

func newRecorder(t *testing.T) *recorder {
	listener := listen(t)
	r := &recorder{listener: listener, ended: make(chan recordedConn, 10)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.record(conn)
		}
	}()
	return r
}

func (r *recorder) record(conn net.Conn) {
	defer conn.Close()
	var received bytes.Buffer
	request, err := http.ReadRequest(bufio.NewReader(io.TeeReader(conn, &received)))
	if err == nil {
		_, err = io.Copy(io.Discard, request.Body)
	}
	r.ended <- recordedConn{bytes: int64(received.Len()), err: err}
}

// Guards against an exchange that waits until its timeout for the response to a body that has broken off.
func TestBodyThatBreaksOffEndsExchange(t *testing.T) {
	server := newRecorder(t)
	f := newFixture(t)
	f.publish(&fakeBackend{t: t, listener: server.listener})
	client := f.sendRaw(http.MethodPost, "/photo/1", "a1", streamedBytes, strings.Repeat("x", streamedBytes/2))
	time.Sleep(100 * time.Millisecond)
	_ = client.Close()
	select {
	case got := <-server.ended:
		if got.err == nil {
			t.Error("the server took the body that broke off for a complete one")
		}
	case <-time.After(reachTime):
		t.Errorf("the server still waits for the body %v after its client has left", reachTime)
	}
}

// Guards against a large body that waits for an owner of its key while its client leaves: as long as
// bytes of it are unread, net/http does not notice that.
func TestLargeBodyIsNotSentAfterClientLeftWhileWaiting(t *testing.T) {
	server := newRecorder(t)
	f := newFixture(t)
	f.publish(nil)
	client := f.sendRaw(http.MethodPost, "/order/1", "a1", streamedBytes, strings.Repeat("x", maxBufferedBody+10))
	time.Sleep(100 * time.Millisecond)
	_ = client.Close()
	time.Sleep(20 * time.Millisecond)
	f.publish(&fakeBackend{t: t, listener: server.listener})
	time.Sleep(reachTime)
	f.host.backends.get(f.host.view.servers["s1"].Server).close()
	select {
	case got := <-server.ended:
		if got.bytes > 0 {
			t.Errorf("%d bytes reached the server after the client had left, want none", got.bytes)
		}
	case <-time.After(reachTime):
		t.Error("the connection is still in use")
	}
}
