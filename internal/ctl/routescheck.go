package ctl

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/galenalug/galenalug/internal/config"
	"github.com/galenalug/galenalug/internal/wire"
	"github.com/galenalug/galenalug/keyrange"
	"github.com/galenalug/galenalug/routecheck"
)

// checkRoutesCommand checks a route configuration before it is put.
func (p *program) checkRoutesCommand() *cli.Command {
	return &cli.Command{
		Name: "check", ArgsUsage: "FILE", Action: p.checkRoutes,
		Usage: "check the configuration in FILE without sending it, and compare it with the one in force and with the servers",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "offline", Usage: "query no control host"},
			&cli.BoolFlag{Name: "json", Usage: "print the result as JSON"},
			&cli.BoolFlag{Name: "strict", Usage: "fail also if there are warnings"},
			&cli.DurationFlag{Name: "client-wait", Usage: "longest `TIME` that clients wait for a response, such as 30s"},
			&cli.Float64Flag{Name: "host-memory-mb", Usage: "memory of the smallest entry host, `MIB`"},
		},
	}
}

// bytesPerMiB converts the unit of --host-memory-mb, which is that of the setting memory_mb.
const bytesPerMiB = 1 << 20

func (p *program) checkRoutes(ctx context.Context, c *cli.Command) error {
	if err := requireArguments(c, 1); err != nil {
		return err
	}
	if c.Duration("client-wait") < 0 || c.Float64("host-memory-mb") < 0 {
		return errors.Wrap(errUsage, "--client-wait and --host-memory-mb must not be negative")
	}
	file := c.Args().First()
	put, err := config.ReadRoutes(file)
	if err != nil {
		return p.printReport(c, file, unreadableReport(err))
	}
	in := routecheck.Input{Config: put.Config, Base: put.Base, Fleet: routecheck.Fleet{
		ClientWaitMillis: c.Duration("client-wait").Milliseconds(),
		HostMemoryBytes:  int64(c.Float64("host-memory-mb") * bytesPerMiB),
	}}
	if !c.Bool("offline") {
		if err := queryFleet(ctx, c, &in); err != nil {
			return err
		}
	}
	return p.printReport(c, file, routecheck.Check(in))
}

// unreadableReport returns the report on a file that holds no configuration.
func unreadableReport(err error) *routecheck.Report {
	var invalid *config.Error
	if !errors.As(err, &invalid) {
		return routecheck.InvalidFile([]routecheck.FileProblem{{Detail: err.Error()}})
	}
	var problems []routecheck.FileProblem
	for _, p := range invalid.Problems {
		problems = append(problems, routecheck.FileProblem{Setting: p.Setting, Detail: p.Detail})
	}
	return routecheck.InvalidFile(problems)
}

// queryFleet queries the control hosts for the configuration in force and the servers. What they can't tell is added to
// in.NotCompared. It fails if the settings of galenactl are invalid.
func queryFleet(ctx context.Context, c *cli.Command, in *routecheck.Input) error {
	if c.String("settings") == "" {
		in.NotCompared = append(in.NotCompared, "the configuration in force and the servers are not known: --settings FILE is missing")
		return nil
	}
	hosts, err := openClient(c)
	if err != nil {
		return err
	}
	var calls errgroup.Group
	var configErr, serversErr error
	calls.Go(func() error {
		configErr = queryConfig(ctx, hosts, in)
		return nil
	})
	calls.Go(func() error {
		serversErr = queryServers(ctx, hosts, &in.Fleet)
		return nil
	})
	_ = calls.Wait() // the calls return no errors
	if configErr != nil {
		in.NotCompared = append(in.NotCompared, "the configuration in force is not known: "+reason(configErr))
	}
	if serversErr != nil {
		in.NotCompared = append(in.NotCompared, "the servers are not known: "+reason(serversErr))
	}
	return nil
}

// reason formats an error of hostClient.get for a finding.
func reason(err error) string {
	return strings.ReplaceAll(strings.TrimSuffix(err.Error(), ": "+errRefused.Error()), "\n", "; ")
}

func queryConfig(ctx context.Context, hosts *hostClient, in *routecheck.Input) error {
	body, err := hosts.get(ctx, wire.PathRoutes)
	if err != nil {
		return err
	}
	current, err := config.DecodeRoutes(body)
	if err != nil {
		return err
	}
	in.Current = &current.Config
	return nil
}

// queryServers sets the servers of the fleet. Draining servers get no requests, so they are left out.
func queryServers(ctx context.Context, hosts *hostClient, fleet *routecheck.Fleet) error {
	body, err := hosts.get(ctx, wire.PathFleetServers)
	if err != nil {
		return err
	}
	var list keyrange.ServerList
	if err := json.Unmarshal(body, &list); err != nil {
		return errors.Wrap(err, "decode servers")
	}
	fleet.ServersKnown = true
	for _, s := range list.Servers {
		if !s.Draining {
			fleet.Servers = append(fleet.Servers, routecheck.Server{Service: s.Service, Region: s.Region, Slots: s.Slots})
		}
	}
	return nil
}

// printReport prints a report. It fails if the report has errors or, with --strict, warnings.
func (p *program) printReport(c *cli.Command, file string, report *routecheck.Report) error {
	write := report.WriteText
	if c.Bool("json") {
		write = report.WriteJSON
	}
	if err := write(p.stdout); err != nil {
		return err
	}
	failures, warnings := report.Count(routecheck.Error), report.Count(routecheck.Warning)
	if failures > 0 || c.Bool("strict") && warnings > 0 {
		return errors.Errorf("%s: errors: %d, warnings: %d", file, failures, warnings)
	}
	return nil
}
