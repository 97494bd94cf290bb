package main

import (
	"context"
	"os"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/urfave/cli/v3"

	"github.com/galenalug/galenalug/internal/admin"
	"github.com/galenalug/galenalug/internal/clock"
	"github.com/galenalug/galenalug/internal/config"
	"github.com/galenalug/galenalug/internal/daemon"
	"github.com/galenalug/galenalug/internal/fleet"
	"github.com/galenalug/galenalug/internal/gateway"
	"github.com/galenalug/galenalug/internal/hostlimits"
	"github.com/galenalug/galenalug/platform"
)

// settingsPollInterval is the time between two checks of the settings file for changes.
const settingsPollInterval = time.Second

// platformCommand runs an entry host as a gateway on the users' platform.
func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run as a gateway that routes by host and path; settings from $" + platform.SettingsVariable,
		Action: func(ctx context.Context, _ *cli.Command) error {
			path := os.Getenv(platform.SettingsVariable)
			s, err := config.LoadGateway(path)
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
			registry := prometheus.NewRegistry()
			host, err := gateway.New(gateway.Options{
				Settings: &s, Secret: secret, Dialect: platform.Dialect{}, Registry: registry,
			})
			if err != nil {
				return err
			}
			adminServer, err := admin.Start(admin.Options{
				Address: fleet.PeerAddress(s.Ip, s.AdminPort), Registry: registry, Dump: host.Dump, Metrics: host.ClientMetrics(),
			})
			if err != nil {
				return err
			}
			defer adminServer.Stop()
			p := &gatewayProcess{Host: host, path: path}
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			go daemon.WatchFile(ctx, path, settingsPollInterval, p.reloadAndLog)
			return daemon.Run(ctx, p, clock.Seconds(s.StopSeconds), os.Stderr)
		},
	}
}

// gatewayProcess is a gateway that can reload its settings.
type gatewayProcess struct {
	*gateway.Host
	path string
}

// Reload reloads the list of control hosts; changes of other settings need a restart.
func (p *gatewayProcess) Reload() error {
	s, err := config.LoadGateway(p.path)
	if err != nil {
		return err
	}
	p.SetSeeds(s.Seeds)
	log.WithField("seeds", s.Seeds).Info("settings reloaded")
	return nil
}

func (p *gatewayProcess) reloadAndLog() {
	if err := p.Reload(); err != nil {
		log.WithError(err).Error("reloading the settings failed; the previous settings stay in force")
	}
}
