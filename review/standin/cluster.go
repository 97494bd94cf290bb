package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Settings of the deployment, as the sheet of Banhxe Gateway has them.
const (
	heartbeatInterval = 870 * time.Millisecond
	drainTime         = 2500 * time.Millisecond
	zone              = "hai-chau"
	region            = "mien-trung"
	adminPort         = 9464 // fixed by the templates
)

// run is one play of a case.
type run struct {
	record  *record
	dir     string
	trouble bool
	limit   time.Time
	// putTimeout is how long the operator sends a configuration without a clear answer.
	putTimeout time.Duration

	ips      ipRange
	ports    ports
	controls []*program
	gateways []*program
	servers  []*server
}

type ports struct{ front, ready, control, peer int }

// ipRange is a range of loopback addresses. Each machine has one of its own, since the ports are the same on
// all machines.
type ipRange struct{ a, b int }

func (r ipRange) ip(i int) string { return fmt.Sprintf("127.%d.%d.%d", r.a, r.b, i) }

const (
	firstControl = 11
	firstGateway = 31
	firstServer  = 61
)

// program is a process of the system under test.
type program struct {
	name, role, ip string
	settings       string
	log            *os.File
	command        *exec.Cmd
	exited         chan struct{}
}

// startSystem starts the control hosts and the gateways, all at once, as the platform does.
func (r *run) startSystem(controls, gateways, tolerated int) error {
	if err := r.choosePorts(controls, gateways); err != nil {
		return err
	}
	for i := range controls {
		p, err := r.newProgram("core-"+strconv.Itoa(i+1), "galena-control", r.ips.ip(firstControl+i), tolerated, controls)
		if err != nil {
			return err
		}
		r.controls = append(r.controls, p)
	}
	for i := range gateways {
		p, err := r.newProgram("front-"+strconv.Itoa(i+1), "galena-entry", r.ips.ip(firstGateway+i), tolerated, controls)
		if err != nil {
			return err
		}
		r.gateways = append(r.gateways, p)
	}
	for _, p := range append(append([]*program{}, r.controls...), r.gateways...) {
		if err := r.start(p); err != nil {
			return err
		}
	}
	return nil
}

// choosePorts finds a range of addresses on which the ports are free.
func (r *run) choosePorts(controls, gateways int) error {
	for range 50 {
		r.ips = ipRange{a: 10 + rand.IntN(200), b: 1 + rand.IntN(250)}
		base := 20000 + rand.IntN(10000)
		r.ports = ports{front: base, ready: base + 1, control: base + 2, peer: base + 3}
		if r.portsFree(controls, gateways) {
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

func (r *run) portsFree(controls, gateways int) bool {
	var ips []string
	for i := range controls {
		ips = append(ips, r.ips.ip(firstControl+i))
	}
	for i := range gateways {
		ips = append(ips, r.ips.ip(firstGateway+i))
	}
	for _, ip := range ips {
		for _, port := range []int{r.ports.front, r.ports.ready, r.ports.control, r.ports.peer, adminPort} {
			listener, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func (r *run) controlAddress(i int) string {
	return net.JoinHostPort(r.ips.ip(firstControl+i), strconv.Itoa(r.ports.control))
}

func (r *run) frontAddress(i int) string {
	return net.JoinHostPort(r.ips.ip(firstGateway+i), strconv.Itoa(r.ports.front))
}

// templates are the settings templates that the deploy file names.
var templates = map[string]string{"galena-control": "deploy/control.yaml.tmpl", "galena-entry": "deploy/entry.yaml.tmpl"}

func (r *run) newProgram(name, role, ip string, tolerated, controls int) (*program, error) {
	template, err := os.ReadFile(templates[role])
	if err != nil {
		return nil, err
	}
	var seeds []string
	for i := range min(controls, 3) {
		seeds = append(seeds, r.controlAddress(i))
	}
	fields := map[string]any{
		"node": name, "zone": zone, "ip": ip, "internalPorts.0": r.ports.peer, "seeds": seeds,
		"zones": map[string]string{zone: region}, "listen.front": net.JoinHostPort(ip, strconv.Itoa(r.ports.front)),
		"listen.ready": net.JoinHostPort(ip, strconv.Itoa(r.ports.ready)), "listen.control": net.JoinHostPort(ip, strconv.Itoa(r.ports.control)),
		"dataDir": filepath.Join(r.dir, name), "bootstrap": true, "faultTolerance.machines": tolerated,
		"heartbeatMs": heartbeatInterval.Milliseconds(), "bounds.maxHoldMs": 10000, "bounds.drainMs": drainTime.Milliseconds(),
		"bounds.configApplyMs": 2500, "bounds.retryBudgetRatio": 0.2, "bounds.budgetSlack": 60, "bounds.retryWindowS": 10,
		"bounds.graceS": 6,
	}
	text, err := fill(string(template), fields)
	if err != nil {
		return nil, err
	}
	p := &program{name: name, role: role, ip: ip, settings: filepath.Join(r.dir, name+".yaml")}
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	p.log, err = os.Create(filepath.Join(r.dir, name+".log"))
	return p, err
}

// fill fills in a template as the platform does, without sections.
func fill(template string, fields map[string]any) (string, error) {
	for {
		before, rest, found := strings.Cut(template, "{{")
		if !found {
			return template, nil
		}
		name, after, _ := strings.Cut(rest, "}}")
		name, asJSON := strings.CutSuffix(name, "|json")
		value, known := fields[name]
		if !known {
			return "", fmt.Errorf("no value for the placeholder %q", name)
		}
		encoded, err := json.Marshal(value)
		if err != nil {
			return "", err
		}
		text := string(encoded)
		if plain, isText := value.(string); isText && !asJSON {
			text = plain
		}
		template = before + text + after
	}
}

// disableBootstrap changes the settings for all later starts. It is called once the system has started for the
// first time.
func (r *run) disableBootstrap() error {
	for _, p := range r.controls {
		text, err := os.ReadFile(p.settings)
		if err != nil {
			return err
		}
		text = []byte(strings.Replace(string(text), "found: true", "found: false", 1))
		if err := os.WriteFile(p.settings, text, 0o600); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) start(p *program) error {
	p.command = exec.Command(filepath.Join("target", p.role), "platform")
	p.command.Env = append(os.Environ(), "GALENALUG_BOOT="+p.settings)
	p.command.Stdout, p.command.Stderr = p.log, p.log
	if err := p.command.Start(); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait()
		close(exited)
	}(p.command, p.exited)
	r.record.printf("%s starts", p.name)
	return nil
}

// stop sends a signal and waits until the process has ended; after 6 s it is killed.
func (r *run) stop(p *program, s syscall.Signal) {
	r.record.printf("%s gets %v", p.name, s)
	_ = p.command.Process.Signal(s)
	select {
	case <-p.exited:
	case <-time.After(6 * time.Second):
		_ = p.command.Process.Kill()
		<-p.exited
	}
	r.record.printf("%s has ended", p.name)
}

// end ends all processes and servers of the run. KEEP=FOLDER keeps the logs of the processes.
func (r *run) end() {
	for _, s := range r.servers {
		s.end()
	}
	for _, p := range append(append([]*program{}, r.controls...), r.gateways...) {
		if p.command != nil && p.command.Process != nil {
			_ = p.command.Process.Kill()
			<-p.exited
		}
		_ = p.log.Close()
		if keep := os.Getenv("KEEP"); keep != "" {
			if text, err := os.ReadFile(p.log.Name()); err == nil {
				_ = os.WriteFile(filepath.Join(keep, p.name+".log"), text, 0o600)
			}
		}
	}
}

// waitFor waits until a condition holds.
func (r *run) waitFor(what string, atMost time.Duration, holds func() bool) error {
	until := time.Now().Add(atMost)
	for !holds() {
		if time.Now().After(until) || time.Now().After(r.limit) {
			return fmt.Errorf("waited in vain until %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
	r.record.printf("%s", what)
	return nil
}
