package idle

import (
	"net"
	"testing"
	"time"
)

func TestPeek(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	expect := func(want State) {
		t.Helper()
		for until := time.Now().Add(5 * time.Second); Peek(client) != want; time.Sleep(time.Millisecond) {
			if time.Now().After(until) {
				t.Fatalf("state is %d, want %d", Peek(client), want)
			}
		}
	}
	expect(Quiet)
	if _, err := server.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	expect(Readable)
	expect(Readable) // Peek did not consume the byte
	if _, err := client.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	expect(Quiet)
	_ = server.Close()
	expect(Closed)
	pipe, _ := net.Pipe()
	if Peek(pipe) != Closed {
		t.Error("a connection that is not a socket is not reported as Closed")
	}
}
