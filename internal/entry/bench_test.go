package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// benchClient sends lookups over one connection.
type benchClient struct {
	conn    net.Conn
	reader  *bufio.Reader
	request []byte
}

func newBenchClient(b *testing.B, address, path string) *benchClient {
	b.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = c.Close() })
	return &benchClient{c, bufio.NewReader(c), []byte("GET " + path + " HTTP/1.1\r\nHost: x\r\nGalena-Key: k\r\n\r\n")}
}

func (c *benchClient) call(b *testing.B) {
	if _, err := c.conn.Write(c.request); err != nil {
		b.Error(err)
		return
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		b.Error(err)
		return
	}
	if response.StatusCode != 200 {
		b.Errorf("status %d", response.StatusCode)
	}
	_, _ = io.Copy(io.Discard, response.Body)
}

// BenchmarkAddedLatency compares the latency of lookups through the host with that of direct calls to
// the same server. Both alternate within one run.
func BenchmarkAddedLatency(b *testing.B) {
	server := startRawServer(b, respondBench)
	deps := newFakeDependencies()
	deps.setOwner(server.address(), 7)
	host := startHost(b, deps, nil)
	through := newBenchClient(b, host.Addr(), "/v1/services/orders/x")
	direct := newBenchClient(b, server.address(), "/x")
	times := map[*benchClient]*hdrhistogram.Histogram{
		through: hdrhistogram.New(1, 10_000_000, 3), direct: hdrhistogram.New(1, 10_000_000, 3),
	}
	b.ResetTimer()
	for range b.N {
		for client, histogram := range times {
			started := time.Now()
			client.call(b)
			_ = histogram.RecordValue(time.Since(started).Microseconds())
		}
	}
	b.ReportMetric(float64(times[direct].ValueAtQuantile(50)), "direct-p50-us")
	b.ReportMetric(float64(times[direct].ValueAtQuantile(99)), "direct-p99-us")
	b.ReportMetric(float64(times[through].ValueAtQuantile(50)), "host-p50-us")
	b.ReportMetric(float64(times[through].ValueAtQuantile(99)), "host-p99-us")
}

func respondBench(_ *rawServer, c net.Conn, _ *http.Request, _ int) bool {
	_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	return err == nil
}

// BenchmarkRequestsPerCore measures the CPU time per request with and without the host. The difference
// is the CPU time of the host itself.
func BenchmarkRequestsPerCore(b *testing.B) {
	server := startRawServer(b, respondBench)
	deps := newFakeDependencies()
	deps.setOwner(server.address(), 7)
	host := startHost(b, deps, nil)
	direct := cpuTimePerRequest(b, server.address(), "/x")
	through := cpuTimePerRequest(b, host.Addr(), "/v1/services/orders/x")
	hostOnly := max(through-direct, time.Nanosecond)
	b.ReportMetric(float64(hostOnly.Nanoseconds())/1000, "host-cpu-us/request")
	b.ReportMetric(float64(time.Second)/float64(hostOnly), "requests/s/core")
}

// cpuTimePerRequest returns this process's CPU time per request.
func cpuTimePerRequest(b *testing.B, address, path string) time.Duration {
	const clients, requests = 4, 2000
	var all sync.WaitGroup
	before := processCPUTime(b)
	for range clients {
		client := newBenchClient(b, address, path)
		all.Go(func() {
			for range requests {
				client.call(b)
			}
		})
	}
	all.Wait()
	return (processCPUTime(b) - before) / (clients * requests)
}

func processCPUTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
