// Package ctl implements galenactl, the command-line client for operators.
package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/user"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/galenalug/galenalug/internal/config"
	"github.com/galenalug/galenalug/internal/version"
	"github.com/galenalug/galenalug/platform"
)

// Exit codes of galenactl.
const (
	ExitOK             = 0
	ExitRefused        = 1 // refused, or nothing was sent
	ExitUsage          = 2 // invalid command line or settings
	ExitOutcomeUnknown = 3 // the change may have been applied; it is safe to resend it
)

var errUsage = errors.New("wrong command line")

// program holds the output streams of the commands.
type program struct {
	stdout, stderr io.Writer
}

// Main runs galenactl and returns its exit code.
func Main(arguments []string, stdout, stderr io.Writer) int {
	p := &program{stdout: stdout, stderr: stderr}
	err := p.command().Run(context.Background(), arguments)
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(stderr, err)
	return exitCodeFor(err)
}

func exitCodeFor(err error) int {
	var settingsError *config.Error
	switch {
	case errors.Is(err, errOutcomeUnknown):
		return ExitOutcomeUnknown
	case errors.Is(err, errUsage), errors.As(err, &settingsError):
		return ExitUsage
	default:
		return ExitRefused
	}
}

func (p *program) command() *cli.Command {
	root := &cli.Command{
		Name:      "galenactl",
		Usage:     "operate galenalug",
		Version:   version.Version,
		Writer:    p.stdout,
		ErrWriter: p.stderr,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "YAML settings `FILE`", Sources: cli.EnvVars("GALENACTL_SETTINGS")},
			&cli.StringFlag{
				Name: "operator", Usage: "`NAME` of the operator, reported to the sender of a conflicting change",
				Value: currentUserName(), DefaultText: "login name of the current user", Sources: cli.EnvVars("USER"),
			},
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			p.listCommand("plans", "read or replace the list of customers' plans", pathPlans),
			p.listCommand("allowances", "read or replace the list of the plans' allowances", pathAllowances),
			p.routesCommand(),
			p.evacuationsCommand(),
			p.traceCommand(),
			{Name: "status", Usage: "print a control host's status", Action: p.status},
			{Name: "dump", Usage: "print the state dump of the process at an admin address", ArgsUsage: "ADDRESS", Action: p.dump},
			{Name: "settings", Usage: "check settings files", Action: requireSubcommand, Commands: []*cli.Command{
				{Name: "check", Usage: "check a settings file; KIND is one of " + strings.Join(config.Kinds(), ", "), ArgsUsage: "KIND FILE", Action: p.checkSettings},
			}},
			{Name: "deploy", Usage: "check the deploy file of the users' platform", Action: requireSubcommand, Commands: []*cli.Command{
				{Name: "check", Usage: "check the deploy file under ROOT and the settings that its templates produce", ArgsUsage: "ROOT", Action: p.checkDeployment},
			}},
			{Name: "control", Usage: "inspect the control hosts", Action: requireSubcommand, Commands: []*cli.Command{
				{Name: "status", Usage: "print each control host's view of the log groups", Action: p.controlStatus},
			}},
		},
		Action: requireSubcommand,
	}
	setUsageErrors(root)
	return root
}

// setUsageErrors maps the usage errors of the command-line library to errUsage.
func setUsageErrors(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return errors.Wrap(errUsage, err.Error())
	}
	for _, child := range c.Commands {
		setUsageErrors(child)
	}
}

// requireSubcommand is the action of commands that only hold subcommands. It always fails.
func requireSubcommand(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return errors.Wrapf(errUsage, "a subcommand is missing; see %s --help", c.FullName())
	}
	return errors.Wrapf(errUsage, "unknown subcommand %q; see %s --help", c.Args().First(), c.FullName())
}

func (p *program) listCommand(name, usage, path string) *cli.Command {
	return &cli.Command{Name: name, Usage: usage, Action: requireSubcommand, Commands: []*cli.Command{
		{Name: "get", Usage: "print the list in force as YAML", Action: func(ctx context.Context, c *cli.Command) error {
			return p.printResponse(ctx, c, path)
		}},
		p.replaceCommand("set", "replace the list with the one in FILE, which must have a higher version", path),
	}}
}

// replaceCommand returns a command that replaces the resource at path by the contents of a file.
func (p *program) replaceCommand(name, usage, path string) *cli.Command {
	return &cli.Command{Name: name, Usage: usage, ArgsUsage: "FILE", Action: func(ctx context.Context, c *cli.Command) error {
		return p.set(ctx, c, path)
	}}
}

func (p *program) set(ctx context.Context, c *cli.Command, path string) error {
	if err := requireArguments(c, 1); err != nil {
		return err
	}
	body, err := os.ReadFile(c.Args().First())
	if err != nil {
		return errors.Wrap(errUsage, err.Error())
	}
	hosts, err := openClient(c)
	if err != nil {
		return err
	}
	result, err := hosts.update(ctx, consts.MethodPut, path, body)
	if err != nil {
		return err
	}
	return p.printJSON(result)
}

func (p *program) status(ctx context.Context, c *cli.Command) error {
	hosts, err := openClient(c)
	if err != nil {
		return err
	}
	body, err := hosts.get(ctx, pathStatus)
	if err != nil {
		return err
	}
	return p.printJSON(body)
}

func (p *program) dump(ctx context.Context, c *cli.Command) error {
	if err := requireArguments(c, 1); err != nil {
		return err
	}
	hosts, err := openClient(c)
	if err != nil {
		return err
	}
	hosts.addresses = []string{c.Args().First()}
	body, err := hosts.get(ctx, pathDump)
	if err != nil {
		return err
	}
	return p.printJSON(body)
}

func (p *program) checkSettings(_ context.Context, c *cli.Command) error {
	if err := requireArguments(c, 2); err != nil {
		return err
	}
	return config.Check(c.Args().Get(0), c.Args().Get(1), true)
}

func (p *program) checkDeployment(_ context.Context, c *cli.Command) error {
	if err := requireArguments(c, 1); err != nil {
		return err
	}
	return platform.CheckDeployment(c.Args().First())
}

// hostStatus is the part of a control host's status that controlStatus prints.
type hostStatus struct {
	Host   string `json:"host"`
	Groups []struct {
		Group  string `json:"group"`
		Leader string `json:"leader"`
		Leads  bool   `json:"leads"`

		Members []memberStatus `json:"members"`
	} `json:"groups"`
}

// memberStatus is one member of a group. A learner has no vote yet.
type memberStatus struct {
	Name    string `json:"name"`
	Learner bool   `json:"learner"`
}

func memberList(members []memberStatus) string {
	names := make([]string, 0, len(members))
	for _, m := range members {
		name := m.Name
		if m.Learner {
			name += "(learner)"
		}
		names = append(names, name)
	}
	return orDash(strings.Join(names, ","))
}

// controlStatus queries every control host and prints one line per host and group. It fails if no
// host responds.
func (p *program) controlStatus(ctx context.Context, c *cli.Command) error {
	hosts, err := openClient(c)
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(p.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "ADDRESS\tHOST\tGROUP\tLEADER\tLEADS\tMEMBERS")
	responded := 0
	for _, address := range hosts.addresses {
		status, err := fetchStatus(ctx, hosts, address)
		if err != nil {
			_, _ = fmt.Fprintln(p.stderr, err)
			_, _ = fmt.Fprintf(table, "%s\t-\t-\t-\t-\tno answer\n", address)
			continue
		}
		responded++
		for _, g := range status.Groups {
			_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%t\t%s\n", address, status.Host, g.Group, orDash(g.Leader), g.Leads,
				memberList(g.Members))
		}
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "print table")
	}
	if responded == 0 {
		return errors.Wrap(errRefused, "no control host answered")
	}
	return nil
}

func fetchStatus(ctx context.Context, hosts *hostClient, address string) (hostStatus, error) {
	var status hostStatus
	got, err := hosts.send(ctx, consts.MethodGet, address, pathStatus, nil)
	if err != nil {
		return status, err
	}
	if !got.ok() {
		return status, errors.Errorf("%s: %s", address, got.detail())
	}
	return status, errors.Wrap(json.Unmarshal(got.body, &status), address)
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func requireArguments(c *cli.Command, count int) error {
	if c.Args().Len() == count {
		return nil
	}
	return errors.Wrapf(errUsage, "usage: %s %s", c.FullName(), c.ArgsUsage)
}

// openClient loads the settings and returns a client for the hosts that they list.
func openClient(c *cli.Command) (*hostClient, error) {
	path := c.String("settings")
	if path == "" {
		return nil, errors.Wrap(errUsage, "--settings FILE is missing")
	}
	s, err := config.LoadCtl(path)
	if err != nil {
		return nil, err
	}
	secret, err := config.ReadOptionalSecret(s.OperatorSecretFile)
	if err != nil {
		return nil, err
	}
	hosts, err := newHostClient(s.Controls, secret, c.String("operator"), time.Duration(s.TimeoutMs)*time.Millisecond)
	if err != nil {
		return nil, err
	}
	hosts.entries = s.Entries
	return hosts, nil
}

// currentUserName returns the login name of the user who runs the program.
func currentUserName() string {
	account, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return account.Username
}

func (p *program) printResponse(ctx context.Context, c *cli.Command, path string) error {
	hosts, err := openClient(c)
	if err != nil {
		return err
	}
	body, err := hosts.get(ctx, path)
	if err != nil {
		return err
	}
	_, err = p.stdout.Write(body)
	return errors.Wrap(err, "print")
}

func (p *program) printJSON(body []byte) error {
	var indented bytes.Buffer
	if err := json.Indent(&indented, body, "", "  "); err != nil {
		indented.Reset()
		indented.Write(body)
	}
	indented.WriteByte('\n')
	_, err := p.stdout.Write(indented.Bytes())
	return errors.Wrap(err, "print")
}
