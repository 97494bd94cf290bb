// Command demoload is the load generator of the demo. It is built by scripts/lib.sh and is not
// shipped.
//
//	demoload ports COUNT
//	demoload run --entries A,B --history F,G ...
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/galenalug/galenalug/internal/demo"
)

var errCheckFailed = errors.New("the check of the load and the histories failed; see the report")

func main() {
	hlog.SetLevel(hlog.LevelError)
	app := &cli.Command{
		Name:  "demoload",
		Usage: "caller of the demo",
		Commands: []*cli.Command{
			{Name: "ports", Usage: "print COUNT free loopback ports", ArgsUsage: "COUNT", Action: ports},
			{Name: "run", Usage: "send load and check the histories", Action: run, Flags: []cli.Flag{
				&cli.StringSliceFlag{Name: "entries", Usage: "addresses of entry hosts", Required: true},
				&cli.StringSliceFlag{Name: "history", Usage: "history files of the servers", Required: true},
				&cli.StringFlag{Name: "service", Value: "wheel-swap"},
				&cli.IntFlag{Name: "keys", Value: 64},
				&cli.IntFlag{Name: "workers", Value: 8},
				&cli.DurationFlag{Name: "think", Value: 4 * time.Millisecond, Usage: "pause of a worker after an answer"},
				&cli.DurationFlag{Name: "duration", Value: 10 * time.Second},
				&cli.DurationFlag{Name: "warm-up", Value: 20 * time.Second},
				&cli.Uint64Flag{Name: "seed", Value: 1},
				&cli.StringFlag{Name: "marks", Usage: "file of marks, one a line: Unix seconds and a name"},
			}},
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// ports prints free loopback ports. It keeps every listener open until all ports are allocated, so
// that no port is printed twice.
func ports(_ context.Context, c *cli.Command) error {
	count, err := strconv.Atoi(c.Args().First())
	if err != nil {
		return errors.Wrap(err, "parse COUNT")
	}
	listeners := make([]net.Listener, 0, count)
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return errors.Wrap(err, "listen on loopback")
		}
		listeners = append(listeners, listener)
	}
	for _, listener := range listeners {
		fmt.Println(listener.Addr().(*net.TCPAddr).Port)
		_ = listener.Close() // only the port number is needed
	}
	return nil
}

// run sends load and checks the histories. SIGTERM ends the load early, and the check still runs.
func run(ctx context.Context, c *cli.Command) error {
	end, stop := signal.NotifyContext(ctx, syscall.SIGTERM)
	defer stop()
	report, err := demo.Run(ctx, demo.Options{
		Entries:   c.StringSlice("entries"),
		Service:   c.String("service"),
		Keys:      c.Int("keys"),
		Workers:   c.Int("workers"),
		ThinkTime: c.Duration("think"),
		Duration:  c.Duration("duration"),
		WarmUp:    c.Duration("warm-up"),
		Histories: c.StringSlice("history"),
		Seed:      c.Uint64("seed"),
		Marks:     c.String("marks"),
		Stop:      end.Done(),
	})
	if err != nil {
		return err
	}
	if err := report.Print(os.Stdout); err != nil {
		return err
	}
	if report.Failed() {
		return errCheckFailed
	}
	return nil
}
