package clientconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/galenalug/galenalug/internal/membudget"
)

// fixture is a guarded HTTP server, whose paths /read and /large read a body and write a large response.
type fixture struct {
	t       *testing.T
	guard   *Guard
	metrics *Metrics
	log     *memory.Handler
	address string
}

func newFixture(t *testing.T, o Options) *fixture {
	t.Helper()
	f := &fixture{t: t, log: memory.New()}
	registry := prometheus.NewRegistry()
	var err error
	if f.metrics, err = NewMetrics(registry, membudget.New(1<<20)); err != nil {
		t.Fatal(err)
	}
	o.Name, o.Metrics, o.Logger = "test", f.metrics, &log.Logger{Handler: f.log, Level: log.InfoLevel}
	f.guard = New(o)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.address = listener.Addr().String()
	server := &http.Server{ConnContext: WithConn, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := From(r.Context())
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			w.WriteHeader(http.StatusRequestTimeout)
			return
		}
		conn.SetServing(true)
		if r.URL.Path == "/wait" {
			time.Sleep(400 * time.Millisecond)
		}
		conn.SetServing(false)
		if r.URL.Path == "/large" {
			_, _ = w.Write(make([]byte, 32<<20)) // fails if the client is cut off
		}
	})}
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = server.Serve(f.guard.Listen(listener)) }()
	go f.guard.Watch(ctx)
	t.Cleanup(func() {
		cancel()
		_ = server.Close()
	})
	return f
}

// dial connects and sends a text.
func (f *fixture) dial(text string) net.Conn {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.address)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		f.t.Fatal(err)
	}
	return conn
}

// answer returns what the connection yields until its end, or for a generous time.
func answer(conn net.Conn) string {
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	text, _ := io.ReadAll(conn) // a reset counts as the end
	return string(text)
}

const plainGet = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// Guards against a crowd of connections that no new client gets past.
func TestStalledConnectionsGiveWay(t *testing.T) {
	f := newFixture(t, Options{Max: 4, Stall: 100 * time.Millisecond})
	for range 4 {
		f.dial("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nfour")
	}
	refusedAtOnce := answer(f.dial(""))
	if !strings.Contains(refusedAtOnce, "503") || !strings.Contains(refusedAtOnce, "Retry-After") {
		t.Errorf("a connection beyond the bound got %q", refusedAtOnce)
	}
	time.Sleep(300 * time.Millisecond)
	if got := answer(f.dial(strings.Replace(plainGet, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))); !strings.Contains(got, "200") {
		t.Errorf("a new client got %q though others are stalled", got)
	}
	if n := testutil.ToFloat64(f.metrics.cut.WithLabelValues(string(GaveWay))); n != 1 {
		t.Errorf("%v connections gave way, want 1", n)
	}
	if entries := f.log.Entries; len(entries) != 2 {
		t.Errorf("%d log lines, want one for each client that was cut off", len(entries))
	}
}

// Guards against cutting off a client that waits for its response.
func TestServedConnectionsStay(t *testing.T) {
	f := newFixture(t, Options{Max: 1, Stall: 50 * time.Millisecond, Rate: Rate{BytesPerSecond: 1 << 20, Window: 100 * time.Millisecond}})
	waiting := f.dial(strings.Replace(plainGet, "/ HTTP/1.1\r\n", "/wait HTTP/1.1\r\nConnection: close\r\n", 1))
	time.Sleep(200 * time.Millisecond)
	if got := answer(f.dial("")); !strings.Contains(got, "503") {
		t.Errorf("a new client got %q", got)
	}
	if got := answer(waiting); !strings.Contains(got, "200") {
		t.Errorf("the client that waited got %q", got)
	}
}

// Guards against clients that stop sending in the middle of a body, and stay.
func TestSlowSenderGetsTimeout(t *testing.T) {
	f := newFixture(t, Options{Max: 10, Rate: Rate{BytesPerSecond: 100, Window: time.Second}})
	if got := answer(f.dial("POST /read HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nfour")); !strings.Contains(got, "408") {
		t.Errorf("a client that sends too slowly got %q", got)
	}
	if n := testutil.ToFloat64(f.metrics.cut.WithLabelValues(string(SlowSender))); n != 1 {
		t.Errorf("%v clients were cut off, want 1", n)
	}
}

// Guards against clients that don't read a response, and stay.
func TestSlowReaderIsCutOff(t *testing.T) {
	f := newFixture(t, Options{Max: 10, Rate: Rate{BytesPerSecond: 100, Window: time.Second}})
	conn := f.dial(strings.Replace(plainGet, "/ ", "/large ", 1))
	for len(f.guard.count()) == 0 { // until the connection is admitted
		time.Sleep(time.Millisecond)
	}
	for until := time.Now().Add(10 * time.Second); len(f.guard.count()) > 0; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("a client that reads nothing is still connected")
		}
	}
	if n := testutil.ToFloat64(f.metrics.cut.WithLabelValues(string(SlowReader))); n != 1 {
		t.Errorf("%v clients were cut off, want 1", n)
	}
	_ = conn
}

// Guards against cutting off a client that keeps the rate while one write of a large response is in progress.
func TestSteadyReaderOfLargeWriteStays(t *testing.T) {
	f := newFixture(t, Options{Max: 10, Rate: Rate{BytesPerSecond: 20_000, Window: time.Second}})
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 64<<10) })
	}}
	conn, err := dialer.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, strings.Replace(plainGet, "/ ", "/large ", 1)); err != nil {
		t.Fatal(err)
	}
	for range 80 { // 4 s at 640 kB/s; the response has 32 MiB
		if _, err := io.ReadFull(conn, make([]byte, 32<<10)); err != nil {
			t.Fatalf("the client was cut off: %v", err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	if n := testutil.ToFloat64(f.metrics.cut.WithLabelValues(string(SlowReader))); n != 0 {
		t.Error("the client was cut off")
	}
}

// Guards against cutting off idle connections.
func TestIdleConnectionStays(t *testing.T) {
	f := newFixture(t, Options{Max: 10, Rate: Rate{BytesPerSecond: 1 << 20, Window: 600 * time.Millisecond}})
	conn := f.dial(plainGet)
	time.Sleep(2 * time.Second)
	if counts := f.guard.count(); counts[Idle] != 1 {
		t.Errorf("states are %v, want one idle connection", counts)
	}
	if _, err := io.WriteString(conn, strings.Replace(plainGet, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)); err != nil {
		t.Fatal(err)
	}
	if got := answer(conn); strings.Count(got, "200") != 2 {
		t.Errorf("two requests got %q", got)
	}
}

// Guards against a default rate that an honest client on a poor line does not keep: 60 kB at 2 kB/s, with pauses.
func TestDefaultRateBearsPoorLine(t *testing.T) {
	var m meter
	moved := int64(0)
	for tick := range 120 {
		pause := tick%40 >= 20 // of 10 s
		if !pause {
			moved += 1000
		}
		if !m.observe(DefaultRate, moved, watchInterval) {
			t.Fatalf("cut off after %d bytes", moved)
		}
	}
}

// Guards against a client that keeps its connection by a byte from time to time.
func TestDefaultRateEndsDripping(t *testing.T) {
	var m meter
	for tick := range 31 {
		if !m.observe(DefaultRate, int64(tick*50), watchInterval) {
			return
		}
	}
	t.Error("100 bytes a second were enough")
}
