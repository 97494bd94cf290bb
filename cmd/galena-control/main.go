// Command galena-control runs a control host, which holds the replicated logs, decides ownership and
// membership, and serves the operator API.
package main

import (
	"context"
	"os"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/urfave/cli/v3"

	"github.com/galenalug/galenalug/internal/config"
	"github.com/galenalug/galenalug/internal/control"
	"github.com/galenalug/galenalug/internal/daemon"
	"github.com/galenalug/galenalug/internal/hostlimits"
	"github.com/galenalug/galenalug/internal/logging"
)

// stopTimeout limits the wait for the transfer of leadership at shutdown.
const stopTimeout = 10 * time.Second

func main() {
	os.Exit(daemon.Main(daemon.Program{
		Name:        "galena-control",
		Usage:       "control host of galenalug",
		Kind:        config.KindControl,
		StopTimeout: func() time.Duration { return stopTimeout },
		Open:        open,
		Commands:    []*cli.Command{initCommand(), platformCommand()},
	}, os.Args, os.Stderr))
}

func open(path string) (daemon.Process, error) {
	s, err := config.LoadControl(path)
	if err != nil {
		return nil, err
	}
	if err := logging.Setup(s.Log, os.Stderr); err != nil {
		return nil, err
	}
	limits := hostlimits.Read(s.MemoryMb, s.MaxDescriptors)
	limits.Apply()
	for _, warning := range limits.CheckSystem() {
		log.Warn(warning)
	}
	peerSecret, err := config.ReadSecret(s.PeerSecretFile)
	if err != nil {
		return nil, err
	}
	operatorSecret, err := config.ReadSecret(s.OperatorSecretFile)
	if err != nil {
		return nil, err
	}
	host, err := control.New(control.Options{
		Settings:       &s,
		PeerSecret:     peerSecret,
		OperatorSecret: operatorSecret,
		Registry:       prometheus.NewRegistry(),
	})
	if err != nil {
		return nil, err
	}
	return host, nil
}

func initCommand() *cli.Command {
	return &cli.Command{
		Name:  "init",
		Usage: "create the data folder of a control host of a new deployment; run it once on each host, and never on a host that lost its disk",
		Flags: []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "YAML settings `FILE`", Required: true}},
		Action: func(_ context.Context, c *cli.Command) error {
			s, err := config.LoadControl(c.String("settings"))
			if err != nil {
				return err
			}
			return control.InitializeData(&s)
		},
	}
}
