package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/galenalug/galenalug/evacuation"
	"github.com/galenalug/galenalug/internal/wire"
)

// evacuationsCommand starts, ends and shows evacuations of failure domains.
func (p *program) evacuationsCommand() *cli.Command {
	change := func(name, usage string) *cli.Command {
		return &cli.Command{Name: name, Usage: usage, ArgsUsage: "DOMAIN", Action: func(ctx context.Context, c *cli.Command) error {
			return p.changeEvacuation(ctx, c, name)
		}}
	}
	return &cli.Command{Name: "evacuations", Usage: "start, end or show evacuations of failure domains", Action: requireSubcommand, Commands: []*cli.Command{
		change("start", "send no more requests to the servers of DOMAIN, and move their keys; it is safe to repeat"),
		change("end", "send requests to the servers of DOMAIN again; it is safe to repeat"),
		{Name: "status", Usage: "print the evacuated failure domains, and what is left there", Action: p.evacuationStatus},
	}}
}

func (p *program) changeEvacuation(ctx context.Context, c *cli.Command, change string) error {
	if err := requireArguments(c, 1); err != nil {
		return err
	}
	hosts, err := openClient(c)
	if err != nil {
		return err
	}
	result, err := hosts.update(ctx, consts.MethodPost, wire.PathEvacuations+"/"+url.PathEscape(c.Args().First())+"/"+change, nil)
	if err != nil {
		return err
	}
	return p.printJSON(result)
}

func (p *program) evacuationStatus(ctx context.Context, c *cli.Command) error {
	hosts, err := openClient(c)
	if err != nil {
		return err
	}
	body, err := hosts.get(ctx, wire.PathEvacuations)
	if err != nil {
		return err
	}
	var status evacuation.Status
	if err := json.Unmarshal(body, &status); err != nil {
		return errors.Wrap(err, "decode status")
	}
	_, _ = fmt.Fprintf(p.stdout, "revision %d; gateways behind: %s\n", status.Revision, orDash(strings.Join(status.Behind, ",")))
	table := tabwriter.NewWriter(p.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "DOMAIN\tSINCE\tSTARTED BY\tREVISION\tREQUESTS\tKEYS")
	for _, d := range status.Domains {
		since := time.UnixMilli(d.StartMillis).UTC().Format(time.RFC3339)
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\n", d.Name, since, d.StartedBy, d.Revision, d.Requests, d.Keys)
	}
	return errors.Wrap(table.Flush(), "print table")
}
