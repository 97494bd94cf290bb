// Command galenactl is the operator's command line: it edits the two lists,
// reads status, dumps state and checks settings files.
package main

import (
	"os"

	"github.com/galenalug/galenalug/internal/ctl"
)

func main() { os.Exit(ctl.Main(os.Args, os.Stdout, os.Stderr)) }
