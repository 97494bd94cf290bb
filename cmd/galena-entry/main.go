// Command galena-entry runs an entry host, which accepts HTTP requests from clients and routes each
// of them to the backend server that owns its key.
package main

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"os"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/urfave/cli/v3"

	"github.com/galenalug/galenalug/internal/config"
	"github.com/galenalug/galenalug/internal/daemon"
	"github.com/galenalug/galenalug/internal/entry"
	"github.com/galenalug/galenalug/internal/hostlimits"
	"github.com/galenalug/galenalug/internal/logging"
	"github.com/galenalug/galenalug/internal/peer"
	"github.com/galenalug/galenalug/internal/routing"
	"github.com/galenalug/galenalug/internal/settings"
)

// stopMargin is the time that a shutdown may take beyond unready_seconds and drain_seconds.
const stopMargin = 5 * time.Second

func main() {
	os.Exit(run())
}

func run() int {
	stopTimeout := stopMargin
	return daemon.Main(daemon.Program{
		Name:        "galena-entry",
		Usage:       "entry host of galenalug",
		Kind:        config.KindEntry,
		StopTimeout: func() time.Duration { return stopTimeout },
		Open: func(path string) (daemon.Process, error) {
			s, err := config.LoadEntry(path)
			if err != nil {
				return nil, err
			}
			stopTimeout = time.Duration(s.DrainSeconds+s.UnreadySeconds)*time.Second + stopMargin
			return open(&s)
		},
		Commands: []*cli.Command{platformCommand()},
	}, os.Args, os.Stderr)
}

// process is an entry host with its connections to the control hosts.
type process struct {
	link *routing.Link
	host *entry.Host
	done chan struct{}
}

func open(s *settings.EntrySettings) (*process, error) {
	if err := logging.Setup(s.Log, os.Stderr); err != nil {
		return nil, err
	}
	peerSecret, err := config.ReadSecret(s.PeerSecretFile)
	if err != nil {
		return nil, err
	}
	serverSecret, err := config.ReadSecret(s.ServerSecretFile)
	if err != nil {
		return nil, err
	}
	operatorSecret, err := config.ReadOptionalSecret(s.OperatorSecretFile)
	if err != nil {
		return nil, err
	}
	limits := hostlimits.Read(s.MemoryMb, s.MaxDescriptors)
	limits.Apply()
	for _, warning := range limits.CheckSystem() {
		log.Warn(warning)
	}
	registry := prometheus.NewRegistry()
	link := routing.New(routing.Options{
		Settings:    s,
		PeerSecret:  peerSecret,
		Incarnation: newIncarnation(),
		Metrics:     peer.NewMetrics(registry),
	})
	host, err := entry.New(entry.Options{
		Settings:       s,
		Table:          link.Table(),
		RunLedger:      link,
		Limits:         link.Limits(),
		Sessions:       link,
		Observer:       link.Observer(),
		ServerSecret:   string(serverSecret),
		OperatorSecret: string(operatorSecret),
		Registry:       registry,
		Seed:           rand.Uint64(),
		Dump:           link.Dump,
		HasTables:      link.HasTables,
	})
	if err != nil {
		return nil, errors.Wrap(err, "create entry host")
	}
	link.ProbeWith(host.Probe)
	return &process{link: link, host: host, done: make(chan struct{})}, nil
}

// newIncarnation returns a random id that distinguishes this process from earlier ones of the host.
func newIncarnation() string {
	var id [8]byte
	for i := range id {
		id[i] = byte(rand.Uint32())
	}
	return hex.EncodeToString(id[:])
}

// Start connects to the control hosts and serves requests in the background.
func (p *process) Start() error {
	p.link.Start()
	go func() {
		defer close(p.done)
		if err := p.host.Run(); err != nil {
			log.WithError(err).Fatal("entry host server failed")
		}
	}()
	return nil
}

// Stop waits for the requests in progress and closes the connections to the control hosts.
func (p *process) Stop(ctx context.Context) error {
	err := p.host.Stop(ctx)
	p.link.Stop()
	return err
}

// Dump returns the state of the process.
func (p *process) Dump() any { return p.host.Dump() }
