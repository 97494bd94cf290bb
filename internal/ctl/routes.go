package ctl

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/galenalug/galenalug/internal/config"
	"github.com/galenalug/galenalug/internal/wire"
)

// routesCommand reads, checks and replaces the route configuration of the gateways.
func (p *program) routesCommand() *cli.Command {
	return &cli.Command{Name: "routes", Usage: "read, check or replace the route configuration of the gateways", Action: requireSubcommand, Commands: []*cli.Command{
		{Name: "get", Usage: "print the configuration in force as YAML; to change it, raise its version and use put",
			Action: func(ctx context.Context, c *cli.Command) error { return p.printResponse(ctx, c, wire.PathRoutes) }},
		{Name: "check", Usage: "check the configuration in FILE without sending it", ArgsUsage: "FILE", Action: p.checkRoutes},
		p.replaceCommand("put", "replace the configuration with the one in FILE, if the version in force is the base in FILE", wire.PathRoutes),
	}}
}

func (p *program) checkRoutes(_ context.Context, c *cli.Command) error {
	if err := requireArguments(c, 1); err != nil {
		return err
	}
	put, err := config.LoadRoutes(c.Args().First())
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(p.stdout, "version %d on base %d: %d routes, %d services\n",
		put.Config.Version, put.Base, len(put.Config.Routes), len(put.Config.Services))
	return errors.Wrap(err, "print")
}
