package gateway

import (
	"context"
	"net"
	"net/http"
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
