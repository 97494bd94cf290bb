package abuse

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/galenalug/galenalug/internal/config"
	"github.com/galenalug/galenalug/internal/testport"
	"github.com/galenalug/galenalug/platform"
)

// The host that the settings of each process under test name. The bounds of the tests follow from it.
const (
	hostMemoryMB    = 96
	hostDescriptors = 256
)

const (
	// answerTimeout bounds the wait for the response to an ordinary request, with retries.
	answerTimeout = 60 * time.Second
	// logEndBytes is how much of the log of a process a failed test shows, bytes.
	logEndBytes = 1500
	// sampleInterval is the interval between counts of open descriptors.
	sampleInterval = 10 * time.Millisecond
)

// Addresses of the processes.
const (
	controlIP = "127.0.0.71"
	entryIP   = "127.0.0.72"
	serverIP  = "127.0.0.73"
)

// binaries is the directory of the programs under test.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "abuse")
		if err != nil {
			panic(err)
		}
		defer os.RemoveAll(dir)
		binaries = dir
		command := exec.Command("go", "build", "-o", dir+"/", "../../cmd/galena-entry", "../../cmd/galena-control")
		if out, err := command.CombinedOutput(); err != nil {
			panic(fmt.Sprintf("build: %v\n%s", err, out))
		}
		return m.Run()
	}())
}

// process is a process of the system under test.
type process struct {
	t       *testing.T
	command *exec.Cmd
	exited  chan struct{}
	dir     string

	descriptors atomic.Int64 // largest count of open descriptors so far
}

// startProcess starts a program with its settings and stops it at the end of the test.
func startProcess(t *testing.T, program, kind, settings string) *process {
	t.Helper()
	p := &process{t: t, exited: make(chan struct{}), dir: t.TempDir()}
	path := filepath.Join(p.dir, "settings.yaml")
	write(t, path, settings+hostSettings)
	p.command = exec.Command(filepath.Join(binaries, program), "platform")
	if kind == config.KindEntry {
		p.command.Args = []string{p.command.Path, "--settings", path}
	}
	p.command.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	log, err := os.Create(filepath.Join(p.dir, "log"))
	if err != nil {
		t.Fatal(err)
	}
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.command.Wait() // failures show in the log of the process
		close(p.exited)
	}()
	sampling, stop := context.WithCancel(context.Background())
	sampled := make(chan struct{})
	go func() {
		defer close(sampled)
		p.sampleDescriptors(sampling)
	}()
	t.Cleanup(func() {
		stop()
		<-sampled
		_ = p.command.Process.Kill() // fails if the process has exited
		<-p.exited
		_ = log.Close()
		if t.Failed() {
			t.Logf("end of the log of %s:\n%s", program, p.logEnd())
		}
	})
	return p
}

// logEnd returns the last lines of the log of the process.
func (p *process) logEnd() []byte {
	log, err := os.ReadFile(filepath.Join(p.dir, "log"))
	if err != nil {
		p.t.Error(err)
	}
	return log[max(0, len(log)-logEndBytes):]
}

// hostSettings are the settings that name the host's memory and descriptors.
var hostSettings = fmt.Sprintf("memory_mb: %d\nmax_descriptors: %d\n", hostMemoryMB, hostDescriptors)

func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func (p *process) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func (p *process) sampleDescriptors(ctx context.Context) {
	for ctx.Err() == nil {
		if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid)); err == nil {
			p.descriptors.Store(max(p.descriptors.Load(), int64(len(open))))
		}
		time.Sleep(sampleInterval)
	}
}

// peakMemory returns the largest resident set of the process so far, bytes.
func (p *process) peakMemory() int64 {
	p.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	for _, line := range strings.Split(string(status), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmHWM:" {
			kilobytes, err := strconv.ParseInt(fields[1], 10, 64)
			if err != nil {
				p.t.Fatal(err)
			}
			return kilobytes << 10
		}
	}
	p.t.Fatal("no VmHWM in the status of the process")
	return 0
}

// check checks the process against the bounds of its host.
func (p *process) check() {
	p.t.Helper()
	if !p.alive() {
		p.t.Fatal("the process has ended")
	}
	memory, descriptors := p.peakMemory(), p.descriptors.Load()
	p.t.Logf("memory at most %d MB of %d MB, descriptors at most %d of %d", memory>>20, hostMemoryMB, descriptors, hostDescriptors)
	if memory > hostMemoryMB<<20 {
		p.t.Errorf("memory grew to %d MB, the host has %d MB", memory>>20, hostMemoryMB)
	}
	if descriptors > hostDescriptors {
		p.t.Errorf("%d descriptors were open, the host has %d", descriptors, hostDescriptors)
	}
}

// fleet is a control host, a gateway and a backend server.
type fleet struct {
	control, gateway *process

	controlAPI, controlPeers, controlAdmin string // addresses of the control host
	clients, ready, entryAdmin             string // addresses of the gateway
}

const routesText = `{"version":"00000001","routes":{"columns":["name","host","pathPrefix","kind","timeoutMs","targetLatencyMs","priority","service","maxAttempts"],"rows":[` +
	`["look","depot.example","/look/","safe",20000,500,2,"stock",2],["order","depot.example","/order/","unsafe",20000,500,1,"stock",2],["large","depot.example","/large/","safe",20000,500,1,"stock",2]]},` +
	`"services":{"columns":["name","healthPath","maxConns","useShards"],"rows":[["stock","/health",400,false]]},` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// startControl starts a control host and gives it a configuration.
func startControl(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{}
	ports := freePorts(t)
	f.controlAPI, f.controlPeers, f.controlAdmin = join(controlIP, ports[0]), join(controlIP, ports[1]), join(controlIP, ports[2])
	f.clients, f.ready, f.entryAdmin = join(entryIP, ports[3]), join(entryIP, ports[4]), join(entryIP, ports[2])
	f.control = startProcess(t, "galena-control", config.KindFleet, f.common(controlIP, ports)+fmt.Sprintf(
		"control_listen: %q\ndata_dir: %q\nfound: true\ntolerated_losses: 0\nserver_heartbeat_ms: 300\n", f.controlAPI, memoryDir(t)))
	ordinary(t, func() error {
		request, err := http.NewRequest(http.MethodPost, "http://"+f.controlAPI+"/config/put", strings.NewReader(routesText))
		if err != nil {
			return err
		}
		request.Header.Set("X-Base-Version", "0")
		return expect(request, http.StatusOK)
	})
	return f
}

// memoryDir returns a directory for the control host's log. It is in memory if the system has such a file system: the
// tests don't depend on the disk, and on a busy one a control host took 54 s to start.
func memoryDir(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("/dev/shm", "abuse")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) }) // the process that writes there has ended
	return dir
}

func (f *fleet) common(ip string, ports []int) string {
	return fmt.Sprintf("name: host-%s\ndomain: d1\nip: %s\npeer_port: %d\nadmin_port: %d\nopen_network: true\nseeds: [%q]\n",
		ip, ip, ports[1], ports[2], f.controlAPI)
}

// startFleet starts a control host, a gateway and a backend server, and waits until requests are served.
func startFleet(t *testing.T) *fleet {
	t.Helper()
	f := startControl(t)
	startServer(t, f.controlAPI)
	_, port, _ := net.SplitHostPort(f.controlPeers)
	peers, _ := strconv.Atoi(port)
	_, port, _ = net.SplitHostPort(f.controlAdmin)
	admin, _ := strconv.Atoi(port)
	f.gateway = startProcess(t, "galena-entry", config.KindGateway, f.common(entryIP, []int{0, peers, admin})+fmt.Sprintf(
		"domains: {d1: r1}\nlisten: %q\nready_listen: %q\nlog: {level: warn}\n", f.clients, f.ready))
	f.served(t)
	return f
}

// served checks that the gateway serves an ordinary request.
func (f *fleet) served(t *testing.T) {
	t.Helper()
	ordinary(t, func() error {
		request, err := http.NewRequest(http.MethodGet, "http://"+f.clients+"/look/1", nil)
		if err != nil {
			return err
		}
		request.Host = "depot.example"
		return expect(request, http.StatusOK)
	})
}

// startEntry starts an entry host that has no control host, so that it refuses requests for services.
func startEntry(t *testing.T) (p *process, clients string) {
	t.Helper()
	ports := freePorts(t)
	secret := filepath.Join(t.TempDir(), "secret")
	write(t, secret, "0123456789abcdef0123456789abcdef")
	clients = join(entryIP, ports[0])
	p = startProcess(t, "galena-entry", config.KindEntry, fmt.Sprintf(
		"name: e1\nregion: r1\ndomain: d1\nlisten: %q\nadmin_listen: %q\npeer_secret_file: %q\nserver_secret_file: %q\n"+
			"controls: [{name: c1, region: r1, domain: d1, address: %q}]\nlog: {level: error}\n",
		clients, join(entryIP, ports[1]), secret, secret, join(controlIP, ports[2])))
	answered(t, "http://"+clients+"/v1/services/stock/1")
	return p, clients
}

// answered checks that a request gets a response, whatever its status.
func answered(t *testing.T, url string) {
	t.Helper()
	ordinary(t, func() error {
		request, err := http.NewRequest(http.MethodGet, url, nil)
		if err != nil {
			return err
		}
		return expect(request, 0)
	})
}

// ordinary repeats an ordinary request until it succeeds.
func ordinary(t *testing.T, send func() error) {
	t.Helper()
	var err error
	failed := map[string]int{}
	started := time.Now()
	for time.Since(started) < answerTimeout {
		if err = send(); err == nil {
			t.Logf("answered after %v; failed before: %v", time.Since(started).Round(time.Millisecond), failed)
			return
		}
		failed[err.Error()]++
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("no response to an ordinary request: %v", err)
}

// expect sends a request on a connection of its own, and fails if the response has another status; 0 stands for any.
func expect(request *http.Request, status int) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if status != 0 && response.StatusCode != status {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

func join(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

func freePorts(t *testing.T) []int {
	t.Helper()
	ports := make([]int, 5)
	for i := range ports {
		port, err := testport.Free(controlIP, entryIP, serverIP)
		if err != nil {
			t.Fatal(err)
		}
		ports[i] = port
	}
	return ports
}

// largeResponse is the size of the responses of the route "large". It exceeds what the kernel buffers on the way.
const largeResponse = 4 << 20

// startServer starts a backend server, which sends heartbeats to the control host.
func startServer(t *testing.T, control string) {
	t.Helper()
	listener, err := net.Listen("tcp", serverIP+":0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(serve)}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(listener) })
	running.Go(func() { sendHeartbeats(ctx, control, listener.Addr().String()) })
	t.Cleanup(func() {
		cancel()
		_ = server.Close()
		running.Wait()
	})
}

func serve(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.Header().Set("X-Instance-Id", "s-1")
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Server-Seal", "seal")
	w.Header().Set("X-Server-Load", "1,0,400")
	if !strings.HasPrefix(r.URL.Path, "/large/") {
		_, _ = io.WriteString(w, "done")
		return
	}
	piece := make([]byte, 32<<10)
	for range largeResponse / len(piece) {
		if _, err := w.Write(piece); err != nil {
			return
		}
	}
}

func sendHeartbeats(ctx context.Context, control, address string) {
	born := time.Now().UnixMilli()
	for sequence := 1; ctx.Err() == nil; sequence++ {
		body, err := json.Marshal(map[string]any{
			"address": address, "born": born,
			"info":   map[string]any{"service": "stock", "zone": "d1", "slots": 400, "version": "v1"},
			"status": map[string]any{"state": "ready", "seq": sequence, "warmupLeftMs": 0},
		})
		if err != nil {
			panic(err)
		}
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+control+"/instances/s-1/heartbeat", strings.NewReader(string(body)))
		if err != nil {
			panic(err)
		}
		_ = expect(request, http.StatusOK) // the next one may succeed
		select {
		case <-ctx.Done():
		case <-time.After(300 * time.Millisecond):
		}
	}
}

// crowd is a number of clients that stay connected until the end of the test.
type crowd struct {
	clients sync.WaitGroup
	end     chan struct{}
	acted   sync.WaitGroup // clients that have not done yet what makes the load
}

const (
	// clientTimeout bounds what each client of a crowd does, besides staying connected.
	clientTimeout = 4 * time.Second
	// settleTime is how long the process under test has, after all clients have acted, to read what they sent.
	settleTime = 700 * time.Millisecond
)

// startCrowd connects a number of clients at once and lets each of them act. It returns when all have acted, or could
// not because they were refused.
func startCrowd(t *testing.T, address string, size int, act func(net.Conn) error) {
	t.Helper()
	c := &crowd{end: make(chan struct{})}
	for range size {
		c.acted.Add(1)
		c.clients.Go(func() { c.run(address, act) })
	}
	t.Cleanup(func() {
		close(c.end)
		c.clients.Wait()
	})
	c.acted.Wait()
	time.Sleep(settleTime)
}

// run is one client. A write that fails is no error: the client was cut off.
func (c *crowd) run(address string, act func(net.Conn) error) {
	dialer := net.Dialer{Timeout: clientTimeout, Control: smallReceiveBuffer}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		c.acted.Done()
		return
	}
	defer conn.Close()
	_ = conn.SetWriteDeadline(time.Now().Add(clientTimeout)) // fails only if the connection is closed
	_ = act(conn)
	c.acted.Done()
	<-c.end
}

// smallReceiveBuffer bounds what the kernel receives for a client that does not read.
func smallReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) // saves memory only
	})
}
