// Command galena-backend runs a simple backend server for tests and the demo.
package main

import (
	"os"
	"time"

	"github.com/galenalug/galenalug/internal/backend"
	"github.com/galenalug/galenalug/internal/config"
	"github.com/galenalug/galenalug/internal/daemon"
	"github.com/galenalug/galenalug/internal/logging"
)

// drainTimeout limits the wait for requests in progress at shutdown.
const drainTimeout = 30 * time.Second

func main() {
	program := daemon.Program{
		Name:        "galena-backend",
		Usage:       "stand-in backend server for tests and the demo",
		Kind:        config.KindBackend,
		StopTimeout: func() time.Duration { return drainTimeout },
		Open:        open,
	}
	os.Exit(daemon.Main(program, os.Args, os.Stderr))
}

func open(path string) (daemon.Process, error) {
	loaded, err := config.LoadBackend(path)
	if err != nil {
		return nil, err
	}
	if err := logging.Setup(loaded.Log, os.Stderr); err != nil {
		return nil, err
	}
	secret, err := config.ReadSecret(loaded.ServerSecretFile)
	if err != nil {
		return nil, err
	}
	server, err := backend.New(backend.Options{Settings: loaded, Secret: secret})
	if err != nil {
		return nil, err
	}
	return server, nil
}
