// Command galenactl is the command-line client for operators. It reads and replaces plans,
// allowances and routes, prints status, state dumps and traces, and checks settings files.
package main

import (
	"os"

	"github.com/galenalug/galenalug/internal/ctl"
)

func main() { os.Exit(ctl.Main(os.Args, os.Stdout, os.Stderr)) }
