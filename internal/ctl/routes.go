package ctl

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/galenalug/galenalug/internal/wire"
)

// routesCommand reads, checks and replaces the route configuration of the gateways.
func (p *program) routesCommand() *cli.Command {
	return &cli.Command{Name: "routes", Usage: "read, check or replace the route configuration of the gateways", Action: requireSubcommand, Commands: []*cli.Command{
		{Name: "get", Usage: "print the configuration in force as YAML; to change it, raise its version and use put",
			Action: func(ctx context.Context, c *cli.Command) error { return p.printResponse(ctx, c, wire.PathRoutes) }},
		p.checkRoutesCommand(),
		p.replaceCommand("put", "replace the configuration with the one in FILE, if the version in force is the base in FILE", wire.PathRoutes),
	}}
}
