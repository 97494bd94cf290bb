package gateway

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"
)

// A request that has arrived on an idle connection, and that the server has not
// read for lack of processor time, holds up the stop.
func TestStopWaitsForRequestsThatWereNotReadYet(t *testing.T) {
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
	c := newClients()
	c.note(conn, http.StateIdle)
	if c.unread() {
		t.Error("unread bytes on a connection that carried none")
	}
	if _, err := client.Write([]byte("GET / HTTP/1.1\r\n")); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	c.awaitRead(ctx)
	if ctx.Err() == nil {
		t.Error("the stop did not wait for a request that was not read")
	}
	c.note(conn, http.StateActive) // the server reads it
	ctx, cancel = context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	c.awaitRead(ctx)
	if ctx.Err() != nil {
		t.Error("the stop waits for a request that the server is reading")
	}
}
