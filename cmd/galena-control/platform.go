package main

import (
	"context"
	"net/http"
	"os"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/urfave/cli/v3"

	"github.com/galenalug/galenalug/internal/admin"
	"github.com/galenalug/galenalug/internal/clientconn"
	"github.com/galenalug/galenalug/internal/config"
	"github.com/galenalug/galenalug/internal/daemon"
	"github.com/galenalug/galenalug/internal/fleet"
	"github.com/galenalug/galenalug/internal/hostlimits"
	"github.com/galenalug/galenalug/internal/membudget"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/platform"
)

// platformCommand runs a control host of the gateways on the users' platform.
func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run as a control host of gateways; settings from $" + platform.SettingsVariable,
		Action: func(ctx context.Context, _ *cli.Command) error {
			s, err := config.LoadFleet(os.Getenv(platform.SettingsVariable))
			if err != nil {
				return err
			}
			logWriter, err := daemon.SetUpSmallHost(s.Log, hostlimits.Read(s.MemoryMb, s.MaxDescriptors))
			if err != nil {
				return err
			}
			defer logWriter.Close()
			secret, err := config.ReadOptionalSecret(s.PeerSecretFile)
			if err != nil {
				return err
			}
			operatorSecret, err := config.ReadOptionalSecret(s.OperatorSecretFile)
			if err != nil {
				return err
			}
			registry := prometheus.NewRegistry()
			limits := hostlimits.Read(s.MemoryMb, s.MaxDescriptors)
			budget := membudget.New(limits.Budget())
			clients, err := clientconn.NewMetrics(registry, budget)
			if err != nil {
				return err
			}
			host, err := fleet.New(fleet.Options{
				Settings: &s, Secret: secret, Registry: registry, NewGrantCaller: platform.NewGrantCaller,
				PeerGuard: clientconn.New(clientconn.Options{Name: "peers", Max: limits.Peers(), Metrics: clients}),
			})
			if err != nil {
				return err
			}
			operatorAPI := host.OperatorAPI(operatorSecret, s.OpenNetwork)
			adminServer, err := admin.Start(admin.Options{
				Address: fleet.PeerAddress(s.Ip, s.AdminPort), Registry: registry, Dump: host.Dump,
				Metrics: clients,
				Handlers: map[string]http.Handler{
					wire.PathRoutes: operatorAPI, wire.PathFleetServers: operatorAPI,
					wire.PathEvacuations: operatorAPI, wire.PathEvacuations + "/": operatorAPI,
				},
			})
			if err != nil {
				return err
			}
			defer adminServer.Stop()
			platformAPI, err := platform.NewBoundedControl(s.ControlListen, host, platform.CallLimits{
				Budget: budget, Connections: limits.Calls(), Metrics: clients,
				Rate: clientconn.RateOf(s.ClientMinBytesPerSecond, s.ClientMinRateSeconds),
			})
			if err != nil {
				return err
			}
			return daemon.Run(ctx, &controlProcess{Host: host, platformAPI: platformAPI}, stopTimeout, os.Stderr)
		},
	}
}

// controlProcess is a control host with the server for the platform's API calls.
type controlProcess struct {
	*fleet.Host
	platformAPI *platform.Control
}

// Start starts the control host, and then the API server.
func (p *controlProcess) Start() error {
	if err := p.Host.Start(); err != nil {
		return err
	}
	p.platformAPI.Start()
	return nil
}

// Stop transfers leadership while API calls are still forwarded, and then stops the API server.
func (p *controlProcess) Stop(ctx context.Context) error {
	err := p.Host.Stop(ctx)
	if apiErr := p.platformAPI.Stop(ctx); err == nil {
		err = apiErr
	}
	return err
}
