// Command standin runs the scripted cases of the review. It starts the project's own programs as separate
// processes, with the commands of the deploy file, on loopback addresses, and plays the backend servers, the
// operator and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitFailed = 2 // the case could not run
)

// caseFunc plays a case. It returns the breaks of the rule that it saw.
type caseFunc func(r *run) (breaks []string, err error)

var cases = map[string]caseFunc{
	"foreign-heartbeat": foreignHeartbeat,
	"service-returns":   serviceReturns,
	"config-growth":     configGrowth,
}

// timeLimit ends a case that hangs.
const timeLimit = 110 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER, in the root of the repository")
		os.Exit(exitFailed)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(c caseFunc, folder string) int {
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.close()
	dir, err := os.MkdirTemp("", "galenalug-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer os.RemoveAll(dir)
	r := &run{record: record, dir: dir, trouble: os.Getenv("TROUBLE") != "0", limit: time.Now().Add(timeLimit), putTimeout: 20 * time.Second}
	defer r.end()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stopped
		r.end()
		_ = os.RemoveAll(dir)
		os.Exit(exitFailed)
	}()
	breaks, err := c(r)
	if err != nil {
		record.printf("the case could not run: %v", err)
		return exitFailed
	}
	for i, b := range breaks {
		if i == 20 {
			record.printf("and %d more", len(breaks)-i)
			break
		}
		record.printf("BROKEN: %s", b)
	}
	if len(breaks) > 0 {
		return exitBroken
	}
	record.printf("the rule held")
	return exitHeld
}
