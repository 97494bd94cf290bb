package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Values of a small deployment, as its settings file states them.
const (
	heartbeatInterval = 1500 * time.Millisecond
	drainMillis       = 2500
	configApplyMillis = 2500
	evacuateMillis    = 5000
	graceSeconds      = 6
)

// zones lists the failure domains and their regions.
var zones = map[string]string{"norte-a": "norte", "norte-b": "norte", "lisboa-a": "lisboa", "lisboa-b": "lisboa"}

// zoneOrder is the order in which processes are placed.
var zoneOrder = []string{"norte-a", "lisboa-a", "norte-b", "lisboa-b"}

// ports are the same on all hosts.
type ports struct{ control, front, ready, peer int }

// process is one of the project's programs.
type process struct {
	name, ip string
	program  string // galena-control or galena-entry
	settings string // path of the settings file
	log      *os.File
	cmd      *exec.Cmd
	ended    chan struct{}
}

// cluster is a small deployment on loopback addresses.
type cluster struct {
	record   *record
	root     string // of the repository
	dir      string // temporary folder
	subnet   string // first three numbers of all addresses
	ports    ports
	controls []*process
	gateways []*process
	// offersEvacuations is whether the bounds name evacuateMs.
	offersEvacuations bool
}

// newCluster prepares processes without starting them.
func newCluster(r *record, controls, gateways int, offersEvacuations bool) (*cluster, error) {
	root, err := repositoryRoot()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	c := &cluster{record: r, root: root, dir: dir, offersEvacuations: offersEvacuations}
	c.subnet = fmt.Sprintf("127.%d.%d", 16+os.Getpid()%200, 1+os.Getpid()/200%250)
	if c.ports, err = freePorts(c.address(1, 0)); err != nil {
		return nil, err
	}
	for i := range controls {
		c.controls = append(c.controls, &process{name: fmt.Sprintf("core-%d", i+1), ip: c.ip(11 + i), program: "galena-control"})
	}
	for i := range gateways {
		c.gateways = append(c.gateways, &process{name: fmt.Sprintf("front-%d", i+1), ip: c.ip(31 + i), program: "galena-entry"})
	}
	for i, p := range append(append([]*process{}, c.controls...), c.gateways...) {
		if err := c.writeSettings(p, zoneOrder[i%len(zoneOrder)]); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// repositoryRoot returns the closest folder above the working folder that has the deploy file.
func repositoryRoot() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "deploy", "system.toml")); err == nil {
			return dir, nil
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			return "", fmt.Errorf("no deploy/system.toml above the working folder")
		}
		dir = parent
	}
}

func (c *cluster) ip(number int) string { return fmt.Sprintf("%s.%d", c.subnet, number) }

func (c *cluster) address(number, port int) string {
	return net.JoinHostPort(c.ip(number), strconv.Itoa(port))
}

// freePorts returns ports that are free on an address. All addresses of the run's subnet are its own.
func freePorts(address string) (ports, error) {
	var found [4]int
	for i := range found {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return ports{}, err
		}
		defer l.Close()
		found[i] = l.Addr().(*net.TCPAddr).Port
	}
	return ports{control: found[0], front: found[1], ready: found[2], peer: found[3]}, nil
}

var placeholder = regexp.MustCompile(`\{\{([^{}|]*)(\|json)?\}\}`)

// writeSettings fills the template of the deploy file for a process.
func (c *cluster) writeSettings(p *process, zone string) error {
	seeds := []string{}
	for i := range min(3, len(c.controls)) {
		seeds = append(seeds, net.JoinHostPort(c.controls[i].ip, strconv.Itoa(c.ports.control)))
	}
	fields := map[string]any{
		"node": p.name, "zone": zone, "ip": p.ip, "zones": zones, "seeds": seeds, "internalPorts.0": c.ports.peer,
		"listen.front":   net.JoinHostPort(p.ip, strconv.Itoa(c.ports.front)),
		"listen.ready":   net.JoinHostPort(p.ip, strconv.Itoa(c.ports.ready)),
		"listen.control": net.JoinHostPort(p.ip, strconv.Itoa(c.ports.control)),
		"dataDir":        filepath.Join(c.dir, p.name), "bootstrap": true, "faultTolerance.machines": (len(c.controls) - 1) / 2,
		"heartbeatMs": heartbeatInterval.Milliseconds(), "bounds.retryBudgetRatio": 0.2, "bounds.budgetSlack": 56,
		"bounds.retryWindowS": 10, "bounds.graceS": graceSeconds, "bounds.drainMs": drainMillis,
		"bounds.configApplyMs": configApplyMillis, "bounds.maxHoldMs": 10000, "limits.memoryMb": 284, "limits.maxFds": 4100,
	}
	if c.offersEvacuations {
		fields["bounds.evacuateMs"] = evacuateMillis
	}
	template := map[string]string{"galena-control": "control.yaml.tmpl", "galena-entry": "entry.yaml.tmpl"}[p.program]
	text, err := os.ReadFile(filepath.Join(c.root, "deploy", template))
	if err != nil {
		return err
	}
	filled := placeholder.ReplaceAllStringFunc(string(text), func(found string) string {
		parts := placeholder.FindStringSubmatch(found)
		value, known := fields[parts[1]]
		if !known {
			return ""
		}
		if s, ok := value.(string); ok && parts[2] == "" {
			return s
		}
		encoded, _ := json.Marshal(value) // strings, numbers and lists of them
		return string(encoded)
	})
	if err := os.MkdirAll(filepath.Join(c.dir, p.name), 0o700); err != nil {
		return err
	}
	p.settings = filepath.Join(c.dir, p.name+".yaml")
	return os.WriteFile(p.settings, []byte(filled), 0o600)
}

// start starts a process.
func (c *cluster) start(p *process) error {
	if p.log == nil {
		log, err := os.Create(filepath.Join(c.dir, p.name+".log"))
		if err != nil {
			return err
		}
		p.log = log
	}
	cmd := exec.Command(filepath.Join(c.root, "target", p.program), "platform")
	cmd.Dir, cmd.Stdout, cmd.Stderr = c.root, p.log, p.log
	cmd.Env = append(os.Environ(), "GALENALUG_BOOT="+p.settings)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.cmd, p.ended = cmd, ended
	go func() {
		_ = cmd.Wait() // the exit code says nothing of a process that is killed
		close(ended)
	}()
	return nil
}

func (c *cluster) startAll() error {
	for _, p := range append(append([]*process{}, c.controls...), c.gateways...) {
		if err := c.start(p); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to a running process.
func (c *cluster) signal(p *process, s syscall.Signal) {
	c.record.add("%s: signal %s", p.name, s)
	_ = p.cmd.Process.Signal(s) // fails only if the process has ended
}

// stop ends all processes and removes the temporary folder, unless KEEP is set.
func (c *cluster) stop() {
	var all sync.WaitGroup
	for _, p := range append(append([]*process{}, c.controls...), c.gateways...) {
		if p.cmd == nil {
			continue
		}
		all.Go(func() {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			<-p.ended
			_ = p.log.Close()
		})
	}
	all.Wait()
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs are in", c.dir)
		return
	}
	_ = os.RemoveAll(c.dir)
}

// controlAddresses returns the addresses at which operators and servers reach the control hosts.
func (c *cluster) controlAddresses() []string {
	var addresses []string
	for _, p := range c.controls {
		addresses = append(addresses, net.JoinHostPort(p.ip, strconv.Itoa(c.ports.control)))
	}
	return addresses
}

// front returns the address at which clients reach a gateway.
func (c *cluster) front(i int) string {
	return net.JoinHostPort(c.gateways[i].ip, strconv.Itoa(c.ports.front))
}

// logged reports whether a process has logged a text, and returns the first line with it.
func (c *cluster) logged(p *process, texts ...string) (line string, found bool) {
	data, err := os.ReadFile(filepath.Join(c.dir, p.name+".log"))
	if err != nil {
		return "", false
	}
	for _, line := range strings.Split(string(data), "\n") {
		all := true
		for _, text := range texts {
			all = all && strings.Contains(line, text)
		}
		if all {
			return line, true
		}
	}
	return "", false
}
