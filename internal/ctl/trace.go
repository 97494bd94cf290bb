package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/galenalug/galenalug/internal/trace"
)

// traceCommand reconstructs the history of a configuration or key from the state dumps of gateways
// and control hosts.
func (p *program) traceCommand() *cli.Command {
	return &cli.Command{Name: "trace", Usage: "reconstruct the history of the routes or of a key from the state dumps of all hosts", Action: requireSubcommand, Commands: []*cli.Command{
		{Name: "config", Usage: "print when each version of the route configuration, or only VERSION, came into force on each host", ArgsUsage: "[VERSION]", Action: p.traceConfig},
		{Name: "key", Usage: "print the changes of a key's owner, and the present owner as known to each host", ArgsUsage: "SERVICE KEY", Action: p.traceKey},
		{Name: "evacuations", Usage: "print when each revision of the set of evacuated failure domains came into force on each host", Action: p.traceEvacuations},
	}}
}

func (p *program) traceConfig(ctx context.Context, c *cli.Command) error {
	var version uint64
	if c.Args().Len() > 0 {
		if err := requireArguments(c, 1); err != nil {
			return err
		}
		var err error
		if version, err = strconv.ParseUint(c.Args().First(), 10, 64); err != nil {
			return errors.Wrapf(errUsage, "VERSION must be a number, not %q", c.Args().First())
		}
	}
	dumps, err := p.fetchDumps(ctx, c)
	if err != nil {
		return err
	}
	return trace.WriteConfigHistory(p.stdout, dumps, version)
}

func (p *program) traceEvacuations(ctx context.Context, c *cli.Command) error {
	dumps, err := p.fetchDumps(ctx, c)
	if err != nil {
		return err
	}
	return trace.WriteEvacuationHistory(p.stdout, dumps)
}

func (p *program) traceKey(ctx context.Context, c *cli.Command) error {
	if err := requireArguments(c, 2); err != nil {
		return err
	}
	key, err := strconv.ParseInt(c.Args().Get(1), 10, 64)
	if err != nil {
		return errors.Wrapf(errUsage, "KEY must be a number, not %q", c.Args().Get(1))
	}
	dumps, err := p.fetchDumps(ctx, c)
	if err != nil {
		return err
	}
	return trace.WriteKeyHistory(p.stdout, dumps, c.Args().First(), key)
}

// fetchDumps returns the dumps of all hosts that respond and prints an error for each of the others.
// It fails if no host responds.
func (p *program) fetchDumps(ctx context.Context, c *cli.Command) ([]trace.Dump, error) {
	hosts, err := openClient(c)
	if err != nil {
		return nil, err
	}
	var dumps []trace.Dump
	for _, address := range append(hosts.addresses, hosts.entries...) {
		dump, err := fetchDump(ctx, hosts, address)
		if err != nil {
			_, _ = fmt.Fprintln(p.stderr, err)
			continue
		}
		dumps = append(dumps, dump)
	}
	if len(dumps) == 0 {
		return nil, errors.Wrap(errRefused, "no host answered")
	}
	return dumps, nil
}

func fetchDump(ctx context.Context, hosts *hostClient, address string) (trace.Dump, error) {
	var dump trace.Dump
	got, err := hosts.send(ctx, consts.MethodGet, address, pathDump, nil)
	if err != nil {
		return dump, err
	}
	if !got.ok() {
		return dump, errors.Errorf("%s: %s", address, got.detail())
	}
	return dump, errors.Wrap(json.Unmarshal(got.body, &dump), address)
}
