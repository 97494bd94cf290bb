package forward

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/galenalug/galenalug/internal/idle"
)

// newTestPool returns a pool of at most 2 connections, and the server's ends of the connections that it
// opens.
func newTestPool(t *testing.T) (*pool, chan net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	accepted := make(chan net.Conn, 10)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	return &pool{address: listener.Addr().String(), limit: 2, dial: dialTCP, counters: &counters{}}, accepted
}

func acquire(t *testing.T, p *pool, aliveSince time.Time) *conn {
	t.Helper()
	c, err := p.acquire(context.Background(), aliveSince)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestIdleConnectionIsChecked checks that an idle connection is not reused if the server has closed it,
// or has sent a response late. The next request would fail, or get the response of another request.
func TestIdleConnectionIsChecked(t *testing.T) {
	for name, spoil := range map[string]func(net.Conn){
		"closed": func(c net.Conn) { _ = c.Close() },
		"late":   func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") },
	} {
		t.Run(name, func(t *testing.T) {
			p, accepted := newTestPool(t)
			first := acquire(t, p, time.Time{})
			p.release(first)
			spoil(<-accepted)
			for first.peekIdle() == idle.Quiet {
				<-time.After(time.Millisecond) // waits until the client's socket shows the close or the bytes
			}
			if second := acquire(t, p, time.Time{}); second == first {
				t.Fatal("acquire returned the unusable idle connection")
			}
			if late := p.counters.lateResponses.Load(); (name == "late") != (late == 1) {
				t.Errorf("%d late responses counted in case %q", late, name)
			}
		})
	}
}

// TestUnprovenConnection checks that a request that may not be repeated gets only an idle connection
// that was alive recently enough: if the server has closed it meanwhile, the request cannot be retried.
func TestUnprovenConnection(t *testing.T) {
	p, _ := newTestPool(t)
	first := acquire(t, p, time.Time{})
	p.release(first)
	if again := acquire(t, p, first.lastAlive); again != first {
		t.Fatal("acquire did not return the idle connection that was alive since the given time")
	}
	p.release(first)
	if other := acquire(t, p, first.lastAlive.Add(1)); other == first {
		t.Fatal("acquire returned an idle connection not known to be alive since the given time")
	}
}

func TestPoolIsBounded(t *testing.T) {
	p, _ := newTestPool(t)
	first := acquire(t, p, time.Time{})
	acquire(t, p, time.Time{})
	if _, err := p.acquire(context.Background(), time.Time{}); !errors.Is(err, errPoolFull) {
		t.Fatalf("third connection: got error %v, want %v", err, errPoolFull)
	}
	p.discard(first)
	acquire(t, p, time.Time{})
	if p.size() != 2 {
		t.Fatalf("%d connections open, want 2", p.size())
	}
}
