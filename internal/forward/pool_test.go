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

// pair returns a pool and the server's ends of the connections it opens.
func pair(t *testing.T) (*pool, chan net.Conn) {
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
	return &pool{address: listener.Addr().String(), limit: 2, dial: dialTCP, counts: &counters{}}, accepted
}

func acquire(t *testing.T, p *pool, provenAfter time.Time) *conn {
	t.Helper()
	c, err := p.acquire(context.Background(), provenAfter)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestIdleConnectionIsChecked makes an idle connection closed, or late with an
// answer, before it is wanted again.
func TestIdleConnectionIsChecked(t *testing.T) {
	for name, spoil := range map[string]func(net.Conn){
		"closed": func(c net.Conn) { _ = c.Close() },
		"late":   func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") },
	} {
		t.Run(name, func(t *testing.T) {
			p, accepted := pair(t)
			first := acquire(t, p, time.Time{})
			p.release(first)
			spoil(<-accepted)
			for first.peekIdle() == idle.Quiet {
				<-time.After(time.Millisecond) // waits for the state, proves nothing by itself
			}
			if second := acquire(t, p, time.Time{}); second == first {
				t.Fatal("the connection was used again")
			}
			if late := p.counts.lateAnswers.Load(); (name == "late") != (late == 1) {
				t.Errorf("%d late answers counted", late)
			}
		})
	}
}

// TestUnprovenConnection asks for a connection for a request that may not be
// repeated.
func TestUnprovenConnection(t *testing.T) {
	p, _ := pair(t)
	first := acquire(t, p, time.Time{})
	p.release(first)
	if again := acquire(t, p, first.answered); again != first {
		t.Fatal("a proven connection was not used")
	}
	p.release(first)
	if other := acquire(t, p, first.answered.Add(1)); other == first {
		t.Fatal("an unproven connection was used")
	}
}

func TestPoolIsBounded(t *testing.T) {
	p, _ := pair(t)
	first := acquire(t, p, time.Time{})
	acquire(t, p, time.Time{})
	if _, err := p.acquire(context.Background(), time.Time{}); !errors.Is(err, errPoolFull) {
		t.Fatalf("a third connection: %v", err)
	}
	p.discard(first)
	acquire(t, p, time.Time{})
	if p.size() != 2 {
		t.Fatalf("%d connections are open", p.size())
	}
}
