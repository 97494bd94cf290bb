package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// The bounds of a small deployment, as its sheet and its settings file give them.
const (
	heartbeatInterval = 870 * time.Millisecond
	drainMillis       = 2500
	configApplyMillis = 2500
	graceSeconds      = 6
	maxHoldMillis     = 10000
	toleratedLosses   = 2
	controlHosts      = 5
	gatewayHosts      = 2
)

// process is a program of the system under test.
type process struct {
	name, binary, settings, log string
	command                     *exec.Cmd
	exited                      chan struct{}
}

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.command = exec.Command(p.binary, "platform")
	p.command.Env = append(os.Environ(), "GALENALUG_BOOT="+p.settings)
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return err
	}
	exited, command := make(chan struct{}), p.command
	p.exited = exited
	go func() {
		_ = command.Wait() // the log of the process has the reason
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process. It fails if the process has exited.
func (p *process) signal(s syscall.Signal) error { return p.command.Process.Signal(s) }

// kill ends the process at once.
func (p *process) kill() {
	if p.exited == nil {
		return
	}
	_ = p.signal(syscall.SIGKILL)
	<-p.exited
}

// ended reports whether the process has exited.
func (p *process) ended() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// cluster is a small deployment on loopback addresses: each host has an address of its own, and all use the same ports.
type cluster struct {
	dir                 string
	network             string // the first three numbers of all addresses
	ports               map[string]int
	controls, gateways  []*process
	controlIPs, gateIPs []string
}

// newCluster writes the settings of all processes.
func newCluster(target string) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	c := &cluster{dir: dir, network: fmt.Sprintf("127.%d.%d", 64+rand.IntN(100), 1+rand.IntN(200)), ports: map[string]int{}}
	for i := range controlHosts {
		c.controlIPs = append(c.controlIPs, fmt.Sprintf("%s.%d", c.network, 11+i))
	}
	for i := range gatewayHosts {
		c.gateIPs = append(c.gateIPs, fmt.Sprintf("%s.%d", c.network, 31+i))
	}
	for _, name := range []string{"peer", "admin", "control", "front", "ready"} {
		if c.ports[name], err = freePort(append(c.controlIPs, c.gateIPs...)); err != nil {
			return nil, err
		}
	}
	for i, ip := range c.controlIPs {
		p := c.process(target, "galena-control", fmt.Sprintf("control-%d", i))
		c.controls = append(c.controls, p)
		if err := os.WriteFile(p.settings, []byte(c.controlSettings(p.name, ip)), 0o600); err != nil {
			return nil, err
		}
	}
	for i, ip := range c.gateIPs {
		p := c.process(target, "galena-entry", fmt.Sprintf("gateway-%d", i))
		c.gateways = append(c.gateways, p)
		if err := os.WriteFile(p.settings, []byte(c.gatewaySettings(p.name, ip)), 0o600); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *cluster) process(target, binary, name string) *process {
	return &process{
		name: name, binary: filepath.Join(target, binary),
		settings: filepath.Join(c.dir, name+".yaml"), log: filepath.Join(c.dir, name+".log"),
	}
}

// common returns the settings that both templates of the project have.
func (c *cluster) common(name, ip string) string {
	var seeds []string
	for _, seed := range c.controlIPs[:3] {
		seeds = append(seeds, fmt.Sprintf("%q", net.JoinHostPort(seed, fmt.Sprint(c.ports["control"]))))
	}
	return fmt.Sprintf(`name: %q
domain: "zone-a"
domains: {"zone-a": "region-1", "zone-b": "region-1"}
ip: %q
peer_port: %d
admin_port: %d
seeds: [%s]
open_network: true
balance: work
share_capacity: true
drain_ms: %d
memory_mb: 284
max_descriptors: 4096
log: {level: info, format: text}
`, name, ip, c.ports["peer"], c.ports["admin"], strings.Join(seeds, ", "), drainMillis)
}

func (c *cluster) controlSettings(name, ip string) string {
	return c.common(name, ip) + fmt.Sprintf(`control_listen: "%s:%d"
data_dir: %q
found: true
queue_slots: true
tolerated_losses: %d
server_heartbeat_ms: %d
max_lease_ms: %d
config_apply_ms: %d
`, ip, c.ports["control"], filepath.Join(c.dir, name+"-data"), toleratedLosses, heartbeatInterval.Milliseconds(), maxHoldMillis, configApplyMillis)
}

func (c *cluster) gatewaySettings(name, ip string) string {
	return c.common(name, ip) + fmt.Sprintf(`listen: "%s:%d"
ready_listen: "%s:%d"
retry_ratio: 0.2
retry_slack: 60
retry_window_seconds: 10
stop_seconds: %d
pipeline_depth: 8
`, ip, c.ports["front"], ip, c.ports["ready"], graceSeconds)
}

// start starts all processes. Once the control hosts run, their settings say that this was the first start, as on the platform.
func (c *cluster) start() error {
	for _, p := range append(append([]*process{}, c.controls...), c.gateways...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	for _, p := range c.controls {
		text, err := os.ReadFile(p.settings)
		if err != nil {
			return err
		}
		if err := os.WriteFile(p.settings, []byte(strings.Replace(string(text), "found: true", "found: false", 1)), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until all gateways count as ready.
func (c *cluster) awaitReady(timeout time.Duration) error {
	until := time.Now().Add(timeout)
	for _, ip := range c.gateIPs {
		for !c.ready(ip) {
			if time.Now().After(until) {
				return fmt.Errorf("gateway %s isn't ready", ip)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (c *cluster) ready(ip string) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/ready", ip, c.ports["ready"]))
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// crashed returns the processes that have exited though nobody ended them.
func (c *cluster) crashed() []string {
	var names []string
	for _, p := range append(append([]*process{}, c.controls...), c.gateways...) {
		if p.ended() {
			names = append(names, p.name)
		}
	}
	return names
}

// stop ends all processes and removes their files.
func (c *cluster) stop() {
	for _, p := range append(append([]*process{}, c.gateways...), c.controls...) {
		p.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	}
}

func (c *cluster) controlAddresses() []string {
	var addresses []string
	for _, ip := range c.controlIPs {
		addresses = append(addresses, fmt.Sprintf("%s:%d", ip, c.ports["control"]))
	}
	return addresses
}

func (c *cluster) frontAddress(i int) string {
	return fmt.Sprintf("%s:%d", c.gateIPs[i], c.ports["front"])
}

// freePort returns a port that is free on all addresses.
func freePort(ips []string) (int, error) {
	for range 50 {
		port := 20000 + rand.IntN(12000)
		if portFree(ips, port) {
			return port, nil
		}
	}
	return 0, errors.New("no free port")
}

func portFree(ips []string, port int) bool {
	for _, ip := range ips {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		listener.Close()
	}
	return true
}
