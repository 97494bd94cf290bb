package main

import (
	"context"
	"net/http"
	"os"
	"runtime/debug"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/urfave/cli/v3"

	"github.com/galenalug/galenalug/internal/admin"
	"github.com/galenalug/galenalug/internal/config"
	"github.com/galenalug/galenalug/internal/daemon"
	"github.com/galenalug/galenalug/internal/eventlog"
	"github.com/galenalug/galenalug/internal/fleet"
	"github.com/galenalug/galenalug/internal/logging"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/platform"
)

// platformCommand runs the control host for gateways on the users' platform.
func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run as a control host of gateways; settings from $" + platform.SettingsVariable,
		Action: func(ctx context.Context, _ *cli.Command) error {
			debug.SetGCPercent(daemon.SmallHostGCPercent)
			s, err := config.LoadFleet(os.Getenv(platform.SettingsVariable))
			if err != nil {
				return err
			}
			lines := eventlog.NewWriter(os.Stdout)
			defer lines.Close()
			if err := logging.Setup(s.Log, lines); err != nil {
				return err
			}
			secret, err := config.ReadOptionalSecret(s.PeerSecretFile)
			if err != nil {
				return err
			}
			operatorSecret, err := config.ReadOptionalSecret(s.OperatorSecretFile)
			if err != nil {
				return err
			}
			registry := prometheus.NewRegistry()
			host, err := fleet.New(fleet.Options{Settings: &s, Secret: secret, Registry: registry})
			if err != nil {
				return err
			}
			operators, err := admin.Start(admin.Options{
				Address: fleet.PeerAddress(s.Ip, s.AdminPort), Registry: registry, Dump: host.Dump,
				Handlers: map[string]http.Handler{wire.PathRoutes: host.OperatorAPI(operatorSecret, s.OpenNetwork)},
			})
			if err != nil {
				return err
			}
			defer operators.Stop()
			calls, err := platform.NewControl(s.ControlListen, host)
			if err != nil {
				return err
			}
			return daemon.Run(ctx, &controlProcess{Host: host, calls: calls}, stopTimeout, os.Stderr)
		},
	}
}

// controlProcess is a control host with the listener for the platform's calls.
type controlProcess struct {
	*fleet.Host
	calls *platform.Control
}

// Start starts the control host, and then takes calls.
func (p *controlProcess) Start() error {
	if err := p.Host.Start(); err != nil {
		return err
	}
	p.calls.Start()
	return nil
}

// Stop hands leadership over while calls are still passed on, and ends.
func (p *controlProcess) Stop(ctx context.Context) error {
	err := p.Host.Stop(ctx)
	if callsErr := p.calls.Stop(ctx); err == nil {
		err = callsErr
	}
	return err
}
