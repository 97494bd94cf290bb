package entry

import (
	"context"
	"io"
	"time"

	"github.com/apex/log"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenalug/galenalug/internal/clientconn"
	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/forward"
	"github.com/galenalug/galenalug/internal/hostlimits"
	"github.com/galenalug/galenalug/internal/idle"
	"github.com/galenalug/galenalug/internal/membudget"
	"github.com/galenalug/galenalug/internal/settings"
)

const (
	// maxHeadBytes is the maximum size of a request's head, bytes.
	maxHeadBytes = 16 << 10
	// headCopies is how many times its size a head takes in memory: as it was read, parsed, and copied for a server.
	headCopies = 8
	// maxAdminBodyBytes is the maximum size of the body of a request to the admin address, which needs none, bytes.
	maxAdminBodyBytes = 4 << 10
	// maxAdminConns is the number of connections to the admin address, which has the load balancer's check.
	maxAdminConns = 32
	// adminStall is how long a connection to the admin address may make no progress before it gives way.
	adminStall = 250 * time.Millisecond
	// adminReadTimeout bounds the time to receive a request to the admin address.
	adminReadTimeout = 5 * time.Second
	// adminIdleTimeout is how long a connection to the admin address may be idle.
	adminIdleTimeout = 2 * time.Minute
	// senseInterval is the interval between checks whether the caller of a running request has disconnected.
	senseInterval = 50 * time.Millisecond
	// memoryRetryAfter is the Retry-After of requests that are refused for want of memory.
	memoryRetryAfter = time.Second
)

// Reasons of refusals.
const (
	reasonMemory  = "memory-short"
	reasonTooSlow = "too-slow"
)

// callerLimits bounds what callers may take of the host.
type callerLimits struct {
	budget            *membudget.Budget
	guard, adminGuard *clientconn.Guard
}

func newCallerLimits(s *settings.EntrySettings, config hostConfig, registry *prometheus.Registry, logger log.Interface) (*callerLimits, error) {
	host := hostlimits.Read(s.MemoryMb, s.MaxDescriptors)
	for _, warning := range host.Check(hostlimits.Limit{
		Name: "max_body_bytes", Value: int64(config.maxBodyBytes), Bytes: int64(config.maxBodyBytes),
	}) {
		logger.Warn(warning)
	}
	budget := membudget.New(host.Budget())
	metrics, err := clientconn.NewMetrics(registry, budget)
	if err != nil {
		return nil, err
	}
	rate := clientconn.RateOf(s.ClientMinBytesPerSecond, s.ClientMinRateSeconds)
	return &callerLimits{
		budget: budget,
		guard: clientconn.New(clientconn.Options{
			Name: "callers", Max: host.Clients(), Rate: rate, Metrics: metrics, Logger: logger,
		}),
		adminGuard: clientconn.New(clientconn.Options{
			Name: "admin", Max: maxAdminConns, Rate: rate, Stall: adminStall, Metrics: metrics, Logger: logger,
		}),
	}, nil
}

// heldByCaller is what a request holds of its caller's connection and of the memory budget.
type heldByCaller struct {
	conn    *clientconn.Conn
	account *membudget.Account
}

func (l *callerLimits) open(c *app.RequestContext) *heldByCaller {
	held := &heldByCaller{conn: l.guard.Find(c.RemoteAddr().String())}
	held.account = l.budget.Open(clock.Now(), func() {
		held.conn.RecordCut(clientconn.MemoryShort)
		held.conn.StopReading()
	})
	return held
}

func (held *heldByCaller) close() {
	held.conn.SetServing(false)
	held.account.Close()
}

// takeHead takes the memory of the request's head, and reports whether there was enough.
func (held *heldByCaller) takeHead(c *app.RequestContext) bool {
	return held.account.Take(clock.Now(), membudget.Heads, headCopies*int64(len(c.Request.Header.RawHeaders())))
}

// refuseForMemory returns the refusal of a request for which there is no memory. Its connection is closed.
func (held *heldByCaller) refuseForMemory(c *app.RequestContext) *refusal {
	if !held.account.Evicted() { // recorded otherwise
		held.conn.RecordCut(clientconn.MemoryShort)
	}
	held.conn.StopReading()
	c.SetConnectionClose()
	failure := refuseNotRun(503, reasonMemory, "the host has no memory for the request")
	failure.retryAfter = memoryRetryAfter
	return failure
}

// awaitServer states that the caller waits for the host.
func (held *heldByCaller) awaitServer() {
	held.conn.SetServing(true)
	held.account.SetAtServer(clock.Now(), true)
}

// senseDisconnect calls cancel once the caller has disconnected, until the returned function is called.
func (held *heldByCaller) senseDisconnect(cancel context.CancelFunc) (stop func()) {
	held.awaitServer()
	if held.conn == nil {
		return func() {}
	}
	ended := make(chan struct{})
	go func() {
		ticker := time.NewTicker(senseInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ended:
				return
			case <-ticker.C:
			}
			if idle.HungUp(held.conn) {
				cancel()
				return
			}
		}
	}()
	return func() { close(ended) }
}

// bodyReader reads a body for as long as it makes progress. The timeout of hertz would bound the whole body.
type bodyReader struct {
	reader  io.Reader
	held    *heldByCaller
	timeout time.Duration
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	if r.held.conn != nil && !r.held.account.Evicted() && !r.held.conn.SendsTooSlowly() {
		_ = r.held.conn.SetReadDeadline(time.Now().Add(r.timeout)) // fails only if the connection is closed
	}
	r.held.conn.SetServing(false)
	r.held.account.SetAtServer(clock.Now(), false)
	n, err := r.reader.Read(p)
	r.held.awaitServer()
	return n, err
}

// cancelAfter calls cancel once a response is no longer needed. A streamed one is read after its handler has returned.
func cancelAfter(response *forward.Response, cancel context.CancelFunc) {
	if response == nil || response.Stream == nil {
		cancel()
	}
}

// cancelingStream is a streamed response, with which the context of its request ends.
type cancelingStream struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (s *cancelingStream) Close() error {
	defer s.cancel()
	return s.ReadCloser.Close()
}
