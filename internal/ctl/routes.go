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
	return &cli.Command{Name: "routes", Usage: "the route configuration of gateways", Action: requireSubcommand, Commands: []*cli.Command{
		{Name: "get", Usage: "print the configuration in force as YAML; raise its version to change it",
			Action: func(ctx context.Context, c *cli.Command) error { return p.printResponse(ctx, c, wire.PathRoutes) }},
		{Name: "check", Usage: "check a configuration without sending it", ArgsUsage: "FILE", Action: p.checkRoutes},
		p.replaceCommand("put", "replace the configuration, whose version is the base that FILE names", wire.PathRoutes),
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
