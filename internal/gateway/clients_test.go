package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// A request that arrived on an idle connection, but was not read yet for lack of processor time,
// must delay the stop.
func TestStopWaitsForUnreadRequests(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := newClientConns()
	c.setState(conn, http.StateIdle)
	if c.hasUnread() {
		t.Error("hasUnread reports unread bytes on a connection that received none")
	}
	if _, err := client.Write([]byte("GET / HTTP/1.1\r\n")); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	c.awaitRead(ctx)
	if ctx.Err() == nil {
		t.Error("awaitRead returned while a request was unread")
	}
	c.setState(conn, http.StateActive) // the server reads it
	ctx, cancel = context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	c.awaitRead(ctx)
	if ctx.Err() != nil {
		t.Error("awaitRead waits for a request that the server is reading")
	}
}

// Guards against a stop that closes a kept connection while a request is on its way: the request was
// sent 2 s after the stop began and arrives 400 ms later, over a full link.
func TestRequestOnItsWayIsAnsweredDuringStop(t *testing.T) {
	const sentAfter, linkDelay = 2 * time.Second, 400 * time.Millisecond
	f := newFixture(t)
	f.host.settings.StopSeconds = 6
	server := newFakeBackend(t, okResponse("yes"))
	f.publish(server)
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	request := func() *http.Response {
		t.Helper()
		if _, err := io.WriteString(conn, "GET /look/1 HTTP/1.1\r\nHost: depot.example\r\nTest-Id: a1\r\nTest-Key: 7\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("the connection ended without a response: %v", err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			t.Fatal(err)
		}
		return response
	}
	request()
	stopped := make(chan error, 1)
	started := time.Now()
	go func() { stopped <- f.host.Stop(context.Background()) }()
	time.Sleep(sentAfter + linkDelay)
	response := request()
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" || !response.Close {
		t.Errorf("status %d, header %v; want 503 with Retry-After on a connection that closes", response.StatusCode, response.Header)
	}
	if server.count() != 1 {
		t.Errorf("the server received %d requests; want only the one before the stop", server.count())
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	if took := time.Since(started); took > 3*time.Second {
		t.Errorf("the stop took %v though the client had left after 2.4 s", took)
	}
}
