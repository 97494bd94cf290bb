// Package daemon holds the code shared by the main packages of the daemons: the command line, signal
// handling, the state dump on SIGUSR1 and the graceful stop on SIGTERM.
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
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2 // invalid command line or settings
)

// Process is a running daemon.
type Process interface {
	// Start starts the process and returns without waiting for its end.
	Start() error
	// Stop stops the process gracefully; ctx limits the wait.
	Stop(ctx context.Context) error
	// Dump returns the state, to be encoded as JSON.
	Dump() any
}

// Program describes the binary of a daemon.
type Program struct {
	Name        string
	Usage       string
	Kind        string                             // kind of its settings file, see package config
	StopTimeout func() time.Duration               // longest time that Stop may take; called after Open
	Open        func(path string) (Process, error) // loads the settings and creates the process
	Commands    []*cli.Command
}

// Main runs the program and returns its exit code.
func Main(program Program, arguments []string, stderr io.Writer) int {
	app := command(program, stderr)
	err := app.Run(context.Background(), arguments)
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(stderr, err)
	var settingsError *config.Error
	if errors.As(err, &settingsError) || errors.Is(err, errUsage) {
		return ExitUsage
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

// Reloader is implemented by a Process that reloads its settings on SIGHUP.
type Reloader interface {
	Reload() error
}

// Run starts the process and handles signals until SIGTERM or SIGINT, which stop it.
func Run(ctx context.Context, process Process, stopTimeout time.Duration, stderr io.Writer) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	defer signal.Stop(signals)
	if err := process.Start(); err != nil {
		return errors.Wrap(err, "start process")
	}
	for received := range signals {
		if received == syscall.SIGTERM || received == syscall.SIGINT {
			break
		}
		handleSignal(received, process, stderr)
	}
	log.Info("stopping")
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	return errors.Wrap(process.Stop(ctx), "stop process")
}

// handleSignal handles the signals that do not stop the process: SIGUSR1 writes a state dump, SIGHUP
// reloads the settings.
func handleSignal(received os.Signal, process Process, stderr io.Writer) {
	if received == syscall.SIGUSR1 {
		if err := WriteDump(stderr, process); err != nil {
			log.WithError(err).Error("writing the state dump failed")
		}
		return
	}
	reloader, ok := process.(Reloader)
	if !ok {
		log.Info("SIGHUP ignored: this process reads its settings only at startup")
		return
	}
	if err := reloader.Reload(); err != nil {
		log.WithError(err).Error("reloading the settings failed; the previous settings stay in force")
	}
}

// WatchFile polls a file and calls changed when its modification time or size differs, until ctx is
// done.
func WatchFile(ctx context.Context, path string, interval time.Duration, changed func()) {
	last, _ := os.Stat(path) // if the file is missing, its creation counts as a change
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

// WriteDump writes the state of the process as indented JSON.
func WriteDump(w io.Writer, process Process) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(process.Dump()), "write state dump")
}
