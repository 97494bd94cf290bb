// Package daemon holds what the mains share: the command line, signals, the
// state dump on SIGUSR1 and the clean stop on SIGTERM.
package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/galenalug/galenalug/internal/config"
	"github.com/galenalug/galenalug/internal/version"
)

// Exit codes of the daemons.
const (
	ExitDone     = 0
	ExitFailed   = 1
	ExitSettings = 2 // wrong command line or settings
)

// SmallHeapPercent is a garbage collection target for small hosts, on which memory
// is scarcer than processor time: the heap grows by this part before it is
// collected.
const SmallHeapPercent = 30

// Process is one daemon.
type Process interface {
	// Start begins the work and returns.
	Start() error
	// Stop ends the work; the context bounds the wait.
	Stop(ctx context.Context) error
	// Dump returns the state, which is written as JSON.
	Dump() any
}

// Program describes one daemon's binary.
type Program struct {
	Name        string
	Usage       string
	Kind        string                             // of its settings file
	StopTimeout func() time.Duration               // longest wait for Stop
	Open        func(path string) (Process, error) // loads the settings and makes the process
	Commands    []*cli.Command
}

// Main runs the program and returns its exit code.
func Main(program Program, arguments []string, stderr io.Writer) int {
	app := command(program, stderr)
	err := app.Run(context.Background(), arguments)
	if err == nil {
		return ExitDone
	}
	_, _ = fmt.Fprintln(stderr, err)
	var wrongSettings *config.Error
	if errors.As(err, &wrongSettings) || errors.Is(err, errUsage) {
		return ExitSettings
	}
	return ExitFailed
}

var errUsage = errors.New("--settings FILE is missing")

func command(program Program, stderr io.Writer) *cli.Command {
	return &cli.Command{
		Name:    program.Name,
		Usage:   program.Usage,
		Version: version.Version,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "YAML settings `FILE`"},
			&cli.BoolFlag{Name: "check-settings", Usage: "check the settings and exit"},
		},
		Commands:       program.Commands,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Action: func(ctx context.Context, c *cli.Command) error {
			path := c.String("settings")
			if path == "" {
				return errUsage
			}
			if c.Bool("check-settings") {
				return config.Check(program.Kind, path, true)
			}
			process, err := program.Open(path)
			if err != nil {
				return err
			}
			return Run(ctx, process, program.StopTimeout(), stderr)
		},
	}
}

// Reloader is a Process that reads its settings again on SIGHUP.
type Reloader interface {
	Reload() error
}

// Run starts the process and serves signals until SIGTERM or SIGINT.
func Run(ctx context.Context, process Process, stopTimeout time.Duration, stderr io.Writer) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	defer signal.Stop(signals)
	if err := process.Start(); err != nil {
		return errors.Wrap(err, "start")
	}
	for received := range signals {
		if received == syscall.SIGTERM || received == syscall.SIGINT {
			break
		}
		serveSignal(received, process, stderr)
	}
	log.Info("stopping")
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	return errors.Wrap(process.Stop(ctx), "stop")
}

// serveSignal does what a signal other than a stop asks for.
func serveSignal(received os.Signal, process Process, stderr io.Writer) {
	if received == syscall.SIGUSR1 {
		if err := WriteDump(stderr, process); err != nil {
			log.WithError(err).Error("state dump failed")
		}
		return
	}
	reloader, ok := process.(Reloader)
	if !ok {
		log.Info("settings are read at the start only")
		return
	}
	if err := reloader.Reload(); err != nil {
		log.WithError(err).Error("settings not read again; those before stay in force")
	}
}

// WatchFile calls changed when the file's time or size changes, until the context
// ends.
func WatchFile(ctx context.Context, path string, interval time.Duration, changed func()) {
	last, _ := os.Stat(path) // a file that is missing shows when it is back
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
		now, err := os.Stat(path)
		if err != nil || last != nil && now.ModTime().Equal(last.ModTime()) && now.Size() == last.Size() {
			continue
		}
		last = now
		changed()
	}
}

// WriteDump writes the process's state as indented JSON.
func WriteDump(w io.Writer, process Process) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(process.Dump()), "write state dump")
}
